"""Agreement of one part: a versioned register over a small group, in the manner of CASPaxos."""

from .group import covers, majority, members
from .acceptor import Acceptor
from .proposal_number import ProposalNumber
from .proposer import Proposer, UnclearResultError
from .commands import Commands

__all__ = ["covers", "majority", "members", "Acceptor", "Ballot", "Proposer", "Unclear", "Commands"]
