"""Logs of a process: events are counted first, and a line is written where a state changes."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

LINE_FORMAT = "{extra[node]} {level.name[0]} {message}"


def open_logs(node_name: str, level: str = "INFO") -> Logger:
    """Sends log lines to standard error.

    Args:
        node_name: The name that each line begins with.
        level: The lowest level that is written.

    Returns:
        The logger of the process.

    >>> log = open_logs("edge-1", "ERROR"); log.info("not written at this level")
    """
    logger.remove()
    logger.add(sys.stderr, level=level, format=LINE_FORMAT, backtrace=False, diagnose=False, colorize=False, catch=True)
    return logger.bind(node=node_name)
