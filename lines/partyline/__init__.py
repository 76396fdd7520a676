"""Agreement of one part: a versioned register over a small group, in the manner of CASPaxos."""
from .group import covers, majority
from .keeper import Keeper
from .owner import Owner, Unclear
from .verbs import Commands

__all__ = ["covers", "majority", "Keeper", "Owner", "Unclear", "Commands"]
