"""Gathers on a store what the edges tell of usage."""

from __future__ import annotations

from dataclasses import dataclass

WINDOWS_KEPT = 24  # of an edge's life, the newest
KEEP_S = 60.0  # how long the words of an edge are kept after its last one


@dataclass(slots=True)
class _Word:
    version: int
    sums: dict  # window's number -> tenant -> requests
    at: float


class UsageCollector:
    """Keeps the newest word of each life of an edge; a word holds sums, so that hearing it twice counts it once.

    >>> c = UsageCollector(); c.tell("e", "1", 2, {7: {"t": 3}}, 0.0); c.tell("e", "1", 1, {7: {"t": 1}}, 0.1)
    >>> c.tell("e", "2", 1, {7: {"t": 1}}, 0.2); c.counts(7)
    {'t': 4}
    """

    def __init__(self):
        self._words: dict[tuple, _Word] = {}

    def tell(self, edge: str, incarnation: str, version: int, sums: dict, now: float) -> None:
        """An edge told its sums: {window: {tenant: requests}}; an older word than the last is passed over."""
        word = self._words.get((edge, incarnation))
        if word is not None and version < word.version:
            return
        kept = dict(word.sums) if word is not None else {}
        kept.update(sums)
        for old in sorted(kept)[:-WINDOWS_KEPT]:
            del kept[old]
        self._words[edge, incarnation] = _Word(version, kept, now)
        for key in [key for key, word in self._words.items() if now - word.at > KEEP_S]:
            del self._words[key]

    def counts(self, window: int) -> dict[str, int]:
        """Requests by tenant of a window, over all edges."""
        total: dict[str, int] = {}
        for word in self._words.values():
            for tenant, count in word.sums.get(window, {}).items():
                total[tenant] = total.get(tenant, 0) + count
        return total

    def windows(self) -> list[int]:
        """The windows of which anything was told, in their order."""
        return sorted({window for word in self._words.values() for window in word.sums})
