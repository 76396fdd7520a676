"""Watches the runs' leases: begins, renews, transfers and claims them as archhatch/store/lease.py decides."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, Protocol

from ..runtime import EntryGuard
from ..membership import rank
from .holder_loss import HolderLossHost, HolderLossTracker
from .lease import (
    ForeignLease,
    HeldLease,
    LeadershipPhase,
    LeaseAction,
    decide_foreign_lease,
    decide_held_lease,
)
from .messages import LeaseClaimRequest, LeaseTerm, RunLease
from .result_codes import DONE

if TYPE_CHECKING:
    from ..membership import ConfigWatcher
    from ..rollout_controller import LeadershipTerm
    from ..routing import RoutingTable
    from ..runtime import Counters, TaskGroup
    from ..share_group import PartitionLeader
    from .disk import DiskState
    from .evacuation import EvacuationSupport

CHECK_JITTER = (0.7, 1.0)  # of a heartbeat: stores that started together do not check at the same moments
CLAIM_STAGGER_HEARTBEATS = 3.0  # between one candidate's turn to claim and the next one's
SETTLED_SILENCE_TIMEOUTS = 8.0  # a slow holder is not replaced sooner after it began
UNCLAIMED_SILENCE_TIMEOUTS = 2  # after a stall or a start, a run without a lease is not claimed sooner
MAX_RENEWAL_DOUBLINGS = 5  # of the wait between terms that end as soon as they begin
NEVER = float("-inf")


class LeaseWatchHost(HolderLossHost, Protocol):
    """What the watch uses of its store."""

    log: Any
    counters: Counters
    task_group: TaskGroup
    heartbeat_interval_s: float
    quiet_s: float
    incarnation: str
    ready: bool
    leaving: bool
    config_watcher: ConfigWatcher
    plan: RoutingTable | None
    leaderships: dict[str, LeadershipTerm]
    leader: PartitionLeader
    disk: DiskState
    evacuation: EvacuationSupport

    def leases(self) -> dict:
        """The leases of all runs."""

    def new_leadership_term(self, run: str, term: int) -> LeadershipTerm:
        """A leadership of a run that has not begun yet."""


@dataclass(frozen=True, slots=True)
class Renewals:
    """The renewals of a run's lease by this store.

    Attributes:
        ended_early: How many terms in a row ended as soon as they began.
        renewed_at: When the lease was last renewed.
    """

    ended_early: int = 0
    renewed_at: float = NEVER


class LeaseWatch:
    """Looks after every run at each heartbeat; what it does takes calls, so each run has one task at most."""

    def __init__(self, store: LeaseWatchHost) -> None:
        self.store = store
        self._guard = EntryGuard("lease_watch", store.log, store.counters, store.clock)
        self._is_slow = False  # whether this node's timers are far later than the others'
        self._holder_loss = HolderLossTracker(store)
        self._tasks: dict[str, asyncio.Task] = {}
        self._renewals: dict[str, Renewals] = {}

    async def run(self) -> None:
        """Checks every run's lease again and again."""
        store = self.store
        while True:
            await asyncio.sleep(store.heartbeat_interval_s * random.uniform(*CHECK_JITTER))
            if store.ready and store.plan is not None and not store.leaving:
                self.check_leases()

    def check_leases(self) -> None:
        """Checks the lease of every run that there is, once, and starts what is to be done about it."""
        store = self.store
        if store.plan is None:
            return  # there is nothing to lead yet
        register = store.config_watcher.shards.get("plan") or {}
        leases = store.leases()
        self._holder_loss.begin_round(store.members())
        self._is_slow = store.membership.is_slow()
        for leadership in store.leaderships.values():
            leadership.record_progress_if_confirmed()
        for run in sorted(set(store.plan.service_by_model().values()) | set(register.get("runs", {}))):
            with self._guard.entry(run):
                self._check_lease(run, leases.get(run))

    def _check_lease(self, run: str, document: dict | None) -> None:
        lease = RunLease.from_document(document) if document else None
        action = self.decide(run, lease)
        task = self._tasks.get(run)
        if action is not LeaseAction.WAIT and (task is None or task.done()):
            self._tasks[run] = self.store.task_group.spawn("lease", self._carry_out, action, run, lease)

    # -- deciding

    def decide(self, run: str, lease: RunLease | None) -> LeaseAction:
        """Decides what is to be done about a run's lease now; ends a leadership that another's term supersedes.

        Args:
            run: The run.
            lease: Its lease, if there is one.

        Returns:
            What to do.
        """
        store = self.store
        leadership = store.leaderships.get(run)
        if lease and lease.holder_id == store.id and lease.holder_incarnation == store.incarnation:
            self._holder_loss.clear(run)
            return self._decide_held(run, lease, leadership)
        if leadership is not None and lease and lease.term > leadership.term:
            leadership.step_down()
        stagger_s = store.heartbeat_interval_s * CLAIM_STAGGER_HEARTBEATS
        return decide_foreign_lease(self._foreign_lease(run, lease), stagger_s)

    def _decide_held(self, run: str, lease: RunLease, leadership: LeadershipTerm | None) -> LeaseAction:
        action = decide_held_lease(self._held_lease(run, lease, leadership))
        if action is LeaseAction.RENEW and not self._may_renew(run):
            return LeaseAction.WAIT
        return action

    def _held_lease(self, run: str, lease: RunLease, leadership: LeadershipTerm | None) -> HeldLease:
        store = self.store
        accepts_records = store.disk.takes
        if leadership is None or leadership.term < lease.term:
            held = HeldLease(LeadershipPhase.NONE, accepts_records=accepts_records)
        else:
            settle_s = store.quiet_s * SETTLED_SILENCE_TIMEOUTS
            held = HeldLease(
                LeadershipPhase(leadership.state),
                accepts_records=accepts_records,
                is_slow=self._is_slow and store.clock.now() - leadership.began_at > settle_s,
                is_displaced=store.evacuation.leads_elsewhere(run),
            )
        if held.is_slow or held.is_displaced or not accepts_records:  # only then who would follow matters
            has_successor = self.successor(run) is not None
            can_gather = store.membership.can_successor_gather()
            held = replace(held, has_successor=has_successor, can_successor_gather=can_gather)
        return held

    def _may_renew(self, run: str) -> bool:
        """Whether the wait since the last renewal is over; it doubles while terms end as soon as they begin."""
        store = self.store
        renewals = self._renewals.get(run, Renewals())
        doublings = min(renewals.ended_early, MAX_RENEWAL_DOUBLINGS)
        wait_s = store.heartbeat_interval_s * (2**doublings - 1)
        return store.clock.now() - renewals.renewed_at >= wait_s

    def _foreign_lease(self, run: str, lease: RunLease | None) -> ForeignLease:
        lost_s = self._holder_loss.observe(run, lease)
        if lost_s is None:
            return ForeignLease(None)
        candidates = self.store.membership.fit_to_lead()
        return ForeignLease(lost_s, self._may_lead(lease, candidates), self._claim_rank(run, lease, candidates))

    def _claim_rank(self, run: str, lease: RunLease | None, candidates: list[str]) -> int:
        """This store's place among those that may claim a run."""
        store = self.store
        if lease is not None and lease.holder_id == store.id:
            return 0  # an earlier incarnation of this store: nobody else waits for it
        others = [store_id for store_id in candidates if lease is None or store_id != lease.holder_id]
        order = store.evacuation.order_candidates(run, rank(run, others))
        return order.index(store.id) if store.id in order else len(order)

    def _may_lead(self, lease: RunLease | None, candidates: list[str]) -> bool:
        store = self.store
        if store.id not in candidates:
            return False
        if lease is None:
            # after a stall or a start, the lease of another may not have been heard of yet
            unclaimed_s = store.quiet_s * UNCLAIMED_SILENCE_TIMEOUTS
            return store.clock.now() - store.membership.resumed_at >= unclaimed_s
        # a holder in touch that leads nothing is replaced only by one that could do better
        is_in_touch = lease.holder_id != store.id and store.alive(lease.holder_id)
        return not is_in_touch or store.membership.hears_enough()

    def successor(self, run: str) -> str | None:
        """Returns the store that should lead a run if this one does not."""
        store = self.store
        others = [store_id for store_id in store.membership.fit_to_lead() if store_id != store.id]
        order = store.evacuation.order_candidates(run, rank(run, others))
        return next((store_id for store_id in order if store.membership.incarnation_of(store_id)), None)

    # -- doing

    async def _carry_out(self, action: LeaseAction, run: str, lease: RunLease | None) -> None:
        store = self.store
        term = lease.term if lease else 0
        if action is LeaseAction.BEGIN:
            self.begin(run, term)
        elif action is LeaseAction.TRANSFER:
            store.log.info(
                "run {}: another store is to lead, term={} disk_accepts_records={} timer_lag_s={:.3f} region={}",
                run,
                term,
                store.disk.takes,
                store.membership.timer_lag_s,
                store.evacuation.leading_region(run) or "any",
            )
            await self.transfer(run, term)
        else:
            if action is LeaseAction.RENEW:
                self._note_renewal(run)
                store.counters.add("lease.renewed")
            await self.claim(run, term, store.id, store.incarnation)

    def _note_renewal(self, run: str) -> None:
        store = self.store
        leadership = store.leaderships[run]
        led_s = leadership.ended_at - leadership.began_at
        ended_early = 0
        if led_s < store.quiet_s * SETTLED_SILENCE_TIMEOUTS:
            ended_early = self._renewals.get(run, Renewals()).ended_early + 1
        self._renewals[run] = Renewals(ended_early, store.clock.now())

    async def claim(self, run: str, seen_term: int, holder_id: str, incarnation: str) -> bool:
        """Has the lease granted to an incarnation of a store, if its term is still the one seen.

        Args:
            run: The run.
            seen_term: The term of the lease that the claim is based on; 0 if there was none.
            holder_id: The store that is to hold the lease: this one, or its successor.
            incarnation: That store's incarnation.

        Returns:
            Whether the lease was granted.
        """
        store = self.store
        if run not in (store.config_watcher.shards.get("plan") or {}).get("runs", {}):
            code, _ = await store.config_watcher.run_command("plan", "run.open", {"run": run})
            if code != DONE:
                return False
        request = LeaseClaimRequest(run, holder_id, incarnation, seen_term)
        code, lease = await store.config_watcher.run_command("of:" + run, "tenure.claim", request.to_document())
        store.counters.add(f"lease.claim.{code}")
        if code == DONE and holder_id == store.id:
            self.begin(run, LeaseTerm.from_document(lease).term)
        return code == DONE

    def begin(self, run: str, term: int) -> None:
        """Begins to lead a run under a term that was granted, unless that was begun already.

        Args:
            run: The run.
            term: The term.
        """
        store = self.store
        previous = store.leaderships.get(run)
        if previous is not None:
            if previous.term >= term:
                return
            previous.step_down()
        leadership = store.new_leadership_term(run, term)
        store.leaderships[run] = leadership
        store.task_group.spawn("leadership", leadership.begin)

    async def transfer(self, run: str, term: int) -> bool:
        """Has the lease granted to the store that should lead next; then this one does not lead any more.

        Args:
            run: The run.
            term: The term that ends.

        Returns:
            Whether another store holds the lease now.
        """
        store = self.store
        successor_id = self.successor(run)
        if successor_id is None:
            return False
        incarnation = store.membership.incarnation_of(successor_id)
        if incarnation is None:
            return False
        await store.leader.prepare_handover(run)
        if not await self.claim(run, term, successor_id, incarnation):
            store.leader.end_handover(run)
            return False
        store.counters.add("lease.transferred")
        leadership = store.leaderships.get(run)
        if leadership is not None and leadership.term <= term:
            leadership.step_down()
            store.leader.sync()
        return True
