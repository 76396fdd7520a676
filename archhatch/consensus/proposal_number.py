"""Ballots: the numbers under which a proposer asks a group. No two lives of a process ever use the same one."""

from __future__ import annotations

import random
from typing import NamedTuple

LIFE_BITS = 64


class Ballot(NamedTuple):
    """Ordered by round, then by node, then by the life of the node's process.

    The life is drawn at random when a process starts. A proposer that restarts while its disk lagged behind what it
    had sent may choose a round that it used before; the ballot is still another one, so that no acceptor mistakes the
    new proposal for the old.

    >>> Ballot(2, "a", "x") > Ballot(1, "b", "y"), Ballot.read([3, "a"]) == Ballot(3, "a", "")
    (True, True)
    """

    round: int
    node: str
    life: str = ""

    @classmethod
    def read(cls, parts) -> Ballot:
        """A ballot as it stands in a message or a record; records of earlier releases name no life."""
        return cls(*parts)

    def wire(self) -> list:
        """For a message or a record."""
        return list(self)


ZERO = Ballot(0, "", "")


def new_life() -> str:
    """A name for this life of a process.

    >>> len(new_life())
    16
    """
    return f"{random.getrandbits(LIFE_BITS):016x}"
