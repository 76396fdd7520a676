"""The rollout controller: holds runs, orders weights, runs items, tags and scores samples."""

from .engines import Engine, Engines
from .leadership_term import LeadershipTerm
from .weight_orders import WeightOrders

__all__ = [
    "Engine",
    "Engines",
    "LeadershipTerm",
    "WeightOrders",
]
