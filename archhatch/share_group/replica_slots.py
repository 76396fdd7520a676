"""The places of replicas: how many of them may take items now, who drives which, and whether there are too few."""

from __future__ import annotations

from ..health import EJECTED, SUSPECT
from ..membership import rank
from ..rollout_controller.load_limit import LoadLimit
from .led_partitions import LedPartitions

DOUBTFUL = 3  # a replica in doubt has one place in so many
DONE_BY = 0.8  # of the time until a lot is due: by then its demand has all done
IN_TIME = 0.4  # of the time until a lot is due: what waits and would be done in so much needs no more replicas
LAG = 4.0  # a worker whose node lags this many times more than the middle one drives no replica


def lane_of(plan, batch_job):
    """The lane that a lot came by; None if the configuration has it no more.

    >>> lane_of(None, None) is None
    True
    """
    return plan.route(batch_job.host, batch_job.path.split("?", 1)[0]) if plan is not None else None


class ReplicaSlots:
    """Answers for one leader.

    >>> # places = ReplicaSlots(store); places.free_slots(engine, now); places.driver_of(run, engine)
    """

    def __init__(self, store):
        self.store = store
        self.load_limit = LoadLimit()

    def eligible_workers(self, run: LedPartitions) -> list:
        """Seats that may drive replicas: not those that lag far behind the others, nor this node if others can."""
        seats = list(run.workers.values())
        lags = sorted(s.lag for s in seats)
        middle = lags[len(lags) // 2] if lags else 0.0
        well = [s for s in seats if s.lag <= max(LAG * middle, self.store.heartbeat_interval_s * 0.25)] or seats
        others = [s for s in well if s.worker != self.store.id]
        return others if len(others) >= 2 else well

    def driver_of(self, run: LedPartitions, e) -> str | None:
        """The worker of an engine, by rendezvous: of the engine's zone where there is one."""
        seats = self.eligible_workers(run)
        key = tuple(sorted((s.worker, s.zone) for s in seats))
        if key != run.drivers_of:
            run.drivers_of, run.drivers = key, {}
        got = run.drivers.get(e.instance_id)
        if got is None and key:
            near = [w for w, z in key if z == e.zone] or [w for w, _ in key]
            got = run.drivers[e.instance_id] = rank(e.instance_id, near)[0]
        return got

    def usable_slots(self, e) -> int:
        return self.load_limit.usable_slots(e.service, e.slots, self.store.engines.count_of(e.service))

    def free_slots(self, e, now: float) -> int:
        """Free places of an engine that may have items; one in doubt gets few until it has proven itself."""
        if e.draining or e.paused_until > now:
            return 0
        health = e.health.update(now)
        if health is EJECTED:
            return 0
        places = self.usable_slots(e)
        return (min(places, max(1, places // DOUBTFUL)) if health is SUSPECT else places) - e.running_count()

    def lacks_replicas(self, run: LedPartitions, model: str) -> bool:
        """Whether items that the trainer waits for find no free place under a version that they allow, and would not be
        done well before they are due where the others run."""
        now = self.store.clock.now()
        for job_id, q in run.queues.items():
            batch_job = run.leadership.batch_jobs.get(job_id)
            if batch_job is None or batch_job.model != model or batch_job.is_ended or not q.wanted(now):
                continue
            fit = [
                e
                for e in self.store.engines.of_service(run.leadership.run)
                if model not in e.held_models and e.revisions.get(model, 1) >= batch_job.min_revision and not e.draining
            ]
            if any(e.running_count() < self.usable_slots(e) for e in fit):
                continue
            if not self._in_time(
                run, batch_job, q.waiting[False], sum(e.running_items.get(model, 0) for e in fit), now
            ):
                return True
        return False

    def demand(self, run: LedPartitions) -> float:
        """The places that would have all open lots done in time: for what the trainer waits for, and what runs now."""
        now, total = self.store.clock.now(), 0.0
        for job_id, queue in run.queues.items():
            batch_job = run.leadership.batch_jobs.get(job_id)
            route = lane_of(self.store.plan, batch_job) if batch_job is not None and not batch_job.is_ended else None
            mean_s = run.times.mean_s(batch_job.model) if route is not None else None
            if mean_s is None:
                continue
            running = len(run.entries.get(job_id, ())) - sum(queue.waiting)
            left_s = DONE_BY * (batch_job.accepted_at + route.due_s - now)
            share = min(1.0, mean_s / left_s) if left_s > 0 else 1.0
            total += share * (queue.waiting[False] + max(0, running))
        return total

    def _in_time(self, run: LedPartitions, batch_job, waiting: int, running: int, now: float) -> bool:
        """Whether so many waiting items of a lot would be done well before it is due."""
        route, done_s = lane_of(self.store.plan, batch_job), run.times.forecast(batch_job.model, waiting, running)
        return (
            route is not None and done_s is not None and done_s <= IN_TIME * (batch_job.accepted_at + route.due_s - now)
        )

    def free_slots_on(self, run: LedPartitions, routes: list) -> int:
        """Free places where any of these lanes may run."""
        now, placement = self.store.clock.now(), self.store.placement
        zones = {zone for route in {id(x): x for x in routes}.values() for zone in placement.zones(route) or ()}
        engines = [e for e in self.store.engines.of_service(run.leadership.run) if e.zone in zones]
        return sum(max(0, self.free_slots(e, now)) for e in engines)
