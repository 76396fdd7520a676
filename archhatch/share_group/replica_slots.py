"""The replicas' slots: how many may take items now, which worker drives which replica, whether there are too few."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..health import EJECTED, SUSPECT
from ..membership import rank
from ..rollout_controller.load_limit import LoadLimit
from .hosts import LeaderHost
from .led_partitions import LedPartitions, WorkerState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..jobs import BatchJob
    from ..rollout_controller.engines import Engine
    from ..routing import RoutingTable
    from ..routing.routes import Route

SUSPECT_SHARE = 3  # a suspect replica gets one in so many of its slots, and one at least
DEMAND_DONE_BY = 0.8  # of the time until a job is due: the demand is what has all done by then
IN_TIME_SHARE = 0.4  # of the time until a job is due: what waits and is done by then needs no more replicas
LAGGING_RATIO = 4.0  # a worker whose timers lag this many times the median drives no replica
MIN_LAG_HEARTBEATS = 0.25  # in heartbeat intervals: a lag below is never too much
MIN_OTHER_WORKERS = 2  # from so many others on, the leader's own node drives no replica


def route_of(plan: RoutingTable | None, batch_job: BatchJob) -> Route | None:
    """Returns the route that a batch job came by, or None if the configuration has it no more.

    >>> route_of(None, None) is None
    True
    """
    return plan.find_route(batch_job.host, batch_job.path.split("?", 1)[0]) if plan is not None else None


def has_model(engine: Engine, run: LedPartitions, model: str) -> bool:
    """Returns whether an engine serves a model of a run; those of the run's own service do."""
    return engine.service == run.leadership.run or model in engine.revisions


def _demanded_service(run: LedPartitions, route: Route) -> str:
    """The service that is to have the slots for a batch job: the run's own, if its route leads there at all."""
    services = [service for service, _ in route.traffic_split]
    return run.leadership.run if run.leadership.run in services else services[0]


