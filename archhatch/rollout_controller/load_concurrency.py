"""How many replicas may load weights at once: additive increase, multiplicative decrease, learnt from load times."""

from __future__ import annotations

LEAST = 6  # one replica in so many may always load ...
MIN_LOADS = 2.0  # ... and never fewer than these at once
CROWDED_RATIO = 1.5  # of the best load time: a load that took longer shows that too many ran at once
BEST_TIME_GROWTH = 1.02  # of the best time with each load: one odd sample must not be the measure for ever
INCREASE = 0.34  # of the limit, for each load that took no longer
DECREASE = 0.85  # what stays of the limit when a load took longer
SMOOTHING = 0.3  # weight of the newest load in the mean load time


class LoadConcurrencyLimit:
    """Limits the loads of weights that run at once.

    Attributes:
        load_s: How long a load takes, smoothed.
        best_s: The time of the fastest load lately; 0.0 before the first.
        limit: How many loads may run at once; its whole part counts.
        engine_count: How many engines there are.

    >>> limit = LoadConcurrencyLimit(0.3); limit.resize(24); limit.allows_another(3), limit.allows_another(4)
    (True, False)
    """

    def __init__(self, initial_load_s: float) -> None:
        self.load_s = initial_load_s
        self.best_s = 0.0
        self.limit = MIN_LOADS
        self.engine_count = 0

    def resize(self, engine_count: int) -> None:
        """Takes up how many engines there are."""
        self.engine_count = engine_count
        self.limit = max(self._floor(), self.limit)

    def _floor(self) -> float:
        """The limit that always holds."""
        return max(MIN_LOADS, self.engine_count / LEAST)

    def allows_another(self, running: int) -> bool:
        """Returns whether one more load may start beside those that run."""
        return running < int(self.limit)

    def record_load(self, duration_s: float, at_once: int) -> None:
        """Learns from a load that surely happened.

        Args:
            duration_s: How long it took.
            at_once: How many loads were under way when it began.
        """
        self.load_s += SMOOTHING * (duration_s - self.load_s)
        self.best_s = min(self.best_s * BEST_TIME_GROWTH, duration_s) if self.best_s else duration_s
        if duration_s <= self.best_s * CROWDED_RATIO:
            self.limit = min(self.limit + INCREASE, max(MIN_LOADS, self.engine_count))
        elif at_once >= int(self.limit):
            self.limit = max(self._floor(), self.limit * DECREASE)
