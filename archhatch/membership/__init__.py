"""Cluster membership: which nodes and replicas there are, when each was last heard, and the configuration feed."""

from .config_watcher import ConfigWatcher
from .feed_messages import FeedAnswer
from .live_requests import LiveRequests
from .peer_set import NodeCard, PeerSet
from .rendezvous import choose, rank, shard_of
from .replica_entry import ReplicaEntry, ReplicaState, marks_of, takes_requests, without_marks
from .replica_registry import ReplicaRegistry

__all__ = [
    "ConfigWatcher",
    "FeedAnswer",
    "LiveRequests",
    "NodeCard",
    "PeerSet",
    "ReplicaEntry",
    "ReplicaRegistry",
    "ReplicaState",
    "choose",
    "marks_of",
    "rank",
    "shard_of",
    "takes_requests",
    "without_marks",
]
