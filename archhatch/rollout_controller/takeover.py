"""How a new leadership term begins.

It reads what so many stores hold of the run that no acknowledged record can be missed, and has what too few of them
hold written anew.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from contextlib import nullcontext
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..jobs import BatchJob, DeposedError, JobOwnedElsewhereError, Record, read_job
from ..jobs.record import SETTLED_KEY, Kind, end_head
from ..jobs.record_state import StoredJob
from ..jobs.run_report import HeldJob, RunReport
from ..runtime.message import MALFORMED_ERRORS, InvalidMessageError
from .host import LeadershipHost
from .job_claims import JobClaims

if TYPE_CHECKING:
    from .leadership_term import LeadershipTerm

CONCURRENT_BODY_FETCHES = 3  # bodies of jobs that are fetched side by side: bounds the memory that a takeover needs
CONCURRENT_ADOPTIONS = 8  # jobs taken up side by side: copies share calls and syncs, but fetches must not time out
ORDER_VALIDITY = 1 / 6  # of LeaseMs: how long after its intent was recorded an order may be sent
CLAIM_HEARTBEATS = 8  # in heartbeat intervals: how long a job is claimed before the stores are read again
DONE_CODE = 1000  # the result code of a command that was carried out
DEPOSED_CODE = 2018  # the result code of a command under a term that is not the newest


@dataclass
class Copies:
    """The records of one job that were found, here or at other stores.

    Attributes:
        job: The record of the job itself.
        end: The record of its end, if it has ended.
        results: The record of the chosen term by position.
    """

    job: Record | None
    end: Record | None
    results: dict[int, Record] = field(default_factory=dict)

    def is_whole(self, result_count: int, has_end: bool) -> bool:
        """Returns whether the job, all its results and, if it has one, its end are here."""
        has_all_results = all(position in self.results for position in range(result_count))
        return self.job is not None and has_all_results and (self.end is not None or not has_end)


class Takeover:
    """The reading part of one term; what it finds is put into the term.

    >>> # takeover = Takeover(leadership)
    >>> # while not await takeover.gather(): await asyncio.sleep(pause_s)
    >>> # await takeover.adopt_pending_jobs()
    """

    def __init__(self, leadership: LeadershipTerm) -> None:
        self.leadership = leadership
        self.host: LeadershipHost = leadership.host
        self._claims = JobClaims(self.host, leadership.run, leadership.term)
        self._addresses: dict[str, str] = {}  # the stores that were asked
        self._body_fetches = asyncio.Semaphore(CONCURRENT_BODY_FETCHES)
        self._answered: set[str] = set()  # the stores that have answered in any round

    # -- reading

    async def gather(self) -> bool:
        """Asks all stores for the run, and takes up the open jobs that are certainly its own.

        Returns:
            False if it is to be tried again.

        Raises:
            DeposedError: A store knows a higher term.
        """
        leadership = self.leadership
        reports = await self._read_reports()
        if reports is None:
            return False
        self.wait_out_orders(reports.values())
        leadership.window_records = [row for report in reports.values() for row in report.windows]
        held_by = _held_by_job(reports)
        leadership.pending_jobs = {
            job_id: held
            for job_id, held in held_by.items()
            if any(job.has_end for job in held.values()) or not self._was_accepted(held)
        }
        open_jobs = {job_id: held for job_id, held in held_by.items() if job_id not in leadership.pending_jobs}
        return await self._adopt_all(open_jobs)

    def _was_accepted(self, held: dict[str, HeldJob]) -> bool:
        """Returns whether it is certain that a job is this run's: it has results, or so many stores say so."""
        holders = {sid for sid, job in held.items() if job.has_job}
        return any(job.results for job in held.values()) or self._claims.is_owner(holders, set(held))

    async def _read_reports(self) -> dict[str, RunReport] | None:
        """Asks the stores that are members now; returns their reports, None if it is to be tried again.

        Raises:
            DeposedError: A store, or the control plane, knows a higher term.
        """
        host = self.host
        leadership = self.leadership
        # from here on no older holder's request ends the membership of a store that this gather counts on
        code, document = await host.config_watcher.run_command(
            "plan", "run.begin", {"run": leadership.run, "term": leadership.term}
        )
        if code == DEPOSED_CODE:
            raise DeposedError(leadership.run)
        if code != DONE_CODE or host.id not in document["stores"]:
            return None
        self._addresses = {sid: host.addr_of(member) for sid, member in document["stores"].items()}
        return await self._ask_all(document["stores"])

    async def _ask_all(self, members: dict[str, dict]) -> dict[str, RunReport] | None:
        """Asks the stores for the run, and has them promise to take nothing from older terms.

        Returns:
            The reports by store, this one's among them; None if too few answered.

        Raises:
            DeposedError: A store knows a higher term.
        """
        host = self.host
        reports: dict[str, RunReport] = {}
        promise = {"run": self.leadership.run, "term": self.leadership.term}
        tasks = {
            asyncio.ensure_future(host.call_store(sid, address, "shelf.prepare", promise)): sid
            for sid, address in self._addresses.items()
        }
        waiting = set(tasks)
        try:
            while waiting:
                # once it is enough, the others are given a moment: copies that they have need not be made anew
                timeout_s = host.heartbeat_interval_s if self._is_enough(reports, members) else None
                done, waiting = await asyncio.wait(waiting, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
                if not done:
                    break
                for task in done:
                    self._take_report(tasks[task], task.result(), reports)
        finally:
            for task in waiting:
                task.cancel()
        return reports if self._is_enough(reports, members) else None

    def _is_enough(self, reports: dict[str, RunReport], members: dict[str, dict]) -> bool:
        return self.host.id in reports and self.host.quorum.has_heard_enough(reports, members)

    def _take_report(self, sid: str, answer: dict | None, reports: dict[str, RunReport]) -> None:
        if answer is None:
            return
        if isinstance(answer, dict) and answer.get("ok") is False:
            raise DeposedError(self.leadership.run)
        try:
            if answer["ok"] is not True:
                raise InvalidMessageError("RunReport: ok: must be true or false")
            reports[sid] = RunReport.from_document(answer)
        except MALFORMED_ERRORS as error:  # as if the store had not answered
            self.host.counters.add("takeover.malformed_report")
            self.host.log.warning("run {}: report of store {} cannot be read: {!r}", self.leadership.run, sid, error)
            return
        if sid not in self._answered:
            self._answered.add(sid)
            self.leadership.record_progress()

    def wait_out_orders(self, reports: Iterable[RunReport]) -> None:
        """Puts off orders to replicas that an earlier holder meant to order from.

        They wait until its right to order, and then its lease, have run out.

        How long ago that was, a store knows since its start. Records of the same term that bear a later time of that
        holder's clock prove more, also after a loss of power by all.

        Args:
            reports: What the stores say of the run.
        """
        reports = list(reports)
        now = self.host.clock.now()
        wait_s = self.host.settings.seconds("LeaseMs", 1 + ORDER_VALIDITY)
        newest = max((tuple(report.newest_time) for report in reports if report.newest_time), default=(0, 0.0))
        may_order_from = self.leadership.may_order_from
        for report in reports:
            for instance_id, age_s in report.order_ages_s.items():
                noted = report.order_times.get(instance_id, newest)
                may_at = now - proven_age_s(age_s, noted, newest) + wait_s
                may_order_from[instance_id] = max(may_at, may_order_from.get(instance_id, may_at))

    # -- taking up jobs

    async def adopt_pending_jobs(self) -> None:
        """Takes up the jobs that ended, and those that may be another run's, once the others are served.

        What is not to be had at the stores that were heard first is looked for at those that are there by now.

        Raises:
            DeposedError: A higher term is known.
        """
        leadership = self.leadership
        while leadership.pending_jobs and leadership.is_holding():
            if await self._adopt_all(leadership.pending_jobs):
                continue
            await asyncio.sleep(self.host.heartbeat_interval_s)
            reports = await self._read_reports()
            if reports is not None:
                held_by = _held_by_job(reports)
                leadership.pending_jobs = {job_id: held_by.get(job_id, {}) for job_id in leadership.pending_jobs}

    async def _adopt_all(self, held_by: dict[str, dict[str, HeldJob]]) -> bool:
        """Takes up jobs; returns whether that went well for all of them."""
        limit = asyncio.Semaphore(CONCURRENT_ADOPTIONS)

        async def adopt(job_id: str) -> bool:
            async with limit:
                is_adopted = await self._adopt(job_id, held_by[job_id])
                if is_adopted:
                    self.leadership.pending_jobs.pop(job_id, None)
                    self.leadership.record_progress()
                    self.host.state_board.notify("work")
                return is_adopted

        tasks = [asyncio.ensure_future(adopt(job_id)) for job_id in sorted(held_by)]
        try:
            return all(await asyncio.gather(*tasks))
        finally:
            for task in tasks:
                task.cancel()

    async def _adopt(self, job_id: str, held: dict[str, HeldJob]) -> bool:
        """Takes up one job from what the stores hold; positions without enough copies are written anew."""
        leadership = self.leadership
        if not any(job.has_job for job in held.values()):
            await self._settle_remains(job_id, held)
            return True
        chosen = choose_results(held)
        copies = await self._collect(job_id, held, chosen)
        if copies is None:
            return False
        batch_job = self._rebuild(job_id, held, chosen, copies)
        try:
            if not await self._claim(batch_job, held):
                return False
        except JobOwnedElsewhereError as error:
            self.host.log.info("run {}: job {} is left to run {}", leadership.run, job_id, error.owner)
            return True
        rewritten = [record for record in batch_job.records if not self.host.replicator.has_enough_copies(record)]
        if rewritten:
            self.host.counters.add("takeover.rewritten", len(rewritten))
            await self.host.replicator.replicate(leadership.run, leadership.term, rewritten)
        batch_job.listed_count = len(batch_job.results)
        leadership.batch_jobs[job_id] = batch_job
        return True

    async def _settle_remains(self, job_id: str, held: dict[str, HeldJob]) -> None:
        """Keeps the end of a job that is dropped elsewhere; gives up claims on one that was never accepted."""
        leadership = self.leadership
        knowing = {sid for sid, job in held.items() if job.has_end}
        if knowing:
            leadership.tombstones.add(job_id, Record(end_head(job_id, leadership.run), held=knowing))
        elif any(job.has_claim for job in held.values()):
            await self._claims.withdraw(job_id)

    async def _claim(self, batch_job: BatchJob, held: dict[str, HeldJob]) -> bool:
        """Makes sure that a job is this run's; returns whether it is certain.

        Raises:
            JobOwnedElsewhereError: It is not.
        """
        record = batch_job.records[0]
        if not batch_job.is_ended and not self._was_accepted(held):
            claimed = {sid for sid, job in held.items() if job.has_claim}
            try:
                async with asyncio.timeout(self.host.heartbeat_interval_s * CLAIM_HEARTBEATS):
                    await self._claims.accept(record, claimed)
            except TimeoutError:
                return False
        record.head[SETTLED_KEY] = True
        return True

    async def _collect(self, job_id: str, held: dict[str, HeldJob], chosen: list[tuple[int, str]]) -> Copies | None:
        """The records of a job, fetched from other stores where they are not here; None if some are not to be had.

        A store that does not answer is passed over: another may have the same records.
        """
        stored = self._stored(job_id)
        copies = Copies(None, None)
        if stored is not None:
            copies = Copies(stored.job, stored.end)
            for position, (term, _) in enumerate(chosen):
                record = stored.results.get(position)
                if record is not None and record.head["term"] == term:
                    copies.results[position] = record
        for sid, job in held.items():
            if sid != self.host.id:
                await self._fetch(sid, job_id, job, chosen, copies)
        has_end = any(job.has_end for job in held.values())
        return copies if copies.is_whole(len(chosen), has_end) else None

    def _stored(self, job_id: str) -> StoredJob | None:
        """What this store has of a job, if it has it as this run's."""
        stored = self.host.record_store.batch_jobs.get(job_id)
        return stored if stored is not None and stored.run == self.leadership.run else None

    async def _fetch(self, sid: str, job_id: str, held: HeldJob, chosen: list[tuple[int, str]], copies: Copies) -> None:
        """Fetches a store's copies of what is still lacking, as far as it answers."""
        there = {(position, term) for position, term, _ in held.results}
        wanted = [
            position
            for position, (term, _) in enumerate(chosen)
            if position not in copies.results and (position, term) in there
        ]
        lacks_job = copies.job is None and held.has_job
        lacks_end = copies.end is None and held.has_end
        if not wanted and not lacks_job and not lacks_end:
            return
        async with self._body_fetches if lacks_job else nullcontext():
            records = await self.host.fetch_records(sid, self._addresses[sid], job_id, wanted, lacks_job)
            if records is not None:
                self._hold_bodies(job_id, records)
        if records is None:
            self.host.counters.add("takeover.fetch_failed")
            return
        self.leadership.record_progress()
        for record in records:
            if record.head["run"] == self.leadership.run:
                _take_copy(record, chosen, copies)

    def _hold_bodies(self, job_id: str, records: list[Record]) -> None:
        for record in records:
            if record.kind == Kind.JOB:
                record.body = self.host.record_store.bodies.hold(job_id, record.body)

    def _rebuild(
        self, job_id: str, held: dict[str, HeldJob], chosen: list[tuple[int, str]], copies: Copies
    ) -> BatchJob:
        """The job as this term lists it; records that too few stores hold bear this term."""
        host = self.host
        stored = self._stored(job_id)
        accepted_at = host.clock.now() if stored is None else stored.stored_at
        assert copies.job is not None  # _collect returns none without the job
        batch_job = read_job(copies.job.head, copies.job.body, accepted_at)
        batch_job.records.append(_copy_of(copies.job, {sid for sid, job in held.items() if job.has_job}))
        rows_by_store = {sid: {tuple(row) for row in job.results} for sid, job in held.items()}
        for position, (term, item_id) in enumerate(chosen):
            holders = {sid for sid, rows in rows_by_store.items() if (position, term, item_id) in rows}
            record = _copy_of(copies.results[position], holders)
            if not host.replicator.has_enough_copies(record):
                head = {**record.head, "term": self.leadership.term, "t": self.leadership.elapsed_s()}
                record = Record(head, record.body)
            batch_job.results.append(record)
            batch_job.records.append(record)
            batch_job.positioned_items.add(item_id)
        if copies.end is not None:
            batch_job.is_ended = True
            batch_job.ended_at = host.clock.now()
            batch_job.release_items()
            batch_job.records.append(_copy_of(copies.end, {sid for sid, job in held.items() if job.has_end}))
        return batch_job


def proven_age_s(age_s: float, noted: tuple, newest: tuple) -> float:
    """Returns how old the intent of an order is at least.

    Args:
        age_s: Seconds since a store synced the intent, or since its start.
        noted: The (term, seconds of that term) at which it was written.
        newest: The newest (term, seconds of that term) that any record bears.

    >>> proven_age_s(0.0, (4, 10.0), (4, 12.0)), proven_age_s(3.0, (4, 10.0), (4, 12.0))
    (2.0, 3.0)
    >>> proven_age_s(0.0, (3, 9.0), (4, 2.0))
    2.0
    """
    term, elapsed_s = noted
    if term < newest[0]:  # written before all of the newest term
        return max(age_s, newest[1])
    if term == newest[0]:
        return max(age_s, newest[1] - elapsed_s)
    return age_s


def choose_results(held: dict[str, HeldJob]) -> list[tuple[int, str]]:
    """Chooses the result at each position of a job.

    Args:
        held: What each store holds of the job.

    Returns:
        The (term, item) at each position from the first on: the highest term's, up to a hole, each item once. Behind a
        hole nothing was listed, so nothing there was ever told to anybody.

    >>> held = {"a": HeldJob(True, False, [[0, 1, "x"], [2, 1, "z"]]), "b": HeldJob(True, False, [[0, 2, "y"]])}
    >>> choose_results(held)
    [(2, 'y')]
    """
    best: dict[int, tuple[int, str]] = {}
    for job in held.values():
        for position, term, item_id in job.results:
            if position not in best or term > best[position][0]:
                best[position] = (term, item_id)
    chosen: list[tuple[int, str]] = []
    items: set[str] = set()
    while len(chosen) in best and best[len(chosen)][1] not in items:
        items.add(best[len(chosen)][1])
        chosen.append(best[len(chosen)])
    return chosen


def _held_by_job(reports: dict[str, RunReport]) -> dict[str, dict[str, HeldJob]]:
    """What each store holds of each job: job id -> store id -> what it holds."""
    held_by: dict[str, dict[str, HeldJob]] = {}
    for sid, report in reports.items():
        for job_id, job in report.jobs.items():
            held_by.setdefault(job_id, {})[sid] = job
    return held_by


def _take_copy(record: Record, chosen: list[tuple[int, str]], copies: Copies) -> None:
    """Puts a fetched record where it belongs, if nothing is there yet."""
    if record.kind == Kind.JOB:
        copies.job = copies.job or record
    elif record.kind == Kind.END:
        copies.end = copies.end or record
    else:
        position = record.head["pos"]
        if position < len(chosen) and record.head["term"] == chosen[position][0]:
            copies.results.setdefault(position, record)


def _copy_of(record: Record, holders: set[str]) -> Record:
    """A record of its own, whose holders change apart from those of the store's."""
    return Record(dict(record.head), record.body, holders)
