"""The membership of stores, kept by the owner of the plan register."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol, cast

from ..jobs import Quorum, active_members
from .register_values import ACTIVE, StoreRecord, dropped_stores_of, retirements_of, stores_of
from .registers import PLAN

if TYPE_CHECKING:
    from ..membership import PeerSet
    from ..runtime import Clock, Settings
    from .agreement import Registers

RECENT_SHARE = 0.5  # of ContactMs: a store heard this lately may join, and counts as one that stays
REPLACED_SHARE = 0.45  # of SyncS: a store silent for so long is to leave, if another has joined since
SPARE_SHARE = 0.9  # of SyncS: ... and for so long, if enough others are there anyway


class StoreMembershipHost(Protocol):
    """What the membership uses of its control node.

    Attributes:
        started: When the node started, or last stood still; how long stores were silent counts from then.
    """

    started: float
    settings: Settings
    clock: Clock
    log: Any
    stores: PeerSet
    quorum: Quorum
    registers: Registers

    async def try_command(self, shard: str, name: str, args: dict) -> tuple[int, Any]:
        """Runs a command that comes round again if no majority answers now."""


class StoreMembershipController:
    """Lets stores join, and has a silent one leave once others can do without it."""

    def __init__(self, node: StoreMembershipHost) -> None:
        self.node = node
        self._member_since: dict[str, float] = {}  # when this node first saw a store among the members

    async def update(self) -> None:
        """Looks at all stores once."""
        node = self.node
        state = node.registers.known.get(PLAN)
        if state is None:
            return
        now, value = node.clock.now(), state["val"]
        members = stores_of(value)
        recent_s = node.settings.seconds("ContactMs", RECENT_SHARE)
        for store_id, card in list(node.stores.cards.items()):
            was_member = "no" in card  # and is none now: it begins anew under another id
            has_ended = was_member or store_id in dropped_stores_of(value) or card["name"] in retirements_of(value)
            is_recent = node.stores.silence_s(store_id, now) < recent_s
            if is_recent and store_id not in members and not has_ended:
                await node.try_command(PLAN, "store.join", cast(dict, card))
        if node.registers.owns(PLAN):
            await self._let_silent_leave(members, now)

    async def _let_silent_leave(self, members: dict[str, StoreRecord], now: float) -> None:
        node = self.node
        for store_id, member in members.items():
            if member["state"] == ACTIVE and self._can_be_spared(store_id, members, now):
                node.log.info("store {}: leaves, as it is silent and enough others are there", store_id)
                await node.try_command(PLAN, "store.leave", {"id": store_id, "quorum": node.quorum.to_document()})
        for store_id in members:
            self._member_since.setdefault(store_id, now)

    def _can_be_spared(self, store_id: str, members: dict[str, StoreRecord], now: float) -> bool:
        """Returns whether a store has been silent for so long that it is to leave."""
        node = self.node
        heard_at = max(node.started, node.stores.last_heard.get(store_id, node.started))
        silent_s = now - heard_at
        is_replaced = self._has_successor(store_id, members, heard_at, now)
        if is_replaced and silent_s > node.settings.seconds("SyncS", REPLACED_SHARE):
            return True
        return silent_s > node.settings.seconds("SyncS", SPARE_SHARE) and self._enough_stay(members, store_id, now)

    def _has_successor(self, store_id: str, members: dict[str, StoreRecord], heard_at: float, now: float) -> bool:
        """Returns whether an active store has joined after this one and since it was last heard."""
        return any(
            other["no"] > members[store_id]["no"] and self._member_since.get(other_id, now) > heard_at
            for other_id, other in members.items()
            if other_id != store_id and other["state"] == ACTIVE
        )

    def _enough_stay(self, members: dict[str, StoreRecord], leaving_id: str, now: float) -> bool:
        """Returns whether the stores that were heard lately bear the tolerated losses without one."""
        node = self.node
        recent_s = node.settings.seconds("ContactMs", RECENT_SHARE)
        staying = {
            store_id: member
            for store_id, member in active_members(members).items()
            if store_id != leaving_id and node.stores.silence_s(store_id, now) < recent_s
        }
        return node.quorum.tolerates_losses(staying)
