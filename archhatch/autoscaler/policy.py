"""How many replicas a service should have: the decision alone, without clocks or calls.

Pressure is the share of its slots that a service needs to have everything done in time. Replicas are added once it
stays over a bound, and removed only after a calm time, down to what its highest value in that time asks for.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..routing.configuration import ServiceEntry

HIGH_PRESSURE = 1.1  # pressure from which replicas are added: above 1, as a service in balance varies around it,
HIGH_PRESSURE_FOR_S = 1.5  # ... once it lasts so long: a moment's peak is no reason
CALM_WINDOW_S = 6.0  # the time over which the highest pressure decides on removing replicas
TARGET_PRESSURE = 0.75  # the pressure that the number of replicas is chosen for: leaves room for peaks
PAUSE_BETWEEN_CHANGES_S = 2.0  # beside BootS: a change needs time to show in the pressure


@dataclass(frozen=True, slots=True)
class ScaleLimits:
    """A service's `Autoscale`.

    Attributes:
        min_count: The least number of replicas in each zone.
        max_count: The greatest number of replicas in each zone.
        boot_s: How long a new replica takes to serve, in seconds.
    """

    min_count: int
    max_count: int
    boot_s: float

    @classmethod
    def of(cls, service: ServiceEntry) -> ScaleLimits | None:
        """Returns the limits of a service of the configuration; None if it has a fixed number of replicas."""
        scale = service.autoscale
        return None if scale is None else cls(scale.min_count, scale.max_count, scale.boot_s)

    def clamp(self, count: int) -> int:
        """Returns the nearest count that is allowed in a zone.

        >>> ScaleLimits(2, 5, 0.0).clamp(9)
        5
        """
        return min(self.max_count, max(self.min_count, count))


def spread_over_zones(total: int, zones: list[str], limits: ScaleLimits) -> dict[str, int]:
    """Spreads replicas over zones as evenly as the limits allow.

    >>> spread_over_zones(7, ["a", "b", "c"], ScaleLimits(1, 9, 0.0))
    {'a': 3, 'b': 2, 'c': 2}
    >>> spread_over_zones(2, ["a", "b"], ScaleLimits(3, 9, 0.0))
    {'a': 3, 'b': 3}
    """
    per_zone, remainder = divmod(total, len(zones))
    return {zone: limits.clamp(per_zone + (index < remainder)) for index, zone in enumerate(sorted(zones))}


@dataclass(slots=True)
class ServiceScaler:
    """Follows one service's pressure and decides how many replicas it should have.

    >>> scaler = ServiceScaler()
    >>> limits = ScaleLimits(1, 9, 0.0)
    >>> [scaler.desired_count(at, 4, 1.5, limits) for at in (0.0, 1.0, 2.0)]
    [4, 4, 8]

    Attributes:
        changed_at: When the number of replicas was last changed, on the steady clock.
    """

    changed_at: float = float("-inf")
    _high_since: float | None = None
    _samples: deque[tuple[float, float]] = field(default_factory=deque)  # (when, pressure) of the last CALM_WINDOW_S
    _watched_since: float | None = None

    def desired_count(self, now: float, count: int, pressure: float, limits: ScaleLimits) -> int:
        """Takes in the present pressure and decides.

        Args:
            now: Steady clock, seconds.
            count: The number of replicas that were ordered so far, over all zones.
            pressure: The present pressure.
            limits: The service's limits; of these only boot_s counts here.

        Returns:
            The number of replicas that there should be, over all zones.
        """
        watched_since = self._add_sample(now, pressure)
        if now - self.changed_at < limits.boot_s + PAUSE_BETWEEN_CHANGES_S:
            return count
        if self._high_since is not None and now - self._high_since >= HIGH_PRESSURE_FOR_S:
            return math.ceil(count * pressure / TARGET_PRESSURE)
        if now - watched_since >= CALM_WINDOW_S:
            highest = max(value for _, value in self._samples)
            return min(count, math.ceil(count * highest / TARGET_PRESSURE))
        return count

    def _add_sample(self, now: float, pressure: float) -> float:
        """Takes in a pressure; returns when the first was taken in."""
        if self._watched_since is None:
            self._watched_since = now
        self._samples.append((now, pressure))
        while self._samples[0][0] < now - CALM_WINDOW_S:
            self._samples.popleft()
        if pressure < HIGH_PRESSURE:
            self._high_since = None
        elif self._high_since is None:
            self._high_since = now
        return self._watched_since
