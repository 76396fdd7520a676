"""Records of a write-ahead log: length, checksum, bytes."""
from __future__ import annotations

import struct
import zlib

_HEAD = struct.Struct(">III")
_MARK = 0xA7C4BA71


def pack_record(raw: bytes) -> bytes:
    """One record, ready to be appended.

    >>> len(pack_record(b"abc"))
    15
    """
    return _HEAD.pack(_MARK, len(raw), zlib.crc32(raw)) + raw


def read_records(data: bytes) -> tuple[list[bytes], int, bool]:
    """The good records from the start, where they end, and whether a good one stands behind the damage.

    >>> read_records(pack_record(b"a") + b"torn")[1:]
    (13, False)
    """
    out, at = [], 0
    while True:
        rec, end = _one(data, at)
        if rec is None:
            break
        out.append(rec)
        at = end
    return out, at, at < len(data) and _good_later(data, at + 1)


def _one(data: bytes, at: int):
    if at + 12 > len(data):
        return None, at
    mark, size, crc = _HEAD.unpack_from(data, at)
    end = at + 12 + size
    if mark != _MARK or end > len(data):
        return None, at
    raw = data[at + 12:end]
    return (raw, end) if zlib.crc32(raw) == crc else (None, at)


def _good_later(data: bytes, at: int) -> bool:
    sign = _MARK.to_bytes(4, "big")
    while True:
        at = data.find(sign, at)
        if at < 0:
            return False
        if _one(data, at)[0] is not None:
            return True
        at += 1
