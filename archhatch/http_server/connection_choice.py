"""Which connection is closed when there are too many: a decision without clocks or I/O."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass


class Stage(enum.Enum):
    """What a connection is at."""

    RESTING = "resting"  # nothing of a request has arrived that is not answered
    ARRIVING = "arriving"  # a head or a body is on its way, or waits for memory
    UNSENT = "unsent"  # its client does not take what it is sent
    SERVED = "served"  # a request of it is being worked on


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """A connection as the decision sees it.

    Attributes:
        key: Identifies it.
        stage: What it is at.
        since: Since when, without progress, in seconds on the steady clock.
        held_bytes: What it holds beside its own objects.
    """

    key: int
    stage: Stage
    since: float
    held_bytes: int


def choose_to_close(states: Iterable[ConnectionState], now: float) -> int | None:
    """Returns the key of the connection that gives way: the one resting longest, else the one holding most in vain.

    Returns:
        None if all of them are being served.

    >>> choose_to_close([ConnectionState(1, Stage.RESTING, 3.0, 0), ConnectionState(2, Stage.SERVED, 0.0, 9)], 5.0)
    1
    """
    worst: tuple[bool, float] = (False, -1.0)
    chosen = None
    for state in states:
        if state.stage is Stage.SERVED:
            continue
        rests = state.stage is Stage.RESTING
        waited_s = now - state.since
        rank = (rests, waited_s if rests else waited_s * (1 + state.held_bytes))
        if rank > worst:
            worst, chosen = rank, state.key
    return chosen
