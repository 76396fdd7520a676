"""A planned end: leadership goes to others first, then the copies that count on this store are made elsewhere.

Where enough stores stay to bear the allowed losses, the store also gives its membership up, and ends only when
it is out. A member that is gone would count as one of those that may hold the only copies: with one loss more, nobody
could be sure to have read all that was acknowledged. A store that is only restarted joins again as a new one."""

from __future__ import annotations

import asyncio

from ..jobs import active
from ..rollout_controller.leadership_term import ORDER

MEMBERSHIP = "the membership"  # stands for all runs in what is logged
ASK = 0.25  # of ContactMs: how long one control node may take to answer
BOUND = 0.75  # of GraceS: how long the others may take to make up for this store's copies


class Departure:
    """What a store does between SIGTERM and its end.

    >>> # await Departure(store).run()
    """

    def __init__(self, store):
        self.st = store
        self.asked = False  # whether this store was taken from those that new copies count on

    async def run(self) -> None:
        """Hand on every run and every item in hand, then wait until nobody needs this store, within a bound."""
        st = self.st
        end = st.clock.now() + st.boot.secs("GraceS", BOUND)
        steps = [st.crew.once("leave", self._hand_on_all), st.crew.once("leave", st.worker.leave)]
        await asyncio.wait(steps, timeout=st.boot.secs("GraceS", BOUND))
        for reign in list(st.reigns.values()):
            reign.over()
        st.leader.sync()
        while self._order_may_bind() and self._others_stay() and st.clock.now() < end:
            await asyncio.sleep(st.beat_s)
        await self._give_up_membership()
        while self.needed_for() and self._others_stay() and st.clock.now() < end:
            await asyncio.sleep(st.beat_s)
        left = self.needed_for()
        if left:
            st.ctr.add("leave.needed")
            st.log.warning("store {} ends although its copies are needed by {}", st.id, sorted(left))
        await asyncio.sleep(st.beat_s)  # the last answers are on their way

    def _order_may_bind(self) -> bool:
        """Whether a note here of an order to a replica may still forbid another holder to order.

        Notes are not copied on: they lose their meaning sooner than that. A store that left with one would leave the
        others with too few copies of it.
        """
        st = self.st
        last = max((at for notes in st.shelf.orders.values() for at in notes.values()), default=float("-inf"))
        return st.clock.now() - last < st.boot.secs("LeaseMs", 1 + ORDER)

    async def _give_up_membership(self) -> None:
        """Ask to be let out, if those that stay can still bear the allowed losses."""
        st = self.st
        stay = {
            sid: member for sid, member in active(st.members()).items() if sid != st.id and st.membership.stays(sid)
        }
        if st.id not in st.members() or not st.quorum.spares(stay):
            return
        wait = st.boot.secs("ContactMs", ASK)
        code, _ = await st.news.do("plan", "store.leave", {"id": st.id, "quorum": st.quorum.doc()}, secs=wait)
        self.asked = code == 1000
        st.ctr.add(f"leave.asked.{code}")

    async def _hand_on_all(self) -> None:
        st = self.st
        runs = [reign for reign in st.reigns.values() if reign.state != "over"]
        await asyncio.gather(*(st.lease_watch.hand_on(reign.run, reign.term) for reign in runs))

    def needed_for(self) -> set:
        """The runs with records here whose holder has not said that it can do without this store."""
        st = self.st
        member = st.members().get(st.id)
        if member is None:
            return set()  # every holder has said so already
        if self.asked:
            return {MEMBERSHIP}
        here = {entry["run"] for entry in st.shelf.lots.values()}
        return {run for run in here if not self._spared(run, st.leases().get(run), member["clear"])}

    def _others_stay(self) -> bool:
        """Whether there is anybody who can make copies: if all end at once, waiting helps nobody."""
        return any(sid != self.st.id and self.st.membership.stays(sid) for sid in self.st.members())

    def _spared(self, run: str, lease: dict | None, clear: dict) -> bool:
        if lease is None or clear.get(run, 0) >= lease["term"]:
            return True
        word = self.st.membership.words.get(lease["holder"])
        lead = (word.leads or {}).get(run) if word is not None else None
        return lead is not None and lead.term >= lease["term"] and self.st.id in lead.spared
