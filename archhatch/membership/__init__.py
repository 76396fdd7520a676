"""Who is there: the system's nodes, the services' replicas, and who watches whom."""

from .rendezvous import pick, rank
from .replica_registry import ReplicaRegistry
from .peer_set import PeerSet

__all__ = ["pick", "rank", "Roll", "Neighbours"]
from .config_watcher import ConfigWatcher
from .live_requests import LiveRequests
from .rendezvous import shard_of

__all__ += ["LiveBook", "Newsreader", "part_of"]
