"""Copies records to other stores: one task and one inbox for each of them, batches that share a sync.

A large copy asks the store for room first, and has an inbox of its own, so that nothing waits behind one that waits for
room.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import Any, NamedTuple

from ..membership import rank
from ..rpc import CallError, ConnectionPool
from ..runtime import Counters, TaskGroup
from ..wal import LogError
from .batch_job import LARGE_JOB_BYTES
from .errors import DeposedError
from .job_calls import DONE_CODE, NO_MEMORY_CODE, ROOM_CODES, JobCalls
from .ownership_contest import OwnershipContest
from .quorum import Quorum, active_members
from .record import SETTLED_KEY, Kind, Record, pack_many
from .record_store import RecordStore, Verdict

LATE_PENALTY = 6  # times the timeout that a store which was late with an answer is asked only if no other will do
SLOW_ANSWER_DIVISOR = 3  # of the timeout: a store that takes longer is slow, and another is asked as well
FIRST_PAUSE_S = 0.05  # before all are asked again, when nobody is left to ask; doubles ...
LONGEST_PAUSE_S = 0.4  # ... up to this
BATCH_BYTES = 1 << 20  # of records after which a batch is closed
ROOM_PAUSE_S = 0.1  # before a store without room is asked for it again
ROOM_CALL_S = 0.25  # how long a store may take to say whether it has room for a job that an edge is about to send


class _Send(NamedTuple):
    """Records in a store's inbox."""

    term: int
    records: list[Record]
    outcome: asyncio.Future  # the Verdict that counts for all of them


class _InboxKey(NamedTuple):
    """Names an inbox.

    Attributes:
        store_id: The store that its records go to.
        is_large: Whether it is for records that the store must have room for.
    """

    store_id: str
    is_large: bool


