"""Subsetting: of a service's many replicas a node uses few, so that their connections stay warm."""

from __future__ import annotations

import hashlib
from bisect import bisect_left, insort

HOME = 3  # of the node's own zone in each block: the least busy of three is seldom full while others are free


class Subset:
    """A service's replicas in this node's rendezvous order, in blocks: some of its own zone, one of each other zone.

    Each node ranks by its own name, so the nodes of a zone use different replicas and all replicas are used about
    alike. A replica is hashed once in its life; a change costs a search, not a sort.

    >>> s = Subset("edge-1", "z1"); s.add("a", "z1", 1); s.add("b", "z2", 2); [sorted(x) for x in s.blocks()]
    [[1, 2]]
    """

    def __init__(self, key: str, zone: str):
        self.key, self.zone = key, zone
        self.zones: dict[str, list] = {}  # zone -> [(digest, id, replica)], sorted
        self.placed: dict[str, tuple] = {}
        self._first: list | None = None

    def add(self, iid: str, zone: str, replica) -> None:
        """Put a replica at its place; one that has a place keeps it."""
        if iid in self.placed:
            return
        digest = hashlib.blake2b(f"{self.key}|{iid}".encode(), digest_size=8).digest()
        self.placed[iid] = (zone, digest)
        insort(self.zones.setdefault(zone, []), (digest, iid, replica), key=_rank)
        self._first = None

    def drop(self, iid: str) -> None:
        """Take a replica out, if it is in."""
        zone, digest = self.placed.pop(iid, (None, b""))
        if zone is None:
            return
        row = self.zones[zone]
        del row[bisect_left(row, (digest, iid), key=_rank)]
        if not row:
            del self.zones[zone]
        self._first = None

    def blocks(self):
        """Lists of replicas, the node's own subset first; whoever finds none free there goes on to the next."""
        if self._first is None:
            self._first = self._block(0)
        block, n = self._first, 0
        while block:
            yield block
            n += 1
            block = self._block(n)

    def _block(self, n: int) -> list:
        out = [x[2] for x in self.zones.get(self.zone, ())[n * HOME : (n + 1) * HOME]]
        others = [row[n] for zone, row in self.zones.items() if zone != self.zone and n < len(row)]
        return out + [x[2] for x in sorted(others, key=_rank)]


def _rank(entry) -> tuple:
    return entry[:2]
