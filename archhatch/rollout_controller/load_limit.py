"""How many places of a replica rollouts may use: all of them in a lull, fewer while live requests come."""

from __future__ import annotations

import math


class LoadLimit:
    """Places by service, from the live requests that the news tells of.

    >>> lull = LoadLimit(); lull.heed({"s": 3.1}); lull.places("s", 12, 2), lull.places("t", 12, 2)
    (8, 12)
    """

    def __init__(self):
        self.busy: dict = {}

    def heed(self, busy: dict) -> None:
        self.busy = busy

    def places(self, service: str, slots: int, replicas: int) -> int:
        """Live requests keep twice their usual share of a replica's places, one at least; so do rollouts."""
        live = self.busy.get(service, 0)
        if not live:
            return slots
        return max(1, slots - max(1, math.ceil(2 * live / max(1, replicas))))
