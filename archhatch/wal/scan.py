"""Reads frames, a bounded piece of the file at a time, and finds where the good ones end."""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from .records import HEAD, Frame, FrameKind, Tally

PIECE = 1 << 20  # bytes that are read or written at a time


class BytesSource:
    """Bytes in memory, read like a file."""

    def __init__(self, data: bytes):
        self.data, self.size = data, len(data)

    def read(self, at: int, count: int) -> bytes:
        """At most count bytes from a position."""
        return self.data[at : at + count]


class FileSource:
    """A file up to a given size, with one piece of it in memory."""

    def __init__(self, files, handle, size: int):
        self.files, self.handle, self.size = files, handle, size
        self._start, self._piece = 0, b""

    def read(self, at: int, count: int) -> bytes:
        """At most count bytes from a position; fewer only at the end."""
        count = min(count, self.size - at)
        if at < self._start or at + count > self._start + len(self._piece):
            self._start, self._piece = at, self._fill(at, max(count, min(PIECE, self.size - at)))
        offset = at - self._start
        return self._piece[offset : offset + count]

    def _fill(self, at: int, count: int) -> bytes:
        piece = self.files.pread(self.handle, count, at)
        if len(piece) == count:
            return piece
        parts = [piece]
        while piece and len(piece) < count:
            at, count = at + len(piece), count - len(piece)
            piece = self.files.pread(self.handle, count, at)
            parts.append(piece)
        return b"".join(parts)


@dataclass(frozen=True, slots=True)
class Scan:
    """What the good frames from the start of a file come to; closing_at is where the closing frame begins, or None."""

    end: int
    records: int
    closing_at: int | None


def read_frame(source, at: int) -> Frame | None:
    """The frame that begins at a position; None if none that is good does."""
    head = source.read(at, HEAD.size)
    if len(head) < HEAD.size:
        return None
    mark, size, checksum = HEAD.unpack(head)
    end = at + HEAD.size + size
    if mark not in (FrameKind.RECORD, FrameKind.CLOSING) or end > source.size:
        return None
    body = source.read(at + HEAD.size, size)
    if len(body) < size or zlib.crc32(body) != checksum:
        return None
    return Frame(FrameKind(mark), end, head, body)


def frames(source, end: int | None = None) -> Iterator[Frame]:
    """The good frames from the start, up to the first that is not good or to a given end."""
    at = 0
    while end is None or at < end:
        frame = read_frame(source, at)
        if frame is None:
            return
        yield frame
        at = frame.end


def scan(source) -> Scan:
    """Follow the good frames; a closing frame that does not fit what stands before it is not good.

    >>> from .records import pack_record
    >>> scan(BytesSource(pack_record(b"a") + b"torn"))
    Scan(end=13, records=1, closing_at=None)
    """
    end, tally, closing_at = 0, Tally(), None
    for frame in frames(source):
        if frame.kind is FrameKind.RECORD:
            tally.add(frame.head)
        elif closing_at is None and tally.fits(frame.body):
            closing_at = end
        else:
            break
        end = frame.end
    return Scan(end, tally.count, closing_at)


def good_behind(source, at: int) -> bool:
    """Whether a good record stands anywhere from a position on: then what is before it is damage, not a torn end."""
    sign = FrameKind.RECORD.to_bytes(4, "big")
    while at < source.size:
        window = source.read(at, PIECE)
        found = window.find(sign)
        if found < 0:
            at += max(1, len(window) - len(sign) + 1)
            continue
        if read_frame(source, at + found) is not None:
            return True
        at += found + 1
    return False


def read_records(data: bytes) -> tuple[list[bytes], int, bool]:
    """The good records from the start, where they end, and whether a good one stands behind the damage.

    >>> from .records import pack_record
    >>> read_records(pack_record(b"a") + b"torn")[1:]
    (13, False)
    """
    source = BytesSource(data)
    end = scan(source).end
    out = [frame.body for frame in frames(source, end) if frame.kind is FrameKind.RECORD]
    return out, end, end < len(data) and good_behind(source, end + 1)
