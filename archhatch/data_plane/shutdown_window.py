"""Which requests an edge that is about to end may still take."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShutdownWindow:
    """The rest of an edge's life, by its steady clock.

    Attributes:
        certain_from: Until then clients may not know yet that the edge ends: it takes what comes. From then on it takes
            only what is certain to be answered in time.
        ends_at: When the last answer has to be on its way.
    """

    certain_from: float
    ends_at: float

    def admits(self, now: float, timeout_s: float) -> bool:
        """Returns whether a request may be taken.

        Args:
            now: The time.
            timeout_s: How long the request may take.

        >>> window = ShutdownWindow(certain_from=2.0, ends_at=7.0)
        >>> window.admits(1.0, 30.0), window.admits(3.0, 4.0), window.admits(3.0, 4.1)
        (True, True, False)
        """
        return now < self.certain_from or now + timeout_s <= self.ends_at
