"""Who must hold, hear or confirm something, so that it outlives what the settings say may be lost at once."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Quorum:
    """Counts sets of stores. members: id -> {"zone", "state", ...}; a set counts only as far as its stores are members.

    Copies are enough when they outlive the loss of any `machines` stores, of any `zones` zones, and of any `regions`
    regions. A gather has heard enough when those that it did not hear could not have had enough copies between them;
    so any enough copies and any gather share a store.

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
    region_of: dict = field(default_factory=dict)  # zone -> region

    @classmethod
    def from_settings(cls, settings) -> Quorum:
        """As the settings have it.

        >>> # Quorum.from_settings(settings).machines == settings.tolerated_machines
        """
        regions = settings.zones if settings.tolerated_regions else {}
        return cls(settings.tolerated_machines, settings.tolerated_zones, settings.tolerated_regions, regions)

    @classmethod
    def from_document(cls, doc: dict | None) -> Quorum:
        """From what doc() made; one machine if nothing is said.

        >>> Quorum.from_document(Quorum(2).to_document()) == Quorum(2), Quorum.from_document(None).machines
        (True, 1)
        """
        return cls(**doc) if doc else cls()

    def to_document(self) -> dict:
        """For the arguments of a command, which must not hang on the settings of the node that runs it."""
        return {"machines": self.machines, "zones": self.zones, "regions": self.regions, "region_of": self.region_of}

    def has_enough_copies(self, stores, members: dict) -> bool:
        """Whether copies on these stores outlive what may be lost."""
        have = [s for s in stores if s in members]
        return (
            len(have) > self.machines
            and len(self._zones(have, members)) > self.zones
            and len(self._regions(have, members)) > self.regions
        )

    def has_heard_enough(self, stores, members: dict) -> bool:
        """Whether any enough copies must stand on one of these stores too."""
        return bool(members) and not self.has_enough_copies([s for s in members if s not in stores], members)

    def tolerates_losses(self, members: dict) -> bool:
        """Whether these members can lose what may be lost and still take records.

        >>> five = {s: {"zone": "z"} for s in "abcde"}
        >>> [quorum.tolerates_losses(five) for quorum in (Quorum(2), Quorum(3), Quorum(2, zones=1))]
        [True, False, False]
        """
        return (
            len(members) > 2 * self.machines
            and len(self._zones(members, members)) > 2 * self.zones
            and len(self._regions(members, members)) > 2 * self.regions
        )

    def choose_copies(self, order: list, held, members: dict) -> list:
        """The fewest of order that make held enough, if they can: first the ones whose zone or region is lacking, then
        other zones before the same, then as they stand in order.

        >>> m = {"a": {"zone": "x"}, "b": {"zone": "x"}, "c": {"zone": "y"}}
        >>> Quorum(1).choose_copies(["b", "c"], {"a"}, m), Quorum(1).choose_copies(["b", "c"], {"a", "b"}, m)
        (['c'], [])
        """
        have, out = [s for s in held if s in members], []
        left = [s for s in order if s in members and s not in have]
        while left and not self.has_enough_copies(have, members):
            zones, regions = self._zones(have, members), self._regions(have, members)
            fit = []
            if len(regions) <= self.regions:
                fit = [s for s in left if self._region(s, members) not in regions]
            if not fit and len(zones) <= self.zones:
                fit = [s for s in left if members[s]["zone"] not in zones]
            if not fit and len(have) <= self.machines:
                fit = left
            if not fit:
                break  # what is lacking cannot be had from these
            best = next((s for s in fit if members[s]["zone"] not in zones), fit[0])
            left.remove(best)
            have.append(best)
            out.append(best)
        return out

    def _region(self, sid: str, members: dict) -> str:
        zone = members[sid]["zone"]
        return self.region_of.get(zone, zone)

    def _zones(self, stores, members: dict) -> set:
        return {members[s]["zone"] for s in stores}

    def _regions(self, stores, members: dict) -> set:
        return {self._region(s, members) for s in stores}


def active_members(members: dict) -> dict:
    """Those that may take records; a leaving one is asked as long as it is a member, but no new copy counts on it.

    >>> list(active_members({"a": {"state": "active"}, "b": {"state": "leaving"}}))
    ['a']
    """
    return {s: m for s, m in members.items() if m["state"] == "active"}
