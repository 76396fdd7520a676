"""Whether this store's disk takes records: judged by how its writes fare, tried again by a small probe write."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TYPE_CHECKING, TypeVar

from ..wal import LogError

if TYPE_CHECKING:
    from ..runtime import Clock, Counters

T = TypeVar("T")

STALL_CONTACT_FRACTION = 1 / 6  # of ContactMs: a write that is unfinished for so long is a stall ...
STALL_NEIGHBOUR_RATIO = 4.0  # ... if it is so many times older than the median of the neighbours' oldest writes
FIRST_REST_CONTACT_FRACTION = 1 / 6  # of ContactMs: the first rest after a failure, before a probe is written
LONGEST_REST_CONTACT_FRACTION = 4 / 3  # of ContactMs: rests double up to this while failures follow each other closely
REST_GROWTH = 2
NEVER = float("-inf")


class DiskState:
    """Follows the writes to this store's log.

    Attributes:
        clock: The node's clock.
        counters: Where failures, stalls and recoveries are counted.
        stall_s: The age from which an unfinished write may be a stall.
        takes: Whether the disk takes records, as far as is known.
    """

    def __init__(self, clock: Clock, contact_s: float, counters: Counters | None = None) -> None:
        self.clock = clock
        self.counters = counters
        self.stall_s = contact_s * STALL_CONTACT_FRACTION
        self.takes = True
        self._first_rest_s = contact_s * FIRST_REST_CONTACT_FRACTION
        self._longest_rest_s = contact_s * LONGEST_REST_CONTACT_FRACTION
        self._rest_s = self._first_rest_s
        self._failed_at = NEVER
        self._recovered_at = NEVER
        self._unfinished: dict[object, float] = {}  # key of the write -> when it began

    async def watch(self, write: Awaitable[T]) -> T:
        """Waits for a write to the log and judges the disk by it.

        Args:
            write: The write.

        Returns:
            What the write returns.

        Raises:
            LogError: The write failed.
        """
        key = object()
        self._unfinished[key] = self.clock.now()
        try:
            return await write
        except LogError:
            self._note_failure("disk.failed")
            raise
        finally:
            del self._unfinished[key]

    def oldest_write_s(self) -> float:
        """Returns the age of the oldest unfinished write in seconds."""
        return self.clock.now() - min(self._unfinished.values()) if self._unfinished else 0.0

    def check_for_stall(self, neighbour_ages_s: list[float]) -> bool:
        """Compares this disk's oldest unfinished write with those of the neighbours.

        Args:
            neighbour_ages_s: The age of each neighbour's oldest unfinished write.

        Returns:
            Whether the disk takes records.
        """
        ages_s = sorted(neighbour_ages_s)
        median_s = ages_s[len(ages_s) // 2] if ages_s else 0.0
        if self.oldest_write_s() > max(self.stall_s, STALL_NEIGHBOUR_RATIO * median_s):
            self._note_failure("disk.stalled")
        return self.takes

    def _note_failure(self, counter: str) -> None:
        now = self.clock.now()
        if self.takes:
            failed_again = now - self._recovered_at < self._rest_s * REST_GROWTH
            grown_rest_s = min(self._longest_rest_s, self._rest_s * REST_GROWTH)
            self._rest_s = grown_rest_s if failed_again else self._first_rest_s
            self._count(counter)
        self.takes = False
        self._failed_at = now

    def should_probe(self) -> bool:
        """Returns whether it is time to try the disk again: it rested, and no write waits for it any more."""
        if self.takes or self._unfinished:
            return False
        return self.clock.now() - self._failed_at >= self._rest_s

    def note_recovery(self) -> None:
        """A probe was synced: the disk takes records again."""
        self.takes = True
        self._recovered_at = self.clock.now()
        self._count("disk.recovered")

    def _count(self, counter: str) -> None:
        if self.counters is not None:
            self.counters.add(counter)
