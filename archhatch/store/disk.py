"""Whether this store's disk takes records: judged by how its writes fare, tried again by a small write of its own."""

from __future__ import annotations

from typing import Awaitable, TypeVar

from ..wal import LogError

T = TypeVar("T")
STALL = 1 / 6  # of ContactMs: a write that is unfinished for so long is a stall ...
STALL_AGAINST = 4.0  # ... if it is so many times older than the middle one of the neighbours' oldest writes
REST = 1 / 6  # of ContactMs: the first rest after a failure, before a write is tried
LONGEST_REST = 4 / 3  # of ContactMs: rests double up to this while failures follow each other closely


class DiskState:
    """Follows the writes to this store's log.

    >>> # disk = DiskState(clock, contact_s=3.0); await disk.watch(record_store.append(records)); disk.takes
    """

    def __init__(self, clock, contact_s: float, counters=None):
        self.clock, self.counters = clock, counters
        self.stall_s = contact_s * STALL
        self.takes = True
        self._first_rest_s, self._longest_rest_s = contact_s * REST, contact_s * LONGEST_REST
        self._rest_s = self._first_rest_s
        self._failed_at = float("-inf")
        self._recovered_at = float("-inf")
        self._began: dict[object, float] = {}  # unfinished writes -> when each began

    async def watch(self, write: Awaitable[T]) -> T:
        """Wait for a write to the log and judge the disk by it; LogError goes on to the caller."""
        key = object()
        self._began[key] = self.clock.now()
        try:
            return await write
        except LogError:
            self._refuse("disk.failed")
            raise
        finally:
            del self._began[key]

    def oldest_write_s(self) -> float:
        """The age of the oldest write that has not finished."""
        return self.clock.now() - min(self._began.values()) if self._began else 0.0

    def judge(self, neighbours: list[float]) -> bool:
        """Look for a stall, given the ages of the neighbours' oldest unfinished writes; whether the disk is fine."""
        ages = sorted(neighbours)
        middle = ages[len(ages) // 2] if ages else 0.0
        if self.oldest_write_s() > max(self.stall_s, STALL_AGAINST * middle):
            self._refuse("disk.stalled")
        return self.takes

    def _refuse(self, counter: str) -> None:
        now = self.clock.now()
        if self.takes:
            again = now - self._recovered_at < self._rest_s * 2
            self._rest_s = min(self._longest_rest_s, self._rest_s * 2) if again else self._first_rest_s
            if self.counters is not None:
                self.counters.add(counter)
        self.takes, self._failed_at = False, now

    def may_probe(self) -> bool:
        """Whether it is time to try the disk again: it rested, and nothing waits for it any more."""
        return not self.takes and not self._began and self.clock.now() - self._failed_at >= self._rest_s

    def recovered(self) -> None:
        """A probe was synced: the disk takes records again."""
        self.takes, self._recovered_at = True, self.clock.now()
        if self.counters is not None:
            self.counters.add("disk.recovered")
