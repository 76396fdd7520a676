"""What a store knows to be on its disk: records by job, windows, orders, and the terms that it promised to runs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ..runtime import Clock
from .record import (
    SETTLED_KEY,
    WITHDRAWN_KEY,
    Kind,
    Record,
    claim_head,
    identity_head,
    order_head,
    pack_pieces,
    promise_head,
    unpack,
)
from .run_report import HeldJob, RunReport

RECORD_OVERHEAD = 200  # bytes reckoned for a record besides its body


@dataclass(slots=True)
class StoredJob:
    """What is here of one job.

    Attributes:
        run: The run that it belongs to.
        stored_at: When its first record came, by this store's clock.
        ended_at: When its end came, by this store's clock; None before.
        job: The record of the job itself.
        end: The record of its end.
        results: The records of its results by position.
        size_bytes: What its records come to.
    """

    run: str
    stored_at: float
    ended_at: float | None = None
    job: Record | None = None
    end: Record | None = None
    results: dict[int, Record] = field(default_factory=dict)
    size_bytes: int = 0

    def is_tombstone(self) -> bool:
        """Returns whether all that is left of it here is that it ended."""
        return self.job is None and not self.results and self.end is not None

    def strip(self) -> None:
        """Drops all but its end."""
        self.job = None
        self.results = {}
        self.size_bytes = RECORD_OVERHEAD

    def records(self) -> list[Record]:
        """Returns all its records: the job, its end, its results."""
        return [record for record in (self.job, self.end, *self.results.values()) if record is not None]

    def put(self, record: Record) -> None:
        """Puts a record in its place, instead of one that it supersedes."""
        if record.kind == Kind.RESULT:
            former = self.results.get(record.head["pos"])
            if former is not None:
                self.size_bytes -= len(former.body) + RECORD_OVERHEAD
            self.results[record.head["pos"]] = record
        elif record.kind == Kind.JOB:
            self.job = record
        else:
            self.end = record
        self.size_bytes += len(record.body) + RECORD_OVERHEAD


class RecordState:
    """Acknowledged state only: nothing gets here before its sync has returned.

    Attributes:
        id: The id of this store; empty before it has one.
        member_number: Its number in the order of joining; 0 before it was a member.
        promised_terms: The highest term promised to a run's holder, by run.
        batch_jobs: What is here of each job, by id.
        claims: The run to which a job belongs that nothing else is here of, by id.
        windows: The newest snapshot of each window and the deltas behind it, by (run, partition).
        early_updates: Deltas whose snapshot is not here, by (run, partition).
        newest_times: The newest (term, seconds of that term) that a record bears, by run.
        order_times: By run and replica, the (term, seconds of it) of the last intent to order.
        order_intents: By run and replica, when the last intent to order was synced here.

    >>> # state.load(raws); state.supersedes(record); state.apply(record); raws = state.snapshot()
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._clear()

    def _clear(self) -> None:
        self.id = ""
        self.member_number = 0
        self.promised_terms: dict[str, int] = {}
        self.batch_jobs: dict[str, StoredJob] = {}
        self.claims: dict[str, str] = {}
        self.windows: dict[tuple, list[Record]] = {}
        self.early_updates: dict[tuple, list[Record]] = {}
        self.newest_times: dict[str, tuple] = {}
        self.order_times: dict[str, dict] = {}
        self.order_intents: dict[str, dict] = {}

    def load(self, raws: Iterable[bytes]) -> None:
        """Takes up the records of a log."""
        for raw in raws:
            record = unpack(raw)
            if record.kind == Kind.IDENTITY:
                self.id = record.head["id"]
                self.member_number = record.head.get("no", 0)
                continue
            if "term" in record.head:
                self._promise(record.head["run"], record.head["term"])
            if record.kind != Kind.PROMISE:
                self._note_time(record.head)
                if not self.supersedes(record) and self.other_owner(record) is None:
                    self.apply(record)

    def _promise(self, run: str, term: int) -> None:
        self.promised_terms[run] = max(term, self.promised_terms.get(run, 0))

    def _note_time(self, head: dict) -> None:
        if "t" in head:
            known = self.newest_times.get(head["run"], (0, 0.0))
            self.newest_times[head["run"]] = max(known, (head["term"], head["t"]))

    # -- which run a job belongs to

    def owner_of(self, job_id: str) -> str | None:
        """Returns the run to which a job belongs as far as this store knows, None if it knows of none."""
        stored = self.batch_jobs.get(job_id)
        return stored.run if stored is not None else self.claims.get(job_id)

    def lacks(self, job_id: str) -> bool:
        """Returns whether nothing of a job is here, or only that it ended."""
        stored = self.batch_jobs.get(job_id)
        return stored is None or stored.is_tombstone()

    def other_owner(self, record: Record) -> str | None:
        """Returns the run that keeps a record of a job from being taken, None if it may be taken.

        A store takes a job, or a claim on it, of the run that came first. Only a run that accepted the job takes the
        place of another: two cannot have, as each must have been first at stores that meet the other's.
        """
        head = record.head
        if "lot" not in head or head["k"] in (Kind.ORDER, Kind.SNAPSHOT, Kind.UPDATE):
            return None
        owner = self.owner_of(head["lot"])
        return None if owner in (None, head["run"]) or SETTLED_KEY in head else owner

    # -- records

    def supersedes(self, record: Record) -> bool:
        """Returns whether this record, or one as good, is here."""
        head = record.head
        kind = head["k"]
        if kind == Kind.SNAPSHOT:
            window = self.windows.get((head["run"], head["part"]))
            return window[0].epoch() >= record.epoch() if window else False
        if kind == Kind.UPDATE:
            return self._supersedes_update(record)
        if kind == Kind.CLAIM:
            return WITHDRAWN_KEY not in head and self.owner_of(head["lot"]) == head["run"]
        stored = self.batch_jobs.get(head["lot"])
        if stored is None or kind == Kind.ORDER or stored.run != head["run"]:
            return False
        if kind == Kind.RESULT:
            result = stored.results.get(head["pos"])
            return result is not None and result.rank() >= record.rank()
        return (stored.job if kind == Kind.JOB else stored.end) is not None

    def _supersedes_update(self, record: Record) -> bool:
        """A delta is superseded by a newer snapshot, and held behind its own one, or until that comes."""
        key = record.head["run"], record.head["part"]
        window = self.windows.get(key, [])
        if window and window[0].epoch() > record.epoch():
            return True
        return any(other.place() == record.place() for other in window[1:] + self.early_updates.get(key, []))

    def apply(self, record: Record) -> None:
        """Puts a record that is on the disk, and not superseded, in its place."""
        head = record.head
        kind = head["k"]
        self._note_time(head)
        if kind == Kind.ORDER:
            self.order_intents.setdefault(head["run"], {})[head["iid"]] = self.clock.now()
            if "t" in head:
                self.order_times.setdefault(head["run"], {})[head["iid"]] = (head["term"], head["t"])
        elif kind == Kind.SNAPSHOT:
            self._apply_snapshot(record)
        elif kind == Kind.UPDATE:
            self._apply_update(record)
        elif kind == Kind.CLAIM:
            self._apply_claim(head)
        else:
            stored = self.batch_jobs.get(head["lot"])
            if stored is None or stored.run != head["run"]:
                stored = self.batch_jobs[head["lot"]] = StoredJob(head["run"], self.clock.now())
            stored.put(record)
            if kind == Kind.END:
                stored.ended_at = self.clock.now()
            self.claims.pop(head["lot"], None)

    def _apply_claim(self, head: dict) -> None:
        job_id, run = head["lot"], head["run"]
        if WITHDRAWN_KEY in head:
            if self.owner_of(job_id) == run:
                self.batch_jobs.pop(job_id, None)
                self.claims.pop(job_id, None)
            return
        self.batch_jobs.pop(job_id, None)
        self.claims[job_id] = run

    def _apply_snapshot(self, record: Record) -> None:
        """A newer snapshot deletes what lay before it; deltas that came ahead of it take their place behind it."""
        key = record.head["run"], record.head["part"]
        early = self.early_updates.pop(key, [])
        self.windows[key] = [record, *(update for update in early if update.epoch() == record.epoch())]
        later = [update for update in early if update.epoch() > record.epoch()]
        if later:
            self.early_updates[key] = later

    def _apply_update(self, record: Record) -> None:
        key = record.head["run"], record.head["part"]
        window = self.windows.get(key)
        if window and window[0].epoch() == record.epoch():
            window.append(record)
        else:
            self.early_updates.setdefault(key, []).append(record)

    # -- what others ask for

    def describe_run(self, run: str) -> dict:
        """Returns what is here of a run, for its new holder: the document of a RunReport."""
        now = self.clock.now()
        intents = self.order_intents.get(run, {})
        times = self.order_times.get(run, {})
        return RunReport(
            jobs=self._held_jobs(run),
            windows=[[record.head, bytes(record.body).decode()] for record in self._window_records(run)],
            order_ages_s={instance_id: now - synced_at for instance_id, synced_at in intents.items()},
            order_times={instance_id: time for instance_id, time in times.items() if instance_id in intents},
            newest_time=self.newest_times.get(run),
        ).to_document()

    def _held_jobs(self, run: str) -> dict[str, HeldJob]:
        held = {job_id: _held(stored) for job_id, stored in self.batch_jobs.items() if stored.run == run}
        for job_id, owner in self.claims.items():
            if owner == run:
                held[job_id] = HeldJob(has_job=False, has_end=False, results=[], has_claim=True)
        return held

    def _window_records(self, run: str | None = None) -> list[Record]:
        return [
            record
            for kept in (self.windows, self.early_updates)
            for (of, _), records in kept.items()
            if run is None or of == run
            for record in records
        ]

    def fetch(self, job_id: str, positions: list[int], wants_job: bool) -> list[Record]:
        """Returns records of a job that are here: the job if it is wanted, its end, and these results."""
        stored = self.batch_jobs.get(job_id)
        if stored is None:
            return []
        records = [stored.job] if wants_job and stored.job is not None else []
        if stored.end is not None:
            records.append(stored.end)
        return records + [stored.results[position] for position in positions if position in stored.results]

    # -- what is kept

    def strip(self, ended_before: float) -> None:
        """Drops all but the ends of jobs that ended before a time of this store's clock.

        The end stays: another store may hold the job without it, and come back at any time.
        """
        for stored in self.batch_jobs.values():
            if stored.ended_at is not None and stored.ended_at < ended_before and not stored.is_tombstone():
                stored.strip()

    def drop(self, run: str, term: int, job_ids: Iterable[str]) -> bool:
        """Drops jobs of a run that all stores know to have ended; one that is not known here to have ended stays.

        Returns:
            False if the run was promised to a higher term; then nothing is dropped.
        """
        if term < self.promised_terms.get(run, 0):
            return False
        for job_id in job_ids:
            stored = self.batch_jobs.get(job_id)
            if stored is not None and stored.run == run and stored.end is not None:
                del self.batch_jobs[job_id]
        return True

    def forget_orders(self, order_s: float) -> None:
        """Drops intents to order that are older than order_s."""
        now = self.clock.now()
        for run, intents in self.order_intents.items():
            kept = {instance_id: synced_at for instance_id, synced_at in intents.items() if now - synced_at <= order_s}
            times = self.order_times.get(run, {})
            self.order_intents[run] = kept
            self.order_times[run] = {instance_id: time for instance_id, time in times.items() if instance_id in kept}

    def snapshot(self) -> Iterator[tuple[bytes, bytes]]:
        """Returns all that is kept, for a rewritten log.

        It is gathered now, and packed as it is taken, also in another thread.
        """
        heads = [identity_head(self.id, self.member_number)]
        heads += [promise_head(run, term) for run, term in self.promised_terms.items()]
        for run, intents in self.order_intents.items():
            times = self.order_times.get(run, {})
            heads += [order_head(run, instance_id, times.get(instance_id)) for instance_id in intents]
        heads += [claim_head(job_id, run) for job_id, run in self.claims.items()]
        records = [Record(head) for head in heads] + self._window_records()
        for stored in self.batch_jobs.values():
            records += stored.records()
        return (pack_pieces(record) for record in records)

    def size(self) -> int:
        """Returns the bytes that the jobs' records come to."""
        return sum(stored.size_bytes for stored in self.batch_jobs.values())


def _held(stored: StoredJob) -> HeldJob:
    results = [[position, record.head["term"], record.head["item"]] for position, record in stored.results.items()]
    return HeldJob(stored.job is not None, stored.end is not None, results)
