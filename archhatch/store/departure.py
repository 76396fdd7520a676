"""A planned end: leadership goes to others first, then the copies that count on this store are made elsewhere.

Where enough stores stay to bear the allowed losses, the store also gives its membership up, and ends only when
it is out. A member that is gone would count as one of those that may hold the only copies: with one loss more, nobody
could be sure to have read all that was acknowledged. A store that is only restarted joins again as a new one."""

from __future__ import annotations

import asyncio

from ..jobs import active_members
from ..rollout_controller.takeover import ORDER_VALIDITY

MEMBERSHIP = "the membership"  # stands for all runs in what is logged
ASK = 0.25  # of ContactMs: how long one control node may take to answer
BOUND = 0.75  # of GraceS: how long the others may take to make up for this store's copies


class Departure:
    """What a store does between SIGTERM and its end.

    >>> # await Departure(store).run()
    """

    def __init__(self, store):
        self.store = store
        self.asked = False  # whether this store was taken from those that new copies count on

    async def run(self) -> None:
        """Hand on every run and every item in hand, then wait until nobody needs this store, within a bound."""
        store = self.store
        end = store.clock.now() + store.settings.seconds("GraceS", BOUND)
        steps = [
            store.task_group.spawn("leave", self._hand_on_all),
            store.task_group.spawn("leave", store.worker.leave),
        ]
        await asyncio.wait(steps, timeout=store.settings.seconds("GraceS", BOUND))
        for leadership in list(store.leaderships.values()):
            leadership.step_down()
        store.leader.sync()
        while self._order_may_bind() and self._others_stay() and store.clock.now() < end:
            await asyncio.sleep(store.heartbeat_interval_s)
        await self._give_up_membership()
        while self.needed_for() and self._others_stay() and store.clock.now() < end:
            await asyncio.sleep(store.heartbeat_interval_s)
        left = self.needed_for()
        if left:
            store.counters.add("leave.needed")
            store.log.warning("store {} ends although its copies are needed by {}", store.id, sorted(left))
        await asyncio.sleep(store.heartbeat_interval_s)  # the last answers are on their way

    def _order_may_bind(self) -> bool:
        """Whether a note here of an order to a replica may still forbid another holder to order.

        Notes are not copied on: they lose their meaning sooner than that. A store that left with one would leave the
        others with too few copies of it.
        """
        store = self.store
        last = max(
            (at for notes in store.record_store.order_intents.values() for at in notes.values()), default=float("-inf")
        )
        return store.clock.now() - last < store.settings.seconds("LeaseMs", 1 + ORDER_VALIDITY)

    async def _give_up_membership(self) -> None:
        """Ask to be let out, if those that stay can still bear the allowed losses."""
        store = self.store
        stay = {
            sid: member
            for sid, member in active_members(store.members()).items()
            if sid != store.id and store.membership.stays(sid)
        }
        if store.id not in store.members() or not store.quorum.tolerates_losses(stay):
            return
        wait = store.settings.seconds("ContactMs", ASK)
        code, _ = await store.config_watcher.run_command(
            "plan", "store.leave", {"id": store.id, "quorum": store.quorum.to_document()}, timeout_s=wait
        )
        self.asked = code == 1000
        store.counters.add(f"leave.asked.{code}")

    async def _hand_on_all(self) -> None:
        store = self.store
        runs = [leadership for leadership in store.leaderships.values() if leadership.state != "over"]
        await asyncio.gather(*(store.lease_watch.hand_on(leadership.run, leadership.term) for leadership in runs))

    def needed_for(self) -> set:
        """The runs with records here whose holder has not said that it can do without this store."""
        store = self.store
        member = store.members().get(store.id)
        if member is None:
            return set()  # every holder has said so already
        if self.asked:
            return {MEMBERSHIP}
        here = {stored.run for stored in store.record_store.batch_jobs.values()}
        return {run for run in here if not self._spared(run, store.leases().get(run), member["clear"])}

    def _others_stay(self) -> bool:
        """Whether there is anybody who can make copies: if all end at once, waiting helps nobody."""
        return any(sid != self.store.id and self.store.membership.stays(sid) for sid in self.store.members())

    def _spared(self, run: str, lease: dict | None, clear: dict) -> bool:
        if lease is None or clear.get(run, 0) >= lease["term"]:
            return True
        word = self.store.membership.words.get(lease["holder"])
        lead = (word.leads or {}).get(run) if word is not None else None
        return lead is not None and lead.term >= lease["term"] and self.store.id in lead.spared
