"""A sequence of names in the proportions of their weights."""

from __future__ import annotations

import random
from bisect import bisect_right
from itertools import accumulate

GOLDEN_RATIO_FRACTION = 0.6180339887498949


class WeightedSequence:
    """Gives names in the proportions of their weights, evenly over any stretch.

    Independent random choices miss the proportions by chance alone. Here choice k falls where the fractional part of
    phase + k * golden ratio lies (a low-discrepancy sequence, Weyl 1916); the phase is drawn anew for each sequence, so
    that many nodes do not choose in step.

    >>> sequence = WeightedSequence((("a", 9.0), ("b", 1.0)), phase=0.0)
    >>> [sequence.next() for _ in range(100)].count("b")
    10
    """

    __slots__ = ("_position", "_names", "_bounds")

    def __init__(self, weights: tuple[tuple[str, float], ...], phase: float | None = None) -> None:
        """Prepares a sequence.

        Args:
            weights: The names with their weights, of a positive sum.
            phase: Where the sequence begins, from 0 to 1; random if left out.
        """
        self._position = random.random() if phase is None else phase
        total = sum(weight for _, weight in weights)
        self._names = [name for name, _ in weights]
        self._bounds = list(accumulate(weight / total for _, weight in weights))

    def next(self) -> str:
        """Returns the next name."""
        self._position = (self._position + GOLDEN_RATIO_FRACTION) % 1.0
        # the last bound may lie just below 1 by rounding
        return self._names[min(bisect_right(self._bounds, self._position), len(self._names) - 1)]
