"""Replica health: outlier detection from the answers that requests get."""

from .outlier_detection import ReplicaHealth, PeerStatistics

__all__ = [
    "PeerStatistics",
    "ReplicaHealth",
]
