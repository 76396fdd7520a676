"""The rollout controller: holds runs, orders weights, runs items, tags and scores samples."""

from .engines import Engine, Engines
from .weight_orders import WeightOrders
from .leadership_term import LeadershipTerm

__all__ = ["Engine", "Engines", "Orders", "Reign"]
