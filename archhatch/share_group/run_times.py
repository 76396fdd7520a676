"""Mean duration of the items' streams at replicas, and a forecast of when waiting items would be done."""

from __future__ import annotations

import math

NEWEST_WEIGHT = 0.1  # weight of the newest duration in the moving mean: the last ten or so make most of it


class RunTimes:
    """The moving mean of the stream durations, by share partition.

    >>> times = RunTimes(); times.forecast("m", 6, 2)
    >>> times.note("m", 0.5); times.forecast("m", 6, 2), times.forecast("m", 7, 2)
    (2.0, 2.5)
    """

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}

    def note(self, partition: str, took_s: float) -> None:
        """Adds the duration of a stream."""
        mean_s = self._mean_s.get(partition)
        self._mean_s[partition] = took_s if mean_s is None else mean_s + NEWEST_WEIGHT * (took_s - mean_s)

    def mean_s(self, partition: str) -> float | None:
        """Returns the mean duration in seconds, or None before the first stream ended."""
        return self._mean_s.get(partition)

    def forecast(self, partition: str, waiting: int, running: int) -> float | None:
        """Returns the seconds until the waiting items would be done.

        Args:
            partition: The share partition.
            waiting: How many items wait.
            running: How many items run at a time.

        Returns:
            One round for the items that run now, and the rounds after it; None if no duration is known or nothing
            runs.
        """
        mean_s = self._mean_s.get(partition)
        if mean_s is None or running <= 0:
            return None
        return mean_s * (1 + math.ceil(waiting / running))
