"""How many slots of a replica rollouts may use: all of them in a pause of live requests, fewer while these come."""

from __future__ import annotations

import math

RESERVE_RATIO = 2  # slots kept free, of the live requests that a replica has at a time: for when they come in bursts


class LoadLimit:
    """Slots that rollouts may use, by service.

    Attributes:
        busy: Live requests under way by service, as the control plane's feed tells them.

    >>> load_limit = LoadLimit(); load_limit.update({"s": 3.1})
    >>> load_limit.usable_slots("s", 12, 2), load_limit.usable_slots("t", 12, 2)
    (8, 12)
    """

    def __init__(self) -> None:
        self.busy: dict[str, float] = {}

    def update(self, busy: dict[str, float]) -> None:
        """Takes up the live requests by service."""
        self.busy = busy

    def usable_slots(self, service: str, slots: int, replicas: int) -> int:
        """Returns how many slots of a replica rollouts may use.

        Live requests keep twice their usual share of a replica's slots, one at least; so do rollouts.

        Args:
            service: The service of the replica.
            slots: All slots of the replica.
            replicas: How many replicas the service has.
        """
        live = self.busy.get(service, 0)
        if not live:
            return slots
        return max(1, slots - max(1, math.ceil(RESERVE_RATIO * live / max(1, replicas))))
