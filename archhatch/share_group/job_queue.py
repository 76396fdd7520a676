"""The Available entries of one lot, by group, so that a place finds its next entry without a walk over all of them."""

from __future__ import annotations

import heapq
from collections import deque

from .window import ShareEntry


class JobQueue:
    """take() gives the next entry for an engine: of a group that stands there, of a group without a home, of any.

    >>> # q = JobQueue(want=12); q.put(entry); q.take("i-1", surplus=False, now=0.0)
    """

    def __init__(self, want: int):
        self.want = want
        self.groups: dict[str, deque] = {}  # group -> its waiting entries
        self.ranks: dict[str, int] = {}
        self.homes: dict[str, str] = {}  # group -> engine
        self.at: dict[str, set] = {}  # engine -> groups whose home it is
        self.later: list = []  # (when, number, entry): those that pause
        self.waiting = [0, 0]  # entries of wanted groups, of the others
        self._free: list = []  # heap of (rank, group): groups without a home
        self._count = 0

    def _surplus(self, rank: int) -> bool:
        return rank >= self.want > 0

    def put(self, e: ShareEntry, front: bool = False) -> None:
        """An entry that waits, until its pause is over if it has one."""
        if e.not_before > 0:
            self._count += 1
            heapq.heappush(self.later, (e.not_before, self._count, e, front))
            return
        group = e.item.group
        row = self.groups.get(group)
        if row is None:
            row = self.groups[group] = deque()
            self.ranks[group] = e.rank
        if not row and group not in self.homes:
            heapq.heappush(self._free, (e.rank, group))
        row.appendleft(e) if front else row.append(e)
        self.waiting[self._surplus(e.rank)] += 1

    def _wake(self, now: float) -> None:
        while self.later and self.later[0][0] <= now:
            _, _, e, front = heapq.heappop(self.later)
            e.not_before = 0.0
            self.put(e, front)

    def forget_home(self, group: str) -> None:
        """The group's replica failed it: it may stand elsewhere."""
        engine = self.homes.pop(group, None)
        if engine is not None:
            self.at.get(engine, set()).discard(group)
            if self.groups.get(group):
                heapq.heappush(self._free, (self.ranks[group], group))

    def take(self, engine: str, surplus: bool, now: float) -> ShareEntry | None:
        """The next waiting entry for a free place of an engine."""
        self._wake(now)
        if not self.waiting[surplus]:
            return None
        best = None
        for group in self.at.get(engine, ()):
            if (
                self.groups[group]
                and self._surplus(self.ranks[group]) == surplus
                and (best is None or self.ranks[group] < self.ranks[best])
            ):
                best = group
        if best is None:
            while self._free and (not self.groups[self._free[0][1]] or self._free[0][1] in self.homes):
                heapq.heappop(self._free)
            if self._free and self._surplus(self._free[0][0]) == surplus:
                best = heapq.heappop(self._free)[1]
                self.homes[best] = engine
                self.at.setdefault(engine, set()).add(best)
        if best is None:
            # all stand elsewhere, and this place is idle: help the fullest of them
            rows = [g for g, row in self.groups.items() if row and self._surplus(self.ranks[g]) == surplus]
            best = max(rows, key=lambda g: (len(self.groups[g]), -self.ranks[g]), default=None)
        if best is None:
            return None
        e = self.groups[best].popleft()
        self.waiting[surplus] -= 1
        return e

    def wanted(self, now: float) -> bool:
        """Whether entries that the trainer waits for wait here."""
        self._wake(now)
        return self.waiting[False] > 0
