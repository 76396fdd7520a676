"""Placement policy: in which regions the requests of a route may run, and which region takes over when one is out."""

from .placement import Placement
from .policy import Policy

__all__ = [
    "Placement",
    "Policy",
]
