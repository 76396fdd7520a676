"""Lets a duty over many entries bear the failure of one: a service, a model, a run, a job, a window."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from .clock import Clock
from .counters import Counters

LOG_INTERVAL_S = 30.0  # between two log lines on one entry


class EntryGuard:
    """Passes over entries that fail, counted under their names and logged once in a while.

    >>> import types
    >>> log = types.SimpleNamespace(opt=lambda **_options: types.SimpleNamespace(error=print))
    >>> counters = Counters()
    >>> guard = EntryGuard("sizes", log, counters, Clock())
    >>> for name, size in {"a": 2, "b": 0, "c": 4}.items():
    ...     with guard.entry(name):
    ...         print(8 // size)
    4
    {}: entry passed over, entry={!r} error={!r} sizes b integer division or modulo by zero
    2
    >>> counters.counts["skipped.sizes.b"]
    1
    """

    def __init__(self, duty: str, log: Any, counters: Counters, clock: Clock) -> None:  # noqa: ANN401 - loguru's logger, or a stand-in
        """Makes the guard of one duty.

        Args:
            duty: The duty's name, for counters and log lines.
            log: Where failures go.
            counters: Counts them.
            clock: The steady clock.
        """
        self._duty = duty
        self._log = log
        self._counters = counters
        self._clock = clock
        self._logged_at: dict[str, float] = {}

    @contextmanager
    def entry(self, name: str) -> Iterator[None]:
        """Runs the duty's work for one entry."""
        try:
            yield
        except Exception as error:  # noqa: BLE001 - the point of the guard: whatever fails, the other entries are served
            self._counters.add(f"skipped.{self._duty}.{name}")
            self._log_failure(name, error)

    def _log_failure(self, name: str, error: Exception) -> None:
        now = self._clock.now()
        if now - self._logged_at.get(name, float("-inf")) < LOG_INTERVAL_S:
            return
        self._logged_at = {entry: at for entry, at in self._logged_at.items() if now - at < LOG_INTERVAL_S}
        self._logged_at[name] = now
        self._log.opt(exception=error).error(
            "{}: entry passed over, entry={!r} error={!r}", self._duty, name, str(error)
        )
