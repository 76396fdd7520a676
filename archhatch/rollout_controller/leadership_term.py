"""One store's hold on the runs of one service: their lots, what is listed of them, and the proof that nobody else
holds them. Runs that share replicas share a holder: a replica must never see orders of two."""

from __future__ import annotations

import asyncio
import base64

from transitions import Machine

from ..jobs import DeposedError, BatchJob, Record, read_job
from ..jobs.record import unpack_many
from ..runtime import encode_kept
from ..rpc import CallError
from ..store.heartbeat import Leading
from .repair import RecordRepair, place
from .takeover import ORDER, Takeover

MOVES = [
    {"trigger": "gathered", "source": "reading", "dest": "holding"},
    {"trigger": "deposed", "source": "*", "dest": "over"},
]


class LeadershipTerm:
    """Begins by reading what so many stores hold of the run that no acknowledged record can be missed, then serves it
    until another's term is higher.

    >>> # leadership = LeadershipTerm(store, "service", term); await leadership.begin()
    """

    def __init__(self, store, run: str, term: int):
        self.store, self.run, self.term = store, run, term
        self.batch_jobs: dict[str, BatchJob] = {}
        self.may_order_from: dict[str, float] = {}  # replica -> when it may have orders of this holder
        self.began_at = store.clock.now()
        self.window_records: list = []  # what the stores told of the partitions' windows
        self.next_offsets: dict[str, int] = {}  # partition of the step log -> the offset of its next entry
        Machine(
            self, states=["reading", "holding", "over"], initial="reading", transitions=MOVES, auto_transitions=False
        )
        self.pending_jobs: dict[
            str, dict
        ] = {}  # ended lots that are still to be taken up -> what the stores said of them
        self._copying: dict[tuple, asyncio.Task] = {}  # what is being copied, by the place of its first record
        self.offered_jobs: set = set()  # lots that were handed in under this term, whatever became of them
        self._progress_at = self.began_at
        self.ended_at = float("inf")
        self.takeover, self.record_repair = Takeover(self), RecordRepair(self)

    # -- taking over

    async def begin(self) -> None:
        """Gather, then serve; whatever goes wrong ends the term, so that the lease does not stay with one that leads
        nothing."""
        try:
            await self._begin()
        except DeposedError:
            self.step_down()
        except Exception:
            self.step_down()
            raise

    async def _begin(self) -> None:
        store = self.store
        while self.state == "reading" and not await self.takeover.gather():
            await asyncio.sleep(store.heartbeat_interval_s)
        if self.state != "reading":
            return
        self.gathered()
        self.progress()
        store.log.info("run {}: held under term {} with {} lots", self.run, self.term, len(self.batch_jobs))
        store.counters.add("reign.begun")
        for batch_job in list(self.batch_jobs.values()):
            store.state_board.notify(("lot", batch_job.job_id))
        store.state_board.notify("work")
        store.state_board.notify("members")  # what lacks copies is repaired at once
        await self.takeover.take_up_ended()

    def step_down(self) -> None:
        if self.state != "over":
            self.deposed()
            self.ended_at = self.store.clock.now()
            self.store.counters.add("reign.over")
            self.store.log.info("run {}: term {} is over", self.run, self.term)
            for task in self._copying.values():
                task.cancel()  # nothing of this term is answered any more; its waiters are told DeposedError
            for job_id in self.batch_jobs:
                self.store.state_board.notify(("lot", job_id))
            self.store.state_board.notify("work")

    # -- what others are told

    def progress(self) -> None:
        """Something that this term waits for has been reached."""
        self._progress_at = self.store.clock.now()

    def record_progress_if_confirmed(self) -> None:
        """Called at each heartbeat: a holder that enough stores confirm is making progress."""
        if self.is_confirmed():
            self.progress()

    def heartbeat_entry(self) -> Leading:
        """What a heartbeat says of this run."""
        return Leading(self.term, self.store.clock.now() - self._progress_at, self.record_repair.spared)

    # -- serving

    def is_confirmed(self) -> bool:
        """Whether enough stores said, not long ago, that they know no higher term: then no other holder has listed."""
        return self.state == "holding" and self.store.confirmed(
            self.run, self.term, self.store.settings.seconds("SettleMs", 0.5)
        )

    def may_order(self, iid: str | None = None) -> bool:
        """Whether this node may order weights right now: at all, or from one replica."""
        return (
            self.state == "holding"
            and (iid is None or self.store.clock.now() >= self.may_order_from.get(iid, 0.0))
            and self.store.confirmed(self.run, self.term, self.store.settings.seconds("LeaseMs", 1 / 3))
        )

    # -- copying: the reign's own tasks do it, so that it goes on whatever happens to those who wait

    async def _copy(self, records: list, batch_job: BatchJob | None) -> None:
        """Have records copied; returns when enough stores have them. Whoever asks for the same waits for the same."""
        key = place(records[0])
        task = self._copying.get(key)
        if task is None:
            task = self._copying[key] = self.store.task_group.spawn("records", self._copy_on, key, records, batch_job)
        await asyncio.wait({task})  # unlike an await of the task, this leaves it running if the waiter is cancelled
        if task.cancelled() or task.result() is not True:
            raise DeposedError(self.run)

    async def _copy_on(self, key: tuple, records: list, batch_job: BatchJob | None) -> bool:
        try:
            await self.store.replicator.replicate(self.run, self.term, records)
        except DeposedError:
            self.step_down()
            return False
        except Exception:
            self.step_down()  # a record without its copies must not stand in a term that goes on
            raise
        finally:
            self._copying.pop(key, None)
        if key[0] == "L":
            self.batch_jobs.setdefault(batch_job.job_id, batch_job)
            self.store.counters.add("lot.taken")
            self.store.state_board.notify("work")
        else:
            self.advance(batch_job)
            self.store.state_board.notify(("lot", batch_job.job_id))
        self.record_repair.copied(batch_job, records)
        return True

    def copying(self, record: Record) -> bool:
        """Whether a record is being copied; it is acknowledged only when enough stores that stay have it."""
        return place(record) in self._copying

    def under_way(self) -> set:
        """The places of all records that are being copied."""
        return set(self._copying)

    def advance(self, batch_job: BatchJob) -> bool:
        """List what has its copies, and all before it; whether there was any."""
        before = batch_job.listed_count
        while batch_job.listed_count < len(batch_job.results) and self.store.replicator.has_enough_copies(
            batch_job.results[batch_job.listed_count]
        ):
            batch_job.listed_count += 1
        return batch_job.listed_count > before

    async def accept_job(self, head: dict, body: bytes) -> None:
        """Take a lot, once; returns when enough stores have it."""
        self.offered_jobs.add(head["lot"])
        if head["lot"] in self.batch_jobs:
            return
        record = Record(
            {"k": "L", "lot": head["lot"], "run": self.run, "host": head["host"], "path": head["path"]}, body
        )
        if head.get("tenant") is not None:
            record.head["tenant"] = head["tenant"]
        batch_job = None
        if place(record) not in self._copying:
            batch_job = read_job(record.head, body, self.store.clock.now())
            batch_job.base_offset = record.head["base"] = self._offsets(batch_job.model, batch_job.total)
            batch_job.records.append(record)
        await self._copy([record], batch_job)

    def _offsets(self, shard: str, count: int) -> int:
        """Room for a lot's items in the partition of its model: the first of so many offsets."""
        at = self.next_offsets.get(shard, 0)
        self.next_offsets[shard] = at + count
        return at

    async def replicate(self, record) -> None:
        """Have a record of a partition's window synced with its copies; DeposedError if another leads."""
        await self.store.replicator.replicate(self.run, self.term, [record])

    async def record_order_intent(self, iid: str) -> float:
        """Have enough stores know that an order is about to be sent to a replica; the time until which it may be."""
        began = self.store.clock.now()
        # not a task of the reign: without the one that waits, no order is sent, and the note binds nobody
        await self.store.replicator.replicate(
            self.run,
            self.term,
            [Record({"k": "O", "lot": "", "run": self.run, "iid": iid, "term": self.term, "t": self.elapsed_s()})],
        )
        return began + self.store.settings.seconds("LeaseMs", ORDER)

    def elapsed_s(self) -> float:
        """Seconds of this reign by this node's steady clock: borne by records, so that others can tell how old a note
        is at least."""
        return round(self.store.clock.now() - self.began_at, 3)

    async def end_job(self, job_id: str) -> None:
        batch_job = self.batch_jobs[job_id]
        batch_job.is_ended, batch_job.ended_at = True, batch_job.ended_at or self.store.clock.now()
        batch_job.release_items()
        self.store.state_board.notify("work")
        record = next((r for r in batch_job.records if r.head["k"] == "E"), None)
        if record is None:
            record = Record({"k": "E", "lot": job_id, "run": self.run})
            batch_job.records.append(record)
        if not self.store.replicator.has_enough_copies(record):
            await self._copy([record], batch_job)

    async def append_result(self, batch_job: BatchJob, iid: str, doc: dict) -> None:
        """Give an item its position; it is listed once enough stores hold it and all before it are."""
        if iid in batch_job.positioned_items or self.state != "holding" or batch_job.is_ended:
            return
        batch_job.positioned_items.add(iid)
        record = Record(
            {
                "k": "R",
                "lot": batch_job.job_id,
                "run": self.run,
                "pos": len(batch_job.results),
                "term": self.term,
                "item": iid,
                "t": self.elapsed_s(),
            },
            encode_kept(doc),
        )
        batch_job.results.append(record)
        batch_job.records.append(record)
        await self._copy([record], batch_job)

    async def read_results(self, job_id: str, after: int, hold: float) -> bytes | None:
        """A page of results; None when this node cannot be sure."""
        store = self.store
        end = store.clock.now() + hold
        while True:
            if not self.is_confirmed():
                return None
            batch_job = self.batch_jobs[job_id]
            turn = store.state_board.version(("lot", job_id))
            left = end - store.clock.now()
            if batch_job.listed_count > after or left <= 0 or batch_job.listed_count == batch_job.total:
                rows, nxt = batch_job.page(after)
                return b'{"Total":%d,"NextToken":%d,"ResultList":[%s]}' % (batch_job.total, nxt, b",".join(rows))
            await store.state_board.wait_for_change(("lot", job_id), turn, left)

    def item_payload(self, job_id: str, iid: str) -> bytes | None:
        batch_job = self.batch_jobs[job_id]
        it = batch_job.items.get(iid)
        return None if it is None else base64.b64decode(it.payload)

    # -- repair

    async def repair(self) -> None:
        """Bring records to enough stores that stay in touch; say which leaving stores are not needed any more."""
        await self.record_repair.round()

    def needs_repair(self) -> bool:
        """Whether the last round of repair left something to do."""
        return self.state == "holding" and bool(self.record_repair.thin or self.pending_jobs)

    def forget_old_jobs(self) -> list:
        """Lots that are ended and older than StatusS."""
        now, keep = self.store.clock.now(), self.store.settings.seconds("StatusS")
        old = [
            job_id
            for job_id, batch_job in self.batch_jobs.items()
            if batch_job.is_ended and now - batch_job.accepted_at > keep and now - batch_job.ended_at > keep
        ]
        for job_id in old:
            del self.batch_jobs[job_id]
        return old


async def fetch_records(store, sid: str, address: str, job_id: str, poss: list, batch_job: bool):
    """Records of a lot from another store, or None."""
    try:
        code, _, raw = await store.connections.to(address).call(
            "shelf.fetch", {"to": sid, "lot": job_id, "poss": poss, "want_lot": batch_job}, timeout_s=store.quiet_s * 2
        )
    except CallError:
        return None
    return unpack_many(raw) if code == 1000 else None