class ReplicaSlots:
    """Answers for one leader.

    Attributes:
        host: What is used of the node.
        load_limit: How many slots live requests leave.
    """

    def __init__(self, host: LeaderHost) -> None:
        self.host = host
        self.load_limit = LoadLimit()

    def eligible_workers(self, run: LedPartitions) -> list[WorkerState]:
        """Returns the workers that may drive replicas.

        Not those whose timers lag far behind the others', nor this node if enough others can: the leader has work of
        its own.
        """
        workers = list(run.workers.values())
        lags = sorted(worker.timer_lag_s for worker in workers)
        median_s = lags[len(lags) // 2] if lags else 0.0
        max_lag_s = max(LAGGING_RATIO * median_s, self.host.heartbeat_interval_s * MIN_LAG_HEARTBEATS)
        prompt = [worker for worker in workers if worker.timer_lag_s <= max_lag_s] or workers
        others = [worker for worker in prompt if worker.worker_id != self.host.id]
        return others if len(others) >= MIN_OTHER_WORKERS else prompt

    def driver_of(self, run: LedPartitions, engine: Engine) -> str | None:
        """Returns the worker that drives an engine, by rendezvous hashing among the workers of the engine's zone.

        Where its zone has none, among all; None while there are no workers.
        """
        key = tuple(sorted((worker.worker_id, worker.zone) for worker in self.eligible_workers(run)))
        if key != run.drivers_key:
            run.drivers_key = key
            run.drivers = {}
        driver = run.drivers.get(engine.instance_id)
        if driver is None and key:
            nearby = [worker_id for worker_id, zone in key if zone == engine.zone]
            driver = rank(engine.instance_id, nearby or [worker_id for worker_id, _ in key])[0]
            run.drivers[engine.instance_id] = driver
        return driver

    def engines_of(self, run: LedPartitions) -> list[Engine]:
        """Returns the engines to which items of a run may go: those of all services that its routes lead to now."""
        engines_of_service = self.host.engines.of_service
        if len(run.services) == 1:
            return engines_of_service(next(iter(run.services)))
        return [engine for service in sorted(run.services) for engine in engines_of_service(service)]

    def usable_slots(self, engine: Engine) -> int:
        """Returns how many slots of an engine live requests leave, busy ones included."""
        return self.load_limit.usable_slots(engine.service, engine.slots, self.host.engines.count_of(engine.service))

    def free_slots(self, engine: Engine, now: float) -> int:
        """Returns how many more items an engine may take; a suspect one gets few until it has proven itself."""
        if engine.draining or engine.paused_until > now:
            return 0
        health = engine.health.update(now)
        if health is EJECTED:
            return 0
        slots = self.usable_slots(engine)
        if health is SUSPECT:
            slots = min(slots, max(1, slots // SUSPECT_SHARE))
        return slots - engine.running_count()

    def lacks_replicas(self, run: LedPartitions, model: str) -> bool:
        """Returns whether more replicas should load a model.

        So if items that the trainer waits for find no free slot under a version that they allow, and would not be
        done well before they are due where the others run.
        """
        now = self.host.clock.now()
        for job_id, queue in run.queues.items():
            batch_job = run.leadership.batch_jobs.get(job_id)
            if batch_job is None or batch_job.model != model or batch_job.is_ended:
                continue
            queue.promote_delayed(now)
            if not queue.wanted_count:
                continue
            engines = self._engines_for(run, batch_job)
            if any(engine.running_count() < self.usable_slots(engine) for engine in engines):
                continue
            running = sum(engine.running_items.get(model, 0) for engine in engines)
            if not self._is_done_in_time(run, batch_job, queue.wanted_count, running, now):
                return True
        return False

    def _engines_for(self, run: LedPartitions, batch_job: BatchJob) -> list[Engine]:
        """The engines whose version of the model a batch job allows."""
        model = batch_job.model
        return [
            engine
            for engine in self.engines_of(run)
            if has_model(engine, run, model)
            and model not in engine.held_models
            and engine.revisions.get(model, 1) >= batch_job.min_revision
            and not engine.draining
        ]

    def _is_done_in_time(self, run: LedPartitions, batch_job: BatchJob, waiting: int, running: int, now: float) -> bool:
        """Whether so many waiting items of a batch job would be done well before it is due."""
        route = route_of(self.host.plan, batch_job)
        done_s = run.times.forecast(batch_job.model, waiting, running)
        if route is None or done_s is None:
            return False
        return done_s <= IN_TIME_SHARE * (batch_job.accepted_at + route.result_due_s - now)

    def demand(self, run: LedPartitions) -> dict[str, float]:
        """Returns, by service, the slots with which all open batch jobs of a run would be done in time.

        Counts what the trainer waits for and what runs now, where the batch job's route leads first.
        """
        now = self.host.clock.now()
        slots = {run.leadership.run: 0.0}
        for job_id, queue in run.queues.items():
            batch_job = run.leadership.batch_jobs.get(job_id)
            if batch_job is None or batch_job.is_ended:
                continue
            route = route_of(self.host.plan, batch_job)
            mean_s = run.times.mean_s(batch_job.model)
            if route is None or mean_s is None:
                continue
            running = len(run.entries.get(job_id, ())) - queue.wanted_count - queue.surplus_count
            left_s = DEMAND_DONE_BY * (batch_job.accepted_at + route.result_due_s - now)
            slots_per_item = min(1.0, mean_s / left_s) if left_s > 0 else 1.0
            service = _demanded_service(run, route)
            slots[service] = slots.get(service, 0.0) + slots_per_item * (queue.wanted_count + max(0, running))
        return slots

    def free_slots_on(self, run: LedPartitions, routes: Iterable[Route]) -> int:
        """Returns the free slots of the run's engines in all zones that any of the routes may use."""
        now = self.host.clock.now()
        distinct = {id(route): route for route in routes}.values()  # by identity: equal routes are one object
        zones = {zone for route in distinct for zone in self.host.placement.zones(route) or ()}
        engines = [engine for engine in self.engines_of(run) if engine.zone in zones]
        return sum(max(0, self.free_slots(engine, now)) for engine in engines)
