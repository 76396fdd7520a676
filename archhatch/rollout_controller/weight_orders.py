"""Weight orders: brings every engine to the newest named version of the models that are trained on its service."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

from ..runtime import EntryGuard
from ..health import EJECTED
from ..jobs import BatchJob, DeposedError
from .engines import Engine
from .host import WeightOrderHost
from .load_concurrency import LoadConcurrencyLimit
from .replica_orders import OrderOutcome, OrderRequest, ReplicaOrderClient
from .weight_order_policy import LoadRank, has_share, is_urgent, needs_single_version, rank_of

INITIAL_LOAD = 0.1  # of LeaseMs: what a load is reckoned to take before the first is seen
LOAD_DEADLINE = 2  # of LeaseMs: how long to wait for a load
MIN_REPORT_PAUSE_S = 0.03  # between the reports that are read while an engine loads
REPORT_PAUSE = 0.15  # of a load's time: the same
LOST_AFTER = 2  # of replica_pause_s beyond a load's time: an idle engine without the version has lost the order
FIRST_REVISION = 1  # what every replica starts with


class _Load(NamedTuple):
    """The order that is to be given next."""

    rank: LoadRank
    leadership: Any
    model: str
    engine: Engine
    revision: int


class WeightOrders:
    """Orders weights from engines, a few at a time.

    Attributes:
        limit: How many engines may load at once.
        loading_count: How many orders are under way.
        to_verify: Engines that turned a version away which they should have.

    >>> # orders = WeightOrders(host); task_group.run_forever("orders", orders.run)
    """

    def __init__(self, host: WeightOrderHost) -> None:
        self.host = host
        self.client = ReplicaOrderClient(host)
        self.limit = LoadConcurrencyLimit(host.settings.seconds("LeaseMs", INITIAL_LOAD))
        self.loading_count = 0
        self.to_verify: set[str] = set()
        self._guard = EntryGuard("weight_orders", host.log, host.counters, host.clock)

    def verify_replica(self, engine: Engine) -> None:
        """Has an engine's report read, because it turned a version away that it should have."""
        self.to_verify.add(engine.instance_id)
        self.host.state_board.notify("orders")

    async def run(self) -> None:
        """Starts orders as they become due."""
        host = self.host
        version = 0
        while True:
            for instance_id in list(self.to_verify):
                self.to_verify.discard(instance_id)
                engine = host.engines.all.get(instance_id)
                if engine is not None and not engine.has_order_under_way:
                    host.task_group.spawn("doubt", self.client.resynchronize, engine)
            while self._start_next():
                pass
            version = await host.state_board.wait_for_change("orders", version, host.heartbeat_interval_s)

    # -- which order is next

    def _start_next(self) -> bool:
        """Starts the most urgent order, if one may start; returns whether one did."""
        host = self.host
        self.limit.resize(len(host.engines.all))
        if not self.limit.allows_another(self.loading_count):
            return False
        load = self._next_load()
        if load is None:
            return False
        load.engine.has_order_under_way = True
        self.loading_count += 1
        host.task_group.spawn("order", self._order, load.leadership, load.model, load.engine, load.revision)
        return True

    def _next_load(self) -> _Load | None:
        host = self.host
        best: _Load | None = None
        now = host.clock.now()
        named = host.named()
        for leadership in host.leaderships.values():
            for model in self._models_of(leadership):
                with self._guard.entry(f"{leadership.run}/{model}"):
                    load = self._next_load_of(leadership, model, named.get(model, FIRST_REVISION), now)
                    if load is not None and (best is None or load.rank < best.rank):
                        best = load
        return best

    def _models_of(self, leadership: Any) -> list[str]:  # noqa: ANN401 - a leadership term or a stand-in
        with self._guard.entry(leadership.run):
            return self.host.models_of(leadership.run)
        return []

    def _next_load_of(self, leadership: Any, model: str, revision: int, now: float) -> _Load | None:  # noqa: ANN401 - as above
        """The load of a model's version that is due next, among the engines of its run."""
        host = self.host
        if not leadership.may_order():
            return None
        engines = [engine for engine in host.engines.of_service(leadership.run) if not engine.draining]
        if not self._needs_another(leadership, model, engines, revision):
            return None
        urgent = is_urgent(self._batch_jobs(), engines, model, revision)
        best: _Load | None = None
        for engine in engines:
            if not self._may_load(leadership, engine, model, revision, now):
                continue
            rank = rank_of(engine, model, urgent)
            if best is None or rank < best.rank:
                best = _Load(rank, leadership, model, engine, revision)
        return best

    def _batch_jobs(self) -> list[BatchJob]:
        """The batch jobs of all runs that this node leads: a job's route may lead to another service by now."""
        return [job for leadership in self.host.leaderships.values() for job in leadership.batch_jobs.values()]

    def _needs_another(self, leadership: Any, model: str, engines: list[Engine], revision: int) -> bool:  # noqa: ANN401 - a leadership term or a stand-in
        """Whether one more engine should load: up to each model's even share at once, then while items wait."""
        if not has_share(engines, model, revision, len(self.host.models_of(leadership.run))):
            return True
        return self.host.leader.lacks_replicas(leadership, model)

    def _may_load(
        self,
        leadership: Any,  # noqa: ANN401 - as above
        engine: Engine,
        model: str,
        revision: int,
        now: float,
    ) -> bool:
        """Whether an engine lacks a version and may be ordered to load it now."""
        if engine.has_revision(model, revision) or engine.has_order_under_way:
            return False
        if engine.health.update(now) is EJECTED or engine.is_unreachable:
            return False
        return engine.paused_until <= now and leadership.may_order(engine.instance_id)

    # -- one order

    async def _order(self, leadership: Any, model: str, engine: Engine, revision: int) -> None:  # noqa: ANN401 - as above
        host = self.host
        try:
            engine.held_models.add(model)
            if not await self.client.is_resolved(engine):
                return
            mode = "retain"
            if needs_single_version(self._batch_jobs(), model, host.plan):
                mode = "hold"
                await self._wait_until_idle(leadership, model, engine)
            if not leadership.may_order() or engine.instance_id not in host.engines.all:
                return
            try:
                until = await leadership.record_order_intent(engine.instance_id)
            except DeposedError:
                leadership.step_down()
                return
            began_at = host.clock.now()
            newest = max(revision, host.named().get(model, FIRST_REVISION))
            request = self.request_for(leadership, engine, model, newest, mode)
            outcome = await self.client.send(leadership, engine, request, until)
            if outcome is not OrderOutcome.REFUSED:
                await self._wait_until_loaded(model, engine, revision, began_at, outcome)
        finally:
            engine.has_order_under_way = False
            engine.held_models.discard(model)
            self.loading_count -= 1
            host.state_board.notify("orders")
            host.state_board.notify("work")

    def request_for(self, leadership: Any, engine: Engine, model: str, revision: int, mode: str) -> OrderRequest:  # noqa: ANN401 - as above
        """Returns the order for an engine to load a version."""
        return OrderRequest(
            opcode="Revision",
            model=model,
            revision=revision,
            mode=mode,
            owner=self.host.settings.node_name,
            fence_token=leadership.term,
            expected_count=engine.count,
        )

    async def _wait_until_idle(self, leadership: Any, model: str, engine: Engine) -> None:  # noqa: ANN401 - as above
        """Waits for the items of a model that an engine runs, not longer than a lease."""
        host = self.host
        board = host.state_board
        deadline = host.clock.now() + host.settings.seconds("LeaseMs")
        while engine.running_items.get(model, 0) and host.clock.now() < deadline and leadership.may_order():
            await board.wait_for_change("work", board.version("work"), host.heartbeat_interval_s)

    async def _wait_until_loaded(
        self, model: str, engine: Engine, revision: int, began_at: float, outcome: OrderOutcome
    ) -> None:
        """Waits for a load that is being carried out, or may be, and learns from the time that it took."""
        host = self.host
        at_once = self.loading_count
        pause_s = self.limit.load_s
        deadline = began_at + host.settings.seconds("LeaseMs", LOAD_DEADLINE)
        while host.clock.now() < deadline and engine.instance_id in host.engines.all:
            await asyncio.sleep(pause_s)
            if engine.has_revision(model, revision):
                break
            if await self._is_lost(model, engine, revision, began_at):
                host.counters.add("order.lost")
                return
            pause_s = max(MIN_REPORT_PAUSE_S, self.limit.load_s * REPORT_PAUSE)
        if engine.has_revision(model, revision):
            host.counters.add("order.done")
            if outcome is OrderOutcome.TAKEN:  # what may have been another's order does not tell how long a load takes
                self.limit.record_load(host.clock.now() - began_at, at_once)

    async def _is_lost(self, model: str, engine: Engine, revision: int, began_at: float) -> bool:
        """Whether an engine reports that it loads nothing and lacks the version, later than a load takes."""
        report = await self.client.read_report(engine)
        if report is None or report.is_loading or engine.has_revision(model, revision):
            return False
        host = self.host
        return host.clock.now() - began_at > self.limit.load_s + host.replica_pause_s() * LOST_AFTER
