"""Which stores hold a namespace's register: the first group, and the changes to it."""

from __future__ import annotations

from ..jobs import active_members
from ..consensus.reconfiguration import GroupSize, UnreachableTimeouts, GroupView, desired_group
from ..membership import rank

REPLACE, SHRINK = 0.5, 2.0  # of ContactMs: a voter silent for so long is replaced, or left out
GONE_S = 1e9  # silence of a store that is no member any more


class GroupKeeper:
    """Judges a namespace's voters by what this store sees of the others.

    >>> # keeper = GroupKeeper(store); keeper.first("accounting"); keeper.wanted(state)
    """

    def __init__(self, store):
        self.store = store
        settings = store.settings
        size = GroupSize.for_losses(settings.tolerated_machines)
        self.size = GroupSize(size.minimum, size.minimum)
        self.patience = UnreachableTimeouts(
            settings.seconds("ContactMs", REPLACE), settings.seconds("ContactMs", SHRINK)
        )
        self.started = store.clock.now()
        self._refusing_since: dict[str, float] = {}

    def first(self, namespace: str) -> dict | None:
        """The first voters of a namespace: by rendezvous, one place after the other; None while stores are lacking."""
        members = active_members(self.store.members())
        up = {sid: member for sid, member in members.items() if self.store.membership.stays(sid)}
        if not self.store.quorum.tolerates_losses(up):
            return None
        chosen: list[str] = []
        order = rank(namespace, up)
        while order and len(chosen) < self.size.minimum:
            places = [self._place(up[sid]) for sid in chosen]
            best = min(order, key=lambda sid: places.count(self._place(up[sid])))
            order.remove(best)
            chosen.append(best)
        return {sid: up[sid]["addr"] for sid in chosen}

    def wanted(self, state: dict) -> dict | None:
        """The group that should be, one change away from the one of a state; None if that is right."""
        members = self.store.members()
        voters = state["voters"]
        spares = {
            sid: member["addr"]
            for sid, member in active_members(members).items()
            if sid not in voters and self.store.membership.stays(sid) and self.store.membership.takes(sid)
        }
        leaving = {sid for sid in voters if self._leaves(sid, members)}
        silent = {sid: self._silent_s(sid, members) for sid in voters}
        zones = {sid: self._place(member) for sid, member in members.items()}
        return desired_group(
            GroupView(voters, spares, silent, leaving, zones), self.size, self.patience, self.store.quiet_s
        )

    def _place(self, member: dict) -> str:
        """What fails together: a region where the loss of regions is borne, else a zone."""
        zone = member["zone"]
        return self.store.settings.zones.get(zone, zone) if self.store.settings.tolerated_regions else zone

    def _leaves(self, sid: str, members: dict) -> bool:
        return sid in members and (members[sid]["state"] != "active" or self.store.membership.departing(sid))

    def _silent_s(self, sid: str, members: dict) -> float:
        now = self.store.clock.now()
        if sid not in members:
            return GONE_S
        if self.store.membership.takes(sid):
            self._refusing_since.pop(sid, None)
        else:
            self._refusing_since.setdefault(sid, now)
        refusing = now - self._refusing_since.get(sid, now)
        if sid == self.store.id:
            return refusing
        return max(refusing, min(self.store.membership.cards.silence_s(sid, now), now - self.started))
