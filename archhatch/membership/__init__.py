"""Who is there: the system's nodes, the services' replicas, and who watches whom."""

from .config_watcher import ConfigWatcher
from .live_requests import LiveRequests
from .peer_set import PeerSet
from .rendezvous import choose, rank
from .rendezvous import shard_of
from .replica_registry import ReplicaRegistry

__all__ = [
    "ConfigWatcher",
    "LiveRequests",
    "PeerSet",
    "ReplicaRegistry",
    "choose",
    "rank",
    "shard_of",
]
