"""The membership of stores, kept by the owner of the plan's register."""

from __future__ import annotations

from ..jobs import active_members
from .registers import PLAN

HEARD = 0.5  # of ContactMs: a store heard this lately may join, and counts as one that stays
SILENT = 0.45  # of SyncS: a store silent for so long is to leave, if another has come since
ALONE = 0.9  # of SyncS: ... and for so long, if enough others are there anyway


class StoreMembershipController:
    """Lets stores join, and has a silent one leave once others can do without it.

    >>> # duty = StoreMembershipController(node); await duty.tend()
    """

    def __init__(self, node):
        self.node = node
        self._joined: dict[str, float] = {}  # store -> when this node first saw it among the members

    async def tend(self) -> None:
        """One look at all stores."""
        node = self.node
        state = node.registers.known.get(PLAN)
        if state is None:
            return
        now, value = node.clock.now(), state["val"]
        members = value.get("stores", {})
        for store_id, card in list(node.stores.cards.items()):
            heard = node.stores.silence_s(store_id, now) < node.settings.seconds("ContactMs", HEARD)
            barred = (
                store_id in members or store_id in value.get("dropped", {}) or card["name"] in value.get("retired", {})
            )
            if heard and not barred:
                await node.try_command(PLAN, "store.join", card)
        if node.registers.owns(PLAN):
            await self._tend_silent(members, now)

    async def _tend_silent(self, members: dict, now: float) -> None:
        node = self.node
        for store_id, member in members.items():
            heard = max(node.started, node.stores.last_heard.get(store_id, node.started))
            replaced = any(
                other["no"] > member["no"] and self._joined.get(other_id, now) > heard
                for other_id, other in members.items()
                if other_id != store_id and other["state"] == "active"
            )
            silent = now - heard
            spared = replaced and silent > node.settings.seconds("SyncS", SILENT)
            if not spared and silent > node.settings.seconds("SyncS", ALONE):
                spared = self._enough_stay(members, store_id, now)
            if member["state"] == "active" and spared:
                node.log.info("store {} fell silent and others are there: it is to leave", store_id)
                await node.try_command(PLAN, "store.leave", {"id": store_id, "quorum": node.quorum.to_document()})
        for store_id in members:
            self._joined.setdefault(store_id, now)

    def _enough_stay(self, members: dict, gone: str, now: float) -> bool:
        """Whether the stores that are heard bear the allowed losses without one."""
        node = self.node
        stay = {
            sid: member
            for sid, member in active_members(members).items()
            if sid != gone and node.stores.silence_s(sid, now) < node.settings.seconds("ContactMs", HEARD)
        }
        return node.quorum.tolerates_losses(stay)
