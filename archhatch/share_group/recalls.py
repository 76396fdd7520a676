"""Entries that are broken off at their replicas and go on elsewhere, with what is made of their texts: live requests
need the places, or a planned move takes them to another region."""

from __future__ import annotations

from .led_partitions import RECALL
from .replica_slots import lane_of
from .job_queue import JobQueue
from .window import ShareEntry


class Recalls:
    """One look at all that runs, for one leader.

    >>> # recalls = Recalls(leader); recalls.recall_for_live_requests(); recalls.recall_for_moves()
    """

    def __init__(self, leader):
        self.leader, self.store, self.slots = leader, leader.store, leader.slots

    def recall_for_live_requests(self) -> None:
        """Live requests are back: break off the newest items over the places that are left. What is made of their
        texts is kept, and they go on where it ends."""
        if not self.slots.load_limit.busy:
            return
        for run in self.leader.runs.values():
            over: dict = {}
            for e in self.store.engines.of_service(run.leadership.run):
                n = e.running_count() - self.slots.usable_slots(e)
                if n > 0:
                    over[e.instance_id] = n
            if not over:
                continue
            here: dict = {}
            for win in run.windows.values():
                for x in win.locked.values():
                    if x.engine is not None and x.engine.instance_id in over:
                        here.setdefault(x.engine.instance_id, []).append(x)
            for iid, rows in here.items():
                n = over[iid] - sum(1 for x in rows if x.recalled)
                for x in sorted((x for x in rows if not x.recalled), key=lambda x: -x.locked_until)[: max(0, n)]:
                    x.recalled = True
                    self.leader.break_off(run, x, RECALL)
                    self.store.counters.add("item.recalled")

    def recall_for_moves(self) -> None:
        """A planned move: entries that run where they should no longer run are recalled, as far as there are free
        places where they go on; their texts are kept. Not by a leader that is to hand its run on: texts that came back
        to it would end with its term, while entries that run are taken up by the next leader, which recalls them."""
        store = self.store
        if not any(move.settling for move in store.placement.moves.all):
            return
        for name, run in self.leader.runs.items():
            if store.evacuation.leads_elsewhere(name):
                continue
            routes = {
                job_id: lane_of(store.plan, run.leadership.batch_jobs[job_id])
                for job_id in run.queues
                if job_id in run.leadership.batch_jobs
            }
            for job_id, route in routes.items():
                if route is not None:
                    self._leave_homes(run.queues[job_id], route)
            held = [entry for window in run.windows.values() for entry in window.locked.values()]
            leaving = [entry for entry in held if self._leaves(entry, routes.get(entry.batch_job.job_id))]
            room = self.slots.free_slots_on(run, [routes[entry.batch_job.job_id] for entry in leaving])
            room -= sum(q.waiting[0] + q.waiting[1] for q in run.queues.values())
            room -= sum(1 for entry in leaving if entry.recalled)
            fresh = sorted((entry for entry in leaving if not entry.recalled), key=lambda entry: -entry.locked_until)
            for entry in fresh[: max(0, room)]:
                entry.recalled = True
                self.leader.break_off(run, entry, RECALL)
                store.counters.add("item.moved_on")

    def _leaves(self, entry: ShareEntry, route) -> bool:
        return (
            route is not None
            and entry.engine is not None
            and not entry.is_acknowledging
            and self.store.placement.leaves(route, entry.engine.zone)
        )

    def _leave_homes(self, queue: JobQueue, route) -> None:
        """Groups that wait for a replica which they should no longer use may stand elsewhere."""
        for group, iid in list(queue.homes.items()):
            engine = self.store.engines.all.get(iid)
            if engine is not None and self.store.placement.leaves(route, engine.zone):
                queue.forget_home(group)
