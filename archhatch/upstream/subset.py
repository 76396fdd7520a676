"""Subsetting: of a service's many replicas a node uses few, so that their connections stay warm.

Subsets by rendezvous hashing (Thaler and Ravishankar, 1998): each node ranks the replicas by a hash of both names.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import Any, Generic, TypeVar

REPLICAS_OF_OWN_ZONE = 3  # in each block: the least busy of three is seldom full while others are free
_DIGEST_BYTES = 8

Replica = TypeVar("Replica")


class Subset(Generic[Replica]):
    """A service's replicas in this node's rendezvous order, in blocks: some of its own zone, one of each other zone.

    Each node ranks by its own name, so the nodes of a zone use different replicas, and all replicas get about the same
    load. A replica is hashed once; a change costs a search, not a sort.

    >>> subset = Subset("edge-1", "z1")
    >>> subset.add("a", "z1", 1)
    >>> subset.add("b", "z2", 2)
    >>> [sorted(block) for block in subset.blocks()]
    [[1, 2]]
    """

    def __init__(self, node_id: str, zone: str) -> None:
        self._node_id, self._zone = node_id, zone
        self._ranked_by_zone: dict[str, list[tuple[bytes, str, Replica]]] = {}  # sorted by digest and id
        self._placed: dict[str, tuple[str, bytes]] = {}  # replica's id -> its zone and digest
        self._first_block: list[Replica] | None = None  # cached, as most selections look no further

    def add(self, instance_id: str, zone: str, replica: Replica) -> None:
        """Adds a replica; one that is there already stays as it is."""
        if instance_id in self._placed:
            return
        digest = hashlib.blake2b(f"{self._node_id}|{instance_id}".encode(), digest_size=_DIGEST_BYTES).digest()
        self._placed[instance_id] = (zone, digest)
        insort(self._ranked_by_zone.setdefault(zone, []), (digest, instance_id, replica), key=_rank)
        self._first_block = None

    def remove(self, instance_id: str) -> None:
        """Removes a replica, if it is there."""
        placed = self._placed.pop(instance_id, None)
        if placed is None:
            return
        zone, digest = placed
        ranked = self._ranked_by_zone[zone]
        del ranked[bisect_left(ranked, (digest, instance_id), key=_rank)]
        if not ranked:
            del self._ranked_by_zone[zone]
        self._first_block = None

    def blocks(self) -> Iterator[list[Replica]]:
        """Yields lists of replicas, the node's own subset first; who finds none free there goes on to the next."""
        if self._first_block is None:
            self._first_block = self._block(0)
        block, number = self._first_block, 0
        while block:
            yield block
            number += 1
            block = self._block(number)

    def _block(self, number: int) -> list[Replica]:
        first = number * REPLICAS_OF_OWN_ZONE
        own = self._ranked_by_zone.get(self._zone, [])[first : first + REPLICAS_OF_OWN_ZONE]
        others = [
            ranked[number]
            for zone, ranked in self._ranked_by_zone.items()
            if zone != self._zone and number < len(ranked)
        ]
        return [placed[2] for placed in own] + [placed[2] for placed in sorted(others, key=_rank)]


def _rank(placed: tuple[Any, ...]) -> tuple[Any, ...]:
    """Orders by digest and id; replicas themselves do not compare."""
    return placed[:2]
