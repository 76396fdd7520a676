"""Placement policy: in which regions the requests of a route may run, and which region takes over when one is out.

(In a telephone exchange: the area codes that a line may be put through to, in their order.)
"""

from .placement import Placement
from .policy import Policy

__all__ = [
    "Placement",
    "Policy",
]
