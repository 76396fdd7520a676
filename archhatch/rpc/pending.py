"""Calls that wait for their answers on one connection."""

from __future__ import annotations

import itertools

_KEYS = itertools.count(1)  # of the whole process: a key never names a second call, on whatever connection


class PendingCalls:
    """put() gives a key, take() gives back what waits under it, once.

    >>> pending = PendingCalls(); key = pending.put("a"); pending.take(key), pending.take(key)
    ('a', None)
    """

    def __init__(self):
        self._waiting: dict[int, object] = {}

    def put(self, waiter) -> int:
        """Let something wait; the key under which it does."""
        key = next(_KEYS)
        self._waiting[key] = waiter
        return key

    def take(self, key: int):
        """What waits under a key; None if nothing does, or does no more."""
        return self._waiting.pop(key, None)

    def drain(self) -> list:
        """Everything that waits; afterwards nothing does."""
        waiters = list(self._waiting.values())
        self._waiting.clear()
        return waiters
