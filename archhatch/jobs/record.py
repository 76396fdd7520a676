"""Records of lots, runs and windows: what a store writes to its log and copies to other stores."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import StrEnum

import orjson


class Kind(StrEnum):
    """What a record is, by the letter under "k" in its head."""

    IDENTITY = "I"
    PROMISE = "P"  # to take nothing from a run's holders under lower terms
    LOT = "L"
    RESULT = "R"  # at a position of a lot
    END = "E"  # of a lot
    ORDER = "O"  # the intent to send a replica an order
    SNAPSHOT = "S"  # of a partition's window
    UPDATE = "U"  # a delta behind a snapshot


@dataclass(slots=True)
class Record:
    """head: {"k", "lot", "run", ...}; held: the stores known to have it synced."""

    head: dict
    body: bytes = b""
    held: set = field(default_factory=set)

    def place(self) -> tuple | None:
        """What this record stands for: of two records of one place, one is enough. None for a record like no other."""
        head, kind = self.head, self.head["k"]
        if kind in (Kind.LOT, Kind.END):
            return kind, head["lot"]
        if kind == Kind.RESULT:
            return kind, head["lot"], head["pos"]
        if kind == Kind.SNAPSHOT:
            return kind, head["run"], head["part"]
        if kind == Kind.UPDATE:
            return kind, head["run"], head["part"], *self.epoch(), head["n"]
        return (kind, head["run"]) if kind == Kind.PROMISE else None

    def rank(self) -> tuple:
        """Which of two records of one place is as good as the other: the one of the higher or equal rank."""
        if self.head["k"] in (Kind.RESULT, Kind.PROMISE):
            return (self.head["term"],)
        return self.epoch() if self.head["k"] == Kind.SNAPSHOT else ()

    def epoch(self) -> tuple:
        """The term and the number of the window's snapshot that this record is, or stands behind."""
        return self.head["term"], self.head["se"]


def pack(record: Record) -> bytes:
    """A record as bytes.

    >>> unpack(pack(Record({"k": "E"}, b"x"))).body
    b'x'
    """
    head = orjson.dumps(record.head)
    return struct.pack(">I", len(head)) + head + record.body


def unpack(raw: bytes) -> Record:
    """The record in these bytes."""
    n = struct.unpack_from(">I", raw)[0]
    return Record(orjson.loads(raw[4 : 4 + n]), bytes(raw[4 + n :]))


def pack_many(records) -> bytes:
    """Several records, each behind its length.

    >>> len(unpack_many(pack_many([Record({"k": "E"}), Record({"k": "E"})])))
    2
    """
    out = []
    for record in records:
        raw = pack(record)
        out.append(struct.pack(">I", len(raw)))
        out.append(raw)
    return b"".join(out)


def unpack_many(raw: bytes) -> list[Record]:
    """What pack_many packed."""
    out, at = [], 0
    while at < len(raw):
        n = struct.unpack_from(">I", raw, at)[0]
        out.append(unpack(raw[at + 4 : at + 4 + n]))
        at += 4 + n
    return out
