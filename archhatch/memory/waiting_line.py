"""The order in which those that wait for memory are served, without a look at all of them.

What is held in part is brought to its end first, in the order in which it came. Among the others the address that holds
and was granted least is next, so that a crowd from one address does not keep all others waiting. Finding the next one
takes a look at each address, not at each waiter.
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping


class WaitingLine:
    """The keys of those that wait; lower keys came earlier.

    >>> line = WaitingLine()
    >>> for key, peer in ((1, "a"), (2, "a"), (3, "b")): line.add(key, peer, has_part=False)
    >>> line.first({"a": 7}, {}), line.first({}, {}), len(line)
    (3, 1, 3)
    """

    def __init__(self) -> None:
        self._peers: dict[int, str] = {}  # the address of each that holds nothing yet
        self._by_peer: dict[str, dict[int, None]] = {}  # their keys, in their order
        self._parts: set[int] = set()
        self._part_heap: list[int] = []  # the keys of those with a part, and of some that have left

    def __len__(self) -> int:
        return len(self._peers) + len(self._parts)

    def __contains__(self, key: object) -> bool:
        return key in self._peers or key in self._parts

    def add(self, key: int, peer: str, *, has_part: bool) -> None:
        """Adds one that waits.

        Args:
            key: Identifies it.
            peer: The address of its client.
            has_part: Whether it holds a part already and needs more of it.
        """
        if has_part:
            self._parts.add(key)
            heapq.heappush(self._part_heap, key)
            return
        self._peers[key] = peer
        keys = self._by_peer.setdefault(peer, {})
        is_last = not keys or key > next(reversed(keys))
        keys[key] = None
        if not is_last:
            self._by_peer[peer] = dict.fromkeys(sorted(keys))

    def remove(self, key: int) -> None:
        """Removes one that waits, if it does."""
        self._parts.discard(key)
        peer = self._peers.pop(key, None)
        if peer is None:
            return
        keys = self._by_peer[peer]
        del keys[key]
        if not keys:
            del self._by_peer[peer]

    def first(self, held_by_peer: Mapping[str, int], granted_by_peer: Mapping[str, int]) -> int | None:
        """Returns the key of the one that is served next; None if nobody waits.

        Args:
            held_by_peer: What is held, by address.
            granted_by_peer: What was granted since the first of them began to wait, by address.
        """
        while self._part_heap and self._part_heap[0] not in self._parts:
            heapq.heappop(self._part_heap)
        if self._part_heap:
            return self._part_heap[0]
        if not self._by_peer:
            return None

        def rank(peer: str) -> tuple[int, int]:
            return held_by_peer.get(peer, 0) + granted_by_peer.get(peer, 0), next(iter(self._by_peer[peer]))

        return next(iter(self._by_peer[min(self._by_peer, key=rank)]))
