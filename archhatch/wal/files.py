"""The file calls that a write-ahead log makes, in one place, so that a simulated disk can replace them."""

from __future__ import annotations

import os
from typing import Protocol

FILE_MODE = 0o644  # owner writes, others read


class LogFiles(Protocol):
    """The file calls of a log. Every call blocks and may raise an OSError; a handle is an open file's number."""

    def makedirs(self, folder: str) -> None:
        """Creates a directory and its parents where they are missing."""

    def exists(self, path: str) -> bool:
        """Returns whether a file or directory exists."""

    def listdir(self, folder: str) -> list[str]:
        """Returns the names in a directory."""

    def open(self, path: str, create: bool) -> int:
        """Opens a file for reading and writing; with `create` it is created, or emptied."""

    def size(self, handle: int) -> int:
        """Returns the length of a file in bytes."""

    def pread(self, handle: int, count: int, offset: int, /) -> bytes:
        """Reads at most `count` bytes from an offset."""

    def pwrite(self, handle: int, data: memoryview, offset: int, /) -> int:
        """Writes at an offset and returns the number of bytes taken."""

    def truncate(self, handle: int, size: int) -> None:
        """Sets the length of a file."""

    def datasync(self, handle: int) -> None:
        """Syncs the contents and the length of a file."""

    def sync(self, handle: int) -> None:
        """Syncs a file with all its metadata."""

    def close(self, handle: int) -> None:
        """Closes a file."""

    def remove(self, path: str) -> None:
        """Removes a file; durable once the directory is synced."""

    def sync_folder(self, folder: str) -> None:
        """Syncs the names in a directory."""


class OsFiles:
    """The `LogFiles` of the operating system.

    >>> import tempfile
    >>> files, folder = OsFiles(), tempfile.mkdtemp()
    >>> handle = files.open(os.path.join(folder, "a"), create=True)
    >>> files.pwrite(handle, b"abc", 0), files.size(handle), files.pread(handle, 9, 1), files.listdir(folder)
    (3, 3, b'bc', ['a'])
    >>> files.close(handle)
    """

    def makedirs(self, folder: str) -> None:
        """Creates a directory and its parents where they are missing."""
        os.makedirs(folder, exist_ok=True)

    def exists(self, path: str) -> bool:
        """Returns whether a file or directory exists."""
        return os.path.exists(path)

    def listdir(self, folder: str) -> list[str]:
        """Returns the names in a directory."""
        return os.listdir(folder)

    def open(self, path: str, create: bool) -> int:
        """Opens a file for reading and writing; with `create` it is created, or emptied."""
        flags = os.O_RDWR | (os.O_CREAT | os.O_TRUNC if create else 0)
        return os.open(path, flags, FILE_MODE)

    def size(self, handle: int) -> int:
        """Returns the length of a file in bytes."""
        return os.fstat(handle).st_size

    def pread(self, handle: int, count: int, offset: int, /) -> bytes:
        """Reads at most `count` bytes from an offset."""
        return os.pread(handle, count, offset)

    def pwrite(self, handle: int, data: memoryview | bytes, offset: int, /) -> int:
        """Writes at an offset and returns the number of bytes taken."""
        return os.pwrite(handle, data, offset)

    def truncate(self, handle: int, size: int) -> None:
        """Sets the length of a file."""
        os.ftruncate(handle, size)

    def datasync(self, handle: int) -> None:
        """Syncs the contents and the length of a file."""
        os.fdatasync(handle)

    def sync(self, handle: int) -> None:
        """Syncs a file with all its metadata."""
        os.fsync(handle)

    def close(self, handle: int) -> None:
        """Closes a file."""
        os.close(handle)

    def remove(self, path: str) -> None:
        """Removes a file; durable once the directory is synced."""
        os.remove(path)

    def sync_folder(self, folder: str) -> None:
        """Syncs the names in a directory."""
        handle = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
