"""Collects on a store the counts that edges send."""

from __future__ import annotations

from dataclasses import dataclass

MAX_WINDOWS = 24  # of an edge's incarnation, the newest; beyond what may still be reported, so that none is lost
RETENTION_S = 60.0  # how long an edge's counts are kept after its last report; longer than any window stays open

WindowCounts = dict[int, dict[str, int]]  # window's number -> tenant -> requests


@dataclass(slots=True)
class _EdgeReport:
    version: int
    counts: WindowCounts
    received_at: float  # steady clock, seconds


class UsageCollector:
    """Keeps the newest report of each incarnation of an edge.

    A report holds sums, not differences, so that receiving it twice counts it once.

    >>> collector = UsageCollector()
    >>> collector.record_report("e", "1", 2, {7: {"t": 3}}, 0.0)
    >>> collector.record_report("e", "1", 1, {7: {"t": 1}}, 0.1)
    >>> collector.record_report("e", "2", 1, {7: {"t": 1}}, 0.2)
    >>> collector.counts_in(7)
    {'t': 4}
    """

    def __init__(self) -> None:
        self._reports: dict[tuple[str, str], _EdgeReport] = {}

    def record_report(self, edge: str, incarnation: str, version: int, counts: WindowCounts, now: float) -> None:
        """Takes in an edge's report; one that is older than the newest received is ignored.

        Args:
            edge: The edge's node name.
            incarnation: The edge's process.
            version: Rises with each count of that process.
            counts: The windows that the edge still has. Earlier ones, received before, stay.
            now: Steady clock, seconds.
        """
        previous = self._reports.get((edge, incarnation))
        if previous is not None and version < previous.version:
            return
        merged = dict(previous.counts) if previous is not None else {}
        merged.update(counts)
        for old_window in sorted(merged)[:-MAX_WINDOWS]:
            del merged[old_window]
        self._reports[edge, incarnation] = _EdgeReport(version, merged, now)
        self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        expired = [key for key, report in self._reports.items() if now - report.received_at > RETENTION_S]
        for key in expired:
            del self._reports[key]

    def counts_in(self, window: int) -> dict[str, int]:
        """Returns the requests by tenant in a window, over all edges."""
        total: dict[str, int] = {}
        for report in self._reports.values():
            for tenant, count in report.counts.get(window, {}).items():
                total[tenant] = total.get(tenant, 0) + count
        return total

    def windows(self) -> list[int]:
        """Returns the windows that any edge has reported, in ascending order."""
        return sorted({window for report in self._reports.values() for window in report.counts})
