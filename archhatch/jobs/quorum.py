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
    >>> q.enough({"a"}, three), q.enough({"a", "b"}, three), q.enough({"a", "old"}, three)
    (False, True, False)
    >>> q.heard({"a"}, three), q.heard({"a", "b"}, three)
    (False, True)
    >>> Quorum(0).enough({"a"}, three), Quorum(0).heard({"a", "b"}, three)
    (True, False)
    """

    machines: int = 1
    zones: int = 0
    regions: int = 0
    region_of: dict = field(default_factory=dict)  # zone -> region

    @classmethod
    def of(cls, settings) -> Quorum:
        """As the settings have it.

        >>> # Quorum.of(settings).machines == settings.tolerated_machines
        """
        regions = settings.zones if settings.tolerated_regions else {}
        return cls(settings.tolerated_machines, settings.tolerated_zones, settings.tolerated_regions, regions)

    @classmethod
    def read(cls, doc: dict | None) -> Quorum:
        """From what doc() made; one machine if nothing is said.

        >>> Quorum.read(Quorum(2).doc()) == Quorum(2), Quorum.read(None).machines
        (True, 1)
        """
        return cls(**doc) if doc else cls()

    def doc(self) -> dict:
        """For the arguments of a command, which must not hang on the settings of the node that runs it."""
        return {"machines": self.machines, "zones": self.zones, "regions": self.regions, "region_of": self.region_of}

    def enough(self, stores, members: dict) -> bool:
        """Whether copies on these stores outlive what may be lost."""
        have = [s for s in stores if s in members]
        return (
            len(have) > self.machines
            and len(self._zones(have, members)) > self.zones
            and len(self._regions(have, members)) > self.regions
        )

    def heard(self, stores, members: dict) -> bool:
        """Whether any enough copies must stand on one of these stores too."""
        return bool(members) and not self.enough([s for s in members if s not in stores], members)

    def spares(self, members: dict) -> bool:
        """Whether these members can lose what may be lost and still take records.

        >>> five = {s: {"zone": "z"} for s in "abcde"}
        >>> Quorum(2).spares(five), Quorum(3).spares(five), Quorum(2, zones=1).spares(five)
        (True, False, False)
        """
        return (
            len(members) > 2 * self.machines
            and len(self._zones(members, members)) > 2 * self.zones
            and len(self._regions(members, members)) > 2 * self.regions
        )

    def pick(self, order: list, held, members: dict) -> list:
        """The fewest of order that make held enough, if they can: first the ones whose zone or region is lacking, then
        other zones before the same, then as they stand in order.

        >>> m = {"a": {"zone": "x"}, "b": {"zone": "x"}, "c": {"zone": "y"}}
        >>> Quorum(1).pick(["b", "c"], {"a"}, m), Quorum(1).pick(["b", "c"], {"a", "b"}, m)
        (['c'], [])
        """
        have, out = [s for s in held if s in members], []
        left = [s for s in order if s in members and s not in have]
        while left and not self.enough(have, members):
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


def active(members: dict) -> dict:
    """Those that may take records; a leaving one is asked as long as it is a member, but no new copy counts on it.

    >>> list(active({"a": {"state": "active"}, "b": {"state": "leaving"}}))
    ['a']
    """
    return {s: m for s, m in members.items() if m["state"] == "active"}
