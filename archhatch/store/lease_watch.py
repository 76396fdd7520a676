"""Watches the runs' leases: begins, renews, hands on and claims them as archhatch/store/lease.py decides."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from ..membership import rank
from ..rollout_controller import LeadershipTerm
from .lease import OthersLease, OwnLease, Phase, Step, others_step, own_step

IDLE = 1.0  # of ContactMs: a holder that made no progress for so long leads nothing
UNLED = 1 / 3  # of ContactMs: so long may a holder in touch take to begin, or to give its lease back
STAGGER = 3.0  # heartbeats between one candidate's turn to claim and the next one's
SETTLED = 8.0  # quiet times: a slow holder is not replaced sooner after it began
RENEW_WAITS = 5  # doublings of the wait between terms that end as soon as they begin


class LeaseWatch:
    """Looks after every run at each heartbeat; what it does takes calls, so each run has one task at most.

    >>> # watch = LeaseWatch(store); task_group.run_forever("watch", watch.run); await watch.hand_on(leadership)
    """

    def __init__(self, store):
        self.store = store
        self._members: dict = {}  # of the present look, as is
        self._slow = False  # whether this node's timers are far later than the others'
        self._lost: dict[str, tuple] = {}  # run -> (its lease, since when its holder seems lost)
        self._tasks: dict[str, asyncio.Task] = {}
        self._renewals: dict[str, tuple] = {}  # run -> (terms in a row that ended early, when renewed)

    async def run(self) -> None:
        """Look at every run again and again."""
        store = self.store
        while True:
            await asyncio.sleep(store.heartbeat_interval_s * random.uniform(0.7, 1.0))
            if store.ready and store.plan is not None and not store.leaving:
                self.look()

    def look(self) -> None:
        """One look at every run that there is."""
        store = self.store
        register = store.config_watcher.shards.get("plan") or {}
        leases = store.leases()
        self._members, self._slow = store.members(), store.membership.slow()
        for leadership in store.leaderships.values():
            leadership.record_progress_if_confirmed()
        for run in sorted(set(store.plan.models().values()) | set(register.get("runs", {}))):
            step = self.step(run, leases.get(run))
            task = self._tasks.get(run)
            if step is not Step.WAIT and (task is None or task.done()):
                self._tasks[run] = store.task_group.spawn("lease", self._do, step, run, leases.get(run))

    # -- deciding

    def step(self, run: str, lease: dict | None) -> Step:
        """What is to be done about a run's lease now."""
        store = self.store
        leadership = store.leaderships.get(run)
        if lease and lease["holder"] == store.id and lease["life"] == store.incarnation:
            self._lost.pop(run, None)
            return self._own(run, lease, leadership)
        if leadership is not None and lease and lease["term"] > leadership.term:
            leadership.step_down()
        return others_step(self._others(run, lease), store.heartbeat_interval_s * STAGGER)

    def _own(self, run: str, lease: dict, leadership) -> Step:
        store = self.store
        begun = leadership is not None and leadership.term >= lease["term"]
        phase = Phase(leadership.state) if begun else Phase.NONE
        slow = begun and self._slow and store.clock.now() - leadership.began_at > store.quiet_s * SETTLED
        displaced = begun and store.evacuation.leads_elsewhere(run)
        own = OwnLease(phase, takes=store.disk.takes, slow=slow, displaced=displaced)
        if slow or displaced or not store.disk.takes:  # only then who would follow matters
            own = replace(own, successor=self.successor(run) is not None, gatherable=store.membership.gatherable())
        step = own_step(own)
        if step is Step.RENEW and not self._may_renew(run, leadership):
            return Step.WAIT
        return step

    def _may_renew(self, run: str, leadership) -> bool:
        """Whether the wait since the last renewal is over; it doubles while terms end as soon as they begin."""
        store = self.store
        ended_early, taken_at = self._renewals.get(run, (0, float("-inf")))
        wait_s = store.heartbeat_interval_s * (2 ** min(ended_early, RENEW_WAITS) - 1)
        return store.clock.now() - taken_at >= wait_s

    def _others(self, run: str, lease: dict | None) -> OthersLease:
        lost_s = self._lost_s(run, lease)
        if lost_s is None:
            return OthersLease(None)
        store = self.store
        names = store.membership.fit_to_lead()
        if lease is not None and lease["holder"] == store.id:
            place = 0  # an earlier life of this store: nobody else waits for it
        else:
            order = rank(run, [sid for sid in names if lease is None or sid != lease["holder"]])
            order = store.evacuation.candidates(run, order)
            place = order.index(store.id) if store.id in order else len(order)
        # a holder in touch that leads nothing is replaced only by one that could do better
        in_touch = lease is not None and lease["holder"] != store.id and store.alive(lease["holder"])
        may_lead = store.id in names and (not in_touch or store.membership.hears_enough())
        if lease is None and store.clock.now() - store.membership.woke < store.quiet_s * 2:
            may_lead = False
        return OthersLease(lost_s, may_lead, place)

    def _lost_s(self, run: str, lease: dict | None) -> float | None:
        """For how long a run's holder has been lost: gone, or in touch but leading nothing. None if it leads."""
        now = self.store.clock.now()
        grace_s = self._grace_s(run, lease)
        if grace_s is None:
            self._lost.pop(run, None)
            return None
        key = (lease["holder"], lease["life"], lease["term"]) if lease else None
        known, since = self._lost.get(run, (None, now))
        if run not in self._lost or known != key:
            self._lost[run], since = (key, now), now
        lost_s = now - since - grace_s
        return lost_s if lost_s >= 0 else None

    def _grace_s(self, run: str, lease: dict | None) -> float | None:
        """How long the present trouble of a holder is borne; None if there is none."""
        store = self.store
        if lease is None or lease["holder"] == store.id:
            return 0.0
        member = self._members.get(lease["holder"])
        if member is None or member["state"] != "active" or not store.alive(lease["holder"]):
            return 0.0
        word = store.membership.words.get(lease["holder"])
        if word is None or word.leads is None:
            return None
        lead = word.leads.get(run)
        if lead is None or lead.term < lease["term"]:
            return store.settings.seconds("ContactMs", UNLED)
        return 0.0 if lead.idle_s >= store.settings.seconds("ContactMs", IDLE) else None

    def successor(self, run: str) -> str | None:
        """The store that should lead a run if this one does not."""
        names = rank(run, [sid for sid in self.store.membership.fit_to_lead() if sid != self.store.id])
        row = self.store.evacuation.candidates(run, names)
        return next((sid for sid in row if self.store.membership.life_of(sid)), None)

    # -- doing

    async def _do(self, step: Step, run: str, lease: dict | None) -> None:
        store = self.store
        term = lease["term"] if lease else 0
        if step is Step.BEGIN:
            self.begin(run, term)
        elif step is Step.HAND_ON:
            store.log.info(
                "run {}: another is to lead (disk takes={}, timers {:.3f}s late, region {})",
                run,
                store.disk.takes,
                store.membership.lag,
                store.evacuation.leading_region(run) or "any",
            )
            await self.hand_on(run, term)
        else:
            if step is Step.RENEW:
                self._note_renewal(run)
                store.counters.add("lease.renewed")
            await self.claim(run, term, store.id, store.incarnation)

    def _note_renewal(self, run: str) -> None:
        now, leadership = self.store.clock.now(), self.store.leaderships[run]
        early = leadership.ended_at - leadership.began_at < self.store.quiet_s * SETTLED
        count, _ = self._renewals.get(run, (0, now))
        self._renewals[run] = (count + 1 if early else 0, now)

    async def claim(self, run: str, seen: int, holder: str, incarnation: str) -> bool:
        """Have the lease granted to a life of a store, if its term is still the one seen; whether it was."""
        store = self.store
        if run not in (store.config_watcher.shards.get("plan") or {}).get("runs", {}):
            code, _ = await store.config_watcher.run_command("plan", "run.open", {"run": run})
            if code != 1000:
                return False
        code, lease = await store.config_watcher.run_command(
            "of:" + run, "tenure.claim", {"run": run, "holder": holder, "life": incarnation, "seen": seen}
        )
        store.counters.add(f"tenure.claim.{code}")
        if code == 1000 and holder == store.id:
            self.begin(run, lease["term"])
        return code == 1000

    def begin(self, run: str, term: int) -> None:
        """Lead a run under a term that was granted."""
        store = self.store
        old = store.leaderships.get(run)
        if old is not None:
            if old.term >= term:
                return
            old.step_down()
        leadership = store.leaderships[run] = LeadershipTerm(store, run, term)
        store.task_group.spawn("reign", leadership.begin)

    async def hand_on(self, run: str, term: int) -> bool:
        """Have the lease granted to the store that should lead next; then this one does not lead any more."""
        store = self.store
        sid = self.successor(run)
        incarnation = store.membership.life_of(sid) if sid is not None else None
        if incarnation is None or not await self.claim(run, term, sid, incarnation):
            return False
        store.counters.add("lead.handed_on")
        leadership = store.leaderships.get(run)
        if leadership is not None and leadership.term <= term:
            leadership.step_down()
            store.leader.sync()
        return True
