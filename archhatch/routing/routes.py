"""Routes: what a configuration says about the requests of a host and path."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

from .weighted_sequence import WeightedSequence

if TYPE_CHECKING:
    from .configuration import RouteEntry

DEFAULT_TIMEOUT_MS = 60000.0
DEFAULT_LATENCY_TARGET_MS = 1000.0
DEFAULT_RESULT_DUE_MS = 60000.0
DEFAULT_MAX_QUEUE_S = 3600.0
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
    def from_entry(cls, entry: RouteEntry) -> Route:
        """Makes a route of an entry of a RouteTable."""
        split = tuple((part.service, part.weight) for part in entry.traffic_split if part.weight > 0)
        return cls(
            name=entry.name,
            host=entry.host.lower(),
            prefix=entry.path_prefix,
            kind=entry.route_class,
            timeout_s=entry.timeout_ms / 1000,
            latency_target_s=entry.latency_target_ms / 1000,
            result_due_s=entry.result_due_ms / 1000,
            max_queue_s=entry.max_queue_s,
            max_attempts=entry.max_attempts,
            priority=entry.priority,
            is_resumable=entry.is_resumable,
            is_single_version=entry.is_single_version,
            traffic_split=split or ((cast(str, entry.service), 1.0),),
            allows_anonymous=entry.allows_anonymous,
            service_sequence=WeightedSequence(split) if len(split) > 1 else None,
        )
