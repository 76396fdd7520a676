"""Signals that arrive before a program has set its own handlers, or when it has ended in order.

A starting program loads code for some tenths of a second. Meanwhile SIGHUP, by its default, would end the process, and
SIGTERM would end it as if it had failed. So would a further SIGTERM while the interpreter is taken down.
"""

from __future__ import annotations

import signal
import sys
from types import FrameType
from typing import NoReturn

_received: set[int] = set()


def _note(number: int, _frame: FrameType | None) -> None:
    _received.add(number)


def _end(_number: int, _frame: FrameType | None) -> NoReturn:
    sys.exit(0)  # nothing has been read from anybody yet


def hold_signals() -> None:
    """Keeps SIGHUP from ending the process, and remembers it; has SIGTERM end it in order."""
    signal.signal(signal.SIGHUP, _note)
    signal.signal(signal.SIGTERM, _end)


def ignore_signals() -> None:
    """Lets a process that has ended in order reach its exit status, whatever still arrives."""
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)


def take_reload_signal() -> bool:
    """Returns whether SIGHUP has arrived since it is held, and forgets it.

    >>> take_reload_signal()
    False
    """
    has_arrived = signal.SIGHUP in _received
    _received.discard(signal.SIGHUP)
    return has_arrived
