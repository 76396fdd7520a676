"""Proposal numbers (ballots in Paxos). No two processes ever use the same one, not even on the same node."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

INCARNATION_BITS = 64  # random: two processes of a node never share one in practice


class ProposalNumber(NamedTuple):
    """Ordered by round, then by node, then by the incarnation of the node's process.

    The incarnation is drawn at random when a process starts. A proposer that restarts while its disk lagged behind what
    it had sent may choose a round that it used before; its number is still another one, so that no acceptor mistakes
    the new proposal for the old.

    >>> ProposalNumber(2, "a", "x") > ProposalNumber(1, "b", "y")
    True
    >>> ProposalNumber.from_wire([3, "a"]) == ProposalNumber(3, "a", "")
    True

    Attributes:
        round: Rises with each prepare.
        node_id: The proposer's node.
        incarnation: The proposer's process.
    """

    round: int
    node_id: str
    incarnation: str = ""

    @classmethod
    def from_wire(cls, fields: Iterable) -> ProposalNumber:
        """Reads a number from a message or a record; records of earlier releases name no incarnation."""
        return cls(*fields)

    def to_wire(self) -> list:
        """Returns the number as a message or a record holds it."""
        return list(self)


ZERO = ProposalNumber(0, "", "")  # below every number that a proposer uses


def new_incarnation() -> str:
    """Returns a random name for this process.

    >>> len(new_incarnation())
    16
    """
    return f"{random.getrandbits(INCARNATION_BITS):016x}"
