"""How a store becomes a member: it learns all terms before it takes records, and begins anew once it was dropped."""

from __future__ import annotations

import asyncio
import random

from ..routing import RoutingTable
from ..wal import LogError

LEASE_REGISTERS = ("p0", "p1", "p2")  # the registers that hold the runs' leases
LEASE_READ = 1 / 4  # of ContactMs: how long one control node may take to tell a register's leases
CALM = 5  # heartbeats between looks while nothing changes


class StoreJoin:
    """Follows the news of the registers for this store.

    >>> # joining = StoreJoin(store); crew.keep("parts", joining.run)
    """

    def __init__(self, store):
        self.st = store

    async def run(self) -> None:
        """Take up each change of the registers; while this store is no full member, try again at each heartbeat."""
        st, turn = self.st, 0
        while True:
            register = st.news.parts.get("plan") or {}
            self._fold(register)
            if st.id in register.get("dropped", {}):
                await self._start_over(register)
            elif not st.ready and st.id in st.members():
                await self.join()
            st.membership.ping_all(only_new=True)
            for name in ("work", "orders", "members"):
                st.board.touch(name)
            turn = await st.board.news("parts", turn, st.beat_s * (CALM if st.ready else 1))

    def _fold(self, register: dict) -> None:
        st = self.st
        if st.placement.fold(register):
            st.log.info("placement policy: {}", st.placement)
        plan = register.get("plan")
        if plan is not None and (st.plan is None or plan["Revision"] > st.plan.stamp):
            st.plan = RoutingTable(plan)
            st.live_services = st.plan.live_services()

    async def join(self) -> None:
        """Learn all terms that were granted before this store was a member; only then take records."""
        st = self.st
        read_s = st.boot.secs("ContactMs", LEASE_READ)
        answers = await asyncio.gather(*(st.news.do(part, "tenure.list", {}, secs=read_s) for part in LEASE_REGISTERS))
        if any(code != 1000 for code, _ in answers):
            st.ctr.add("join.put_off")
            return
        terms = {run: lease["term"] for _, leases in answers for run, lease in leases.items()}
        fresh = [(run, term) for run, term in terms.items() if term > st.shelf.promised.get(run, 0)]
        try:
            await asyncio.gather(*(st.disk.watch(st.shelf.prepare(run, term)) for run, term in fresh))
        except LogError:
            st.ctr.add("join.put_off")
            return
        st.ready = True
        st.log.info("store {} takes records", st.id)

    async def _start_over(self, register: dict) -> None:
        """This disk's copies were replaced by others while it was away: begin anew under another id, which counts only
        once it stands on the disk."""
        st = self.st
        retired = st.boot.node in register.get("retired", {})
        if st.ready:
            st.log.warning("store {} was dropped; {}", st.id, "it is retired" if retired else "it starts over")
        st.ready = False
        for reign in st.reigns.values():
            reign.over()
        if retired or st.leaving:
            return  # it ends: a new id would make it a member again
        try:
            await st.disk.watch(st.shelf.start_over(f"s-{random.getrandbits(64):016x}"))
        except LogError:
            st.ctr.add("join.put_off")
            return
        st.copier.me = st.id
        st.news.card = st.card()
