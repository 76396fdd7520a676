"""Copies records to other stores: one task and one inbox for each of them, batches that share a sync."""

from __future__ import annotations

import asyncio

from ..membership import rank
from ..rpc import CallError
from ..wal import LogError
from .quorum import Quorum, active_members
from .record import Record, pack_many


class DeposedError(Exception):
    """Another holds the run under a higher term."""


SHUN = 6  # times the time for an answer that a store which was late with one is asked only if no other will do


class Replicator:
    """put() returns when enough stores have synced the records.

    >>> # await replicator.replicate("run", 3, records)
    """

    def __init__(
        self,
        me,
        record_store,
        lines,
        members,
        alive,
        task_group,
        counters,
        timeout_s: float,
        quorum: Quorum,
        takes=None,
        watch=None,
        prefers=None,
    ):
        """takes(store) says whether a store's disk takes records; watch(write) waits for a write to this one's;
        prefers(run) names stores that should hold a run's records before others."""
        self.me, self.record_store, self.connections = me, record_store, lines
        self.members, self.alive = members, alive
        self.takes = takes or (lambda sid: True)
        self.watch = watch or (lambda write: write)
        self.prefers = prefers or (lambda run: frozenset())
        self.task_group, self.counters, self.seconds = task_group, counters, timeout_s
        self.quorum = quorum
        self._late: dict[str, float] = {}  # store -> until when it is asked only if no other will do
        self._inboxes: dict[str, list] = {}
        self._wakes: dict[str, asyncio.Event] = {}

    def has_enough_copies(self, record: Record) -> bool:
        """Whether a record's copies on stores that stay are enough."""
        return self.quorum.has_enough_copies(record.held, active_members(self.members()))

    def targets(self, job_id: str, held, avoid=(), allow_unreachable: bool = True, first=frozenset()) -> list:
        """The stores that should have a lot's record besides those that hold it: this one, then by rendezvous of the
        lot's id those in touch, those that were late with an answer, and if these are not enough also unreachable ones;
        none whose disk takes nothing. Of each kind those in `first` come before the others."""
        members = active_members(self.members())
        order = [self.me] + rank(job_id, [s for s in members if s != self.me])
        order = [s for s in order if s not in avoid and self.takes(s)]
        if first:
            order.sort(key=lambda sid: sid not in first)
        now, tiers = self.record_store.clock.now(), ([], [], [])
        for sid in order:
            tiers[2 if not self.alive(sid) else 1 if self._late.get(sid, now) > now else 0].append(sid)
        out: list = []
        for tier in tiers if allow_unreachable else tiers[:2]:
            out += self.quorum.choose_copies(tier, {*held, *out}, members)
        return out

    def _shun(self, sids) -> None:
        for sid in sids:
            if sid != self.me:
                self._late[sid] = self.record_store.clock.now() + self.seconds * SHUN
                self.counters.add("copy.late")

    async def replicate(self, run: str, term: int, records: list[Record]) -> None:
        """Have enough stores sync the records; DeposedError if one knows a higher term. One that is slow to answer is
        not waited for: another is asked as well."""
        job_id, first = records[0].head["lot"], self.prefers(run)
        wait: dict[asyncio.Future, tuple] = {}
        slow: set = set()  # asked, without an answer in time
        pause = 0.05
        while True:
            lack = [r for r in records if not self.has_enough_copies(r)]
            if not lack:
                return
            if self.record_store.promised_terms.get(run, 0) > term:
                raise DeposedError(run)
            jobs: dict[str, list] = {}
            for r in lack:
                coming = {
                    sid for sid, rs in wait.values() if sid not in slow and self.takes(sid) and any(r is x for x in rs)
                }
                for sid in self.targets(job_id, r.held | coming, avoid=slow, first=first):
                    jobs.setdefault(sid, []).append(r)
            for sid, rs in jobs.items():
                wait[self.send(sid, run, term, rs)] = (sid, rs)
            if not wait:
                await asyncio.sleep(pause)
                pause = min(0.4, pause * 2)
                slow.clear()
                continue
            done, _ = await asyncio.wait(wait, timeout=self.seconds / 3, return_when=asyncio.FIRST_COMPLETED)
            if not done:
                late = {sid for sid, _ in wait.values()} - slow
                slow |= late
                self._shun(late)
            for t in done:
                sid, _ = wait.pop(t)
                out = t.result()
                if out is False:
                    raise DeposedError(run)
                if out is None:
                    if sid not in slow:
                        self._shun({sid})
                    slow.add(sid)

    async def _here(self, term: int, records: list[Record]):
        try:
            out = await self.watch(self.record_store.append([Record({**r.head, "by": term}, r.body) for r in records]))
        except LogError:
            self.counters.add("copy.own_disk")
            return None  # this store's copy is one like any other: others make up for it
        return self._settle(self.me, out, records)

    def _settle(self, sid: str, verdicts: list, records: list[Record]) -> bool | None:
        """What a store's verdicts on a job's records come to: False if any met a higher term, None if the disk lacks
        the room for any; only if all are synced do they count as held there."""
        if False in verdicts:
            self.counters.add("copy.stale_term")
            return False
        if None in verdicts:
            self.counters.add("copy.no_room")
            return None
        for record in records:
            record.held.add(sid)
        return True

    def send(self, sid: str, run: str, term: int, records: list[Record]) -> asyncio.Future:
        """Put records into a store's inbox; True when synced there, False if deposed, None if it does not answer."""
        if sid == self.me:
            return asyncio.ensure_future(self._here(term, records))
        fut = asyncio.get_running_loop().create_future()
        if sid not in self._inboxes:
            self._inboxes[sid], self._wakes[sid] = [], asyncio.Event()
            self.task_group.run_forever("copy", self._work, sid)
        self._inboxes[sid].append((run, term, records, fut))
        self._wakes[sid].set()
        return fut

    async def _work(self, sid: str) -> None:
        while True:
            await self._wakes[sid].wait()
            self._wakes[sid].clear()
            while self._inboxes[sid]:
                jobs, size = [], 0
                while self._inboxes[sid] and size < 1 << 20:
                    jobs.append(self._inboxes[sid].pop(0))
                    size += sum(len(r.body) for r in jobs[-1][2])
                await self._batch(sid, jobs)

    async def _batch(self, sid: str, jobs: list) -> None:
        member = self.members().get(sid)
        oks = None
        if member is not None:
            records = [Record({**r.head, "by": term}, r.body) for _, term, rs, _ in jobs for r in rs]
            try:
                code, oks, _ = await self.connections.to(member["addr"]).call(
                    "shelf.append", {"to": sid}, pack_many(records), timeout_s=self.seconds
                )
                if code != 1000:
                    # 2008: another life stands there; 3004: it does not know all terms yet; 3010: its disk is full
                    self.counters.add(f"copy.refused.{code}")
                    oks = None
            except CallError:
                self.counters.add("copy.unanswered")
        at = 0
        for _, _, rs, fut in jobs:
            out = None
            if oks is not None:
                out = self._settle(sid, oks[at : at + len(rs)], rs)
                at += len(rs)
            if not fut.done():
                fut.set_result(out)
