"""Weight orders: which engine loads which version when; an order without an answer is cleared up before the next."""
from __future__ import annotations

import asyncio
import math

import aiohttp
import orjson

from ..batches import Deposed
from .room import LoadRoom

TAKEN, MAYBE = "taken", "maybe"


class Orders:
    """Brings every engine to the newest named version, a few at a time.

    >>> # orders = Orders(store); crew.keep("orders", orders.run)
    """

    def __init__(self, store):
        self.st = store
        self.room = LoadRoom(store.boot.secs("LeaseMs", 0.1))
        self.out = 0
        self.doubts: set = set()

    def doubt(self, e) -> None:
        """An engine turned a version away that it should have."""
        self.doubts.add(e.iid)
        self.st.board.touch("orders")

    async def run(self) -> None:
        st, turn = self.st, 0
        while True:
            for iid in list(self.doubts):
                self.doubts.discard(iid)
                e = st.engines.all.get(iid)
                if e is not None and not e.ordering:
                    st.crew.once("doubt", self._clear_up, e)
            while self._start_one():
                pass
            turn = await st.board.news("orders", turn, st.beat_s)

    def _start_one(self) -> bool:
        st, now = self.st, self.st.clock.now()
        self.room.resize(len(st.engines.all))
        if not self.room.may(self.out):
            return False
        best = None
        named = st.named()
        for reign, run in [(r, m) for r in st.reigns.values() for m in st.models_of(r.run)]:
            target = named.get(run, 1)
            if not reign.may_order():
                continue
            engines = [e for e in st.engines.of(reign.run) if not e.draining]
            if not self._wanted(reign, run, engines, target):
                continue
            urgent = not any(e.revs.get(run, 1) >= target for e in engines) or self._starved(reign, run, engines)
            for e in engines:
                if e.revs.get(run, 1) >= target or e.ordering or e.fitness.look(now) == "resting" or e.silent:
                    continue
                if e.pause_until > now or not reign.may_order(e.iid):
                    continue
                key = (not urgent, e.running.get(run, 0), e.pace)
                if best is None or key < best[0]:
                    best = (key, reign, run, e, target)
        if best is None:
            return False
        _, reign, run, e, target = best
        e.ordering = True
        self.out += 1
        st.crew.once("order", self._order, reign, run, e, target)
        return True

    def _wanted(self, reign, model: str, engines: list, target: int) -> bool:
        """Whether one more engine should load: each model's even share of them does at once, more when items wait
        that no free place may run."""
        loaded = sum(1 for e in engines if e.revs.get(model, 1) >= target or model in e.held)
        share = math.ceil(len(engines) / max(1, len(self.st.models_of(reign.run))))
        if loaded < share:
            return True
        return self.st.leader.short(reign, model)

    def _starved(self, reign, model, engines) -> bool:
        """Whether an open lot has no engine that may make its tokens."""
        return any(lot.model == model and not lot.ended and not any(e.revs.get(model, 1) >= lot.least for e in engines)
                   for lot in reign.lots.values())

    def _single(self, reign, model) -> bool:
        plan = self.st.plan
        for lot in reign.lots.values():
            if not lot.ended and lot.model == model:
                lane = plan.lane(lot.host, lot.path.split("?", 1)[0])
                if lane is not None and lane.single:
                    return True
        return False

    async def _order(self, reign, run: str, e, target: int) -> None:
        st = self.st
        try:
            e.held.add(run)
            mode = "retain"
            if self._single(reign, run):
                mode = "hold"
                end = st.clock.now() + st.boot.secs("LeaseMs")
                while e.running.get(run, 0) and st.clock.now() < end and reign.may_order():
                    await st.board.news("work", st.board.turn("work"), st.beat_s)
            if not reign.may_order() or e.iid not in st.engines.all:
                return
            target = max(target, st.named().get(run, 1))
            try:
                until = await reign.intend(e.iid)
            except Deposed:
                reign.over()
                return
            began = st.clock.now()
            # checked last, right before the send: a node that stood still since must not order
            if began >= until or not reign.may_order(e.iid):
                st.ctr.add("order.too_late")
                return
            sent = await self._send(reign, run, e, target, mode)
            if sent:
                await self._await_done(run, e, target, began, sent == TAKEN)
        finally:
            e.ordering = False
            e.held.discard(run)
            self.out -= 1
            st.board.touch("orders")
            st.board.touch("work")

    async def _send(self, reign, run, e, target, mode) -> str:
        """Send one order; TAKEN or MAYBE if it is, or may be, being carried out."""
        st = self.st
        doc = {"Opcode": "Revision", "Model": run, "Revision": target, "Mode": mode, "Owner": st.boot.node,
               "FenceToken": reign.term}
        if e.count is not None:
            doc["ExpectedCount"] = e.count
        st.ctr.add("order.send")
        try:
            async with asyncio.timeout(st.gap_s() * 2):
                async with st.caller.ask(e.addr, e.iid, "POST", "/api/order", [("Content-Type", "application/json")],
                                         orjson.dumps(doc), 0.0) as resp:
                    await resp.read()
                    status = resp.status
        except aiohttp.ClientConnectorError:
            e.fitness.note("vanished", st.clock.now(), st.gap_s() * 2)
            return ""
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError, TimeoutError):
            st.ctr.add("order.unanswered")
            e.count = None
            return MAYBE
        st.ctr.add(f"order.{status}")
        if status == 202:
            e.count = e.count + 1 if e.count is not None else None
            return TAKEN
        if status == 200:
            e.proven(run, target)
            return ""
        if status == 409:
            e.count = None
            return MAYBE
        e.pause_until = st.clock.now() + st.gap_s()
        if status == 421:
            await self._clear_up(e)
        return ""

    async def _await_done(self, run, e, target, began, sure: bool) -> None:
        st = self.st
        alone = self.out
        pause = self.room.load_s
        end = began + st.boot.secs("LeaseMs", 2)
        while st.clock.now() < end and e.iid in st.engines.all:
            await asyncio.sleep(pause)
            if e.revs.get(run, 1) >= target:
                break
            rep = await self._report(e)
            if rep is not None and not rep.get("Utilization") and e.revs.get(run, 1) < target:
                if st.clock.now() - began > self.room.load_s + st.gap_s() * 2:
                    st.ctr.add("order.lost")
                    return
            pause = max(0.03, self.room.load_s * 0.15)
        if e.revs.get(run, 1) >= target:
            st.ctr.add("order.done")
            if sure:   # what may have been another's order says nothing of how long a load takes
                self.room.note(st.clock.now() - began, alone)

    async def _report(self, e) -> dict | None:
        """Read an engine's own report and fold the versions that it shows."""
        st = self.st
        st.ctr.add("report")
        try:
            async with asyncio.timeout(st.gap_s() * 2):
                async with st.caller.ask(e.addr, e.iid, "GET", "/api/report", [], b"", 0.0) as resp:
                    data = await resp.read()
                    if resp.status != 200:
                        return None
            doc = orjson.loads(data)
            for m in doc.get("ModelList") or []:
                e.proven(m["Name"], int(m["Revision"]))
            if not doc.get("Utilization"):
                e.count = int(doc["Sequence"]) if "Sequence" in doc else None
            return doc
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError, TimeoutError, ValueError, KeyError, TypeError):
            return None

    async def _clear_up(self, e) -> None:
        """Learn what an engine really holds: what it reports counts, also where it is lower than was believed."""
        rep = await self._report(e)
        if rep is not None and not rep.get("Utilization"):
            e.revs = {m["Name"]: int(m["Revision"]) for m in rep.get("ModelList") or []}
        self.st.board.touch("work")
