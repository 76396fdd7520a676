"""Weight orders: which engine loads which version when; an order without an answer is cleared up before the next."""

from __future__ import annotations

import asyncio
import enum
import math
from collections.abc import Callable

import aiohttp
import orjson

from ..jobs import DeposedError
from ..upstream import ECHO, SEAL, NotSentError, says_not_run
from .load_concurrency import LoadConcurrencyLimit

TURNED_AWAY = frozenset({400, 412, 421})  # answers which say that an order was not taken
LAG_GAPS = 2  # a report may be so old


class Taken(enum.Enum):
    """Whether an engine took an order."""

    YES = "yes"
    NO = "no"
    MAYBE = "maybe"


class ForeignAnswerError(ValueError):
    """An answer that belongs to another request: an order bears no id, so its answer neither."""


class SendGate:
    """Asked right before the write of an order; remembers whether it let it pass.

    >>> gate = SendGate(lambda: True); gate.passed, gate(), gate.passed
    (False, True, True)
    """

    def __init__(self, allowed: Callable[[], bool]):
        self.allowed, self.passed = allowed, False

    def __call__(self) -> bool:
        self.passed = self.allowed()
        return self.passed


class WeightOrders:
    """Brings every engine to the newest named version, a few at a time.

    >>> # orders = WeightOrders(store); crew.keep("orders", orders.run)
    """

    def __init__(self, store):
        self.st = store
        self.room = LoadConcurrencyLimit(store.boot.secs("LeaseMs", 0.1))
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
        return any(
            lot.model == model and not lot.ended and not any(e.revs.get(model, 1) >= lot.least for e in engines)
            for lot in reign.lots.values()
        )

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
            if not await self._cleared(e):
                return
            mode = "retain"
            if self._single(reign, run):
                mode = "hold"
                await self._until_idle(reign, run, e)
            if not reign.may_order() or e.iid not in st.engines.all:
                return
            try:
                until = await reign.intend(e.iid)
            except DeposedError:
                reign.over()
                return
            began = st.clock.now()
            taken = await self._send(reign, run, e, max(target, st.named().get(run, 1)), mode, until)
            if taken is not Taken.NO:
                await self._await_done(run, e, target, began, taken is Taken.YES)
        finally:
            e.ordering = False
            e.held.discard(run)
            self.out -= 1
            st.board.touch("orders")
            st.board.touch("work")

    async def _until_idle(self, reign, run: str, e) -> None:
        """Wait for the items of a model that an engine runs, not longer than a lease."""
        st = self.st
        end = st.clock.now() + st.boot.secs("LeaseMs")
        while e.running.get(run, 0) and st.clock.now() < end and reign.may_order():
            await st.board.news("work", st.board.turn("work"), st.beat_s)

    async def _cleared(self, e) -> bool:
        """Whether nothing is unclear of earlier orders: what got no answer may have been taken, and a report tells."""
        if e.unclear_at is not None:
            await self._report(e)
        if e.unclear_at is None:
            return True
        self.st.ctr.add("order.still_unclear")
        e.pause_until = self.st.clock.now() + self.st.gap_s()
        return False

    async def _send(self, reign, run, e, target, mode, until: float) -> Taken:
        """Send one order; whether it is being carried out.

        The gate is asked when the connection is there: a node that stood still since, also while it connected, or whose
        proof of its lease is too old by then, must not order.
        """
        st = self.st
        gate = SendGate(lambda: st.clock.now() < until and reign.may_order(e.iid))
        if not gate():
            st.ctr.add("order.too_late")
            return Taken.NO
        gate.passed = False
        doc = {
            "Opcode": "Revision",
            "Model": run,
            "Revision": target,
            "Mode": mode,
            "Owner": st.boot.node,
            "FenceToken": reign.term,
        }
        if e.count is not None:
            doc["ExpectedCount"] = e.count
        st.ctr.add("order.send")
        try:
            status, not_run = await self._post(e, doc, gate)
        except NotSentError:
            st.ctr.add("order.too_late")
            return Taken.NO
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError, ValueError):
            if not gate.passed:  # there was no connection to write it on
                e.fitness.note("vanished", st.clock.now(), st.gap_s() * LAG_GAPS)
                return Taken.NO
            return self._unclear(e, "order.unanswered")
        return await self._heed(run, e, target, status, not_run)

    async def _post(self, e, doc: dict, gate: SendGate) -> tuple[int, bool]:
        """The status of a whole answer to an order, and whether it says that nothing was done."""
        st = self.st
        async with asyncio.timeout(st.gap_s() * 2):
            async with st.caller.ask(
                e.addr,
                e.iid,
                "POST",
                "/api/order",
                [("Content-Type", "application/json")],
                orjson.dumps(doc),
                0.0,
                "",
                gate,
            ) as resp:
                self._refuse_foreign(resp)
                await resp.read()
                return resp.status, says_not_run(resp)

    def _refuse_foreign(self, resp) -> None:
        if resp.headers.get(ECHO) or SEAL in resp.headers or resp.status < 200:
            self.st.ctr.add("order.foreign_answer")
            resp.close()
            raise ForeignAnswerError(resp.headers.get(ECHO))

    async def _heed(self, run, e, target, status: int, not_run: bool) -> Taken:
        """What the answer to an order says."""
        st = self.st
        st.ctr.add(f"order.{status}")
        if status == 202:
            e.count = e.count + 1 if e.count is not None else None
            return Taken.YES
        if status == 200:
            e.proven(run, target)
            return Taken.NO
        if status not in TURNED_AWAY and not not_run:
            return self._unclear(e, "order.unclear")  # 409 too: another is under way, or its count is not what it was
        e.pause_until = st.clock.now() + st.gap_s()
        if status == 421:
            await self._clear_up(e)
        return Taken.NO

    def _unclear(self, e, counter: str) -> Taken:
        self.st.ctr.add(counter)
        e.unclear_at = self.st.clock.now()
        return Taken.MAYBE

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
            if sure:  # what may have been another's order says nothing of how long a load takes
                self.room.note(st.clock.now() - began, alone)

    async def _report(self, e) -> dict | None:
        """Read an engine's own report and fold what it shows; None if none comes, or one older than what is known."""
        st, asked = self.st, self.st.clock.now()
        st.ctr.add("report")
        try:
            async with asyncio.timeout(st.gap_s() * 2):
                async with st.caller.ask(e.addr, e.iid, "GET", "/api/report", [], b"", 0.0) as resp:
                    self._refuse_foreign(resp)
                    data = await resp.read()
                    if resp.status != 200:
                        return None
            return self._fold_report(e, orjson.loads(data), asked)
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError, ValueError, KeyError, TypeError):
            return None

    def _fold_report(self, e, doc: dict, asked: float) -> dict | None:
        known, taken = e.count, int(doc["Sequence"])
        if known is not None and taken < known:
            self.st.ctr.add("report.old")
            return None
        for m in doc.get("ModelList") or []:
            e.proven(m["Name"], int(m["Revision"]))
        if not doc.get("Utilization"):
            e.count = taken
            more = known is not None and taken > known
            if e.unclear_at is not None and (more or asked - e.unclear_at >= self.st.gap_s() * LAG_GAPS):
                e.unclear_at = None
        return doc

    async def _clear_up(self, e) -> None:
        """Learn what an engine really holds: what it reports counts, also where it is lower than was believed."""
        rep = await self._report(e)
        if rep is not None and not rep.get("Utilization"):
            e.revs = {m["Name"]: int(m["Revision"]) for m in rep.get("ModelList") or []}
        self.st.board.touch("work")
