"""Live requests in progress, summed by service over all edges, as long as the reports are fresh."""

from __future__ import annotations

NEVER = float("-inf")


class LiveRequests:
    """Reports of edges, and of other control nodes for the edges that report to them; old ones expire.

    Attributes:
        window_s: Seconds for which a report counts.

    >>> live = LiveRequests(2.0); live.record_edge("e1", {"s": 2}, 10.0); live.record_edge("e2", {"s": 1}, 11.0)
    >>> live.totals(11.5), live.totals(12.5)
    ({'s': 3}, {'s': 1})
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self._edge_reports: dict[tuple[str, str], tuple[float, float]] = {}  # (edge, service) -> (when, how many)
        self._node_reports: dict[str, tuple[float, dict[str, float]]] = {}  # control node -> (when, by service)

    def record_edge(self, edge_id: str, live: dict[str, float], now: float) -> None:
        """Records what an edge has in progress, by service; ignores services for which a newer report is known."""
        for service, count in live.items():
            if count and now >= self._edge_reports.get((edge_id, service), (NEVER, 0))[0]:
                self._edge_reports[edge_id, service] = (now, count)

    def record_node(self, node_id: str, live: dict[str, float], now: float) -> None:
        """Records what the edges that report to another control node have in progress, all together.

        Replaces that node's last report, unless that is newer.

        >>> live = LiveRequests(2.0); live.record_node("c", {"s": 2}, 1.0); live.record_node("c", {"t": 1}, 1.5)
        >>> live.totals(2.0), live.edge_totals(2.0)
        ({'t': 1}, {})
        """
        if now >= self._node_reports.get(node_id, (NEVER, {}))[0]:
            self._node_reports[node_id] = (now, live)

    def edge_totals(self, now: float) -> dict[str, float]:
        """Returns the sums by service of what edges reported here, and drops expired reports.

        This is what other control nodes are sent: it grows with the services, not with the edges.
        """
        totals: dict[str, float] = {}
        for (edge_id, service), (reported_at, count) in list(self._edge_reports.items()):
            if now - reported_at > self.window_s:
                del self._edge_reports[edge_id, service]
            else:
                totals[service] = totals.get(service, 0) + count
        return totals

    def totals(self, now: float) -> dict[str, float]:
        """Returns the services with live requests and how many each has, over all reports."""
        totals = self.edge_totals(now)
        for node_id, (reported_at, live) in list(self._node_reports.items()):
            if now - reported_at > self.window_s:
                del self._node_reports[node_id]
                continue
            for service, count in live.items():
                totals[service] = totals.get(service, 0) + count
        return totals
