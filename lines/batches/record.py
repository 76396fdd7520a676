"""Records of a lot: L the lot itself, R a result at a position, E its end; P a promise to a run's term;
O the intent to send a replica an order; S and U a snapshot of a partition's window and a delta behind it."""
from __future__ import annotations

import struct
from dataclasses import dataclass, field

import orjson


@dataclass(slots=True)
class Record:
    """head: {"k", "lot", "run", ...}; held: the stores known to have it synced."""
    head: dict
    body: bytes = b""
    held: set = field(default_factory=set)


def pack(rec: Record) -> bytes:
    """A record as bytes.

    >>> unpack(pack(Record({"k": "E"}, b"x"))).body
    b'x'
    """
    head = orjson.dumps(rec.head)
    return struct.pack(">I", len(head)) + head + rec.body


def unpack(raw: bytes) -> Record:
    """The record in these bytes."""
    n = struct.unpack_from(">I", raw)[0]
    return Record(orjson.loads(raw[4:4 + n]), bytes(raw[4 + n:]))


def pack_many(recs) -> bytes:
    """Several records, each behind its length.

    >>> len(unpack_many(pack_many([Record({"k": "E"}), Record({"k": "E"})])))
    2
    """
    out = []
    for rec in recs:
        raw = pack(rec)
        out.append(struct.pack(">I", len(raw)))
        out.append(raw)
    return b"".join(out)


def unpack_many(raw: bytes) -> list[Record]:
    """What pack_many packed."""
    out, at = [], 0
    while at < len(raw):
        n = struct.unpack_from(">I", raw, at)[0]
        out.append(unpack(raw[at + 4:at + 4 + n]))
        at += 4 + n
    return out
