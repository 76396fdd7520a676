"""How a store becomes a member: it learns all terms before it takes records, and begins anew once it was dropped."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, Protocol, cast

from ..routing import ConfigurationFollower, RoutingTable
from ..wal import LogError
from .messages import LeaseTerm
from .result_codes import DONE

if TYPE_CHECKING:
    from ..jobs import RecordStore, Replicator
    from ..membership import ConfigWatcher, NodeCard
    from ..region_policy import Placement
    from ..rollout_controller import LeadershipTerm
    from ..runtime import Counters, Settings, StateBoard
    from .disk import DiskState
    from .membership import Membership

LEASE_REGISTERS = ("p0", "p1", "p2")  # the registers that hold the runs' leases
LEASE_READ_CONTACT_FRACTION = 1 / 4  # of ContactMs: how long one control node may take to list a register's leases
IDLE_HEARTBEATS = 5  # between looks at the registers while nothing changes
STORE_ID_BITS = 64  # random: no two disks get the same id


def new_store_id() -> str:
    """Returns a random id for an empty disk."""
    return f"s-{random.getrandbits(STORE_ID_BITS):016x}"


class StoreJoinHost(Protocol):
    """What joining uses of its store."""

    settings: Settings
    log: Any
    counters: Counters
    state_board: StateBoard
    heartbeat_interval_s: float
    config_watcher: ConfigWatcher
    placement: Placement
    configuration: ConfigurationFollower
    plan: RoutingTable | None
    live_services: set
    ready: bool
    leaving: bool
    leaderships: dict[str, LeadershipTerm]
    record_store: RecordStore
    replicator: Replicator
    disk: DiskState
    membership: Membership

    @property
    def id(self) -> str:
        """The store's id."""

    def identity(self) -> NodeCard:
        """How the store introduces itself."""

    def members(self) -> dict:
        """All stores of the membership."""


class StoreJoin:
    """Follows the registers of the control nodes for this store."""

    def __init__(self, store: StoreJoinHost) -> None:
        self.store = store

    async def run(self) -> None:
        """Takes up each change of the registers; while this store is no full member, tries again at each heartbeat."""
        store = self.store
        turn = 0
        while True:
            register = store.config_watcher.shards.get("plan") or {}
            self._apply_config(register)
            if self._was_dropped(register):
                await self._start_over(register)
            elif not store.ready and store.id in store.members():
                await self.join()
            store.membership.ping_members(only_new=True)
            for name in ("work", "orders", "members"):
                store.state_board.notify(name)
            heartbeats = IDLE_HEARTBEATS if store.ready else 1
            turn = await store.state_board.wait_for_change("parts", turn, store.heartbeat_interval_s * heartbeats)

    def _apply_config(self, register: dict) -> None:
        store = self.store
        if store.placement.update(register):
            store.log.info("placement policy changed, policy={}", store.placement)
        if store.configuration.update(register):
            table = cast(RoutingTable, store.configuration.table)
            store.plan = table
            store.live_services = table.live_services()

    def _was_dropped(self, register: dict) -> bool:
        """Whether this store's membership ended. The register names the last such ids alone.

        Of others it is known by their number: a later store is a member, and this one is not.
        """
        store = self.store
        stores = register.get("stores", {})
        if store.id in stores:
            return False
        number = store.record_store.member_number
        is_passed = bool(number) and any(member["no"] > number for member in stores.values())
        return is_passed or store.id in register.get("dropped", {})

    async def join(self) -> None:
        """Learns all terms that were granted before this store was a member; only then takes records."""
        store = self.store
        read_s = store.settings.seconds("ContactMs", LEASE_READ_CONTACT_FRACTION)
        answers = await asyncio.gather(
            *(store.config_watcher.run_command(shard, "tenure.list", {}, timeout_s=read_s) for shard in LEASE_REGISTERS)
        )
        if any(code != DONE for code, _ in answers):
            store.counters.add("join.postponed")
            return
        terms = {run: LeaseTerm.from_document(lease).term for _, leases in answers for run, lease in leases.items()}
        unknown = [(run, term) for run, term in terms.items() if term > store.record_store.promised_terms.get(run, 0)]
        try:
            await asyncio.gather(*(store.disk.watch(store.record_store.prepare(run, term)) for run, term in unknown))
            await store.disk.watch(store.record_store.note_membership(store.members()[store.id]["no"]))
        except LogError:
            store.counters.add("join.postponed")
            return
        store.ready = True
        store.config_watcher.card = store.identity()
        store.log.info("store {}: joined, it takes records, new_terms={}", store.id, len(unknown))

    async def _start_over(self, register: dict) -> None:
        """Begins anew under another id, because this disk's copies were replaced by others while it was away.

        The new id counts only once it stands on the disk.
        """
        store = self.store
        is_retired = store.settings.node_name in register.get("retired", {})
        if store.ready:
            store.log.warning("store {}: dropped from the membership, retired={}", store.id, is_retired)
        store.ready = False
        for leadership in store.leaderships.values():
            leadership.step_down()
        if is_retired or store.leaving:
            return  # it ends: a new id would make it a member again
        try:
            await store.disk.watch(store.record_store.reset(new_store_id()))
        except LogError:
            store.counters.add("join.postponed")
            return
        store.replicator.store_id = store.id
        store.config_watcher.card = store.identity()
