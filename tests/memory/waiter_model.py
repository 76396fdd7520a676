"""Who is served next, by a look at all that wait: the model that the line of waiters is compared with."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Waiting:
    """One that waits for memory.

    Attributes:
        key: Identifies it; lower ones came earlier.
        peer: The address of the client.
        has_part: Whether it holds a part already and needs more of it.
    """

    key: int
    peer: str
    has_part: bool


def choose_waiter(
    waiting: Sequence[Waiting], held_by_peer: Mapping[str, int], granted_by_peer: Mapping[str, int]
) -> int:
    """Returns the key of the one that is served next.

    What is held in part is brought to its end first, in the order in which it came. Among the others the address that
    holds and was granted least is next, so that a crowd from one address does not keep all others waiting.

    >>> choose_waiter([Waiting(1, "a", False), Waiting(2, "b", False)], {"a": 7}, {})
    2

    Args:
        waiting: Those that wait.
        held_by_peer: What is held, by address.
        granted_by_peer: What was granted since the first of them began to wait, by address.
    """

    def rank(one: Waiting) -> tuple[bool, int, int]:
        share = 0 if one.has_part else held_by_peer.get(one.peer, 0) + granted_by_peer.get(one.peer, 0)
        return not one.has_part, share, one.key

    return min(waiting, key=rank).key
