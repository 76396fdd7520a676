"""Ballots: the numbers under which a proposer asks a group. No two lives of a process ever use the same one."""

from __future__ import annotations

import random
from typing import NamedTuple

LIFE_BITS = 64


class ProposalNumber(NamedTuple):
    """Ordered by round, then by node, then by the life of the node's process.

    The life is drawn at random when a process starts. A proposer that restarts while its disk lagged behind what it
    had sent may choose a round that it used before; the ballot is still another one, so that no acceptor mistakes the
    new proposal for the old.

    >>> ProposalNumber(2, "a", "x") > ProposalNumber(1, "b", "y")
    True
    >>> ProposalNumber.from_wire([3, "a"]) == ProposalNumber(3, "a", "")
    True
    """

    round: int
    node: str
    incarnation: str = ""

    @classmethod
    def from_wire(cls, shards) -> ProposalNumber:
        """A ballot as it stands in a message or a record; records of earlier releases name no life."""
        return cls(*shards)

    def to_wire(self) -> list:
        """For a message or a record."""
        return list(self)


ZERO = ProposalNumber(0, "", "")


def new_incarnation() -> str:
    """A name for this life of a process.

    >>> len(new_incarnation())
    16
    """
    return f"{random.getrandbits(LIFE_BITS):016x}"
