"""Logs: counters first, a line only where a state changes."""

import sys

from loguru import logger


def open_logs(node: str, level: str = "INFO"):
    """Send lines to standard error, stamped with the node's name.

    >>> # log = open_logs("edge-1"); log.info("ready")
    """
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        format="{extra[node]} {level.name[0]} {message}",
        backtrace=False,
        diagnose=False,
        colorize=False,
        catch=True,
    )
    return logger.bind(node=node)
