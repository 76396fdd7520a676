"""Watches leases on a steady clock: since when each grant or renewal has been seen unchanged."""

from __future__ import annotations

from dataclasses import dataclass

DRIFT = 0.02  # how much faster one node's steady clock may run than another's


@dataclass(frozen=True, slots=True)
class _Seen:
    fence: int
    renewals: int
    at: float


class LeaseWatch:
    """A lease counts from after its grant was seen here, and its holder counts from before it asked: so it lapses here
    last. A node that begins to watch counts from then.

    >>> w = LeaseWatch(); w.note("k", 3, 0, 10.0); w.note("k", 3, 0, 12.0); w.seen_s("k", 16.0) > 5.8
    True
    """

    def __init__(self):
        self._seen: dict[str, _Seen] = {}

    def note(self, key: str, fence: int, renewals: int, now: float) -> None:
        """A record with this fence and number of renewals is in force."""
        before = self._seen.get(key)
        if before is None or (before.fence, before.renewals) != (fence, renewals):
            self._seen[key] = _Seen(fence, renewals, now)

    def keep_only(self, keys) -> None:
        """Forget what is no duty any more."""
        self._seen = {key: seen for key, seen in self._seen.items() if key in keys}

    def args(self, key: str, now: float) -> dict:
        """What a request for a key's lease has to bring."""
        seen = self._seen.get(key)
        if seen is None:
            return {}
        return {"seen": [seen.fence, seen.renewals], "seen_s": self.seen_s(key, now)}

    def seen_s(self, key: str, now: float) -> float:
        """Seconds for which a record has been seen unchanged, less what clocks may differ by."""
        seen = self._seen.get(key)
        return 0.0 if seen is None else (now - seen.at) * (1.0 - DRIFT)
