"""This edge's live requests in flight by service; the stores give slots back to them."""

from __future__ import annotations

from ..runtime import Clock, StateBoard

MIN_AVERAGE = 0.01  # reported of a service whose requests took hardly any time
MIN_PERIOD_S = 1e-3  # shortest time that an average is taken over


class LiveRequestTracker:
    """Counts live requests, and their average number since the last report.

    >>> tracker = LiveRequestTracker(StateBoard(), Clock(), 1.0)
    >>> tracker.begin("s"); tracker.finish("s")
    >>> sorted(tracker.tally()), tracker.tally()
    (['s'], {})

    Attributes:
        in_flight: Requests in flight by service.
    """

    def __init__(self, state_board: StateBoard, clock: Clock, quiet_s: float) -> None:
        """Starts without requests.

        Args:
            state_board: Its topic "live" is touched when a service gets its first request after a pause.
            clock: The steady clock.
            quiet_s: How long a service must have had no requests for that, in seconds.
        """
        self._state_board, self._clock, self._quiet_s = state_board, clock, quiet_s
        self.in_flight: dict[str, int] = {}
        self._request_seconds: dict[str, float] = {}  # since the last report
        self._changed_at: dict[str, float] = {}
        self._reported_at = clock.now()

    def begin(self, service: str) -> None:
        """Counts a request that begins."""
        quiet_for_s = self._clock.now() - self._changed_at.get(service, float("-inf"))
        if quiet_for_s > self._quiet_s and not self.in_flight.get(service):
            self._state_board.notify("live")  # the stores must give slots back at once
        self._change(service, 1)

    def finish(self, service: str) -> None:
        """Counts a request that ended."""
        self._change(service, -1)

    def tally(self) -> dict[str, float]:
        """Returns how many requests of each service were in flight on average since the last call."""
        now = self._clock.now()
        for service in [service for service, count in self.in_flight.items() if count]:
            self._change(service, 0)
        period_s = max(MIN_PERIOD_S, now - self._reported_at)
        averages = {
            service: max(MIN_AVERAGE, request_seconds / period_s)
            for service, request_seconds in self._request_seconds.items()
        }
        self._request_seconds = {}
        self._reported_at = now
        return averages

    def _change(self, service: str, by: int) -> None:
        now = self._clock.now()
        count = self.in_flight.get(service, 0)
        since = max(self._reported_at, self._changed_at.get(service, self._reported_at))
        self._request_seconds[service] = self._request_seconds.get(service, 0.0) + count * (now - since)
        self._changed_at[service] = now
        self.in_flight[service] = count + by
