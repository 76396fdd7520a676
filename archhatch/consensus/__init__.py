"""Agreement of one part: a versioned register over a small group, in the manner of CASPaxos."""

from .acceptor import Acceptor
from .commands import Commands
from .group import covers, majority, members
from .proposal_number import ProposalNumber
from .proposer import Proposer, UnclearResultError

__all__ = [
    "Acceptor",
    "Commands",
    "ProposalNumber",
    "Proposer",
    "UnclearResultError",
    "covers",
    "majority",
    "members",
]
