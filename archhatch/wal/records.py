"""The frames of a write-ahead log: a mark that names the kind, the length, a checksum, the bytes.

A record's frame bears what the owner appended. A closing frame ends what a rewrite put into a new generation: it
bears the number of records before it and a checksum over all their heads, each of which holds its record's length and
checksum.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import IntEnum

HEAD = struct.Struct(">III")
_CLOSING = struct.Struct(">QI")
CLOSING_BYTES = HEAD.size + _CLOSING.size  # the whole closing frame


class FrameKind(IntEnum):
    """The kinds of frames, by the mark that begins them."""

    RECORD = 0xA7C4BA71
    CLOSING = 0xA7C4BA72


@dataclass(frozen=True, slots=True)
class Frame:
    """One good frame: where it ends, its head, and what it bears."""

    kind: FrameKind
    end: int
    head: bytes
    body: bytes


class Tally:
    """Counts records and adds up their heads, on the way out and on the way in."""

    def __init__(self):
        self.count = self.checksum = 0

    def add(self, head: bytes) -> None:
        """Count one record by its head."""
        self.count += 1
        self.checksum = zlib.crc32(head, self.checksum)

    def closing(self) -> bytes:
        """The closing frame for what was counted.

        >>> len(Tally().closing())
        24
        """
        body = _CLOSING.pack(self.count, self.checksum)
        return record_head(body, FrameKind.CLOSING) + body

    def fits(self, body: bytes) -> bool:
        """Whether a closing frame bears just these figures."""
        return body == _CLOSING.pack(self.count, self.checksum)


def record_head(raw: bytes, kind: FrameKind = FrameKind.RECORD) -> bytes:
    """The head that goes before these bytes."""
    return HEAD.pack(kind, len(raw), zlib.crc32(raw))


def pack_record(raw: bytes) -> bytes:
    """One record, ready to be appended.

    >>> len(pack_record(b"abc"))
    15
    """
    return record_head(raw) + raw
