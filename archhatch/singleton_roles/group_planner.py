"""Which stores should hold a namespace's register: the first group, and the changes to it."""

from __future__ import annotations

from ..consensus.reconfiguration import GroupSize, GroupView, UnreachableTimeouts, desired_group
from ..jobs import active_members
from ..membership import rank
from .node import RoleNode

REPLACE_AFTER = 0.5  # of ContactMs: a voter silent for so long is replaced, if a spare stands by
SHRINK_AFTER = 2.0  # of ContactMs: without a spare it is left out after so long, as that costs a copy
NOT_A_MEMBER_S = 1e9  # counts as the silence of a store that is no member any more


class GroupPlanner:
    """Judges a namespace's voters by what this store sees of the others.

    Attributes:
        started_at: When this store began to watch the others, on its steady clock.
    """

    def __init__(self, node: RoleNode) -> None:
        settings = node.settings
        minimum = GroupSize.for_losses(settings.tolerated_machines).minimum
        self.started_at: float = node.clock.now()
        self._node = node
        self._size = GroupSize(minimum, minimum)
        self._timeouts = UnreachableTimeouts(
            settings.seconds("ContactMs", REPLACE_AFTER), settings.seconds("ContactMs", SHRINK_AFTER)
        )
        self._refusing_since: dict[str, float] = {}

    def first_voters(self, namespace: str) -> dict[str, str] | None:
        """Returns the first voters of a namespace, their addresses by id; None while stores are lacking.

        They are taken in rendezvous order, each from the zone (or region) with the fewest so far.
        """
        members = active_members(self._node.members())
        reachable = {store_id: member for store_id, member in members.items() if self._node.membership.stays(store_id)}
        if not self._node.quorum.tolerates_losses(reachable):
            return None
        chosen: list[str] = []
        candidates = rank(namespace, reachable)
        while candidates and len(chosen) < self._size.minimum:
            best = self._from_rarest_place(candidates, chosen, reachable)
            candidates.remove(best)
            chosen.append(best)
        return {store_id: reachable[store_id]["addr"] for store_id in chosen}

    def _from_rarest_place(self, candidates: list[str], chosen: list[str], members: dict[str, dict]) -> str:
        places = [self._failure_domain(members[store_id]) for store_id in chosen]
        return min(candidates, key=lambda store_id: places.count(self._failure_domain(members[store_id])))

    def next_voters(self, state: dict) -> dict[str, str] | None:
        """Returns the group that should be, one change away from the one of a state; None if that is right."""
        members = self._node.members()
        voters = state["voters"]
        view = GroupView(
            voters=voters,
            spares=self._spares(members, voters),
            unreachable_s={store_id: self._silent_s(store_id, members) for store_id in voters},
            leaving={store_id for store_id in voters if self._is_leaving(store_id, members)},
            zones={store_id: self._failure_domain(member) for store_id, member in members.items()},
        )
        return desired_group(view, self._size, self._timeouts, self._node.quiet_s)

    def _spares(self, members: dict[str, dict], voters: dict[str, str]) -> dict[str, str]:
        membership = self._node.membership
        return {
            store_id: member["addr"]
            for store_id, member in active_members(members).items()
            if store_id not in voters and membership.stays(store_id) and membership.takes(store_id)
        }

    def _failure_domain(self, member: dict) -> str:
        """What fails together: a region if the settings ask to bear the loss of regions, else a zone."""
        settings = self._node.settings
        zone = member["zone"]
        return settings.zones.get(zone, zone) if settings.tolerated_regions else zone

    def _is_leaving(self, store_id: str, members: dict[str, dict]) -> bool:
        if store_id not in members:
            return False
        return members[store_id]["state"] != "active" or self._node.membership.departing(store_id)

    def _silent_s(self, store_id: str, members: dict[str, dict]) -> float:
        """Seconds for which a voter has been silent or has refused writes."""
        now = self._node.clock.now()
        if store_id not in members:
            return NOT_A_MEMBER_S
        if self._node.membership.takes(store_id):
            self._refusing_since.pop(store_id, None)
        else:
            self._refusing_since.setdefault(store_id, now)
        refusing_s = now - self._refusing_since.get(store_id, now)
        if store_id == self._node.id:
            return refusing_s
        # a store that has just started has heard nobody yet: silence counts from its own start at most
        silent_s = min(self._node.membership.cards.silence_s(store_id, now), now - self.started_at)
        return max(refusing_s, silent_s)
