"""One file of a write-ahead log, open for appending."""

from __future__ import annotations

import contextlib
import errno
from collections.abc import Iterable, Iterator

from .errors import LogSyncError, LogTruncateError, LogWriteError
from .files import LogFiles
from .records import FrameKind, LogRecord, RecordDigest, frame_header, pieces_of
from .scan import CHUNK_BYTES, ByteSource, FileSource, iterate_frames

PROBE_BYTES = 1 << 16  # written behind the end, and truncated again, to see whether the disk takes writes


class Generation:
    """A file and the length up to which it is synced. All methods block; one thread at a time.

    Attributes:
        files: The file calls.
        path: Where the file is.
        number: Its number among the generations of its log.
        handle: The open file.
        size: The synced length in bytes.
        is_abandoned: Whether it takes no more appends; it still holds every acknowledged record.
        is_closed: Whether the file is closed.
    """

    def __init__(self, files: LogFiles, path: str, number: int, handle: int) -> None:
        self.files = files
        self.path = path
        self.number = number
        self.handle = handle
        self.size = 0
        self.is_abandoned = False
        self.is_closed = False

    def append(self, records: Iterable[LogRecord]) -> None:
        """Appends records and syncs them.

        Args:
            records: The records, in order.

        Raises:
            LogWriteError: The write failed; nothing of it is left.
            LogTruncateError: The write failed and could not be truncated away; the generation is abandoned.
            LogSyncError: The sync failed; the generation is abandoned.
        """
        try:
            end = self._write(_framed(records), self.size)
        except OSError as error:
            self._truncate_to_synced(error)
            raise LogWriteError(f"{self.path}: {error}") from error
        try:
            self.files.datasync(self.handle)
        except OSError as error:
            self._abandon_after_failed_sync()
            raise LogSyncError(f"{self.path}: {error}") from error
        self.size = end

    def write_snapshot(self, records: Iterable[LogRecord]) -> RecordDigest:
        """Writes the records of a rewrite and syncs them; they do not count before `write_closing_frame`.

        Returns:
            What the closing frame has to state.
        """
        digest = RecordDigest()
        self.size = self._write(_framed(records, digest), 0)
        self.files.sync(self.handle)
        return digest

    def write_closing_frame(self, digest: RecordDigest) -> None:
        """Writes the closing frame and syncs it: from now on this generation is complete."""
        self.size = self._write([digest.closing_frame()], self.size)
        self.files.sync(self.handle)

    def rewrite_range(self, start: int, end: int) -> None:
        """Writes bytes again as they are, so that the next sync covers them whatever became of an earlier one."""
        source = FileSource(self.files, self.handle, end)
        while start < end and (chunk := source.read(start, CHUNK_BYTES)):
            start = self._write([chunk], start)

    def copy_from(self, source: ByteSource) -> None:
        """Writes all of another file here, and syncs it."""
        offset = 0
        while offset < source.size and (chunk := source.read(offset, CHUNK_BYTES)):
            offset = self._write([chunk], offset)
        self.files.sync(self.handle)

    def probe(self) -> None:
        """Writes behind the end and truncates it again, to find out whether the disk takes writes.

        Raises:
            LogWriteError: The disk takes none.
            LogTruncateError: The truncation failed; the generation is abandoned.
        """
        try:
            self._write([bytes(PROBE_BYTES)], self.size)
        except OSError as error:
            self._truncate_to_synced(error)
            raise LogWriteError(f"{self.path}: {error}") from error
        self._truncate_to_synced(None)

    def records(self) -> Iterator[bytes]:
        """Returns the records up to the synced length, read chunk by chunk as they are taken."""
        source = FileSource(self.files, self.handle, self.size)
        return (frame.body for frame in iterate_frames(source, self.size) if frame.kind is FrameKind.RECORD)

    def close(self) -> None:
        """Closes the file; an error in this changes nothing, since what counts was synced."""
        if self.is_closed:
            return
        self.is_closed = True
        with contextlib.suppress(OSError):
            self.files.close(self.handle)

    def _write(self, frame_parts: Iterable[bytes], offset: int) -> int:
        """Writes in chunks of bounded size and returns the offset behind the last one."""
        chunk = bytearray()
        for frame_part in frame_parts:
            view = memoryview(frame_part)
            for start in range(0, len(view), CHUNK_BYTES):
                chunk += view[start : start + CHUNK_BYTES]
                if len(chunk) >= CHUNK_BYTES:
                    offset = self._write_chunk(chunk, offset)
                    chunk = bytearray()
        return self._write_chunk(chunk, offset)

    def _write_chunk(self, chunk: bytearray, offset: int) -> int:
        """Writes all of a chunk, also if the disk takes it in several pieces; returns the offset behind it."""
        with memoryview(chunk) as view:
            done = 0
            while done < len(view):
                with view[done:] as rest:
                    taken = self.files.pwrite(self.handle, rest, offset + done)
                if taken <= 0:
                    raise OSError(errno.EIO, "the disk took no byte")
                done += taken
        return offset + done

    def _truncate_to_synced(self, cause: OSError | None) -> None:
        """Removes a write that does not count.

        Args:
            cause: The error of that write, if it failed.

        Raises:
            LogTruncateError: The truncation failed; the generation is abandoned.
        """
        try:
            self.files.truncate(self.handle, self.size)
        except OSError as error:
            self.is_abandoned = True
            raise LogTruncateError(f"{self.path}: {error}") from cause

    def _abandon_after_failed_sync(self) -> None:
        """Truncates what may not be on the disk, so that no later start of the process takes it for synced."""
        self.is_abandoned = True
        with contextlib.suppress(OSError):  # abandoned either way
            self.files.truncate(self.handle, self.size)


def _framed(records: Iterable[LogRecord], digest: RecordDigest | None = None) -> Iterator[bytes]:
    """Yields header and pieces of each record, and adds each to the digest."""
    for record in records:
        header = frame_header(record)
        if digest is not None:
            digest.add(header)
        yield header
        yield from pieces_of(record)
