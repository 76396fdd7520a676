"""A slab: numbered places for what waits. A place's number carries its turn, so that a late answer finds nothing."""
from __future__ import annotations


class PendingCalls:
    """put() gives a key, take() empties the place; an old key never finds a new tenant.

    >>> s = PendingCalls(); k = s.put("a"); s.take(k), s.take(k)
    ('a', None)
    """

    def __init__(self):
        self._vals: list = []
        self._turns: list[int] = []
        self._free: list[int] = []

    def put(self, val) -> int:
        if self._free:
            at = self._free.pop()
        else:
            at = len(self._vals)
            self._vals.append(None)
            self._turns.append(0)
        self._turns[at] += 1
        self._vals[at] = val
        return (self._turns[at] << 20) | at

    def take(self, key: int):
        at, turn = key & 0xFFFFF, key >> 20
        if at >= len(self._vals) or self._turns[at] != turn or self._vals[at] is None:
            return None
        val, self._vals[at] = self._vals[at], None
        self._free.append(at)
        return val

    def drain(self) -> list:
        """Empty every place; what waited there."""
        out = [v for v in self._vals if v is not None]
        for at, v in enumerate(self._vals):
            if v is not None:
                self._vals[at] = None
                self._free.append(at)
        return out
