"""The membership of stores, kept by the owner of the plan's register."""
from __future__ import annotations

from .registers import PLAN

HEARD = 0.5     # of ContactMs: a store heard this lately may join
SILENT = 0.45   # of SyncS: a store silent for so long is to leave, if another has come since


class StoreDuty:
    """Lets stores join, and has a silent one leave once another has come.

    >>> # duty = StoreDuty(node); await duty.tend()
    """

    def __init__(self, node):
        self.node = node
        self._joined: dict[str, float] = {}   # store -> when this node first saw it among the members

    async def tend(self) -> None:
        """One look at all stores."""
        node = self.node
        state = node.registers.known.get(PLAN)
        if state is None:
            return
        now, val = node.clock.now(), state["val"]
        members = val.get("stores", {})
        for store_id, card in list(node.stores.cards.items()):
            heard = node.stores.silent(store_id, now) < node.boot.secs("ContactMs", HEARD)
            barred = store_id in members or store_id in val.get("dropped", {}) or card["name"] in val.get("retired", {})
            if heard and not barred:
                await node.try_command(PLAN, "store.join", card)
        if node.registers.owns(PLAN):
            await self._tend_silent(members, now)

    async def _tend_silent(self, members: dict, now: float) -> None:
        node = self.node
        for store_id, member in members.items():
            heard = max(node.started, node.stores.heard.get(store_id, node.started))
            replaced = any(other["no"] > member["no"] and self._joined.get(other_id, now) > heard
                           for other_id, other in members.items()
                           if other_id != store_id and other["state"] == "active")
            silent = now - heard > node.boot.secs("SyncS", SILENT)
            if member["state"] == "active" and silent and replaced:
                node.log.info("store {} fell silent and another came: it is to leave", store_id)
                await node.try_command(PLAN, "store.leave", {"id": store_id, "quorum": node.quorum.doc()})
        for store_id in members:
            self._joined.setdefault(store_id, now)
