"""Reads frames, a bounded chunk of the file at a time, and finds where the valid ones end."""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from .files import LogFiles
from .records import HEADER, Frame, FrameKind, RecordDigest

CHUNK_BYTES = 1 << 20  # read or written at a time, so that a long log does not stand in memory whole


class ByteSource(Protocol):
    """Bytes that can be read at an offset.

    Attributes:
        size: The number of bytes.
    """

    size: int

    def read(self, offset: int, count: int) -> bytes:
        """Returns at most `count` bytes from an offset; fewer only at the end."""


class BytesSource:
    """Bytes in memory, read like a file."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.size = len(data)

    def read(self, offset: int, count: int) -> bytes:
        """Returns at most `count` bytes from an offset; fewer only at the end."""
        return self.data[offset : offset + count]


class FileSource:
    """A file up to a given size, with one chunk of it in memory."""

    def __init__(self, files: LogFiles, handle: int, size: int) -> None:
        self.files = files
        self.handle = handle
        self.size = size
        self._chunk_start = 0
        self._chunk = b""

    def read(self, offset: int, count: int) -> bytes:
        """Returns at most `count` bytes from an offset; fewer only at the end."""
        count = min(count, self.size - offset)
        if offset < self._chunk_start or offset + count > self._chunk_start + len(self._chunk):
            self._chunk_start = offset
            self._chunk = self._read_from_disk(offset, max(count, min(CHUNK_BYTES, self.size - offset)))
        start = offset - self._chunk_start
        return self._chunk[start : start + count]

    def _read_from_disk(self, offset: int, count: int) -> bytes:
        chunk = self.files.pread(self.handle, count, offset)
        if len(chunk) == count:
            return chunk
        chunks = [chunk]
        while chunk and len(chunk) < count:  # a short read: the rest may still come
            offset += len(chunk)
            count -= len(chunk)
            chunk = self.files.pread(self.handle, count, offset)
            chunks.append(chunk)
        return b"".join(chunks)


@dataclass(frozen=True, slots=True)
class ScanResult:
    """The valid frames from the start of a file.

    Attributes:
        end: The offset behind the last valid frame.
        record_count: The number of records.
        closing_offset: Where the closing frame begins, or None if there is none.
    """

    end: int
    record_count: int
    closing_offset: int | None


def read_frame(source: ByteSource, offset: int) -> Frame | None:
    """Returns the frame that begins at an offset, or None if no valid one does."""
    header = source.read(offset, HEADER.size)
    if len(header) < HEADER.size:
        return None
    mark, body_size, checksum = HEADER.unpack(header)
    end = offset + HEADER.size + body_size
    if mark not in (FrameKind.RECORD, FrameKind.CLOSING) or end > source.size:
        return None
    body = source.read(offset + HEADER.size, body_size)
    if len(body) < body_size or zlib.crc32(body) != checksum:
        return None
    return Frame(FrameKind(mark), end, header, body)


def iterate_frames(source: ByteSource, end: int | None = None) -> Iterator[Frame]:
    """Yields the valid frames from the start, up to the first invalid one or to a given end."""
    offset = 0
    while end is None or offset < end:
        frame = read_frame(source, offset)
        if frame is None:
            return
        yield frame
        offset = frame.end


def scan(source: ByteSource) -> ScanResult:
    """Follows the valid frames; a closing frame that does not match the records before it is invalid.

    >>> from .records import pack_record
    >>> scan(BytesSource(pack_record(b"a") + b"torn"))
    ScanResult(end=13, record_count=1, closing_offset=None)
    """
    end = 0
    digest = RecordDigest()
    closing_offset = None
    for frame in iterate_frames(source):
        if frame.kind is FrameKind.RECORD:
            digest.add(frame.header)
        elif closing_offset is None and digest.matches(frame.body):
            closing_offset = end
        else:
            break
        end = frame.end
    return ScanResult(end, digest.count, closing_offset)


def has_valid_frame_from(source: ByteSource, offset: int) -> bool:
    """Returns whether a valid record begins at any offset from the given one on.

    If one does, the bytes before it are damage in the middle of the log, not an append that was cut off at its end.
    """
    mark = FrameKind.RECORD.to_bytes(4, "big")
    while offset < source.size:
        chunk = source.read(offset, CHUNK_BYTES)
        found = chunk.find(mark)
        if found < 0:
            offset += max(1, len(chunk) - len(mark) + 1)  # the mark may lie across the end of the chunk
            continue
        if read_frame(source, offset + found) is not None:
            return True
        offset += found + 1
    return False


def read_records(data: bytes) -> tuple[list[bytes], int, bool]:
    """Reads the records of a log that is in memory.

    >>> from .records import pack_record
    >>> read_records(pack_record(b"a") + b"torn")[1:]
    (13, False)

    Args:
        data: The contents of the file.

    Returns:
        The valid records from the start, the offset at which they end, and whether a valid one follows the damage.
    """
    source = BytesSource(data)
    end = scan(source).end
    records = [frame.body for frame in iterate_frames(source, end) if frame.kind is FrameKind.RECORD]
    is_damaged = end < len(data) and has_valid_frame_from(source, end + 1)
    return records, end, is_damaged
