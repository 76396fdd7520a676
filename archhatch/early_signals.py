"""Signals that arrive before a program has set its own handlers.

A starting program loads code for some tenths of a second. Meanwhile SIGHUP, by its default, would end the process.
"""

from __future__ import annotations

import signal
from types import FrameType

_received: set[int] = set()


def _note(number: int, _frame: FrameType | None) -> None:
    _received.add(number)


def hold_reload_signal() -> None:
    """Keeps SIGHUP from ending the process, and remembers it."""
    signal.signal(signal.SIGHUP, _note)


def take_reload_signal() -> bool:
    """Returns whether SIGHUP has arrived since it is held, and forgets it.

    >>> take_reload_signal()
    False
    """
    has_arrived = signal.SIGHUP in _received
    _received.discard(signal.SIGHUP)
    return has_arrived
