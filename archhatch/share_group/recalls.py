"""Recalls entries from replicas whose slots live requests need, or which a planned move leaves.

The texts made so far are kept, and the entries go on at another replica.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from .hosts import LeaderHost
from .job_queue import JobQueue
from .led_partitions import LedPartitions
from .messages import CancelReason
from .replica_slots import ReplicaSlots, route_of
from .window import ShareEntry

if TYPE_CHECKING:
    from ..routing.routes import Route


class Recalls:
    """Looks through the acquired entries of one leader.

    Attributes:
        host: What is used of the node.
        runs: The runs that are led.
        slots: The replicas' slots.
    """

    def __init__(self, host: LeaderHost, runs: Mapping[str, LedPartitions], slots: ReplicaSlots) -> None:
        self.host = host
        self.runs = runs
        self.slots = slots

    def recall_for_live_requests(self) -> None:
        """Recalls the newest entries of each engine that has more items than live requests leave slots."""
        if not self.slots.load_limit.busy:
            return
        for run in self.runs.values():
            excess = self._excess_by_engine(run)
            if not excess:
                continue
            for engine_id, entries in _entries_by_engine(run, excess).items():
                count = excess[engine_id] - sum(1 for entry in entries if entry.is_recalled)
                self._recall_newest(run, entries, count, "item.recalled")

    def _excess_by_engine(self, run: LedPartitions) -> dict[str, int]:
        """By engine, how many items it has over the slots that live requests leave."""
        excess = {}
        for engine in self.slots.engines_of(run):
            count = engine.running_count() - self.slots.usable_slots(engine)
            if count > 0:
                excess[engine.instance_id] = count
        return excess

    def _recall_newest(self, run: LedPartitions, entries: list[ShareEntry], count: int, counter: str) -> None:
        """Recalls so many of the entries that are not recalled yet, the last acquired first."""
        fresh = sorted((entry for entry in entries if not entry.is_recalled), key=lambda entry: -entry.locked_until)
        for entry in fresh[: max(0, count)]:
            entry.is_recalled = True
            run.cancel(entry, CancelReason.RECALL)
            self.host.counters.add(counter)

    def recall_for_moves(self) -> None:
        """Recalls entries from zones that a planned move leaves, as far as there are free slots elsewhere.

        Not in a run that is about to be led from another region: texts that came back here would end with the term,
        while entries that run are taken up by the next leader, which recalls them.
        """
        if not any(move.is_settling for move in self.host.placement.moves.all):
            return
        for name, run in self.runs.items():
            if not self.host.evacuation.leads_elsewhere(name):
                self._recall_from_left_zones(run)

    def _recall_from_left_zones(self, run: LedPartitions) -> None:
        batch_jobs = run.leadership.batch_jobs
        routes = {job_id: route_of(self.host.plan, batch_jobs[job_id]) for job_id in run.queues if job_id in batch_jobs}
        for job_id, route in routes.items():
            if route is not None:
                self._forget_left_homes(run.queues[job_id], route)
        leaving: list[ShareEntry] = []
        leaving_routes: list[Route] = []
        for window in run.windows.values():
            for entry in window.locked.values():
                route = routes.get(entry.batch_job.job_id)
                if route is not None and self._is_leaving(entry, route):
                    leaving.append(entry)
                    leaving_routes.append(route)
        count = self.slots.free_slots_on(run, leaving_routes)
        count -= sum(queue.wanted_count + queue.surplus_count for queue in run.queues.values())
        count -= sum(1 for entry in leaving if entry.is_recalled)
        self._recall_newest(run, leaving, count, "item.moved_on")

    def _is_leaving(self, entry: ShareEntry, route: Route) -> bool:
        """Whether an entry runs in a zone that its route leaves."""
        if entry.engine is None or entry.is_acknowledging:
            return False
        return self.host.placement.is_leaving(route, entry.engine.zone)

    def _forget_left_homes(self, queue: JobQueue, route: Route) -> None:
        """Lets groups move whose home stands in a zone that their route leaves."""
        for group, engine_id in list(queue.homes.items()):
            engine = self.host.engines.all.get(engine_id)
            if engine is not None and self.host.placement.is_leaving(route, engine.zone):
                queue.forget_home(group)


def _entries_by_engine(run: LedPartitions, engine_ids: Mapping[str, int]) -> dict[str, list[ShareEntry]]:
    """The entries that take slots of the given engines."""
    found: dict[str, list[ShareEntry]] = {}
    for window in run.windows.values():
        for entry in window.locked.values():
            if entry.engine is not None and entry.engine.instance_id in engine_ids:
                found.setdefault(entry.engine.instance_id, []).append(entry)
    return found
