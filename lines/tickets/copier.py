"""Copies records to other stores: one task and one inbox for each of them, batches that share a sync."""
from __future__ import annotations

import asyncio

from ..directory import rank
from ..trunk import LineFault
from .rec import Rec, pack_many

COPIES = 2   # synced copies that an acknowledgement stands on
WISHED = 3   # copies that are made when all is well


class Deposed(Exception):
    """Another holds the run under a higher term."""


class Copier:
    """put() returns when two stores have synced the records.

    >>> # await copier.put("run", 3, recs)
    """

    def __init__(self, me, shelf, lines, members, alive, crew, ctr, secs: float):
        self.me, self.shelf, self.lines = me, shelf, lines
        self.members, self.alive = members, alive
        self.crew, self.ctr, self.secs = crew, ctr, secs
        self._inboxes: dict[str, list] = {}
        self._wakes: dict[str, asyncio.Event] = {}

    def targets(self, lid: str) -> list:
        """Other stores for a lot, the ones that should have it first, those that are silent last."""
        names = [s for s, m in self.members().items() if m["state"] == "active" and s != self.me]
        order = rank(lid, names)
        return [s for s in order if self.alive(s)] + [s for s in order if not self.alive(s)]

    async def put(self, run: str, term: int, recs: list[Rec]) -> None:
        """Append here and elsewhere; Deposed if a store knows a higher term."""
        lid = recs[0].head["lot"]
        wait = {asyncio.ensure_future(self._here(term, recs)): self.me}
        left = self.targets(lid)
        for sid in left[:WISHED - 1]:
            wait[self.send(sid, run, term, recs)] = sid
        left = left[WISHED - 1:]
        good = 0
        pause = 0.05
        while good < COPIES:
            if not wait:
                await asyncio.sleep(pause)
                pause = min(0.4, pause * 2)
                if self.shelf.promised.get(run, 0) > term:
                    raise Deposed(run)
                lacking = [s for s in self.targets(lid) if not all(s in r.held for r in recs)]
                if self.me not in recs[0].held:
                    wait[asyncio.ensure_future(self._here(term, recs))] = self.me
                for sid in lacking[:WISHED - 1]:
                    wait[self.send(sid, run, term, recs)] = sid
                if not wait:
                    continue
            done, _ = await asyncio.wait(wait, return_when=asyncio.FIRST_COMPLETED)
            for t in done:
                sid = wait.pop(t)
                out = t.result()
                if out is True:
                    good += 1
                elif out is False:
                    raise Deposed(run)
                elif left:
                    nxt = left.pop(0)
                    wait[self.send(nxt, run, term, recs)] = nxt

    async def _here(self, term: int, recs: list[Rec]):
        out = await self.shelf.append([Rec({**r.head, "by": term}, r.body) for r in recs])
        if not all(out):
            return False
        for r in recs:
            r.held.add(self.me)
        return True

    def send(self, sid: str, run: str, term: int, recs: list[Rec]) -> asyncio.Future:
        """Put records into a store's inbox; True when synced there, False if deposed, None if it does not answer."""
        fut = asyncio.get_running_loop().create_future()
        if sid not in self._inboxes:
            self._inboxes[sid], self._wakes[sid] = [], asyncio.Event()
            self.crew.keep("copy", self._work, sid)
        self._inboxes[sid].append((run, term, recs, fut))
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
            recs = [Rec({**r.head, "by": term}, r.body) for _, term, rs, _ in jobs for r in rs]
            try:
                code, oks, _ = await self.lines.to(member["addr"]).call("shelf.append", {"to": sid}, pack_many(recs),
                                                                        secs=self.secs)
                if code != 1000:
                    oks = None
            except LineFault:
                self.ctr.add("copy.unanswered")
        at = 0
        for _, _, rs, fut in jobs:
            out = None
            if oks is not None:
                out = all(oks[at:at + len(rs)])
                at += len(rs)
                if out:
                    for r in rs:
                        r.held.add(sid)
            if not fut.done():
                fut.set_result(out)
