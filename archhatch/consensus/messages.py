"""The calls of a proposer to the voters of a register, and their answers."""

from __future__ import annotations

from dataclasses import dataclass
from operator import itemgetter

from ..runtime.message import Message, wire
from .proposal_number import ProposalNumber

# the verbs of the calls
PREPARE = "part.prepare"
ACCEPT = "part.accept"
CONFIRM = "part.confirm"


@dataclass(frozen=True, slots=True)
class ProposalRequest(Message):
    """Asks a voter to promise a number (PREPARE), or whether that promise still stands (CONFIRM)."""

    register: str = wire("part")
    proposal_number: ProposalNumber = wire("ballot", encode=ProposalNumber.to_wire)


@dataclass(frozen=True, slots=True)
class AcceptRequest(Message):
    """Asks a voter to accept a state under a number."""

    register: str = wire("part")
    proposal_number: ProposalNumber = wire("ballot", encode=ProposalNumber.to_wire)
    state: dict = wire("state")


@dataclass(frozen=True, slots=True)
class PromiseAnswer(Message):
    """A voter promised the number.

    Attributes:
        is_ok: True.
        accepted_number: The number under which it accepted its state.
        state: The document of that state, or None if it accepted none.
    """

    is_ok: bool = wire("ok")
    accepted_number: ProposalNumber = wire("ballot", encode=ProposalNumber.to_wire)
    state: dict | None = wire("state")


@dataclass(frozen=True, slots=True)
class PromisedAnswer(Message):
    """A voter's answer that names the highest number it promised: a refusal, or the answer to CONFIRM."""

    is_ok: bool = wire("ok")
    promised: ProposalNumber = wire("promised", encode=ProposalNumber.to_wire)


@dataclass(frozen=True, slots=True)
class AcceptedAnswer(Message):
    """A voter accepted the state."""

    is_ok: bool = wire("ok", default=True)


@dataclass(frozen=True, slots=True)
class VoterAnswer(Message):
    """Any answer of a voter, as a proposer reads it.

    Attributes:
        voter_id: Which node answered; None in a document that names none.
        is_ok: Whether it granted what was asked.
        promised_round: The round of the highest number it promised, where it names that.
        accepted_number: The number under which it accepted its state, in the answer to PREPARE.
        state: The document of that state.
    """

    voter_id: str | None = wire("me", default=None)
    is_ok: bool = wire("ok", default=False)
    promised_round: int = wire("promised", default=0, decode=itemgetter(0))
    accepted_number: ProposalNumber | None = wire("ballot", default=None, decode=ProposalNumber.from_wire)
    state: dict | None = wire("state", default=None)
