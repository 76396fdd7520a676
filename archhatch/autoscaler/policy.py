"""How many replicas a service should have: the decision alone, without clocks or calls.

Pressure is the share of its places that a service needs to have everything done in time. Replicas are added once it
stays over a bound, and taken away only after a calm time, down to what its highest value in that time asks for.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

HIGH = 1.1  # pressure from which replicas are added,
HIGH_FOR_S = 1.5  # ... once it lasts so long
CALM_S = 6.0  # the time over which the highest pressure decides on taking replicas away
AIM = 0.75  # the pressure that the number of replicas is chosen for
PAUSE_S = 2.0  # beside BootS: between two changes of a service


@dataclass(frozen=True, slots=True)
class ScaleLimits:
    """A service's `Autoscale`: bounds for each zone, and how long a new replica takes to serve."""

    least: int
    most: int
    boot_s: float

    @classmethod
    def read(cls, service: dict) -> ScaleLimits | None:
        """From a service of the configuration; None if it has a fixed number of replicas."""
        scale = service.get("Autoscale")
        if not scale:
            return None
        return cls(int(scale["MinCount"]), int(scale["MaxCount"]), float(scale.get("BootS", 0.0)))

    def clamp(self, count: int) -> int:
        """The nearest count that is allowed.

        >>> ScaleLimits(2, 5, 0.0).clamp(9)
        5
        """
        return min(self.most, max(self.least, count))


def spread(total: int, zones: list, limits: ScaleLimits) -> dict:
    """So many replicas over zones, as evenly as the bounds allow.

    >>> spread(7, ["a", "b", "c"], ScaleLimits(1, 9, 0.0)), spread(2, ["a", "b"], ScaleLimits(3, 9, 0.0))
    ({'a': 3, 'b': 2, 'c': 2}, {'a': 3, 'b': 3})
    """
    each, more = divmod(total, len(zones))
    return {zone: limits.clamp(each + (n < more)) for n, zone in enumerate(sorted(zones))}


@dataclass(slots=True)
class ServiceScaler:
    """Follows one service's pressure; want() gives the total number of replicas that it should have.

    >>> s = ServiceScaler(); limits = ScaleLimits(1, 9, 0.0)
    >>> [s.want(t, 4, 1.5, limits) for t in (0.0, 1.0, 2.0)]
    [4, 4, 8]
    """

    changed_at: float = float("-inf")
    _high_since: float | None = None
    _seen: deque = field(default_factory=deque)  # (when, pressure), of the last CALM_S
    _watched_since: float | None = None

    def want(self, now: float, count: int, pressure: float, limits: ScaleLimits) -> int:
        """The number of replicas over all zones, of `count` that there are to be now."""
        self._note(now, pressure)
        if now - self.changed_at < limits.boot_s + PAUSE_S:
            return count
        target = count
        if self._high_since is not None and now - self._high_since >= HIGH_FOR_S:
            target = math.ceil(count * pressure / AIM)
        elif now - self._watched_since >= CALM_S:
            highest = max(value for _, value in self._seen)
            target = min(count, math.ceil(count * highest / AIM))
        return target

    def _note(self, now: float, pressure: float) -> None:
        if self._watched_since is None:
            self._watched_since = now
        self._seen.append((now, pressure))
        while self._seen[0][0] < now - CALM_S:
            self._seen.popleft()
        if pressure < HIGH:
            self._high_since = None
        elif self._high_since is None:
            self._high_since = now
