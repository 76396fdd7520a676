"""The live requests under way, summed by service, for as long as the words of those who tell of them are fresh."""

from __future__ import annotations


class LiveRequests:
    """Words of edges, and of other control nodes for the edges that speak to them; busy() sums those of the last
    window.

    >>> live = LiveRequests(2.0); live.record_edge("e1", {"s": 2}, 10.0); live.record_edge("e2", {"s": 1}, 11.0)
    >>> live.totals(11.5), live.totals(12.5)
    ({'s': 3}, {'s': 1})
    """

    def __init__(self, window_s: float):
        self.window_s = window_s
        self._words: dict[tuple, tuple] = {}  # (edge, service) -> (when, how many)
        self._sums: dict[str, tuple] = {}  # control node -> (when, service -> how many)

    def record_edge(self, edge: str, live: dict, at: float) -> None:
        """An edge's word, heard here at a time; an older one of the same service does not undo a newer one."""
        for svc, n in live.items():
            if n and at >= self._words.get((edge, svc), (float("-inf"), 0))[0]:
                self._words[edge, svc] = (at, n)

    def record_node(self, node: str, live: dict, at: float) -> None:
        """What the edges that speak to another control node have under way, all together; it replaces that node's last
        word.

        >>> live = LiveRequests(2.0); live.record_node("c", {"s": 2}, 1.0); live.record_node("c", {"t": 1}, 1.5)
        >>> live.totals(2.0), live.edge_totals(2.0)
        ({'t': 1}, {})
        """
        if at >= self._sums.get(node, (float("-inf"), {}))[0]:
            self._sums[node] = (at, live)

    def edge_totals(self, now: float) -> dict:
        """The sum of what edges said here, for other control nodes: its size is that of the services, not the edges."""
        out: dict = {}
        for key, (at, n) in list(self._words.items()):
            if now - at > self.window_s:
                del self._words[key]
            else:
                out[key[1]] = out.get(key[1], 0) + n
        return out

    def totals(self, now: float) -> dict:
        """Services with live requests, and how many."""
        out = self.edge_totals(now)
        for node, (at, live) in list(self._sums.items()):
            if now - at > self.window_s:
                del self._sums[node]
                continue
            for svc, n in live.items():
                out[svc] = out.get(svc, 0) + n
        return out
