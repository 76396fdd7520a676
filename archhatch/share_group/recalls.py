"""Entries that are broken off at their replicas and go on elsewhere, with what is made of their texts: live requests
need the places, or a planned move takes them to another region."""

from __future__ import annotations

from .led_partitions import RECALL
from .replica_slots import lane_of
from .job_queue import JobQueue
from .window import ShareEntry


class Recalls:
    """One look at all that runs, for one leader.

    >>> # recalls = Recalls(leader); recalls.give_back(); recalls.move_on()
    """

    def __init__(self, leader):
        self.leader, self.st, self.places = leader, leader.st, leader.places

    def give_back(self) -> None:
        """Live requests are back: break off the newest items over the places that are left. What is made of their
        texts is kept, and they go on where it ends."""
        if not self.places.lull.busy:
            return
        for run in self.leader.runs.values():
            over: dict = {}
            for e in self.st.engines.of(run.reign.run):
                n = e.busy() - self.places.places(e)
                if n > 0:
                    over[e.iid] = n
            if not over:
                continue
            here: dict = {}
            for win in run.windows.values():
                for x in win.locked.values():
                    if x.engine is not None and x.engine.iid in over:
                        here.setdefault(x.engine.iid, []).append(x)
            for iid, rows in here.items():
                n = over[iid] - sum(1 for x in rows if x.recalled)
                for x in sorted((x for x in rows if not x.recalled), key=lambda x: -x.until)[: max(0, n)]:
                    x.recalled = True
                    self.leader.break_off(run, x, RECALL)
                    self.st.ctr.add("item.recalled")

    def move_on(self) -> None:
        """A planned move: entries that run where they should no longer run are recalled, as far as there are free
        places where they go on; their texts are kept. Not by a leader that is to hand its run on: texts that came back
        to it would end with its term, while entries that run are taken up by the next leader, which recalls them."""
        st = self.st
        if not any(move.settling for move in st.placement.moves.all):
            return
        for name, run in self.leader.runs.items():
            if st.evacuation.leads_elsewhere(name):
                continue
            lanes = {lid: lane_of(st.plan, run.reign.lots[lid]) for lid in run.queues if lid in run.reign.lots}
            for lid, lane in lanes.items():
                if lane is not None:
                    self._leave_homes(run.queues[lid], lane)
            held = [entry for window in run.windows.values() for entry in window.locked.values()]
            leaving = [entry for entry in held if self._leaves(entry, lanes.get(entry.lot.lid))]
            room = self.places.room_for(run, [lanes[entry.lot.lid] for entry in leaving])
            room -= sum(q.waiting[0] + q.waiting[1] for q in run.queues.values())
            room -= sum(1 for entry in leaving if entry.recalled)
            fresh = sorted((entry for entry in leaving if not entry.recalled), key=lambda entry: -entry.until)
            for entry in fresh[: max(0, room)]:
                entry.recalled = True
                self.leader.break_off(run, entry, RECALL)
                st.ctr.add("item.moved_on")

    def _leaves(self, entry: ShareEntry, lane) -> bool:
        return (
            lane is not None
            and entry.engine is not None
            and not entry.settling
            and self.st.placement.leaves(lane, entry.engine.zone)
        )

    def _leave_homes(self, queue: JobQueue, lane) -> None:
        """Groups that wait for a replica which they should no longer use may stand elsewhere."""
        for group, iid in list(queue.homes.items()):
            engine = self.st.engines.all.get(iid)
            if engine is not None and self.st.placement.leaves(lane, engine.zone):
                queue.forget_home(group)
