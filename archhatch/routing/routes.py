"""Routes: what a configuration says about the requests of a host and path."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from .weighted_sequence import WeightedSequence

DEFAULT_TIMEOUT_MS = 60000
DEFAULT_LATENCY_TARGET_MS = 1000
DEFAULT_RESULT_DUE_MS = 60000
DEFAULT_MAX_QUEUE_S = 3600
DEFAULT_MAX_ATTEMPTS = 1
DEFAULT_PRIORITY = 5


class RouteClass(enum.StrEnum):
    """How a route's requests are run, as its RouteClass names it."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"
    ROLLOUT = "rollout"


JOB_CLASSES = frozenset({RouteClass.BATCH, RouteClass.ROLLOUT})  # their requests are handed to a store as a job


@dataclass(frozen=True, slots=True)
class Route:
    """One entry of a configuration's RouteTable.

    Attributes:
        name: Its name.
        host: The host that it serves, in lower case.
        prefix: The prefix of the paths that it serves.
        kind: Its class, one of RouteClass.
        timeout_s: How long a request may take, in seconds.
        latency_target_s: How long a request should take, in seconds.
        result_due_s: How long after its submission a job's result is due, in seconds.
        max_queue_s: How long a job may wait, in seconds.
        max_attempts: To how many replicas a request may be sent.
        priority: Its urgency.
        is_resumable: Whether a stream that broke off may go on at another replica.
        is_single_version: Whether all of an item's text must come from one version of the weights.
        traffic_split: Its services with their weights.
        allows_anonymous: Whether its requests need no API key.
        service_sequence: Gives the services by weight, where the split has several.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    latency_target_s: float
    result_due_s: float
    max_queue_s: float
    max_attempts: int
    priority: int
    is_resumable: bool
    is_single_version: bool
    traffic_split: tuple[tuple[str, float], ...]
    allows_anonymous: bool = False
    service_sequence: WeightedSequence | None = None

    def choose_service(self) -> str:
        """Chooses one of the route's services, by weight."""
        if self.service_sequence is None:
            return self.traffic_split[0][0]
        return self.service_sequence.next()

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> Route:
        """Reads an entry of a RouteTable that was checked (`schemas.check_config`)."""
        parts = document.get("TrafficSplit") or []
        split = tuple((part["Service"], float(part["Weight"])) for part in parts if part["Weight"] > 0)
        return cls(
            name=document["Name"],
            host=document["HostName"].lower(),
            prefix=document["PathPrefix"],
            kind=document["RouteClass"],
            timeout_s=document.get("TimeoutMs", DEFAULT_TIMEOUT_MS) / 1000,
            latency_target_s=document.get("TargetLatencyMs", DEFAULT_LATENCY_TARGET_MS) / 1000,
            result_due_s=document.get("ResultDueMs", DEFAULT_RESULT_DUE_MS) / 1000,
            max_queue_s=float(document.get("MaxQueueS", DEFAULT_MAX_QUEUE_S)),
            max_attempts=int(document.get("MaxAttempts", DEFAULT_MAX_ATTEMPTS)),
            priority=int(document.get("Priority", DEFAULT_PRIORITY)),
            is_resumable=bool(document.get("Resumable", False)),
            is_single_version=bool(document.get("SingleVersion", False)),
            traffic_split=split or ((document["Service"], 1.0),),
            allows_anonymous=bool(document.get("NoAuth", False)),
            service_sequence=WeightedSequence(split) if len(split) > 1 else None,
        )
