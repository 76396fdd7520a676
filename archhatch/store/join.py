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

    >>> # joining = StoreJoin(store); task_group.run_forever("parts", joining.run)
    """

    def __init__(self, store):
        self.store = store

    async def run(self) -> None:
        """Take up each change of the registers; while this store is no full member, try again at each heartbeat."""
        store, turn = self.store, 0
        while True:
            register = store.config_watcher.shards.get("plan") or {}
            self._fold(register)
            if store.id in register.get("dropped", {}):
                await self._start_over(register)
            elif not store.ready and store.id in store.members():
                await self.join()
            store.membership.ping_all(only_new=True)
            for name in ("work", "orders", "members"):
                store.state_board.notify(name)
            turn = await store.state_board.wait_for_change(
                "parts", turn, store.heartbeat_interval_s * (CALM if store.ready else 1)
            )

    def _fold(self, register: dict) -> None:
        store = self.store
        if store.placement.fold(register):
            store.log.info("placement policy: {}", store.placement)
        plan = register.get("plan")
        if plan is not None and (store.plan is None or plan["Revision"] > store.plan.stamp):
            store.plan = RoutingTable(plan)
            store.live_services = store.plan.live_services()

    async def join(self) -> None:
        """Learn all terms that were granted before this store was a member; only then take records."""
        store = self.store
        read_s = store.settings.seconds("ContactMs", LEASE_READ)
        answers = await asyncio.gather(
            *(store.config_watcher.run_command(shard, "tenure.list", {}, timeout_s=read_s) for shard in LEASE_REGISTERS)
        )
        if any(code != 1000 for code, _ in answers):
            store.counters.add("join.put_off")
            return
        terms = {run: lease["term"] for _, leases in answers for run, lease in leases.items()}
        fresh = [(run, term) for run, term in terms.items() if term > store.record_store.promised_terms.get(run, 0)]
        try:
            await asyncio.gather(*(store.disk.watch(store.record_store.prepare(run, term)) for run, term in fresh))
        except LogError:
            store.counters.add("join.put_off")
            return
        store.ready = True
        store.log.info("store {} takes records", store.id)

    async def _start_over(self, register: dict) -> None:
        """This disk's copies were replaced by others while it was away: begin anew under another id, which counts only
        once it stands on the disk."""
        store = self.store
        retired = store.settings.node_name in register.get("retired", {})
        if store.ready:
            store.log.warning("store {} was dropped; {}", store.id, "it is retired" if retired else "it starts over")
        store.ready = False
        for leadership in store.leaderships.values():
            leadership.step_down()
        if retired or store.leaving:
            return  # it ends: a new id would make it a member again
        try:
            await store.disk.watch(store.record_store.reset(f"s-{random.getrandbits(64):016x}"))
        except LogError:
            store.counters.add("join.put_off")
            return
        store.replicator.store_id = store.id
        store.config_watcher.card = store.card()
