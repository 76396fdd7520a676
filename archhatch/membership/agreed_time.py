"""A time of day on which nodes agree: the median of the wall clocks of the nodes that were heard.

The wall clock of a single node may jump; the monotonic clock never does. So a node keeps, for each node, how far that
node's wall clock is ahead of its own monotonic clock, and adds the median of these offsets to its monotonic clock.
"""

from __future__ import annotations

from statistics import median


class AgreedTime:
    """Combines the wall clocks of several nodes; times of day are in seconds since 1970-01-01T00:00Z.

    >>> time = AgreedTime()
    >>> time.record_clock("a", 1000.0, 10.0); time.record_clock("b", 1000.2, 10.0); time.record_clock("c", 5000.0, 10.0)
    >>> time.at(20.0)
    1010.2
    """

    def __init__(self) -> None:
        self._offsets_s: dict[str, float] = {}  # node id -> its wall clock minus this node's monotonic clock

    def record_clock(self, node_id: str, wall_time: float, now: float) -> None:
        """Records that a node's wall clock showed `wall_time` when this node's monotonic clock showed `now`."""
        self._offsets_s[node_id] = wall_time - now

    def forget(self, node_id: str) -> None:
        """Removes a node that has left, with its clock."""
        self._offsets_s.pop(node_id, None)

    @property
    def is_known(self) -> bool:
        """Whether any node's clock was recorded; without one there is no agreed time."""
        return bool(self._offsets_s)

    def at(self, now: float) -> float:
        """Returns the agreed time of day when this node's monotonic clock shows `now`."""
        return now + median(self._offsets_s.values())
