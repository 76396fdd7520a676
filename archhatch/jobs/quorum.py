"""Who must hold, hear or confirm something, so that it outlives what the settings say may be lost at once."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from ..runtime import Settings


@dataclass(frozen=True)
class Quorum:
    """Counts sets of stores; a set counts only as far as its stores are members.

    Copies are enough when they outlive the loss of any `machines` stores, of any `zones` zones, and of any `regions`
    regions. A gather has heard enough when those that it did not hear could not have had enough copies between them;
    so any enough copies and any gather share a store.

    `members` is the register's document of the stores by id, each with its "zone" and "state".

    Attributes:
        machines: How many stores may be lost at once.
        zones: How many zones may be lost at once.
        regions: How many regions may be lost at once.
        region_of: The region of each zone; a zone that is not listed is a region of its own.

    >>> q = Quorum(1); three = {s: {"zone": "z", "state": "active"} for s in "abc"}
    >>> q.has_enough_copies({"a"}, three), q.has_enough_copies({"a", "b"}, three)
    (False, True)
    >>> q.has_enough_copies({"a", "old"}, three)
    False
    >>> q.has_heard_enough({"a"}, three), q.has_heard_enough({"a", "b"}, three)
    (False, True)
    >>> Quorum(0).has_enough_copies({"a"}, three), Quorum(0).has_heard_enough({"a", "b"}, three)
    (True, False)
    """

    machines: int = 1
    zones: int = 0
    regions: int = 0
    region_of: dict[str, str] = field(default_factory=dict)

    @classmethod
    def from_settings(cls, settings: Settings) -> Quorum:
        """Returns the quorum that the settings ask for."""
        regions = settings.zones if settings.tolerated_regions else {}
        return cls(settings.tolerated_machines, settings.tolerated_zones, settings.tolerated_regions, regions)

    @classmethod
    def from_document(cls, document: dict | None) -> Quorum:
        """Reads what to_document() made; one machine if nothing is said.

        >>> Quorum.from_document(Quorum(2).to_document()) == Quorum(2), Quorum.from_document(None).machines
        (True, 1)
        """
        return cls(**document) if document else cls()

    def to_document(self) -> dict:
        """Returns it for the arguments of a command, which must not hang on the settings of the node that runs it."""
        return {"machines": self.machines, "zones": self.zones, "regions": self.regions, "region_of": self.region_of}

    def has_enough_copies(self, stores: Iterable[str], members: dict) -> bool:
        """Returns whether copies on these stores outlive what may be lost."""
        holders = [sid for sid in stores if sid in members]
        return (
            len(holders) > self.machines
            and len(self._zones(holders, members)) > self.zones
            and len(self._regions(holders, members)) > self.regions
        )

    def has_heard_enough(self, stores: Collection[str], members: dict) -> bool:
        """Returns whether any enough copies must stand on one of these stores too."""
        return bool(members) and not self.has_enough_copies([sid for sid in members if sid not in stores], members)

    def tolerates_losses(self, members: dict) -> bool:
        """Returns whether these members can lose what may be lost and still take records.

        >>> five = {s: {"zone": "z"} for s in "abcde"}
        >>> [quorum.tolerates_losses(five) for quorum in (Quorum(2), Quorum(3), Quorum(2, zones=1))]
        [True, False, False]
        """
        return (
            len(members) > 2 * self.machines
            and len(self._zones(members, members)) > 2 * self.zones
            and len(self._regions(members, members)) > 2 * self.regions
        )

    def choose_copies(self, order: list[str], held: Iterable[str], members: dict) -> list[str]:
        """Chooses the fewest stores that make the copies enough, if any can.

        First come those whose zone or region is lacking, then other zones before the same, then as they stand in order.

        Args:
            order: The stores that may be chosen, the preferred ones first.
            held: The stores that have a copy.
            members: The stores that count.

        >>> m = {"a": {"zone": "x"}, "b": {"zone": "x"}, "c": {"zone": "y"}}
        >>> Quorum(1).choose_copies(["b", "c"], {"a"}, m), Quorum(1).choose_copies(["b", "c"], {"a", "b"}, m)
        (['c'], [])
        """
        holders = [sid for sid in held if sid in members]
        left = [sid for sid in order if sid in members and sid not in holders]
        chosen: list[str] = []
        while left and not self.has_enough_copies(holders, members):
            zones = self._zones(holders, members)
            candidates = self._candidates(left, holders, members)
            if not candidates:
                break  # what is lacking cannot be had from these
            best = next((sid for sid in candidates if members[sid]["zone"] not in zones), candidates[0])
            left.remove(best)
            holders.append(best)
            chosen.append(best)
        return chosen

    def _candidates(self, left: list[str], holders: list[str], members: dict) -> list[str]:
        """Those of the stores left that bring what the holders lack most: a region, a zone, or a machine."""
        zones = self._zones(holders, members)
        regions = self._regions(holders, members)
        candidates: list[str] = []
        if len(regions) <= self.regions:
            candidates = [sid for sid in left if self._region(sid, members) not in regions]
        if not candidates and len(zones) <= self.zones:
            candidates = [sid for sid in left if members[sid]["zone"] not in zones]
        if not candidates and len(holders) <= self.machines:
            candidates = left
        return candidates

    def _region(self, sid: str, members: dict) -> str:
        zone = members[sid]["zone"]
        return self.region_of.get(zone, zone)

    def _zones(self, stores: Iterable[str], members: dict) -> set[str]:
        return {members[sid]["zone"] for sid in stores}

    def _regions(self, stores: Iterable[str], members: dict) -> set[str]:
        return {self._region(sid, members) for sid in stores}


def active_members(members: dict) -> dict:
    """Returns those that may take records; a leaving one is asked while it is a member, but no new copy counts on it.

    >>> list(active_members({"a": {"state": "active"}, "b": {"state": "leaving"}}))
    ['a']
    """
    return {sid: member for sid, member in members.items() if member["state"] == "active"}
