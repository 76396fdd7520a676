"""Who is served and who gives way when memory is short: decisions without clocks or I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

STALL_S = 1.0  # without progress for so long, a holder gives way to those that wait
PROGRESS_SHARE = 1 / 64  # of what is held: fewer bytes are no progress, so that a byte now and then is none


@dataclass(frozen=True, slots=True)
class Holding:
    """What one connection holds.

    Attributes:
        key: Identifies it.
        held_bytes: How much it holds.
        progress_at: When it last made progress, in seconds on the steady clock.
        may_give_way: Whether it may be ended: a body that nobody works on yet, an answer that its client does not take.
    """

    key: int
    held_bytes: int
    progress_at: float
    may_give_way: bool


def choose_to_give_way(holdings: Iterable[Holding], needed_bytes: int, now: float) -> list[int]:
    """Returns the keys of those that end so that others can be served: those that hold most for longest in vain.

    >>> choose_to_give_way([Holding(1, 10, 0.0, True), Holding(2, 90, 0.0, True), Holding(3, 90, 4.9, True)], 20, 5.0)
    [2]

    Args:
        holdings: What is held.
        needed_bytes: How much the first of those that wait lacks.
        now: The steady clock.
    """
    stalled = [holding for holding in holdings if holding.may_give_way and now - holding.progress_at >= STALL_S]
    stalled.sort(key=lambda holding: holding.held_bytes * (now - holding.progress_at), reverse=True)
    chosen: list[int] = []
    freed_bytes = 0
    for holding in stalled:
        if freed_bytes >= needed_bytes:
            break
        chosen.append(holding.key)
        freed_bytes += holding.held_bytes
    return chosen


@dataclass(frozen=True, slots=True)
class Growing:
    """What may still grow.

    Attributes:
        key: Identifies it; lower ones came earlier.
        held_bytes: How much it holds.
        claim_bytes: The most that it may come to hold.
    """

    key: int
    held_bytes: int
    claim_bytes: int


def can_all_grow(growing: Iterable[Growing], capacity_bytes: int) -> bool:
    """Whether all of them can come to their claims, each after those that came before it have ended.

    What does not grow any more ends by itself, and does not count.

    >>> [can_all_grow([Growing(1, 40, claim), Growing(2, 30, 60)], 100) for claim in (60, 90)]
    [True, False]

    Args:
        growing: What grows.
        capacity_bytes: How much can be held.
    """
    in_order = sorted(growing, key=lambda one: one.key)
    free_bytes = capacity_bytes - sum(one.held_bytes for one in in_order)
    for one in in_order:
        if one.claim_bytes - one.held_bytes > free_bytes:
            return False
        free_bytes += one.held_bytes
    return True
