"""When a run's lease is kept, renewed, handed on or claimed: the decision alone, without clocks or calls.

A lease is kept alive by leading, not by being up.  Its holder gives it back, or takes a new term, as soon as it stops
leading; should it fail to do so, another that hears it but sees it lead nothing claims the lease.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Step(Enum):
    """What a store does about a run's lease now."""

    WAIT = "wait"
    BEGIN = "begin"  # the lease is ours: gather and lead under its term
    RENEW = "renew"  # our term is over: take the next one
    HAND_ON = "hand on"  # another leads better
    CLAIM = "claim"  # the holder is gone, or leads nothing


class Phase(Enum):
    """How far this store is with the newest term that it began for a run."""

    NONE = "none"
    READING = "reading"
    HOLDING = "holding"
    OVER = "over"


@dataclass(frozen=True)
class OwnLease:
    """The lease names this store's present life."""

    phase: Phase  # NONE if the lease's term was not begun here
    takes: bool = True  # this store's disk takes records
    slow: bool = False  # its timers are far later than the others'
    successor: bool = True  # there is another that may lead
    displaced: bool = False  # the run should be led in another region, and a store there is fit to
    gatherable: bool = True  # a successor would hear enough stores that can promise


@dataclass(frozen=True)
class OthersLease:
    """The lease names another store, an earlier life of this one, or nobody."""

    lost_s: float | None  # for how long its holder has been gone or has led nothing; None if it leads
    may_lead: bool = True  # this store is well, its disk takes records, and it hears enough others
    place: int = 0  # among the candidates: the first claims at once, the others only if it does not


def own_step(own: OwnLease) -> Step:
    """What the holder does.

    >>> own_step(OwnLease(Phase.OVER)), own_step(OwnLease(Phase.HOLDING, takes=False))
    (<Step.RENEW: 'renew'>, <Step.HAND_ON: 'hand on'>)
    """
    if own.phase is Phase.HOLDING:
        unfit = not own.takes or own.slow or own.displaced
        # without its own disk a holder can still serve from the others' copies, as long as nobody could take over
        return Step.HAND_ON if unfit and own.successor and own.gatherable else Step.WAIT
    if not own.takes:
        return Step.HAND_ON if own.successor else Step.WAIT
    return {Phase.NONE: Step.BEGIN, Phase.READING: Step.WAIT, Phase.OVER: Step.RENEW}[own.phase]


def others_step(lease: OthersLease, stagger_s: float) -> Step:
    """What a store does about a lease that is not its own.

    >>> others_step(OthersLease(0.0), 0.6), others_step(OthersLease(0.5, place=1), 0.6)
    (<Step.CLAIM: 'claim'>, <Step.WAIT: 'wait'>)
    """
    if lease.lost_s is None or not lease.may_lead:
        return Step.WAIT
    return Step.CLAIM if lease.lost_s >= lease.place * stagger_s else Step.WAIT
