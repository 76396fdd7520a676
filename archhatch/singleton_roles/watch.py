"""Watches leases on a steady clock: since when each grant or renewal has been seen unchanged."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

MAX_CLOCK_DRIFT = 0.02  # share by which one node's steady clock may run faster than another's


@dataclass(frozen=True, slots=True)
class _SeenGrant:
    fencing_token: int
    renewals: int
    since: float  # steady clock, seconds


class LeaseWatch:
    """Measures for how long each role's record has been in force unchanged.

    A lease counts here from after its grant was seen, and at its lease holder from before it was asked for: so it
    lapses here last. A node that begins to watch counts from then.

    >>> watch = LeaseWatch()
    >>> watch.record_grant("k", 3, 0, 10.0)
    >>> watch.record_grant("k", 3, 0, 12.0)
    >>> watch.unchanged_s("k", 16.0) > 5.8
    True
    """

    def __init__(self) -> None:
        self._seen: dict[str, _SeenGrant] = {}

    def record_grant(self, key: str, fencing_token: int, renewals: int, now: float) -> None:
        """Takes note that a record with this token and number of renewals is in force."""
        before = self._seen.get(key)
        if before is None or (before.fencing_token, before.renewals) != (fencing_token, renewals):
            self._seen[key] = _SeenGrant(fencing_token, renewals, now)

    def keep_only(self, keys: Container[str]) -> None:
        """Forgets all keys but these."""
        self._seen = {key: seen for key, seen in self._seen.items() if key in keys}

    def request_arguments(self, key: str, now: float) -> dict:
        """Returns what the arguments of a request for a key's lease need beside those of the requester."""
        seen = self._seen.get(key)
        if seen is None:
            return {}
        return {"seen": [seen.fencing_token, seen.renewals], "seen_s": self.unchanged_s(key, now)}

    def unchanged_s(self, key: str, now: float) -> float:
        """Seconds for which a record has been seen unchanged, less what clocks may differ by; 0 if it was not seen."""
        seen = self._seen.get(key)
        return 0.0 if seen is None else (now - seen.since) * (1.0 - MAX_CLOCK_DRIFT)
