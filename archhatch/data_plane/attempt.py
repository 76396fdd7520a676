"""One attempt of a forwarded request."""

from __future__ import annotations

from dataclasses import dataclass

from ..upstream import AttemptResult, Execution, ReplicaEndpoint
from .store_proxies import Proxy


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt in flight: at a replica, or by a store, which judges its replica itself.

    Attributes:
        started_at: When it was sent.
        replica: The replica; None for an attempt by a store.
        proxy: The store; None for an attempt at a replica.
        intended_id: The replica that was chosen before a store was; the store chooses one itself.
    """

    started_at: float
    replica: ReplicaEndpoint | None = None
    proxy: Proxy | None = None
    intended_id: str = ""

    def is_refused_by_store(self, result: AttemptResult) -> bool:
        """Whether a store did not pass the request on to any replica."""
        return self.proxy is not None and result.execution is Execution.NOT_EXECUTED and not result.status

    def release(self) -> None:
        """Counts it as in flight no more."""
        if self.replica is not None:
            self.replica.in_flight -= 1
