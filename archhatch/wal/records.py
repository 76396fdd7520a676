"""The frames of a write-ahead log: a mark that names the kind, the length, a checksum, the bytes.

A record's frame holds what the owner appended. A closing frame ends what a rewrite put into a new generation: it holds
the number of records before it and a checksum over all their headers, each of which holds its record's length and
checksum.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import IntEnum

HEADER = struct.Struct(">III")  # mark, length of the body, CRC-32 of the body
_CLOSING_BODY = struct.Struct(">QI")  # number of records, CRC-32 over their headers
CLOSING_FRAME_BYTES = HEADER.size + _CLOSING_BODY.size

# What an owner appends as one record: its bytes, or pieces of them, so that a long record is not copied to be joined.
LogRecord = bytes | tuple[bytes, ...]


class FrameKind(IntEnum):
    """The kinds of frames, by the mark that begins them."""

    RECORD = 0xA7C4BA71
    CLOSING = 0xA7C4BA72


@dataclass(frozen=True, slots=True)
class Frame:
    """One valid frame.

    Attributes:
        kind: What it holds.
        end: The offset behind its last byte.
        header: Its encoded header.
        body: The bytes that it holds.
    """

    kind: FrameKind
    end: int
    header: bytes
    body: bytes


class RecordDigest:
    """Counts records and folds their headers into a checksum; what a closing frame states.

    Attributes:
        count: The number of records.
        checksum: The CRC-32 over their headers, in order.
    """

    __slots__ = ("checksum", "count")

    def __init__(self) -> None:
        self.count = 0
        self.checksum = 0

    def add(self, header: bytes) -> None:
        """Adds one record by its header."""
        self.count += 1
        self.checksum = zlib.crc32(header, self.checksum)

    def closing_frame(self) -> bytes:
        """Returns the closing frame for the records added so far.

        >>> len(RecordDigest().closing_frame())
        24
        """
        body = self._closing_body()
        return frame_header(body, FrameKind.CLOSING) + body

    def matches(self, body: bytes) -> bool:
        """Returns whether the body of a closing frame states exactly these records."""
        return body == self._closing_body()

    def _closing_body(self) -> bytes:
        return _CLOSING_BODY.pack(self.count, self.checksum)


def pieces_of(record: LogRecord) -> tuple[bytes, ...]:
    """Returns the pieces of a record, which are its bytes one behind the other."""
    return (record,) if isinstance(record, bytes) else record


def frame_header(record: LogRecord, kind: FrameKind = FrameKind.RECORD) -> bytes:
    """Returns the header that precedes a record.

    >>> frame_header(b"abc") == frame_header((b"a", b"bc"))
    True
    """
    size = checksum = 0
    for piece in pieces_of(record):
        size += len(piece)
        checksum = zlib.crc32(piece, checksum)
    return HEADER.pack(kind, size, checksum)


def pack_record(record: bytes) -> bytes:
    """Returns one record as the bytes of its frame.

    >>> len(pack_record(b"abc"))
    15
    """
    return frame_header(record) + record
