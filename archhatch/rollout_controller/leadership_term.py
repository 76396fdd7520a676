"""One store's hold on the runs of one service.

It has their jobs, what is listed of them, and the proof that nobody else holds them. Runs that share replicas share a
holder: a replica must never see orders of two.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
from enum import StrEnum

from transitions import Machine

from ..jobs import BatchJob, DeposedError, Record, read_job
from ..jobs.record import SETTLED_KEY, Kind, end_head, job_head, order_head, result_head
from ..runtime import encode_kept
from ..store.heartbeat import LedRunStatus
from .host import LeadershipHost
from .record_copier import RecordCopier
from .repair import RecordRepair
from .takeover import ORDER_VALIDITY, Takeover
from .tombstones import Tombstones

CONFIRMED_TO_READ = 0.5  # of SettleMs: how old the stores' confirmations may be for an answer to a reader
TERM_OFFSET_BITS = 32  # an offset is its term, and a number of so many bits that the term counts
CONFIRMED_TO_ORDER = 1 / 3  # of LeaseMs: how old they may be for an order of weights


class TermState(StrEnum):
    """Where a leadership term stands."""

    READING = "reading"  # it reads what the stores hold of the run
    HOLDING = "holding"  # it serves
    OVER = "over"


TRANSITIONS = [
    {"trigger": "gathered", "source": "reading", "dest": "holding"},
    {"trigger": "deposed", "source": "*", "dest": "over"},
]


class LeadershipTerm:
    """Leads a run until another's term is higher.

    It begins by reading what so many stores hold of the run that no acknowledged record can be missed.

    Attributes:
        state: The word of a TermState.
        batch_jobs: The jobs that it serves, by id.
        tombstones: The ends of jobs that it serves no more.
        pending_jobs: Jobs that are still to be taken up, as they ended, or as it is not certain that they are this
            run's: job id -> store id -> what that store holds.
        offered_jobs: Jobs that were handed in under this term and may have been taken.
        may_order_from: The time from which a replica may have orders of this holder; at once if it is not listed.
        next_offsets: The next offset that this term gives out, by partition; a partition is named by its model.
        window_records: What the stores hold of the partitions' windows, as [head, body].
        began_at: When it began.
        ended_at: When it ended; infinite before.

    >>> # leadership = LeadershipTerm(host, "service", term); await leadership.begin()
    """

    state: str
    trigger: Callable[[str], bool]  # bound by the state machine, as is_holding
    is_holding: Callable[[], bool]

    def __init__(self, host: LeadershipHost, run: str, term: int) -> None:
        self.host = host
        self.run = run
        self.term = term
        self.batch_jobs: dict[str, BatchJob] = {}
        self.pending_jobs: dict[str, dict] = {}
        self.offered_jobs: set[str] = set()
        self.may_order_from: dict[str, float] = {}
        self.next_offsets: dict[str, int] = {}
        self.window_records: list = []
        self._accepting: dict[str, BatchJob] = {}  # jobs that are being copied, for those who wait for them
        self.began_at = host.clock.now()
        self.ended_at = float("inf")
        self._progress_at = self.began_at
        self._machine = Machine(
            self,
            states=[state.value for state in TermState],
            initial=TermState.READING.value,
            transitions=TRANSITIONS,
            auto_transitions=False,
        )
        self.copier = RecordCopier(host, run, term, self._list_copied, self.step_down)
        self.tombstones = Tombstones(host, run, term)
        self.takeover = Takeover(self)
        self.record_repair = RecordRepair(self)

    # -- beginning and end

    async def begin(self) -> None:
        """Gathers, then serves.

        Whatever goes wrong ends the term, so that the lease does not stay with one that leads nothing.
        """
        try:
            await self._begin()
        except DeposedError:
            self.step_down()
        except Exception:
            self.step_down()
            raise

    async def _begin(self) -> None:
        host = self.host
        while self.state == TermState.READING and not await self.takeover.gather():
            await asyncio.sleep(host.heartbeat_interval_s)
        if self.state != TermState.READING:
            return
        self.trigger("gathered")
        self.record_progress()
        host.log.info("run {}: leadership acquired, term={} jobs={}", self.run, self.term, len(self.batch_jobs))
        host.counters.add("leadership.begun")
        for batch_job in list(self.batch_jobs.values()):
            host.state_board.notify(("lot", batch_job.job_id))
        host.state_board.notify("work")
        host.state_board.notify("members")  # what lacks copies is repaired at once
        await self.takeover.adopt_pending_jobs()

    def step_down(self) -> None:
        """Ends the term: nothing of it is answered any more."""
        if self.state == TermState.OVER:
            return
        self.trigger("deposed")
        self.ended_at = self.host.clock.now()
        self.host.counters.add("leadership.ended")
        self.host.log.info("run {}: leadership ended, term={}", self.run, self.term)
        self.copier.cancel_all()
        for job_id in self.batch_jobs:
            self.host.state_board.notify(("lot", job_id))
        self.host.state_board.notify("work")

    # -- what others are told

    def record_progress(self) -> None:
        """Takes up that something this term waits for has been reached."""
        self._progress_at = self.host.clock.now()

    def record_progress_if_confirmed(self) -> None:
        """Called at each heartbeat: a holder that enough stores confirm is making progress."""
        if self.is_confirmed():
            self.record_progress()

    def heartbeat_entry(self) -> LedRunStatus:
        """Returns what a heartbeat says of this run."""
        idle_s = self.host.clock.now() - self._progress_at
        return LedRunStatus(self.term, idle_s, self.record_repair.dispensable_stores)

    # -- proof of the lease

    def is_confirmed(self) -> bool:
        """Returns whether enough stores said, not long ago, that they know no higher term: no other holder listed."""
        return self.state == TermState.HOLDING and self.host.confirmed(
            self.run, self.term, self.host.settings.seconds("SettleMs", CONFIRMED_TO_READ)
        )

    def may_order(self, instance_id: str | None = None) -> bool:
        """Returns whether this node may order weights right now.

        Args:
            instance_id: The replica to order from; None asks whether it may order at all.
        """
        return (
            self.state == TermState.HOLDING
            and (instance_id is None or self.host.clock.now() >= self.may_order_from.get(instance_id, 0.0))
            and self.host.confirmed(self.run, self.term, self.host.settings.seconds("LeaseMs", CONFIRMED_TO_ORDER))
        )

    # -- copying

    def _list_copied(self, records: list[Record], batch_job: BatchJob | None) -> None:
        """Counts records that came to enough stores: from now on they are acknowledged and listed."""
        assert batch_job is not None  # None only for a job that another call is copying already
        if records[0].kind == Kind.JOB:
            records[0].head[SETTLED_KEY] = True
            self.batch_jobs.setdefault(batch_job.job_id, batch_job)
            self.host.counters.add("job.accepted")
            self.host.state_board.notify("work")
        else:
            self.advance(batch_job)
            self.host.state_board.notify(("lot", batch_job.job_id))
        self.record_repair.check_copied(batch_job, records)

    def is_copying(self, record: Record) -> bool:
        """Returns whether a record is being copied; it is acknowledged only when enough stores that stay have it."""
        return record.place() in self.copier.in_flight

    def copies_under_way(self) -> set:
        """Returns the places of all records that are being copied."""
        return set(self.copier.in_flight)

    def advance(self, batch_job: BatchJob) -> bool:
        """Lists what has its copies, and all before it; returns whether there was any."""
        before = batch_job.listed_count
        results = batch_job.results
        has_enough_copies = self.host.replicator.has_enough_copies
        while batch_job.listed_count < len(results) and has_enough_copies(results[batch_job.listed_count]):
            batch_job.listed_count += 1
        return batch_job.listed_count > before

    # -- jobs and their results

    async def accept_job(self, request: dict, body: bytes) -> None:
        """Takes a job, once; returns when enough stores have it.

        Args:
            request: The call's document: `lot`, `host`, `path` and, where a key was asked for, `tenant`.
            body: The job as it was handed in.

        Raises:
            DeposedError: The term ended before enough stores had it.
            JobOwnedElsewhereError: Another run has it, or may have it.
        """
        job_id = request["lot"]
        self.offered_jobs.add(job_id)
        if job_id in self.batch_jobs or job_id in self.tombstones:
            return
        held_body = self.host.record_store.bodies.hold(job_id, body)
        record = Record(job_head(job_id, self.run, request["host"], request["path"]), held_body)
        if request.get("tenant") is not None:
            record.head["tenant"] = request["tenant"]
        batch_job = None
        if not self.is_copying(record):
            batch_job = read_job(record.head, body, self.host.clock.now())
            batch_job.base_offset = self.allot_offsets(batch_job.model, batch_job.total)
            record.head["base"] = batch_job.base_offset
            batch_job.records.append(record)
            self._accepting[job_id] = batch_job
        try:
            await self.copier.copy([record], batch_job)
        finally:
            if batch_job is not None:
                self._accepting.pop(job_id, None)

    def open_job_bytes(self) -> int:
        """Returns about how much memory the open jobs take, those that are being copied among them."""
        open_jobs = [batch_job for batch_job in self.batch_jobs.values() if not batch_job.is_ended]
        return sum(batch_job.memory_bytes() for batch_job in [*open_jobs, *self._accepting.values()])

    def allot_offsets(self, partition: str, count: int) -> int:
        """Sets offsets of a partition aside, which no other item ever has; returns the first.

        Like the leader epoch in Kafka's log, the term is part of each offset. A term is granted once, so that nothing
        has to be kept of the offsets of jobs that were forgotten.
        """
        first = self.next_offsets.get(partition, self.term << TERM_OFFSET_BITS)
        self.next_offsets[partition] = first + count
        return first

    async def end_job(self, job_id: str) -> None:
        """Ends a job; returns when enough stores know it.

        Raises:
            DeposedError: The term ended before enough stores knew it.
        """
        batch_job = self.batch_jobs[job_id]
        batch_job.is_ended = True
        batch_job.ended_at = batch_job.ended_at or self.host.clock.now()
        batch_job.release_items()
        self.host.state_board.notify("work")
        record = next((record for record in batch_job.records if record.kind == Kind.END), None)
        if record is None:
            record = Record(end_head(job_id, self.run))
            batch_job.records.append(record)
        if not self.host.replicator.has_enough_copies(record):
            await self.copier.copy([record], batch_job)

    async def append_result(self, batch_job: BatchJob, item_id: str, document: dict) -> None:
        """Gives an item its position; it is listed once enough stores hold it and all before it are.

        Raises:
            DeposedError: The term ended before enough stores had it.
        """
        if item_id in batch_job.positioned_items or self.state != TermState.HOLDING or batch_job.is_ended:
            return
        batch_job.positioned_items.add(item_id)
        position = len(batch_job.results)
        head = result_head(batch_job.job_id, self.run, position, self.term, item_id, self.elapsed_s())
        record = Record(head, encode_kept(document))
        batch_job.results.append(record)
        batch_job.records.append(record)
        await self.copier.copy([record], batch_job)

    async def read_results(self, job_id: str, after: int, wait_s: float) -> bytes | None:
        """Reads a page of results.

        Args:
            job_id: The job.
            after: The position from which on results are wanted.
            wait_s: How long to wait for one if there is none yet.

        Returns:
            The answer to the reader as JSON, or None when this node cannot be sure that it still holds the run.
        """
        state_board = self.host.state_board
        deadline = self.host.clock.now() + wait_s
        while True:
            if not self.is_confirmed():
                return None
            batch_job = self.batch_jobs[job_id]
            version = state_board.version(("lot", job_id))
            left_s = deadline - self.host.clock.now()
            if batch_job.listed_count > after or left_s <= 0 or batch_job.listed_count == batch_job.total:
                rows, next_position = batch_job.page(after)
                fields = batch_job.total, next_position, b",".join(rows)  # rows are JSON already: they are not decoded
                return b'{"Total":%d,"NextToken":%d,"ResultList":[%s]}' % fields
            await state_board.wait_for_change(("lot", job_id), version, left_s)

    def item_payload(self, job_id: str, item_id: str) -> bytes | None:
        """Returns the body of an item, or None if the job has no such item."""
        item = self.batch_jobs[job_id].items.get(item_id)
        return None if item is None else base64.b64decode(item.payload)

    def forget_old_jobs(self) -> list[str]:
        """Forgets jobs that are ended and older than StatusS, but for their ends; returns their ids.

        Of those that were handed in it keeps what is served, being copied, or still recorded here.
        """
        now = self.host.clock.now()
        keep_s = self.host.settings.seconds("StatusS")
        old = [
            job_id
            for job_id, batch_job in self.batch_jobs.items()
            if batch_job.is_ended and now - batch_job.accepted_at > keep_s and now - batch_job.ended_at > keep_s
        ]
        for job_id in old:
            batch_job = self.batch_jobs.pop(job_id)
            for record in batch_job.records:
                if record.kind == Kind.END:
                    self.tombstones.add(job_id, record)
        self.offered_jobs = {job_id for job_id in self.offered_jobs if self._may_have(job_id)}
        return old

    def _may_have(self, job_id: str) -> bool:
        """Whether a job is served, is being copied, or is recorded on this store."""
        is_being_copied = (Kind.JOB, job_id) in self.copier.in_flight
        return is_being_copied or job_id in self.batch_jobs or job_id in self.host.record_store.batch_jobs

    # -- windows and orders

    async def replicate(self, record: Record) -> None:
        """Has a record of a partition's window synced with its copies.

        Raises:
            DeposedError: Another leads the run.
        """
        await self.host.replicator.replicate(self.run, self.term, [record])

    async def record_order_intent(self, instance_id: str) -> float:
        """Has enough stores know that an order is about to be sent to a replica.

        Returns:
            The time until which it may be sent.

        Raises:
            DeposedError: Another leads the run.
        """
        began_at = self.host.clock.now()
        # not a task of the term: without the one that waits, no order is sent, and the note binds nobody
        record = Record(order_head(self.run, instance_id, (self.term, self.elapsed_s())))
        await self.host.replicator.replicate(self.run, self.term, [record])
        return began_at + self.host.settings.seconds("LeaseMs", ORDER_VALIDITY)

    def elapsed_s(self) -> float:
        """Returns the seconds of this term by this node's steady clock.

        Records bear it, so that others can tell how old a note is at least.
        """
        return round(self.host.clock.now() - self.began_at, 3)

    # -- repair

    async def repair(self) -> None:
        """Brings records to enough stores that stay in touch, and says which stores are not needed any more."""
        await self.record_repair.round()
        if self.state == TermState.HOLDING and not await self.tombstones.round():
            self.step_down()

    def needs_repair(self) -> bool:
        """Returns whether the last round of repair left something to do."""
        return self.state == TermState.HOLDING and bool(self.record_repair.under_replicated or self.pending_jobs)
