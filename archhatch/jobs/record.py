"""Records of jobs, runs and windows: what a store writes to its log and copies to other stores."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import orjson

from .body_cache import Body

_LENGTH = struct.Struct(">I")  # big-endian, before each head and, in a batch, before each record


class Kind(StrEnum):
    """What a record is, by the letter under "k" in its head."""

    IDENTITY = "I"  # the id of the store
    PROMISE = "P"  # to take nothing from a run's holders under lower terms
    JOB = "L"
    CLAIM = "C"  # that a job belongs to a run, on a store that has no copy of it
    RESULT = "R"  # at a position of a job
    END = "E"  # of a job
    ORDER = "O"  # the intent to send a replica an order
    SNAPSHOT = "S"  # of a partition's window
    UPDATE = "U"  # a delta behind a snapshot


SETTLED_KEY = "settled"  # in the head of a job or a claim: the run accepted the job
WITHDRAWN_KEY = "withdrawn"  # in the head of a claim: the run gave the job up
_RESULT = Kind.RESULT.value  # written once for each item: a plain string is encoded faster than an enum's member


@dataclass(slots=True)
class Record:
    """One record.

    Attributes:
        head: What the record says, as it is written. It stays the document that the log and the wire have: every result
            of every item passes here, and a typed head would be built and taken apart once more for each copy. The
            functions below make the heads, so that their keys stand in this module.
        body: The bytes that the record carries.
        held: The stores known to have it synced.
    """

    head: dict
    body: Body = b""
    held: set[str] = field(default_factory=set)

    @property
    def kind(self) -> str:
        """The letter of its Kind."""
        return self.head["k"]

    def place(self) -> tuple | None:
        """Returns what this record stands for: of two records of one place, one is enough. None for one like no other.

        >>> Record(result_head("job", "run", 3, 1, "item", 0.5)).place()
        ('R', 'job', 3)
        """
        head = self.head
        kind = head["k"]
        if kind in (Kind.JOB, Kind.END, Kind.CLAIM):
            return kind, head["lot"]
        if kind == Kind.RESULT:
            return kind, head["lot"], head["pos"]
        if kind == Kind.SNAPSHOT:
            return kind, head["run"], head["part"]
        if kind == Kind.UPDATE:
            return kind, head["run"], head["part"], *self.epoch(), head["n"]
        return (kind, head["run"]) if kind == Kind.PROMISE else None

    def rank(self) -> tuple:
        """Returns which of two records of one place is as good as the other: the one of the higher or equal rank."""
        if self.head["k"] in (Kind.RESULT, Kind.PROMISE):
            return (self.head["term"],)
        return self.epoch() if self.head["k"] == Kind.SNAPSHOT else ()

    def epoch(self) -> tuple:
        """Returns the term and the number of the window's snapshot that this record is, or stands behind."""
        return self.head["term"], self.head["se"]


# -- heads: the order of the keys is that of the bytes on disk and on the wire


def identity_head(store_id: str, member_number: int = 0) -> dict:
    """Returns the head of a store's identity, with its number in the order of joining once it was a member."""
    head: dict = {"k": Kind.IDENTITY, "id": store_id}
    if member_number:
        head["no"] = member_number
    return head


def promise_head(run: str, term: int) -> dict:
    """Returns the head of a promise to take nothing of a run under a lower term."""
    return {"k": Kind.PROMISE, "run": run, "term": term}


def job_head(job_id: str, run: str, host: str, path: str) -> dict:
    """Returns the head of a job; `tenant` and `base` are added where they are known."""
    return {"k": Kind.JOB, "lot": job_id, "run": run, "host": host, "path": path}


def claim_head(job_id: str, run: str, *, is_settled: bool = False, is_withdrawn: bool = False) -> dict:
    """Returns the head of a claim.

    Args:
        job_id: The job.
        run: The run that it belongs to.
        is_settled: Whether the job was accepted by the run: what another run left of it goes.
        is_withdrawn: Whether the run gives up the job, which it did not accept.
    """
    head: dict = {"k": Kind.CLAIM, "lot": job_id, "run": run}
    if is_settled:
        head[SETTLED_KEY] = True
    if is_withdrawn:
        head[WITHDRAWN_KEY] = True
    return head


def end_head(job_id: str, run: str) -> dict:
    """Returns the head of a job's end."""
    return {"k": Kind.END, "lot": job_id, "run": run}


def result_head(  # noqa: PLR0913 - one argument a key
    job_id: str, run: str, position: int, term: int, item_id: str, elapsed_s: float
) -> dict:
    """Returns the head of a result.

    Args:
        job_id: The job.
        run: The job's run.
        position: The result's position in the job.
        term: The leadership term that gave it the position.
        item_id: The item that it is of.
        elapsed_s: Seconds of that term by its holder's steady clock.
    """
    return {"k": _RESULT, "lot": job_id, "run": run, "pos": position, "term": term, "item": item_id, "t": elapsed_s}


def order_head(run: str, instance_id: str, time: tuple | None) -> dict:
    """Returns the head of the intent to order weights from a replica.

    Args:
        run: The run.
        instance_id: The replica.
        time: The (term, seconds of that term) at which it was written, where it is known.
    """
    head = {"k": Kind.ORDER, "lot": "", "run": run, "iid": instance_id}
    if time is not None:
        head["term"], head["t"] = time
    return head


# -- bytes


def pack_pieces(record: Record) -> tuple[bytes, bytes]:
    """Returns a record as two pieces, one behind the other: its head with its length, and its body, not copied."""
    head = orjson.dumps(record.head)
    return _LENGTH.pack(len(head)) + head, bytes(record.body)


def pack(record: Record) -> bytes:
    """Returns a record as bytes.

    >>> unpack(pack(Record(end_head("job", "run"), b"x"))).body
    b'x'
    """
    return b"".join(pack_pieces(record))


def unpack(raw: bytes | memoryview) -> Record:
    """Returns the record in these bytes."""
    length = _LENGTH.unpack_from(raw)[0]
    return Record(orjson.loads(raw[4 : 4 + length]), bytes(raw[4 + length :]))


def pack_many(records: Iterable[Record]) -> bytes:
    """Returns several records as bytes, each behind its length.

    >>> len(unpack_many(pack_many([Record({"k": "E"}), Record({"k": "E"})])))
    2
    """
    pieces: list[bytes] = []
    for record in records:
        head, body = pack_pieces(record)
        pieces += (_LENGTH.pack(len(head) + len(body)), head, body)
    return b"".join(pieces)


def unpack_many(raw: bytes) -> list[Record]:
    """Returns what pack_many packed."""
    records = []
    start = 0
    view = memoryview(raw)  # its slices copy nothing
    while start < len(raw):
        length = _LENGTH.unpack_from(raw, start)[0]
        records.append(unpack(view[start + 4 : start + 4 + length]))
        start += 4 + length
    return records
