"""Weight orders: which engine loads which version when; an order without an answer is cleared up before the next."""

from __future__ import annotations

import asyncio
import enum
import math
from collections.abc import Callable

import aiohttp
import orjson

from ..health import EJECTED
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

    >>> # orders = WeightOrders(store); task_group.run_forever("orders", orders.run)
    """

    def __init__(self, store):
        self.store = store
        self.room = LoadConcurrencyLimit(store.settings.seconds("LeaseMs", 0.1))
        self.out = 0
        self.doubts: set = set()

    def verify_replica(self, e) -> None:
        """An engine turned a version away that it should have."""
        self.doubts.add(e.instance_id)
        self.store.state_board.notify("orders")

    async def run(self) -> None:
        store, turn = self.store, 0
        while True:
            for iid in list(self.doubts):
                self.doubts.discard(iid)
                e = store.engines.all.get(iid)
                if e is not None and not e.has_order_under_way:
                    store.task_group.spawn("doubt", self._clear_up, e)
            while self._start_one():
                pass
            turn = await store.state_board.wait_for_change("orders", turn, store.heartbeat_interval_s)

    def _start_one(self) -> bool:
        store, now = self.store, self.store.clock.now()
        self.room.resize(len(store.engines.all))
        if not self.room.may(self.out):
            return False
        best = None
        named = store.named()
        for leadership, run in [(r, m) for r in store.leaderships.values() for m in store.models_of(r.run)]:
            target = named.get(run, 1)
            if not leadership.may_order():
                continue
            engines = [e for e in store.engines.of_service(leadership.run) if not e.draining]
            if not self._wanted(leadership, run, engines, target):
                continue
            urgent = not any(e.revisions.get(run, 1) >= target for e in engines) or self._starved(
                leadership, run, engines
            )
            for e in engines:
                if (
                    e.revisions.get(run, 1) >= target
                    or e.has_order_under_way
                    or e.health.update(now) is EJECTED
                    or e.is_unreachable
                ):
                    continue
                if e.paused_until > now or not leadership.may_order(e.instance_id):
                    continue
                key = (not urgent, e.running_items.get(run, 0), e.seconds_per_event)
                if best is None or key < best[0]:
                    best = (key, leadership, run, e, target)
        if best is None:
            return False
        _, leadership, run, e, target = best
        e.has_order_under_way = True
        self.out += 1
        store.task_group.spawn("order", self._order, leadership, run, e, target)
        return True

    def _wanted(self, leadership, model: str, engines: list, target: int) -> bool:
        """Whether one more engine should load: each model's even share of them does at once, more when items wait
        that no free place may run."""
        loaded = sum(1 for e in engines if e.revisions.get(model, 1) >= target or model in e.held_models)
        share = math.ceil(len(engines) / max(1, len(self.store.models_of(leadership.run))))
        if loaded < share:
            return True
        return self.store.leader.lacks_replicas(leadership, model)

    def _starved(self, leadership, model, engines) -> bool:
        """Whether an open lot has no engine that may make its tokens."""
        return any(
            batch_job.model == model
            and not batch_job.is_ended
            and not any(e.revisions.get(model, 1) >= batch_job.min_revision for e in engines)
            for batch_job in leadership.batch_jobs.values()
        )

    def _single(self, leadership, model) -> bool:
        plan = self.store.plan
        for batch_job in leadership.batch_jobs.values():
            if not batch_job.is_ended and batch_job.model == model:
                route = plan.route(batch_job.host, batch_job.path.split("?", 1)[0])
                if route is not None and route.single:
                    return True
        return False

    async def _order(self, leadership, run: str, e, target: int) -> None:
        store = self.store
        try:
            e.held_models.add(run)
            if not await self._cleared(e):
                return
            mode = "retain"
            if self._single(leadership, run):
                mode = "hold"
                await self._until_idle(leadership, run, e)
            if not leadership.may_order() or e.instance_id not in store.engines.all:
                return
            try:
                until = await leadership.record_order_intent(e.instance_id)
            except DeposedError:
                leadership.step_down()
                return
            began = store.clock.now()
            taken = await self._send(leadership, run, e, max(target, store.named().get(run, 1)), mode, until)
            if taken is not Taken.NO:
                await self._await_done(run, e, target, began, taken is Taken.YES)
        finally:
            e.has_order_under_way = False
            e.held_models.discard(run)
            self.out -= 1
            store.state_board.notify("orders")
            store.state_board.notify("work")

    async def _until_idle(self, leadership, run: str, e) -> None:
        """Wait for the items of a model that an engine runs, not longer than a lease."""
        store = self.store
        end = store.clock.now() + store.settings.seconds("LeaseMs")
        while e.running_items.get(run, 0) and store.clock.now() < end and leadership.may_order():
            await store.state_board.wait_for_change(
                "work", store.state_board.version("work"), store.heartbeat_interval_s
            )

    async def _cleared(self, e) -> bool:
        """Whether nothing is unclear of earlier orders: what got no answer may have been taken, and a report tells."""
        if e.unresolved_order_at is not None:
            await self._report(e)
        if e.unresolved_order_at is None:
            return True
        self.store.counters.add("order.still_unclear")
        e.paused_until = self.store.clock.now() + self.store.gap_s()
        return False

    async def _send(self, leadership, run, e, target, mode, until: float) -> Taken:
        """Send one order; whether it is being carried out.

        The gate is asked when the connection is there: a node that stood still since, also while it connected, or whose
        proof of its lease is too old by then, must not order.
        """
        store = self.store
        gate = SendGate(lambda: store.clock.now() < until and leadership.may_order(e.instance_id))
        if not gate():
            store.counters.add("order.too_late")
            return Taken.NO
        gate.passed = False
        doc = {
            "Opcode": "Revision",
            "Model": run,
            "Revision": target,
            "Mode": mode,
            "Owner": store.settings.node_name,
            "FenceToken": leadership.term,
        }
        if e.count is not None:
            doc["ExpectedCount"] = e.count
        store.counters.add("order.send")
        try:
            status, not_run = await self._post(e, doc, gate)
        except NotSentError:
            store.counters.add("order.too_late")
            return Taken.NO
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError, ValueError):
            if not gate.passed:  # there was no connection to write it on
                e.health.record("vanished", store.clock.now(), store.gap_s() * LAG_GAPS)
                return Taken.NO
            return self._unclear(e, "order.unanswered")
        return await self._heed(run, e, target, status, not_run)

    async def _post(self, e, doc: dict, gate: SendGate) -> tuple[int, bool]:
        """The status of a whole answer to an order, and whether it says that nothing was done."""
        store = self.store
        async with asyncio.timeout(store.gap_s() * 2):
            async with store.upstream_client.ask(
                e.address,
                e.instance_id,
                "POST",
                "/api/order",
                [("Content-Type", "application/json")],
                orjson.dumps(doc),
                0.0,
                "",
                gate,
            ) as response:
                self._refuse_foreign(response)
                await response.read()
                return response.status, says_not_run(response)

    def _refuse_foreign(self, response) -> None:
        if response.headers.get(ECHO) or SEAL in response.headers or response.status < 200:
            self.store.counters.add("order.foreign_answer")
            response.close()
            raise ForeignAnswerError(response.headers.get(ECHO))

    async def _heed(self, run, e, target, status: int, not_run: bool) -> Taken:
        """What the answer to an order says."""
        store = self.store
        store.counters.add(f"order.{status}")
        if status == 202:
            e.count = e.count + 1 if e.count is not None else None
            return Taken.YES
        if status == 200:
            e.record_revision(run, target)
            return Taken.NO
        if status not in TURNED_AWAY and not not_run:
            return self._unclear(e, "order.unclear")  # 409 too: another is under way, or its count is not what it was
        e.paused_until = store.clock.now() + store.gap_s()
        if status == 421:
            await self._clear_up(e)
        return Taken.NO

    def _unclear(self, e, counter: str) -> Taken:
        self.store.counters.add(counter)
        e.unresolved_order_at = self.store.clock.now()
        return Taken.MAYBE

    async def _await_done(self, run, e, target, began, sure: bool) -> None:
        store = self.store
        alone = self.out
        pause = self.room.load_s
        end = began + store.settings.seconds("LeaseMs", 2)
        while store.clock.now() < end and e.instance_id in store.engines.all:
            await asyncio.sleep(pause)
            if e.revisions.get(run, 1) >= target:
                break
            rep = await self._report(e)
            if rep is not None and not rep.get("Utilization") and e.revisions.get(run, 1) < target:
                if store.clock.now() - began > self.room.load_s + store.gap_s() * 2:
                    store.counters.add("order.lost")
                    return
            pause = max(0.03, self.room.load_s * 0.15)
        if e.revisions.get(run, 1) >= target:
            store.counters.add("order.done")
            if sure:  # what may have been another's order says nothing of how long a load takes
                self.room.note(store.clock.now() - began, alone)

    async def _report(self, e) -> dict | None:
        """Read an engine's own report and fold what it shows; None if none comes, or one older than what is known."""
        store, asked = self.store, self.store.clock.now()
        store.counters.add("report")
        try:
            async with asyncio.timeout(store.gap_s() * 2):
                async with store.upstream_client.ask(
                    e.address, e.instance_id, "GET", "/api/report", [], b"", 0.0
                ) as response:
                    self._refuse_foreign(response)
                    data = await response.read()
                    if response.status != 200:
                        return None
            return self._fold_report(e, orjson.loads(data), asked)
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError, ValueError, KeyError, TypeError):
            return None

    def _fold_report(self, e, doc: dict, asked: float) -> dict | None:
        known, taken = e.count, int(doc["Sequence"])
        if known is not None and taken < known:
            self.store.counters.add("report.old")
            return None
        for m in doc.get("ModelList") or []:
            e.record_revision(m["Name"], int(m["Revision"]))
        if not doc.get("Utilization"):
            e.count = taken
            more = known is not None and taken > known
            if e.unresolved_order_at is not None and (
                more or asked - e.unresolved_order_at >= self.store.gap_s() * LAG_GAPS
            ):
                e.unresolved_order_at = None
        return doc

    async def _clear_up(self, e) -> None:
        """Learn what an engine really holds: what it reports counts, also where it is lower than was believed."""
        rep = await self._report(e)
        if rep is not None and not rep.get("Utilization"):
            e.revisions = {m["Name"]: int(m["Revision"]) for m in rep.get("ModelList") or []}
        self.store.state_board.notify("work")
