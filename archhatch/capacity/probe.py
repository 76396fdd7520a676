"""Probes by name: each makes the real objects at a size and gives what is to be measured."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Probe:
    """kind: cpu (seconds of processor time), thread (the same of one thread, told by the function), bytes (a length),
    memory (bytes that an object keeps)."""

    name: str
    kind: str
    what: str  # what one figure is, in words
    x: str  # what the size counts
    sizes: tuple
    make: object  # an async context of a size: (function to measure, operations in one run of it)


PROBES: dict[str, Probe] = {}


def probe(name: str, kind: str, what: str, x: str, sizes: tuple):
    """Register an async generator of a size that yields (function, operations).

    >>> # @probe("roll.beat", "cpu", "fold beats", "beats", (500, 2000)) over: async def _beat(n): yield function, 1
    """

    def put(function):
        PROBES[name] = Probe(name, kind, what, x, sizes, contextlib.asynccontextmanager(function))
        return function

    return put
