"""Who is there: the system's nodes, the services' replicas, and who watches whom."""

from .rendezvous import pick, rank
from .replica_registry import Roll
from .peer_set import Neighbours

__all__ = ["pick", "rank", "Roll", "Neighbours"]
from .config_watcher import Newsreader
from .live_requests import LiveBook
from .rendezvous import part_of

__all__ += ["LiveBook", "Newsreader", "part_of"]
