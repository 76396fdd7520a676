"""The file calls that a write-ahead log makes, in one place, so that a simulated disk can stand in for them."""

from __future__ import annotations

import os


class OsFiles:
    """Files of the operating system; every call blocks, and fails with an OSError.

    >>> import tempfile
    >>> files, folder = OsFiles(), tempfile.mkdtemp()
    >>> handle = files.open(os.path.join(folder, "a"), create=True)
    >>> files.pwrite(handle, b"abc", 0), files.size(handle), files.pread(handle, 9, 1), files.listdir(folder)
    (3, 3, b'bc', ['a'])
    >>> files.close(handle)
    """

    def makedirs(self, folder: str) -> None:
        """Make a folder and those above it, if they are not there."""
        os.makedirs(folder, exist_ok=True)

    def exists(self, path: str) -> bool:
        """Whether a file or folder is there."""
        return os.path.exists(path)

    def listdir(self, folder: str) -> list[str]:
        """The names in a folder."""
        return os.listdir(folder)

    def open(self, path: str, create: bool) -> int:
        """Open a file for reading and writing; with create it is made, or emptied."""
        flags = os.O_RDWR | (os.O_CREAT | os.O_TRUNC if create else 0)
        return os.open(path, flags, 0o644)

    def size(self, handle: int) -> int:
        """The length of a file."""
        return os.fstat(handle).st_size

    def pread(self, handle: int, count: int, at: int) -> bytes:
        """At most count bytes from a position."""
        return os.pread(handle, count, at)

    def pwrite(self, handle: int, data, at: int) -> int:
        """Write at a position; how many bytes were taken."""
        return os.pwrite(handle, data, at)

    def truncate(self, handle: int, size: int) -> None:
        """Set the length of a file."""
        os.ftruncate(handle, size)

    def datasync(self, handle: int) -> None:
        """Have the bytes and the length of a file on the disk."""
        os.fdatasync(handle)

    def sync(self, handle: int) -> None:
        """Have all of a file on the disk."""
        os.fsync(handle)

    def close(self, handle: int) -> None:
        """Give a handle back."""
        os.close(handle)

    def remove(self, path: str) -> None:
        """Remove a file; lasts once the folder is synced."""
        os.remove(path)

    def sync_folder(self, folder: str) -> None:
        """Have the names in a folder on the disk."""
        handle = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
