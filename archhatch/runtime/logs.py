"""Logs of a process: events are counted first, and a line is written where a state changes."""

from __future__ import annotations

import re
import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger, Record

LINE_FORMAT = "{extra[node]} {level.name[0]} {message}"
TEXT_FORMAT, JSON_FORMAT = "text", "json"  # values of LogFormat in the settings
WINDOW_S = 1.0

_CONTROL_CHARACTERS = re.compile("[\x00-\x1f\x7f-\x9f\u2028\u2029]")


def escape(text: str) -> str:
    r"""Returns text without control characters, so that no value makes a line of its own.

    >>> escape("a\nedge-9 E forged")
    'a\\nedge-9 E forged'
    """
    return _CONTROL_CHARACTERS.sub(lambda match: match[0].encode("unicode_escape").decode(), text)


def _escape_message(record: Record) -> None:
    record["message"] = escape(record["message"])


def open_logs(node_name: str, level: str = "INFO", log_format: str = TEXT_FORMAT) -> Logger:
    """Sends log lines to standard error.

    Args:
        node_name: The name that each line begins with.
        level: The lowest level that is written.
        log_format: TEXT_FORMAT, or JSON_FORMAT for one JSON object a line, as loguru serializes it.

    Returns:
        The logger of the process.

    >>> log = open_logs("edge-1", "ERROR"); log.info("not written at this level")
    """
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        format=LINE_FORMAT,
        serialize=log_format == JSON_FORMAT,
        backtrace=False,
        diagnose=False,
        colorize=False,
        catch=True,
    )
    return logger.bind(node=node_name).patch(_escape_message)


class LineLimit:
    """Bounds how many lines on one matter are written a second.

    >>> limit = LineLimit(2); [limit.admits(at) for at in (0.0, 0.1, 0.2, 1.1)]
    [True, True, False, True]
    """

    def __init__(self, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._window_began_at = float("-inf")
        self._written = 0

    def admits(self, now: float) -> bool:
        """Returns whether a line may be written, and counts it.

        Args:
            now: The steady clock.
        """
        if now - self._window_began_at >= WINDOW_S:
            self._window_began_at = now
            self._written = 0
        self._written += 1
        return self._written <= self._lines_per_s
