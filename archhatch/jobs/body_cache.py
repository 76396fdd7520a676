"""Bodies of jobs: in memory up to a bound, beyond it in files on the store's disk.

The files are no durable state: the write-ahead log has every body, and a process that starts reads them from there.
"""

from __future__ import annotations

import os
import tempfile
import weakref
from typing import IO

from ..runtime import Counters

MIN_HELD_BYTES = 16 << 10  # a shorter body is not worth a file


class HeldBody:
    """The body of one job, shared by all records of it in this process."""

    __slots__ = ("_bytes", "_file", "_size", "__weakref__")

    def __init__(self, body: bytes) -> None:
        self._bytes: bytes | None = body
        self._file: IO[bytes] | None = None
        self._size = len(body)

    def __len__(self) -> int:
        return self._size

    def __bytes__(self) -> bytes:
        """Reads the body; safe in any thread."""
        body = self._bytes
        if body is not None:
            return body
        assert self._file is not None  # what is not in memory is in the file
        return os.pread(self._file.fileno(), self._size, 0)

    @property
    def is_in_memory(self) -> bool:
        """Whether the body takes memory."""
        return self._bytes is not None

    def move_to_disk(self, folder: str) -> None:
        """Moves the body to a file that has no name, and ends with this object or the process.

        Raises:
            OSError: The disk does not take it; the body stays in memory.
        """
        body = self._bytes
        if body is None:
            return
        file = tempfile.TemporaryFile(dir=folder)  # noqa: SIM115 - open for as long as the body is held
        try:
            file.write(body)
            file.flush()
        except OSError:
            file.close()
            raise
        self._file = file
        self._bytes = None


Body = bytes | HeldBody


class BodyCache:
    """Holds the bodies of jobs; those that came first go to disk first.

    >>> cache = BodyCache("/tmp", 40_000, Counters())
    >>> first, second = cache.hold("a", b"x" * 30_000), cache.hold("b", b"y" * 30_000)
    >>> first.is_in_memory, second.is_in_memory, bytes(first) == b"x" * 30_000, cache.bytes_on_disk()
    (False, True, True, 30000)

    Attributes:
        folder: Where the files are made.
        max_memory_bytes: The bound on what is in memory.
        counters: Counts moves to disk, and those that failed.
    """

    def __init__(self, folder: str, max_memory_bytes: int, counters: Counters) -> None:
        self.folder = folder
        self.max_memory_bytes = max_memory_bytes
        self.counters = counters
        self._held: weakref.WeakValueDictionary[str, HeldBody] = weakref.WeakValueDictionary()

    def hold(self, job_id: str, body: Body) -> Body:
        """Returns the body as it is to be kept: the one that is held of this job already, if it is the same."""
        if isinstance(body, HeldBody) or len(body) < MIN_HELD_BYTES:
            return body
        held = self._held.get(job_id)
        if held is not None and len(held) == len(body) and bytes(held) == body:
            return held
        new = HeldBody(body)
        self._held[job_id] = new
        self._shrink()
        return new

    def bytes_on_disk(self) -> int:
        """Returns what the files take."""
        return sum(len(body) for body in self._held.values() if not body.is_in_memory)

    def _shrink(self) -> None:
        in_memory = [body for body in self._held.values() if body.is_in_memory]
        excess = sum(map(len, in_memory)) - self.max_memory_bytes
        for body in in_memory:
            if excess <= 0:
                return
            try:
                body.move_to_disk(self.folder)
            except OSError:
                self.counters.add("body_cache.move_failed")
                return
            self.counters.add("body_cache.moved")
            excess -= len(body)
