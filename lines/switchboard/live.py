"""What live requests this edge has under way, by service; the stores give places back by it."""
from __future__ import annotations


class Live:
    """enter() and leave() around each live request; tally() gives the most under way at once since the last tally.

    >>> from ..frame import Board, Clock
    >>> v = Live(Board(), Clock(), 1.0); v.enter("s"); v.leave("s"); v.tally(), v.tally()
    ({'s': 1}, {})
    """

    def __init__(self, board, clock, quiet_s: float):
        self.board, self.clock, self.quiet_s = board, clock, quiet_s
        self.now: dict[str, int] = {}
        self.peak: dict[str, int] = {}
        self.last: dict[str, float] = {}

    def enter(self, service: str) -> None:
        at = self.clock.now()
        if at - self.last.get(service, float("-inf")) > self.quiet_s:
            self.board.touch("live")   # the first after a lull: say so at once
        self.last[service] = at
        self.now[service] = self.now.get(service, 0) + 1
        self.peak[service] = max(self.peak.get(service, 0), self.now[service])

    def leave(self, service: str) -> None:
        self.last[service] = self.clock.now()
        self.now[service] -= 1

    def tally(self) -> dict:
        out = {s: n for s, n in self.peak.items() if n}
        self.peak = {s: n for s, n in self.now.items() if n}
        return out
