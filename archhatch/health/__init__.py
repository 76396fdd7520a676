"""Replica health: outlier detection from the answers that requests get."""

from .outlier_detection import Fitness, Peers

__all__ = ["Fitness", "Peers"]
