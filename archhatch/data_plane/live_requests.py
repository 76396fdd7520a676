"""What live requests this edge has under way, by service; the stores give places back by it."""

from __future__ import annotations

LEAST = 0.01  # what is told of a service whose requests took hardly any time


class Live:
    """enter() and leave() around each live request; tally() gives how many were under way on average since the last.

    >>> from ..runtime import StateBoard, Clock
    >>> v = Live(StateBoard(), Clock(), 1.0); v.enter("s"); v.leave("s"); sorted(v.tally()), v.tally()
    (['s'], {})
    """

    def __init__(self, state_board, clock, quiet_s: float):
        self.state_board, self.clock, self.quiet_s = state_board, clock, quiet_s
        self.now: dict[str, int] = {}
        self.area: dict[str, float] = {}  # request seconds since the last tally
        self.last: dict[str, float] = {}
        self.tallied = clock.now()

    def _move(self, service: str, by: int) -> None:
        at = self.clock.now()
        n, since = self.now.get(service, 0), max(self.tallied, self.last.get(service, self.tallied))
        self.area[service] = self.area.get(service, 0.0) + n * (at - since)
        self.last[service], self.now[service] = at, n + by

    def enter(self, service: str) -> None:
        if self.clock.now() - self.last.get(service, float("-inf")) > self.quiet_s and not self.now.get(service):
            self.state_board.notify("live")  # the first after a lull: say so at once
        self._move(service, 1)

    def leave(self, service: str) -> None:
        self._move(service, -1)

    def tally(self) -> dict:
        at = self.clock.now()
        for service in [s for s, n in self.now.items() if n]:
            self._move(service, 0)
        took = max(1e-3, at - self.tallied)
        out = {s: max(LEAST, a / took) for s, a in self.area.items()}
        self.area, self.tallied = {}, at
        return out
