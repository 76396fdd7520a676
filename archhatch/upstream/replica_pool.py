"""What a load balancer knows of a replica, and of the replicas of a service together."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..health import PeerStatistics, ReplicaHealth
from .subset import Subset

WARM_UP_SAMPLES = 10  # latencies from which on the mean guards itself against outliers
MAX_LATENCY_STEP = 1.5  # times the mean: a few slow responses must not become the measure
MIN_SAMPLE_WEIGHT = 0.02  # of a latency in the mean: about the last fifty count
LOAD_SAMPLE_WEIGHT = 0.1  # of a reported load in the mean: about the last ten count
MEAN_LOAD_TTL_S = 5.0  # how long the mean of the reported loads counts
NEVER_TRIED = -1000  # a selection count so long ago that a trial is due


@dataclass(slots=True)
class ReplicaEndpoint:
    """What this process knows of one replica.

    Attributes:
        instance_id: Its id; a new process at the same address has another one.
        address: Its host and port.
        service: The service that it belongs to.
        zone: Where it runs.
        slots: How many requests it runs at the same time.
        is_draining: Whether it is to leave and gets no new requests.
        is_silent: Whether its heartbeats are overdue.
        in_flight: This process's requests there.
        relative_latency: The moving mean of its latencies, as multiples of what is typical for the route.
        relative_latency_at: When the last latency was measured.
        reported_load: Other processes' requests there, by its last report.
        reported_load_at: When it reported its load.
        served_at: When it served last.
        consecutive_sheds: How often it was full since it served.
        full_until: Until when it is taken to be full.
        last_trial: The service's count of selections at its last trial.
        health: What its results showed.
    """

    instance_id: str
    address: str
    service: str
    zone: str
    slots: int
    is_draining: bool = False
    is_silent: bool = False
    in_flight: int = 0
    relative_latency: float = 0.0
    relative_latency_at: float = 0.0
    reported_load: float = 0.0
    reported_load_at: float = float("-inf")
    served_at: float = float("-inf")
    consecutive_sheds: int = 0
    full_until: float = float("-inf")
    last_trial: int = NEVER_TRIED
    health: ReplicaHealth = field(default_factory=ReplicaHealth)


class ReplicaPool:
    """The replicas of a service, and what is known of them together.

    Attributes:
        subset: The replicas in this node's order.
        peers: Their health together.
        selections: How often a replica was selected.
        mean_relative_latency: The moving mean over all replicas.
        mean_load: The mean share of slots in use, of what replicas reported lately.
        mean_load_at: When the last of them reported.
    """

    __slots__ = (
        "subset",
        "peers",
        "selections",
        "mean_relative_latency",
        "_latency_samples",
        "mean_load",
        "mean_load_at",
    )

    def __init__(self, node_id: str, zone: str) -> None:
        self.subset: Subset[ReplicaEndpoint] = Subset(node_id, zone)
        self.peers = PeerStatistics()
        self.selections = 0
        self.mean_relative_latency = 0.0
        self._latency_samples = 0
        self.mean_load = 0.0
        self.mean_load_at = float("-inf")

    def add_latency(self, relative_latency: float) -> None:
        """Takes a measured latency into the mean."""
        self._latency_samples += 1
        if self._latency_samples > WARM_UP_SAMPLES:
            relative_latency = min(relative_latency, MAX_LATENCY_STEP * self.mean_relative_latency)
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / self._latency_samples)
        self.mean_relative_latency += weight * (relative_latency - self.mean_relative_latency)

    def add_load(self, load: float, now: float) -> None:
        """Takes a reported load, as a share of the replica's slots, into the mean."""
        weight = LOAD_SAMPLE_WEIGHT if now - self.mean_load_at < MEAN_LOAD_TTL_S else 1.0
        self.mean_load += weight * (load - self.mean_load)
        self.mean_load_at = now