class Replicator:
    """Has records copied until enough stores have synced them.

    >>> # await replicator.replicate("run", 3, records)
    """

    def __init__(  # noqa: PLR0913, PLR0917 - each is a part of the store; it does not take the store itself
        self,
        store_id: str,
        record_store: RecordStore,
        connections: ConnectionPool,
        members: Callable[[], dict],
        alive: Callable[[str], bool],
        task_group: TaskGroup,
        counters: Counters,
        timeout_s: float,
        quorum: Quorum,
        takes: Callable[[str], bool] | None = None,
        watch: Callable[[Awaitable], Awaitable] | None = None,
        prefers: Callable[[str], Collection[str]] | None = None,
    ) -> None:
        """Makes the replicator of a store.

        Args:
            store_id: The id of this store.
            record_store: What this store keeps.
            connections: Connections to the others.
            members: Returns all stores of the membership.
            alive: Says whether a store is in touch.
            task_group: Runs the tasks that send.
            counters: Counts what copies meet.
            timeout_s: How long a store may take to answer.
            quorum: What makes copies enough.
            takes: Says whether a store's disk takes records.
            watch: Waits for a write to this store's disk, and judges the disk by it.
            prefers: Names stores that should hold a run's records before others.
        """
        self.store_id = store_id
        self.record_store = record_store
        self.connections = connections
        self.members = members
        self.alive = alive
        self.takes = takes or (lambda sid: True)  # noqa: ARG005 - stands for takes
        self.watch = watch or (lambda write: write)
        self.prefers = prefers or (lambda run: frozenset())  # noqa: ARG005 - stands for prefers
        self.task_group = task_group
        self.counters = counters
        self.timeout_s = timeout_s
        self.quorum = quorum
        self.calls = JobCalls(
            lambda: self.store_id, record_store, connections, members, counters, timeout_s, self.watch
        )
        self._late_until: dict[str, float] = {}  # store -> until when it is asked only if no other will do
        self._inboxes: dict[_InboxKey, list[_Send]] = {}
        self._wakes: dict[_InboxKey, asyncio.Event] = {}

    def has_enough_copies(self, record: Record) -> bool:
        """Returns whether a record's copies on stores that stay are enough."""
        return self.quorum.has_enough_copies(record.held, active_members(self.members()))

    # -- where to

    def targets(
        self,
        job_id: str,
        held: Collection[str],
        avoid: Collection[str] = (),
        allow_unreachable: bool = True,
        preferred: Collection[str] = frozenset(),
    ) -> list[str]:
        """Chooses the stores that should have a job's record besides those that hold it.

        This one comes first, then by rendezvous of the job's id those in touch, those that were late with an answer,
        and if these are not enough the unreachable ones; none whose disk takes nothing.

        Args:
            job_id: The job.
            held: The stores that have the record.
            avoid: Stores that are not chosen.
            allow_unreachable: Whether stores out of touch may be chosen.
            preferred: Stores that come before the others of their kind.
        """
        members = active_members(self.members())
        order = [self.store_id, *rank(job_id, [sid for sid in members if sid != self.store_id])]
        order = [sid for sid in order if sid not in avoid and self.takes(sid)]
        if preferred:
            order.sort(key=lambda sid: sid not in preferred)
        prompt, late, unreachable = self._tiers(order)
        chosen: list[str] = []
        for tier in (prompt, late, unreachable) if allow_unreachable else (prompt, late):
            chosen += self.quorum.choose_copies(tier, {*held, *chosen}, members)
        return chosen

    def _tiers(self, order: list[str]) -> tuple[list[str], list[str], list[str]]:
        """Sorts stores into those in touch, those that were late with an answer, and the unreachable ones."""
        now = self.record_store.clock.now()
        prompt: list[str] = []
        late: list[str] = []
        unreachable: list[str] = []
        for sid in order:
            if not self.alive(sid):
                unreachable.append(sid)
            elif self._late_until.get(sid, now) > now:
                late.append(sid)
            else:
                prompt.append(sid)
        return prompt, late, unreachable

    def _avoid(self, stores: Iterable[str]) -> None:
        """Has stores that were late with an answer asked only if no other will do, for a while."""
        for sid in stores:
            if sid != self.store_id:
                self._late_until[sid] = self.record_store.clock.now() + self.timeout_s * LATE_PENALTY
                self.counters.add("copy.late")

    # -- until enough have them

    def contest(self, run: str) -> OwnershipContest:
        """Returns what follows how a run fares with a job that other runs may have."""
        return OwnershipContest(run, self.quorum, self.members, self.alive)

    async def replicate(
        self, run: str, term: int, records: list[Record], contest: OwnershipContest | None = None
    ) -> None:
        """Has enough stores sync the records. One that is slow to answer is not waited for: another is asked as well.

        Args:
            run: The run.
            term: The term of its leader.
            records: The records, all of one job.
            contest: Follows whether the run can have the job; one of its own if it is left out.

        Raises:
            DeposedError: A store knows a higher term.
            JobOwnedElsewhereError: The job belongs to another run at so many stores that this one cannot have it.
        """
        contest = contest or self.contest(run)
        job_id = records[0].head["lot"]
        preferred = self.prefers(run)
        waiting: dict[asyncio.Future, tuple[str, list[Record]]] = {}
        slow: set[str] = set()  # asked, without an answer in time
        pause_s = FIRST_PAUSE_S
        while True:
            lacking = [record for record in records if not self.has_enough_copies(record)]
            if not lacking:
                return
            if self.record_store.promised_terms.get(run, 0) > term:
                raise DeposedError(run)
            batches: dict[str, list[Record]] = {}
            for record in lacking:
                coming = self._coming_to(record, waiting, slow)
                avoided = slow | contest.owners.keys()
                for sid in self.targets(job_id, record.held | coming, avoid=avoided, preferred=preferred):
                    batches.setdefault(sid, []).append(record)
            for sid, batch in batches.items():
                waiting[self.send(sid, run, term, batch)] = (sid, batch)
            if not waiting:
                await asyncio.sleep(pause_s)
                pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
                slow.clear()
                contest.owners.clear()
                continue
            await self._wait_for_any(run, waiting, slow, contest.owners)
            await self._settle_owners(run, term, records[0], contest)

    async def _settle_owners(self, run: str, term: int, record: Record, contest: OwnershipContest) -> None:
        """Deals with stores at which the job of a record belongs to another run.

        If this run has accepted the job, what the other left there goes. Else it may turn out that it cannot have it.
        """
        if record.kind == Kind.JOB and SETTLED_KEY not in record.head:
            await contest.settle()
            return
        for sid in list(contest.owners):
            answer = await self.calls.claim(sid, run, term, record.head["lot"], is_settled=True)
            if answer.verdict is True:
                del contest.owners[sid]

    def _coming_to(self, record: Record, waiting: dict, slow: set[str]) -> set[str]:
        """The stores that a record is on its way to, as far as they are counted on."""
        return {
            sid
            for sid, batch in waiting.values()
            if sid not in slow and self.takes(sid) and any(record is other for other in batch)
        }

    async def _wait_for_any(self, run: str, waiting: dict, slow: set[str], owners: dict[str, str]) -> None:
        """Waits for an answer, not longer than a store may take before it counts as slow."""
        done, _ = await asyncio.wait(
            waiting, timeout=self.timeout_s / SLOW_ANSWER_DIVISOR, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            late = {sid for sid, _ in waiting.values()} - slow
            slow |= late
            self._avoid(late)
        for future in done:
            sid, _ = waiting.pop(future)
            outcome = future.result()
            if outcome is False:
                raise DeposedError(run)
            if isinstance(outcome, str):
                owners[sid] = outcome
            elif outcome is None:
                if sid not in slow:
                    self._avoid({sid})
                slow.add(sid)

    # -- one store

    def send(self, sid: str, run: str, term: int, records: list[Record]) -> asyncio.Future:  # noqa: ARG002 - a send names its run, as replicate() does
        """Puts records into a store's inbox.

        Returns:
            A future: the verdict that counts for all of them, see RecordStore.append; None as well if the store does
            not answer.
        """
        if sid == self.store_id:
            return asyncio.ensure_future(self._append_here(term, records))
        outcome = asyncio.get_running_loop().create_future()
        key = _InboxKey(sid, _size(records) > LARGE_JOB_BYTES)
        if key not in self._inboxes:
            self._inboxes[key] = []
            self._wakes[key] = asyncio.Event()
            self.task_group.run_forever("copy", self._empty_inbox, key)
        self._inboxes[key].append(_Send(term, records, outcome))
        self._wakes[key].set()
        return outcome

    async def _append_here(self, term: int, records: list[Record]) -> Verdict:
        copies = [Record({**record.head, "by": term}, record.body) for record in records]
        try:
            verdicts = await self.watch(self.record_store.append(copies))
        except LogError:
            self.counters.add("copy.own_disk")
            return None  # this store's copy is one like any other: others make up for it
        return self._settle(self.store_id, verdicts, records)

    def _settle(self, sid: str, verdicts: list, records: list[Record]) -> Verdict:
        """What a store's verdicts on records that were sent together come to.

        Returns:
            False if any met a higher term, None if the disk lacks the room for any, the other run that a job belongs
            to; only if all are synced do they count as held there.
        """
        if False in verdicts:
            self.counters.add("copy.stale_term")
            return False
        if None in verdicts:
            self.counters.add("copy.no_room")
            return None
        owner = next((verdict for verdict in verdicts if isinstance(verdict, str)), None)
        if owner is not None:
            self.counters.add("copy.other_owner")
            return owner
        for record in records:
            record.held.add(sid)
        return True

    async def _empty_inbox(self, key: _InboxKey) -> None:
        """Sends what comes into an inbox, one batch at a time."""
        inbox, wake = self._inboxes[key], self._wakes[key]
        while True:
            await wake.wait()
            wake.clear()
            while inbox:
                batch: list[_Send] = []
                size = 0
                while inbox and size < (1 if key.is_large else BATCH_BYTES):
                    send = inbox.pop(0)
                    batch.append(send)
                    size += _size(send.records)
                if key.is_large and not await self._has_room(key.store_id, batch[0], size):
                    if not batch[0].outcome.done():
                        batch[0].outcome.set_result(None)
                    continue
                await self._send_batch(key.store_id, batch)
                del batch  # its bodies are not held while the next ones are awaited

    async def _has_room(self, sid: str, send: _Send, size: int) -> bool:
        """Asks a store for room for a large copy until it has some, or the time for an answer is over."""
        deadline = self.record_store.clock.now() + self.timeout_s
        while True:
            code = await self.calls.reserve(sid, send.records[0].head["lot"], size, self.timeout_s)
            if code in ROOM_CODES:
                return True
            if code != NO_MEMORY_CODE or self.record_store.clock.now() >= deadline:
                self.counters.add(f"copy.refused.{code}")
                return False
            await asyncio.sleep(ROOM_PAUSE_S)

    async def reserve_copies(self, run: str, job_id: str, size: int) -> bool:
        """Asks for the room that a large job's copies will take, before its body comes to this store.

        Args:
            run: The run.
            job_id: The job.
            size: The length of its body.

        Returns:
            Whether each store that is to have a copy has room for it now, or may have.
        """
        targets = self.targets(job_id, {self.store_id}, preferred=self.prefers(run))
        codes = await asyncio.gather(*(self.calls.reserve(sid, job_id, size, ROOM_CALL_S) for sid in targets))
        return NO_MEMORY_CODE not in codes

    async def _send_batch(self, sid: str, batch: list[_Send]) -> None:
        verdicts = await self._call(sid, batch)
        start = 0
        for send in batch:
            outcome: Verdict = None
            if verdicts is not None:
                end = start + len(send.records)
                outcome = self._settle(sid, verdicts[start:end], send.records)
                start = end
            if not send.outcome.done():
                send.outcome.set_result(outcome)

    async def _call(self, sid: str, batch: list[_Send]) -> Any:  # noqa: ANN401 - the list that the answer holds, or None
        """Has a store append a batch; its verdict on each record, or None if it does not answer, or refuses."""
        member = self.members().get(sid)
        if member is None:
            return None
        copies = [Record({**record.head, "by": send.term}, record.body) for send in batch for record in send.records]
        try:
            code, verdicts, _ = await self.connections.to(member["addr"]).call(
                "shelf.append", {"to": sid, "owners": True}, pack_many(copies), timeout_s=self.timeout_s
            )
        except CallError:
            self.counters.add("copy.unanswered")
            return None
        if code != DONE_CODE:
            # 2008: another incarnation stands there; 3004: it does not know all terms yet; 3010: its disk is full
            self.counters.add(f"copy.refused.{code}")
            return None
        return verdicts


def _size(records: Iterable[Record]) -> int:
    """Returns the bytes of the bodies of records."""
    return sum(len(record.body) for record in records)
