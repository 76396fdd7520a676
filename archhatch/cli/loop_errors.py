"""What asyncio reports of a loop: accept() that fails is counted, with few lines; the rest goes to the log as it is."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from ..runtime import Counters
from ..runtime.logs import LineLimit

if TYPE_CHECKING:
    from loguru import Logger

ACCEPT_FAILED = "socket.accept() out of system resource"  # asyncio's words; it tries again after a second
MAX_LINES_PER_S = 1


class LoopErrorHandler:
    """Takes what asyncio would write with a traceback, out of descriptors once for each connection that waits.

    >>> from ..runtime import open_logs
    >>> counters = Counters()
    >>> handler = LoopErrorHandler(counters, open_logs("n", "CRITICAL"))
    >>> handler(None, {"message": ACCEPT_FAILED, "exception": OSError(24, "Too many open files")})
    >>> counters.counts["accept.failed"]
    1
    """

    def __init__(self, counters: Counters, log: Logger) -> None:
        self._counters, self._log = counters, log
        self._line_limit = LineLimit(MAX_LINES_PER_S)

    def __call__(self, loop: asyncio.AbstractEventLoop | None, context: dict[str, Any]) -> None:
        """Takes one error of a loop."""
        if context.get("message") != ACCEPT_FAILED:
            if loop is not None:
                loop.default_exception_handler(context)
            return
        self._counters.add("accept.failed")
        if self._line_limit.admits(time.monotonic()):
            self._log.warning("no connection can be accepted, error={}", context.get("exception"))
