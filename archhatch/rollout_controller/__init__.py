"""The rollout controller: holds runs, orders weights, runs items, tags and scores samples."""

from .engines import Engine, Engines
from .weight_orders import Orders
from .leadership_term import Reign

__all__ = ["Engine", "Engines", "Orders", "Reign"]
