"""What one store keeps: nothing counts, or is told to others, before its sync has returned.

A record that is being written is only known to be on its way. Whoever brings the same one meanwhile waits for that
very write and shares its fate: if it fails, neither is acknowledged, and the next try writes anew.

A term is checked twice: when a record comes, and when its sync has returned. One whose run was promised to a higher
term in between is refused, though the disk has it: the new holder was, or will be, told what counted when the promise
did, and this record was not among it. Like any record that too few stores hold, it may be found there after a
restart.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from dataclasses import dataclass

from ..runtime import Clock, Counters
from ..wal import LogError, LogRecord, WriteAheadLog
from .body_cache import BodyCache
from .record import WITHDRAWN_KEY, Kind, Record, identity_head, pack, pack_pieces, promise_head
from .record_state import RecordState

RESERVE = 1 / 8  # of the disk: kept free of new jobs, for promises, results and ends
REWRITE_FROM_BYTES = 8 << 20  # a shorter log is not worth a rewrite
REWRITE_RATIO = 2  # of the log's size to what it must keep: a longer one is rewritten
CRAMPED_RATIO = 5 / 4  # the same while the disk has no room for new jobs


Verdict = bool | str | None  # of a store on a record; see RecordStore.append


@dataclass(frozen=True, slots=True, eq=False)
class _Entry:
    """A record, and the term of the holder that brings it."""

    term: int
    record: Record


@dataclass(frozen=True, slots=True)
class _Write:
    """A record on its way to the disk, and the write that carries it."""

    record: Record
    task: asyncio.Task


def _contradict(record: Record, other: Record) -> bool:
    """Returns whether two records say that one job belongs to two runs."""
    is_about_jobs = all(one.head["k"] in (Kind.JOB, Kind.CLAIM) for one in (record, other))
    return is_about_jobs and record.head["lot"] == other.head["lot"] and record.head["run"] != other.head["run"]


class RecordStore(RecordState):
    """All records on this store, and their way to its disk.

    >>> # store = RecordStore(log, clock, counters); store.load(log.load()); taken = await store.append(records)
    """

    def __init__(self, wal: WriteAheadLog, clock: Clock, counters: Counters, bodies: BodyCache | None = None) -> None:
        """Makes an empty store.

        Args:
            wal: The log that the records are written to.
            clock: The steady clock.
            counters: Counts what becomes of records.
            bodies: Holds the bodies of jobs; all in memory if it is left out.
        """
        super().__init__(clock)
        self.wal = wal
        self.counters = counters
        self.bodies = bodies or BodyCache(tempfile.gettempdir(), sys.maxsize, counters)
        self._in_flight: dict[tuple | None, _Write] = {}
        wal.snapshot = self.snapshot

    def apply(self, record: Record) -> None:
        """Puts a record that is on the disk, and not superseded, in its place."""
        if record.kind == Kind.JOB:
            record.body = self.bodies.hold(record.head["lot"], record.body)
        super().apply(record)

    # -- identity

    async def take_id(self, new: str) -> None:
        """Makes this the id of the store, once it is on the disk."""
        await self.wal.append(pack(Record(identity_head(new))))
        self.id = new

    async def note_membership(self, number: int) -> None:
        """Notes that this store is a member, and its number in the order of joining, once the disk has it."""
        if number != self.member_number:
            await self.wal.append(pack(Record(identity_head(self.id, number))))
            self.member_number = number

    async def reset(self, new: str) -> None:
        """Empties the store and gives it another id, once the disk has it.

        Until then, and after a LogError, all is as before.
        """
        await self.wal.rewrite(lambda: [pack(Record(identity_head(new)))])
        self._clear()
        self.id = new

    # -- terms

    async def prepare(self, run: str, term: int) -> dict:
        """Promises a run's new holder to take nothing from older ones.

        Returns:
            The answer to the holder: `ok` and what is here of the run, or the higher term that was promised.
        """
        if term > self.promised_terms.get(run, 0):
            await self._keep(_Entry(term, Record(promise_head(run, term))))
        if term < self.promised_terms.get(run, 0):
            self.counters.add("record_store.prepare_refused")
            return {"ok": False, "promised": self.promised_terms[run]}
        return {"ok": True, **self.describe_run(run)}

    async def _keep(self, entry: _Entry) -> None:
        """Has a record on the disk, by a write that is under way if there is one."""
        coming = self._write_of(entry.record)
        await asyncio.shield(coming.task if coming else self._write([entry]))

    # -- records

    async def append(self, records: list[Record]) -> list[Verdict]:
        """Takes records, each under its run's term (`by` in its head).

        Returns:
            For each: True if it, or one as good, is synced here; False if its run was promised to a higher term; None
            if it is a new job and the disk lacks the room; the name of another run that the job belongs to.

        Raises:
            LogError: A write failed; nothing of it counts.
        """
        entries = [
            _Entry(
                record.head["by"],
                Record({key: value for key, value in record.head.items() if key != "by"}, record.body),
            )
            for record in records
        ]
        verdicts: dict[_Entry, Verdict] = {}
        while len(verdicts) < len(entries):
            fresh: list[_Entry] = []
            writes: dict[asyncio.Task, bool] = {}  # in their order, each once
            for entry in entries:
                if entry not in verdicts:
                    self._sort(entry, verdicts, fresh, writes)
            own = self._write(fresh) if fresh else None
            for write in [*writes, own] if own else writes:
                await asyncio.shield(write)
            if own is not None:
                verdicts.update(zip(fresh, own.result(), strict=True))
        return [verdicts[entry] for entry in entries]

    def _sort(self, entry: _Entry, verdicts: dict, fresh: list, writes: dict) -> None:
        """Says at once what becomes of a record, has it written, or waits for the write that carries it already."""
        promised = self.promised_terms.get(entry.record.head["run"], 0)
        is_here = self.supersedes(entry.record)
        coming = None if is_here else self._write_of(entry.record) or self._write_of_other_owner(entry.record)
        if entry.term < promised:
            self.counters.add("record_store.stale_term")
            verdicts[entry] = False
        elif is_here and entry.term == promised:
            verdicts[entry] = True
        elif coming:
            writes[coming.task] = True
        elif (owner := self.other_owner(entry.record)) is not None:
            self.counters.add("record_store.other_owner")
            verdicts[entry] = owner
        elif entry.record.head["k"] == Kind.JOB and not is_here and not self.has_room(len(entry.record.body)):
            self.counters.add("record_store.no_room")
            verdicts[entry] = None
        elif not any(_contradict(entry.record, other.record) for other in fresh):
            fresh.append(entry)  # else it is looked at again once these are written

    def _write_of(self, record: Record) -> _Write | None:
        coming = self._in_flight.get(record.place())
        if coming is None or coming.record.head["run"] != record.head["run"]:
            return None
        if WITHDRAWN_KEY in coming.record.head or WITHDRAWN_KEY in record.head:
            return None
        return coming if coming.record.rank() >= record.rank() else None

    def _write_of_other_owner(self, record: Record) -> _Write | None:
        """The write of a job, or of a claim on it, by another run; only when it is done it is known who came first."""
        if record.head["k"] not in (Kind.JOB, Kind.CLAIM):
            return None
        for kind in (Kind.JOB, Kind.CLAIM):
            coming = self._in_flight.get((kind, record.head["lot"]))
            if coming is not None and coming.record.head["run"] != record.head["run"]:
                return coming
        return None

    # -- the way to the disk

    def _write(self, entries: list[_Entry]) -> asyncio.Task:
        """Begins to write records; goes on whatever becomes of those who wait for it."""
        write = asyncio.get_running_loop().create_task(self._carry(entries))
        write.add_done_callback(self._count_failure)
        for entry in entries:
            if entry.record.place() is not None:
                self._in_flight[entry.record.place()] = _Write(entry.record, write)
        return write

    def _count_failure(self, write: asyncio.Task) -> None:
        if not write.cancelled() and write.exception() is not None:
            self.counters.add("record_store.write_failed")

    async def _carry(self, entries: list[_Entry]) -> list[Verdict]:
        raws: list[LogRecord] = []
        terms: dict[str, int] = {}
        for entry in entries:
            run = entry.record.head["run"]
            if entry.term > max(self.promised_terms.get(run, 0), terms.get(run, 0)):
                terms[run] = entry.term
                raws.append(pack(Record(promise_head(run, entry.term))))
            if entry.record.head["k"] != Kind.PROMISE and not self.supersedes(entry.record):
                raws.append(pack_pieces(entry.record))
        try:
            await self.wal.append(*raws)
        finally:
            self._arrived(entries, asyncio.current_task())
        return [self._count(entry) for entry in entries]  # no await in between: the log relies on it

    def _arrived(self, entries: list[_Entry], write: asyncio.Task | None) -> None:
        """A write ended, well or not: its records are no longer on their way."""
        for entry in entries:
            coming = self._in_flight.get(entry.record.place())
            if coming is not None and coming.task is write:
                del self._in_flight[entry.record.place()]

    def _count(self, entry: _Entry) -> Verdict:
        """A record is on the disk: from now on it counts, unless its run went to a higher term meanwhile."""
        run = entry.record.head["run"]
        if entry.term < self.promised_terms.get(run, 0):
            self.counters.add("record_store.overtaken")
            return False
        self._promise(run, entry.term)
        owner = self.other_owner(entry.record)
        if owner is not None:
            return owner
        if entry.record.head["k"] != Kind.PROMISE and not self.supersedes(entry.record):
            self.apply(entry.record)
        return True

    # -- space

    def can_admit(self, job_id: str, size: int) -> bool:
        """Returns whether a job may be taken: it is here or on its way, or there is room for it."""
        return job_id in self.batch_jobs or (Kind.JOB, job_id) in self._in_flight or self.has_room(size)

    def has_room(self, more: int) -> bool:
        """Returns whether a job of so many bytes leaves the reserve, and room for a rewrite of all that is kept."""
        if not self.wal.limit_bytes:
            return True
        free = self.wal.free_bytes() - self.bodies.bytes_on_disk()
        return free - more >= self.wal.limit_bytes * RESERVE + self.size() + more

    def wants_rewrite(self) -> bool:
        """Returns whether the log is much longer than what it must keep."""
        ratio = REWRITE_RATIO if self.has_room(0) else CRAMPED_RATIO
        return self.wal.size > REWRITE_FROM_BYTES and self.wal.size > self.size() * ratio

    async def rewrite_if_due(self) -> None:
        """Rewrites the log if it wants it.

        A rewrite that fails is counted, loses nothing, and is tried again another time.
        """
        if not self.wants_rewrite():
            return
        try:
            await self.wal.rewrite()
        except LogError:
            self.counters.add("record_store.rewrite_failed")
