"""A planned end: leadership goes to others first, then the copies that count on this store are made elsewhere.

Where enough stores stay to bear the allowed losses, the store also gives its membership up, and ends only when
it is out. A member that is gone would count as one of those that may hold the only copies: with one loss more, nobody
could be sure to have read all that was acknowledged. A store that is only restarted joins again as a new one.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Protocol

from ..jobs import active_members
from ..rollout_controller.takeover import ORDER_VALIDITY
from .messages import RunLease
from .result_codes import DONE

if TYPE_CHECKING:
    from ..jobs import Quorum, RecordStore
    from ..membership import ConfigWatcher
    from ..rollout_controller import LeadershipTerm
    from ..runtime import Clock, Counters, Settings, TaskGroup
    from ..share_group import PartitionLeader, Worker
    from .lease_watch import LeaseWatch
    from .membership import Membership

MEMBERSHIP = "the membership"  # stands for all runs in what is logged
REQUEST_CONTACT_FRACTION = 0.25  # of ContactMs: how long one control node may take to answer
DEPARTURE_GRACE_FRACTION = 0.75  # of GraceS: how long the others may take to make up for this store's copies
NEVER = float("-inf")


class DepartureHost(Protocol):
    """What a planned end uses of its store."""

    settings: Settings
    clock: Clock
    log: Any
    counters: Counters
    task_group: TaskGroup
    heartbeat_interval_s: float
    quorum: Quorum
    config_watcher: ConfigWatcher
    leaderships: dict[str, LeadershipTerm]
    record_store: RecordStore
    leader: PartitionLeader
    worker: Worker
    membership: Membership
    lease_watch: LeaseWatch

    @property
    def id(self) -> str:
        """The store's id."""

    def members(self) -> dict:
        """All stores of the membership."""

    def leases(self) -> dict:
        """The leases of all runs."""


class Departure:
    """What a store does between SIGTERM and its end.

    Attributes:
        store: The store that ends.
        has_left: Whether the control nodes took this store from those that new copies count on.
    """

    def __init__(self, store: DepartureHost) -> None:
        self.store = store
        self.has_left = False

    async def run(self) -> None:
        """Hands on every run and every item in hand, then waits until nobody needs this store, within a bound."""
        store = self.store
        bound_s = store.settings.seconds("GraceS", DEPARTURE_GRACE_FRACTION)
        end = store.clock.now() + bound_s
        steps = [
            store.task_group.spawn("leave", self._transfer_all),
            store.task_group.spawn("leave", store.worker.leave),
        ]
        await asyncio.wait(steps, timeout=bound_s)
        for leadership in list(store.leaderships.values()):
            leadership.step_down()
        store.leader.sync()
        while self._may_order_bind() and self.has_staying_peer() and store.clock.now() < end:
            await asyncio.sleep(store.heartbeat_interval_s)
        await self._give_up_membership()
        while self.runs_in_need() and self.has_staying_peer() and store.clock.now() < end:
            await asyncio.sleep(store.heartbeat_interval_s)
        runs = self.runs_in_need()
        if runs:
            store.counters.add("departure.copies_needed")
            store.log.warning("store {}: ends although its copies are needed, runs={}", store.id, sorted(runs))
        await asyncio.sleep(store.heartbeat_interval_s)  # the last answers are on their way

    def _may_order_bind(self) -> bool:
        """Whether a note here of an order to a replica may still forbid another leader to order.

        Notes are not copied on: they lose their meaning sooner than that. A store that left with one would leave the
        others with too few copies of it.
        """
        store = self.store
        newest = max(
            (at for notes in store.record_store.order_intents.values() for at in notes.values()), default=NEVER
        )
        return store.clock.now() - newest < store.settings.seconds("LeaseMs", 1 + ORDER_VALIDITY)

    async def _give_up_membership(self) -> None:
        """Asks to be let out, if those that stay can still bear the allowed losses."""
        store = self.store
        staying = {
            store_id: member
            for store_id, member in active_members(store.members()).items()
            if store_id != store.id and store.membership.stays(store_id)
        }
        if store.id not in store.members() or not store.quorum.tolerates_losses(staying):
            return
        timeout_s = store.settings.seconds("ContactMs", REQUEST_CONTACT_FRACTION)
        request = {"id": store.id, "quorum": store.quorum.to_document()}
        code, _ = await store.config_watcher.run_command("plan", "store.leave", request, timeout_s=timeout_s)
        self.has_left = code == DONE
        store.counters.add(f"departure.requested.{code}")

    async def _transfer_all(self) -> None:
        store = self.store
        terms = [leadership for leadership in store.leaderships.values() if leadership.state != "over"]
        await asyncio.gather(*(store.lease_watch.transfer(leadership.run, leadership.term) for leadership in terms))

    def runs_in_need(self) -> set[str]:
        """Returns the runs with records here whose leader has not said that it can do without this store."""
        store = self.store
        member = store.members().get(store.id)
        if member is None:
            return set()  # every leader has said so already
        if self.has_left:
            return {MEMBERSHIP}
        runs = {stored.run for stored in store.record_store.batch_jobs.values()}
        cleared_terms = member["clear"]
        return {run for run in runs if not self._is_spared(run, store.leases().get(run), cleared_terms.get(run, 0))}

    def has_staying_peer(self) -> bool:
        """Returns whether there is anybody who can make copies: if all end at once, waiting helps nobody."""
        store = self.store
        return any(store_id != store.id and store.membership.stays(store_id) for store_id in store.members())

    def _is_spared(self, run: str, lease_document: dict | None, cleared_term: int) -> bool:
        """Whether a run's leader needs no copies here.

        Args:
            run: The run.
            lease_document: Its lease.
            cleared_term: The newest term whose leader told the control nodes that it needs none.
        """
        if lease_document is None:
            return True
        lease = RunLease.from_document(lease_document)
        if cleared_term >= lease.term:
            return True
        status = self.store.membership.statuses.get(lease.holder_id)
        if status is None or status.led_runs is None:
            return False
        led_run = status.led_runs.get(run)
        return led_run is not None and led_run.term >= lease.term and self.store.id in led_run.spared
