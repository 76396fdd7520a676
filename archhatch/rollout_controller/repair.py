"""Repair of a run's copies.

The run's holder brings every record to enough stores that stay in touch, and says which leaving or departing stores it
can do without.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..jobs import BatchJob, Record, active_members
from ..jobs.record_state import RECORD_OVERHEAD
from .host import LeadershipHost

if TYPE_CHECKING:
    from .leadership_term import LeadershipTerm

BURST = 1 << 18  # bytes of repair under way at a time: new records wait behind them
DONE_CODE = 1000  # the result code of a command that was carried out

JobRecord = tuple[BatchJob, Record]


class RecordRepair:
    """Repair for one term of a run.

    Attributes:
        under_replicated: Records with too few copies on stores that stay in touch, each with its job.
        dispensable_stores: Departing stores whose copies this run does not need any more.

    >>> # repair = RecordRepair(leadership); await repair.round(); repair.dispensable_stores
    """

    def __init__(self, leadership: LeadershipTerm) -> None:
        self.leadership = leadership
        self.host: LeadershipHost = leadership.host
        self.under_replicated: list[JobRecord] = []
        self.dispensable_stores: tuple[str, ...] = ()
        self._judged_by: tuple = ()  # the stores that stay, and those of them in touch, when all records were checked
        self._in_touch: dict[str, dict] = {}  # those in touch at that time
        self._earlier_copies: set = set()  # copies under way since before the stores last changed, by place

    def check_copied(self, batch_job: BatchJob, records: list[Record]) -> None:
        """Takes up records that came to enough stores, as far as some of these may not stay."""
        self.under_replicated += [
            (batch_job, record)
            for record in records
            if not self.host.quorum.has_enough_copies(record.held, self._in_touch)
        ]

    async def round(self) -> None:
        """Brings records to enough stores that stay in touch, and says which stores are not needed any more.

        All records are checked when the stores change, after that only those that lack copies.
        """
        host = self.host
        members = host.members()
        staying = active_members(members)
        in_touch = {sid: member for sid, member in staying.items() if host.membership.stays(sid)}
        if (staying.keys(), in_touch.keys()) != self._judged_by:
            self._judged_by = (staying.keys(), in_touch.keys())
            self._in_touch = in_touch
            self._earlier_copies = self.leadership.copies_under_way()  # may yet count on a store that does not stay
            self.under_replicated = self._without_copies(in_touch)
        batch = [(job, record) for job, record in self.under_replicated if self._is_current(job)]
        self.under_replicated = []
        host.counters.add("repair.checked", len(batch))
        await self._replicate(batch, in_touch)
        self._list_repaired(batch)
        # what ended its copying meanwhile, without enough stores in touch, was put into the new list
        lacking = {
            id(record): (job, record)
            for job, record in batch + self.under_replicated
            if not host.quorum.has_enough_copies(record.held, in_touch)
        }
        self.under_replicated = list(lacking.values())
        self._update_dispensable_stores(staying, in_touch)
        if self._has_copies_on(staying):
            await self._clear_leaving(members, staying)

    def _is_current(self, batch_job: BatchJob) -> bool:
        return self.leadership.batch_jobs.get(batch_job.job_id) is batch_job

    def _list_repaired(self, batch: list[JobRecord]) -> None:
        """Lists results that have enough copies now."""
        for batch_job in {id(job): job for job, _ in batch}.values():
            if self.leadership.advance(batch_job):
                self.host.state_board.notify(("lot", batch_job.job_id))

    def _update_dispensable_stores(self, staying: dict, in_touch: dict) -> None:
        departing = tuple(sid for sid in staying if sid not in in_touch and self.host.membership.departing(sid))
        self._earlier_copies &= self.leadership.copies_under_way()
        has_ends = self.leadership.tombstones.are_safe_on(in_touch)
        needs_all = self.under_replicated or self._earlier_copies or self.leadership.pending_jobs or not has_ends
        self.dispensable_stores = () if needs_all else departing

    async def _replicate(self, batch: list[JobRecord], in_touch: dict) -> None:
        """Copies records to stores in touch that lack them, a bounded number of bytes at a time."""
        replicator = self.host.replicator
        sends: list[asyncio.Future] = []
        size = 0
        targets: dict[tuple, list[str]] = {}  # (job, stores in touch that hold the record) -> stores to send it to
        for batch_job, record in batch:
            if self.leadership.is_copying(record):
                continue  # its own task sees to it, and acknowledges it only when enough stores that stay have it
            key = batch_job.job_id, frozenset(record.held & in_touch.keys())
            if key not in targets:
                targets[key] = replicator.targets(*key, allow_unreachable=False)
            for sid in targets[key]:
                sends.append(replicator.send(sid, self.leadership.run, self.leadership.term, [record]))
                size += len(record.body) + RECORD_OVERHEAD
            if size > BURST:
                await self._wait_for(sends)
                sends = []
                size = 0
        await self._wait_for(sends)

    async def _wait_for(self, sends: list[asyncio.Future]) -> None:
        if not sends:
            return
        self.host.counters.add("repair.records", len(sends))
        if False in await asyncio.gather(*sends):
            self.leadership.step_down()

    def _has_copies_on(self, staying: dict) -> bool:
        """Whether all that this run holds has enough copies on the stores that stay, and this is surely its holder."""
        return (
            not self.leadership.pending_jobs
            and self.leadership.is_confirmed()
            and self.leadership.tombstones.are_safe_on(staying)
            and all(
                self.leadership.is_copying(record) or self.host.quorum.has_enough_copies(record.held, staying)
                for _, record in self.under_replicated
            )
        )

    async def _clear_leaving(self, members: dict, staying: dict) -> None:
        """Says of each leaving store that this run does not need it, once for each term."""
        run = self.leadership.run
        term = self.leadership.term
        leaving = [
            sid
            for sid, member in members.items()
            if member["state"] == "leaving" and member["clear"].get(run, 0) < term
        ]
        counted = sorted(staying)
        answers = await asyncio.gather(
            *(
                self.host.config_watcher.run_command(
                    "plan", "store.clear", {"id": sid, "run": run, "term": term, "counted": counted}
                )
                for sid in leaving
            )
        )
        for sid, (code, _) in zip(leaving, answers, strict=True):
            self.host.counters.add(f"store.clear.{code}")
            if code == DONE_CODE:
                self.host.log.info("run {}: store cleared, its copies are not needed any more: store={}", run, sid)

    def _without_copies(self, members: dict) -> list[JobRecord]:
        """Every record that these stores have too few copies of, with its job."""
        lacking: list[JobRecord] = []
        is_enough: dict[frozenset, bool] = {}  # few different sets of stores hold many records
        for batch_job in self.leadership.batch_jobs.values():
            for record in batch_job.records:
                held = frozenset(record.held)
                if held not in is_enough:
                    is_enough[held] = self.host.quorum.has_enough_copies(held, members)
                if not is_enough[held]:
                    lacking.append((batch_job, record))
            self.host.counters.add("repair.checked", len(batch_job.records))
        return lacking
