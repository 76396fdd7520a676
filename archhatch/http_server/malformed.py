"""Takes the place of aiohttp's logger: what clients send wrong is counted, faults of handlers are logged too."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING, Any

from aiohttp.http import HttpProcessingError

from ..runtime import Counters
from ..runtime.logs import LineLimit

if TYPE_CHECKING:
    from loguru import Logger

MAX_MALFORMED_LINES_PER_S = 5  # log lines on requests that cannot be read
MAX_MESSAGE_CHARS = 200  # of what the parser says


class ErrorCounter:
    """Counts malformed requests by reason; logs few of them, and the faults of handlers."""

    def __init__(self, counters: Counters, log: Logger) -> None:
        self.counters, self._log = counters, log
        self._line_limit = LineLimit(MAX_MALFORMED_LINES_PER_S)

    def _note_malformed(self, error: HttpProcessingError) -> None:
        """Counts a request that cannot be read by its reason; clients must not fill the log."""
        reason = type(error).__name__
        self.counters.add(f"http.malformed.{reason}")
        if self._line_limit.admits(time.monotonic()):
            self._log.info("http: malformed request, reason={} message={!r}", reason, error.message[:MAX_MESSAGE_CHARS])

    def debug(self, *_args: object, exc_info: object = None, **_options: object) -> None:
        """Notes a request that cannot be read; drops the rest."""
        if isinstance(exc_info, HttpProcessingError):
            self._note_malformed(exc_info)

    info = debug

    def error(self, *_args: object, **_options: object) -> None:
        """Counts a malformed request."""
        self.counters.add("http.error")

    warning = error

    def exception(self, message: str, *args: object, exc_info: Any = None, **_options: object) -> None:  # noqa: ANN401 - as in logging
        """Counts and logs a fault of a handler, or a request that cannot be read."""
        error = exc_info if isinstance(exc_info, BaseException) else sys.exc_info()[1]
        if isinstance(error, HttpProcessingError):
            self._note_malformed(error)
            return
        self.counters.add("http.fault")
        self._log.opt(exception=exc_info or True).error("http: {}", message % args if args else message)
