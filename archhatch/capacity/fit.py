"""Least squares: the line through measured points, and how far they lie from it."""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fit:
    """slope and intercept of the line; residual: root mean square of what is left, as a part of the mean figure.

    >>> Fit(2.0, 1.0, 0.0).at(3)
    7.0
    """

    slope: float
    intercept: float
    residual: float

    def at(self, x: float) -> float:
        """The line's figure at x, never below 0."""
        return max(0.0, self.slope * x + self.intercept)


def fit_line(samples: list) -> Fit:
    """The line through [[x, y], ...].

    >>> fit_line([[1, 3.0], [2, 5.0], [3, 7.0]])
    Fit(slope=2.0, intercept=1.0, residual=0.0)
    """
    xs, ys = [float(x) for x, _ in samples], [float(y) for _, y in samples]
    if len(set(xs)) < 2:
        raise ValueError("a line needs two sizes")
    slope, intercept = statistics.linear_regression(xs, ys)
    left = math.sqrt(statistics.fmean((y - slope * x - intercept) ** 2 for x, y in zip(xs, ys)))
    mean = statistics.fmean(abs(y) for y in ys)
    return Fit(slope, intercept, left / mean if mean else 0.0)
