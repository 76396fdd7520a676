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

    >>> # watch = LeaseWatch(store); crew.keep("watch", watch.run); await watch.hand_on(reign)
    """

    def __init__(self, store):
        self.st = store
        self._members: dict = {}  # of the present look, as is
        self._slow = False  # whether this node's timers are far later than the others'
        self._lost: dict[str, tuple] = {}  # run -> (its lease, since when its holder seems lost)
        self._tasks: dict[str, asyncio.Task] = {}
        self._renewals: dict[str, tuple] = {}  # run -> (terms in a row that ended early, when renewed)

    async def run(self) -> None:
        """Look at every run again and again."""
        st = self.st
        while True:
            await asyncio.sleep(st.beat_s * random.uniform(0.7, 1.0))
            if st.ready and st.plan is not None and not st.leaving:
                self.look()

    def look(self) -> None:
        """One look at every run that there is."""
        st = self.st
        register = st.news.parts.get("plan") or {}
        leases = st.leases()
        self._members, self._slow = st.members(), st.membership.slow()
        for reign in st.reigns.values():
            reign.note_progress()
        for run in sorted(set(st.plan.models().values()) | set(register.get("runs", {}))):
            step = self.step(run, leases.get(run))
            task = self._tasks.get(run)
            if step is not Step.WAIT and (task is None or task.done()):
                self._tasks[run] = st.crew.once("lease", self._do, step, run, leases.get(run))

    # -- deciding

    def step(self, run: str, lease: dict | None) -> Step:
        """What is to be done about a run's lease now."""
        st = self.st
        reign = st.reigns.get(run)
        if lease and lease["holder"] == st.id and lease["life"] == st.life:
            self._lost.pop(run, None)
            return self._own(run, lease, reign)
        if reign is not None and lease and lease["term"] > reign.term:
            reign.over()
        return others_step(self._others(run, lease), st.beat_s * STAGGER)

    def _own(self, run: str, lease: dict, reign) -> Step:
        st = self.st
        begun = reign is not None and reign.term >= lease["term"]
        phase = Phase(reign.state) if begun else Phase.NONE
        slow = begun and self._slow and st.clock.now() - reign.began > st.quiet_s * SETTLED
        displaced = begun and st.evacuation.leads_elsewhere(run)
        own = OwnLease(phase, takes=st.disk.takes, slow=slow, displaced=displaced)
        if slow or displaced or not st.disk.takes:  # only then who would follow matters
            own = replace(own, successor=self.successor(run) is not None, gatherable=st.membership.gatherable())
        step = own_step(own)
        if step is Step.RENEW and not self._may_renew(run, reign):
            return Step.WAIT
        return step

    def _may_renew(self, run: str, reign) -> bool:
        """Whether the wait since the last renewal is over; it doubles while terms end as soon as they begin."""
        st = self.st
        ended_early, taken_at = self._renewals.get(run, (0, float("-inf")))
        wait_s = st.beat_s * (2 ** min(ended_early, RENEW_WAITS) - 1)
        return st.clock.now() - taken_at >= wait_s

    def _others(self, run: str, lease: dict | None) -> OthersLease:
        lost_s = self._lost_s(run, lease)
        if lost_s is None:
            return OthersLease(None)
        st = self.st
        names = st.membership.fit_to_lead()
        if lease is not None and lease["holder"] == st.id:
            place = 0  # an earlier life of this store: nobody else waits for it
        else:
            order = rank(run, [sid for sid in names if lease is None or sid != lease["holder"]])
            order = st.evacuation.candidates(run, order)
            place = order.index(st.id) if st.id in order else len(order)
        # a holder in touch that leads nothing is replaced only by one that could do better
        in_touch = lease is not None and lease["holder"] != st.id and st.alive(lease["holder"])
        may_lead = st.id in names and (not in_touch or st.membership.hears_enough())
        if lease is None and st.clock.now() - st.membership.woke < st.quiet_s * 2:
            may_lead = False
        return OthersLease(lost_s, may_lead, place)

    def _lost_s(self, run: str, lease: dict | None) -> float | None:
        """For how long a run's holder has been lost: gone, or in touch but leading nothing. None if it leads."""
        now = self.st.clock.now()
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
        st = self.st
        if lease is None or lease["holder"] == st.id:
            return 0.0
        member = self._members.get(lease["holder"])
        if member is None or member["state"] != "active" or not st.alive(lease["holder"]):
            return 0.0
        word = st.membership.words.get(lease["holder"])
        if word is None or word.leads is None:
            return None
        lead = word.leads.get(run)
        if lead is None or lead.term < lease["term"]:
            return st.boot.secs("ContactMs", UNLED)
        return 0.0 if lead.idle_s >= st.boot.secs("ContactMs", IDLE) else None

    def successor(self, run: str) -> str | None:
        """The store that should lead a run if this one does not."""
        names = rank(run, [sid for sid in self.st.membership.fit_to_lead() if sid != self.st.id])
        row = self.st.evacuation.candidates(run, names)
        return next((sid for sid in row if self.st.membership.life_of(sid)), None)

    # -- doing

    async def _do(self, step: Step, run: str, lease: dict | None) -> None:
        st = self.st
        term = lease["term"] if lease else 0
        if step is Step.BEGIN:
            self.begin(run, term)
        elif step is Step.HAND_ON:
            st.log.info(
                "run {}: another is to lead (disk takes={}, timers {:.3f}s late, region {})",
                run,
                st.disk.takes,
                st.membership.lag,
                st.evacuation.leading_region(run) or "any",
            )
            await self.hand_on(run, term)
        else:
            if step is Step.RENEW:
                self._note_renewal(run)
                st.ctr.add("lease.renewed")
            await self.claim(run, term, st.id, st.life)

    def _note_renewal(self, run: str) -> None:
        now, reign = self.st.clock.now(), self.st.reigns[run]
        early = reign.ended_at - reign.began < self.st.quiet_s * SETTLED
        count, _ = self._renewals.get(run, (0, now))
        self._renewals[run] = (count + 1 if early else 0, now)

    async def claim(self, run: str, seen: int, holder: str, life: str) -> bool:
        """Have the lease granted to a life of a store, if its term is still the one seen; whether it was."""
        st = self.st
        if run not in (st.news.parts.get("plan") or {}).get("runs", {}):
            code, _ = await st.news.do("plan", "run.open", {"run": run})
            if code != 1000:
                return False
        code, lease = await st.news.do(
            "of:" + run, "tenure.claim", {"run": run, "holder": holder, "life": life, "seen": seen}
        )
        st.ctr.add(f"tenure.claim.{code}")
        if code == 1000 and holder == st.id:
            self.begin(run, lease["term"])
        return code == 1000

    def begin(self, run: str, term: int) -> None:
        """Lead a run under a term that was granted."""
        st = self.st
        old = st.reigns.get(run)
        if old is not None:
            if old.term >= term:
                return
            old.over()
        reign = st.reigns[run] = LeadershipTerm(st, run, term)
        st.crew.once("reign", reign.begin)

    async def hand_on(self, run: str, term: int) -> bool:
        """Have the lease granted to the store that should lead next; then this one does not lead any more."""
        st = self.st
        sid = self.successor(run)
        life = st.membership.life_of(sid) if sid is not None else None
        if life is None or not await self.claim(run, term, sid, life):
            return False
        st.ctr.add("lead.handed_on")
        reign = st.reigns.get(run)
        if reign is not None and reign.term <= term:
            reign.over()
            st.leader.sync()
        return True
