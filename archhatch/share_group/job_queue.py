"""The Available entries of one batch job, by group, so that a free slot finds its next entry without a full scan."""

from __future__ import annotations

import heapq
from collections import deque

from .window import ShareEntry


class JobQueue:
    """Gives each engine its next entry: of a group at home there, else of a group without a home, else of any.

    The items of a group share a prompt, so a group stays at one engine, whose prefix cache then serves all of them.

    Attributes:
        wanted_groups: Groups below this rank are waited for by the trainer, the others are surplus; 0 if none is
            surplus.
        groups: The waiting entries of each group.
        ranks: The rank of each group.
        homes: The engine of each group that has one.
        groups_at: The groups at home at each engine.
        delayed: Heap of entries that wait for a time: (time, number, entry, whether it goes to its group's head).
        wanted_count: Waiting entries of wanted groups, without the delayed ones.
        surplus_count: Waiting entries of surplus groups, without the delayed ones.
    """

    def __init__(self, wanted_groups: int) -> None:
        self.wanted_groups = wanted_groups
        self.groups: dict[str, deque[ShareEntry]] = {}
        self.ranks: dict[str, int] = {}
        self.homes: dict[str, str] = {}
        self.groups_at: dict[str, set[str]] = {}
        self.delayed: list[tuple[float, int, ShareEntry, bool]] = []
        self.wanted_count = 0
        self.surplus_count = 0
        self._homeless: list[tuple[int, str]] = []  # heap of (rank, group)
        self._delayed_total = 0  # tie-breaker of the heap of delayed entries

    def _is_surplus(self, rank: int) -> bool:
        return rank >= self.wanted_groups > 0

    def _count(self, rank: int, change: int) -> None:
        if self._is_surplus(rank):
            self.surplus_count += change
        else:
            self.wanted_count += change

    def waiting_count(self, is_surplus: bool) -> int:
        """Returns how many entries of surplus or of wanted groups wait, without the delayed ones."""
        return self.surplus_count if is_surplus else self.wanted_count

    def is_empty(self) -> bool:
        """Returns whether nothing waits, delayed entries included."""
        return not (self.wanted_count or self.surplus_count or self.delayed)

    def put(self, entry: ShareEntry, front: bool = False) -> None:
        """Adds a waiting entry, to its group's head or end; one with a not_before is delayed until then."""
        if entry.not_before > 0:
            self._delayed_total += 1
            heapq.heappush(self.delayed, (entry.not_before, self._delayed_total, entry, front))
            return
        group = entry.item.group
        entries = self.groups.get(group)
        if entries is None:
            entries = self.groups[group] = deque()
            self.ranks[group] = entry.rank
        if not entries and group not in self.homes:
            heapq.heappush(self._homeless, (entry.rank, group))
        if front:
            entries.appendleft(entry)
        else:
            entries.append(entry)
        self._count(entry.rank, 1)

    def remove(self, entry: ShareEntry) -> bool:
        """Takes out a given entry; returns False if it does not wait here, or is delayed."""
        entries = self.groups.get(entry.item.group)
        if entries is None or entry not in entries:
            return False
        entries.remove(entry)
        self._count(entry.rank, -1)
        return True

    def promote_delayed(self, now: float) -> None:
        """Moves the delayed entries whose time has come to their groups."""
        while self.delayed and self.delayed[0][0] <= now:
            _, _, entry, front = heapq.heappop(self.delayed)
            entry.not_before = 0.0
            self.put(entry, front)

    def forget_home(self, group: str) -> None:
        """Lets a group move to another engine."""
        engine = self.homes.pop(group, None)
        if engine is not None:
            self.groups_at.get(engine, set()).discard(group)
            if self.groups.get(group):
                heapq.heappush(self._homeless, (self.ranks[group], group))

    def take(self, engine: str, surplus: bool, now: float) -> ShareEntry | None:
        """Takes the next entry for a free slot.

        Args:
            engine: Id of the engine that has the slot.
            surplus: Whether to take of the surplus groups or of the wanted ones.
            now: The time, by the steady clock.

        Returns:
            The entry, or None if none waits.
        """
        self.promote_delayed(now)
        if not (self.surplus_count if surplus else self.wanted_count):
            return None
        group = self._group_at_home(engine, surplus)
        if group is None:
            group = self._assign_home(engine, surplus)
        if group is None:
            group = self._longest_group(surplus)
        if group is None:
            return None
        if surplus:
            self.surplus_count -= 1
        else:
            self.wanted_count -= 1
        return self.groups[group].popleft()

    def _group_at_home(self, engine: str, surplus: bool) -> str | None:
        """The lowest-ranked group at home at an engine that has entries waiting."""
        best = None
        for group in self.groups_at.get(engine, ()):
            if (
                self.groups[group]
                and self._is_surplus(self.ranks[group]) == surplus
                and (best is None or self.ranks[group] < self.ranks[best])
            ):
                best = group
        return best

    def _assign_home(self, engine: str, surplus: bool) -> str | None:
        """Gives the lowest-ranked group without a home its home at an engine."""
        homeless = self._homeless
        while homeless and (not self.groups[homeless[0][1]] or homeless[0][1] in self.homes):
            heapq.heappop(homeless)
        if not homeless or self._is_surplus(homeless[0][0]) != surplus:
            return None
        group = heapq.heappop(homeless)[1]
        self.homes[group] = engine
        self.groups_at.setdefault(engine, set()).add(group)
        return group

    def _longest_group(self, surplus: bool) -> str | None:
        """The group with most entries waiting: all are at home elsewhere, and an idle slot helps out."""
        groups = [
            group
            for group, entries in self.groups.items()
            if entries and self._is_surplus(self.ranks[group]) == surplus
        ]
        return max(groups, key=lambda group: (len(self.groups[group]), -self.ranks[group]), default=None)
