"""How long the items of a partition take at replicas, and so when those that wait would be done."""

from __future__ import annotations

import math

WEIGHT = 0.1  # of the newest item in the mean


class RunTimes:
    """The mean time of an item's stream, by partition.

    >>> times = RunTimes(); times.forecast("m", 6, 2)
    >>> times.note("m", 0.5); times.forecast("m", 6, 2), times.forecast("m", 7, 2)
    (2.0, 2.5)
    """

    def __init__(self):
        self._mean_s: dict[str, float] = {}

    def note(self, partition: str, took_s: float) -> None:
        """An item's stream took so long."""
        mean = self._mean_s.get(partition)
        self._mean_s[partition] = took_s if mean is None else mean + WEIGHT * (took_s - mean)

    def mean_s(self, partition: str) -> float | None:
        """How long an item's stream takes, in seconds; None if nothing is known yet."""
        return self._mean_s.get(partition)

    def forecast(self, partition: str, waiting: int, running: int) -> float | None:
        """Seconds until so many waiting items are done, where so many run at a time: a round for those that run now,
        and the rounds after it. None if nothing is known yet, or nothing runs."""
        mean = self._mean_s.get(partition)
        if mean is None or running <= 0:
            return None
        return mean * (1 + math.ceil(waiting / running))
