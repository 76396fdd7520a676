"""Consensus on one register: a versioned value replicated over a small group of voters, after CASPaxos.

See "CASPaxos: Replicated State Machines without logs" (Rystsov, 2018). A proposer asks the voters to promise a proposal
number (prepare), and has them accept a new state under it. It keeps the number while nobody promises a higher one, so
that most commands take one round. A reading is confirmed by a majority, without a write.
"""

from .acceptor import Acceptor
from .commands import Commands
from .group import is_majority, is_quorum
from .proposal_number import ProposalNumber
from .proposer import Proposer, UnclearResultError
from .register_state import RegisterState, members

__all__ = [
    "Acceptor",
    "Commands",
    "ProposalNumber",
    "Proposer",
    "RegisterState",
    "UnclearResultError",
    "is_majority",
    "is_quorum",
    "members",
]
