"""Leases in a register: holder, incarnation and a term that only rises.

What a holder writes carries its term, and a command of an older term is refused. An effect that is no write to the
register must therefore be one that may happen twice.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..consensus import Commands
from ..runtime.message import Message, wire
from .register_values import Lease, RegisterValue, task_leases_of
from .result_codes import DONE, STALE_TERM_OR_MEMBERSHIP, VERSION_MISMATCH

OTHER_TERM = STALE_TERM_OR_MEMBERSHIP
NO_TERM = 0  # the term that a claimant names if it has seen no lease

commands = Commands()


@dataclass(frozen=True, slots=True)
class LeaseClaim(Message):
    """A claim of a lease, by a claimant that names the term it has seen.

    Attributes:
        holder_id: The claimant.
        incarnation: The incarnation of the claimant's process.
        seen_term: The term of the lease that the claimant has seen, NO_TERM if none.
    """

    holder_id: str = wire("holder")
    incarnation: str = wire("life")
    seen_term: int = wire("seen")


def claim_lease(leases: dict[str, dict], name: str, claim: LeaseClaim) -> tuple[int, dict | None, bool]:
    """Grants a lease if its term is still the one that the claimant has seen.

    Args:
        leases: The encoded leases by name; changed in place.
        name: What the lease is for.
        claim: The claim; one that was granted before is acknowledged again.

    Returns:
        The code, the encoded lease, and whether it changed.
    """
    encoded = leases.get(name)
    lease = Lease.from_document(encoded) if encoded else None
    if lease is not None and _was_granted(lease, claim):
        return DONE, encoded, False
    current_term = lease.term if lease is not None else NO_TERM
    if current_term != claim.seen_term:
        return VERSION_MISMATCH, encoded, False
    leases[name] = Lease(claim.holder_id, claim.incarnation, claim.seen_term + 1).to_document()
    return DONE, leases[name], True


def _was_granted(lease: Lease, claim: LeaseClaim) -> bool:
    is_same_process = lease.holder_id == claim.holder_id and lease.incarnation == claim.incarnation
    return is_same_process and lease.term > claim.seen_term


@commands.on("lease.claim")
def lease_claim(value: RegisterValue, args: dict) -> tuple:
    """Claims the lease of a task of the control nodes: {"duty", "holder", "life", "seen"}."""
    return claim_lease(value.setdefault("leases", {}), args["duty"], LeaseClaim.from_document(args))


def is_held_under(value: RegisterValue, task: str, term: int) -> bool:
    """Returns whether a task's lease is held under a term.

    >>> value = {"leases": {"d": {"term": 3}}}
    >>> is_held_under(value, "d", 3), is_held_under(value, "d", 2)
    (True, False)
    """
    return task_leases_of(value).get(task, {}).get("term") == term
