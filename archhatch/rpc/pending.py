"""The calls that wait for their answers on one connection."""

from __future__ import annotations

import itertools
from typing import Generic, TypeVar

T = TypeVar("T")

_KEYS = itertools.count(1)  # of the whole process: a key never names a second call, on whatever connection


class PendingCalls(Generic[T]):
    """What waits for an answer, by the call's key.

    >>> pending = PendingCalls(); key = pending.put("a"); pending.take(key), pending.take(key)
    ('a', None)
    """

    def __init__(self) -> None:
        self._waiting: dict[int, T] = {}

    def put(self, waiter: T) -> int:
        """Adds what waits, and returns the key of its call."""
        key = next(_KEYS)
        self._waiting[key] = waiter
        return key

    def take(self, key: int) -> T | None:
        """Removes and returns what waits under a key; None if nothing does, or does no more."""
        return self._waiting.pop(key, None)

    def drain(self) -> list[T]:
        """Removes and returns everything that waits."""
        waiters = list(self._waiting.values())
        self._waiting.clear()
        return waiters
