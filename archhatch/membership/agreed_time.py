"""Time of day on which nodes agree: the median, over the nodes that were heard, of what their clocks of the day show.

A single node's clock of the day may jump; the steady clock never does. So a node keeps, for each other one, how far
that one's time of day is ahead of its own steady clock, and reads its steady clock plus the median of these.
"""

from __future__ import annotations

from statistics import median


class AgreedTime:
    """Folds what other nodes' clocks show; now() is in seconds since the start of 1970.

    >>> time = AgreedTime()
    >>> time.record_clock("a", 1000.0, 10.0); time.record_clock("b", 1000.2, 10.0); time.record_clock("c", 5000.0, 10.0)
    >>> time.at(20.0)
    1010.2
    """

    def __init__(self):
        self._ahead: dict[str, float] = {}

    def record_clock(self, node: str, wall: float, steady: float) -> None:
        """A node's time of day was `wall` when this node's steady clock was at `steady`."""
        self._ahead[node] = wall - steady

    def forget(self, node: str) -> None:
        """A node is gone: its clock counts no more."""
        self._ahead.pop(node, None)

    @property
    def is_known(self) -> bool:
        """Whether any node's clock was heard."""
        return bool(self._ahead)

    def at(self, steady: float) -> float:
        """The agreed time of day at a point of this node's steady clock."""
        return steady + median(self._ahead.values())
