"""Additive increase, multiplicative decrease: how many replicas may load weights at once, learnt from load times."""

from __future__ import annotations

LEAST = 6  # one engine in so many may always load, two at least
CROWDED = 1.5  # times the usual time of a load: too many load at once
LEAK = 1.02  # how much the best time grows with each load: one odd sample must not be the measure for ever
MORE = 0.34  # room for each load that took no longer
LESS = 0.85  # ... and what stays of it when a load took longer


class LoadConcurrencyLimit:
    """may(n) says whether one more may load beside n others; note() folds how long a load took.

    >>> r = LoadConcurrencyLimit(0.3); r.resize(24); r.may(3), r.may(4)
    (True, False)
    """

    def __init__(self, guess_s: float):
        self.load_s = guess_s  # what a load takes
        self.best_s = 0.0
        self.room = 2.0
        self.engines = 0

    def resize(self, engines: int) -> None:
        """How many engines there are."""
        self.engines = engines
        self.room = max(self._least(), self.room)

    def _least(self) -> float:
        return max(2.0, self.engines / LEAST)

    def may(self, others: int) -> bool:
        return others < int(self.room)

    def note(self, took: float, at_once: int) -> None:
        """A load that surely happened took so long, with so many under way when it began."""
        self.load_s += 0.3 * (took - self.load_s)
        self.best_s = min(self.best_s * LEAK, took) if self.best_s else took
        if took <= self.best_s * CROWDED:
            self.room = min(self.room + MORE, max(2.0, self.engines))
        elif at_once >= int(self.room):
            self.room = max(self._least(), self.room * LESS)
