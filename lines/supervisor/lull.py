"""How many places of a replica rollouts may use: all of them in a lull, fewer while live requests come."""
from __future__ import annotations

import math


class Lull:
    """Places by service, from the live requests that the news tells of.

    >>> lull = Lull(); lull.heed({"s": 4}); lull.places("s", 12, 2), lull.places("t", 12, 2)
    (9, 12)
    """

    def __init__(self):
        self.busy: dict = {}

    def heed(self, busy: dict) -> None:
        self.busy = busy

    def places(self, service: str, slots: int, replicas: int) -> int:
        """Live requests keep their share of a replica's places and one more; rollouts keep one at least."""
        live = self.busy.get(service, 0)
        if not live:
            return slots
        return max(1, slots - math.ceil(live / max(1, replicas)) - 1)
