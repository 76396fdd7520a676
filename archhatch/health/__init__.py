"""Health of replicas: passive outlier detection from the outcomes of requests."""

from .health_state import EJECTED, HEALTHY, SUSPECT, HealthState, RequestOutcome
from .outlier_detection import PeerStatistics, ReplicaHealth

__all__ = [
    "EJECTED",
    "HEALTHY",
    "SUSPECT",
    "HealthState",
    "PeerStatistics",
    "ReplicaHealth",
    "RequestOutcome",
]
