"""When a run's lease is kept, renewed, transferred or claimed: the decision alone, without clocks or calls.

A lease is kept alive by leading, not by being up.  Its holder gives it back, or takes a new term, as soon as it stops
leading; should it fail to do so, another that hears it but sees it lead nothing claims the lease.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class LeaseAction(Enum):
    """What a store does about a run's lease now."""

    WAIT = "wait"
    BEGIN = "begin"  # the lease is ours: gather and lead under its term
    RENEW = "renew"  # our term is over: take the next one
    TRANSFER = "transfer"  # another leads better
    CLAIM = "claim"  # the holder is gone, or leads nothing


class LeadershipPhase(Enum):
    """How far this store is with the newest term that it began for a run."""

    NONE = "none"
    READING = "reading"
    HOLDING = "holding"
    OVER = "over"


@dataclass(frozen=True, slots=True)
class HeldLease:
    """The lease names this store's present incarnation.

    Attributes:
        phase: How far this store is with the lease's term; NONE if it was not begun here.
        accepts_records: Whether this store's disk takes records.
        is_slow: Whether its timers are far later than the others'.
        has_successor: Whether there is another store that may lead.
        is_displaced: Whether the run should be led in another region, and a store there is fit to.
        can_successor_gather: Whether a successor would hear enough stores that can promise.
    """

    phase: LeadershipPhase
    accepts_records: bool = True
    is_slow: bool = False
    has_successor: bool = True
    is_displaced: bool = False
    can_successor_gather: bool = True


@dataclass(frozen=True, slots=True)
class ForeignLease:
    """The lease names another store, an earlier incarnation of this one, or nobody.

    Attributes:
        lost_s: For how long its holder has been gone or has led nothing; None if it leads.
        may_lead: Whether this store is well, its disk takes records, and it hears enough others.
        claim_rank: This store's place among the candidates: the first claims at once, the others only if it does not.
    """

    lost_s: float | None
    may_lead: bool = True
    claim_rank: int = 0


def decide_held_lease(lease: HeldLease) -> LeaseAction:
    """Decides what the holder does.

    >>> decide_held_lease(HeldLease(LeadershipPhase.OVER))
    <LeaseAction.RENEW: 'renew'>
    >>> decide_held_lease(HeldLease(LeadershipPhase.HOLDING, accepts_records=False))
    <LeaseAction.TRANSFER: 'transfer'>
    """
    if lease.phase is LeadershipPhase.HOLDING:
        is_unfit = not lease.accepts_records or lease.is_slow or lease.is_displaced
        # without its own disk a holder can still serve from the others' copies, as long as nobody could take over
        can_transfer = lease.has_successor and lease.can_successor_gather
        return LeaseAction.TRANSFER if is_unfit and can_transfer else LeaseAction.WAIT
    if not lease.accepts_records:
        return LeaseAction.TRANSFER if lease.has_successor else LeaseAction.WAIT
    if lease.phase is LeadershipPhase.NONE:
        return LeaseAction.BEGIN
    return LeaseAction.RENEW if lease.phase is LeadershipPhase.OVER else LeaseAction.WAIT


def decide_foreign_lease(lease: ForeignLease, stagger_s: float) -> LeaseAction:
    """Decides what a store does about a lease that is not its own.

    Args:
        lease: The lease.
        stagger_s: How much later each candidate claims than the one before it.

    Returns:
        CLAIM or WAIT.

    >>> decide_foreign_lease(ForeignLease(0.0), 0.6)
    <LeaseAction.CLAIM: 'claim'>
    >>> decide_foreign_lease(ForeignLease(0.5, claim_rank=1), 0.6)
    <LeaseAction.WAIT: 'wait'>
    """
    if lease.lost_s is None or not lease.may_lead:
        return LeaseAction.WAIT
    return LeaseAction.CLAIM if lease.lost_s >= lease.claim_rank * stagger_s else LeaseAction.WAIT
