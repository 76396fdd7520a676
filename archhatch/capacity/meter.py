"""The meter: runs one probe at its sizes and gives the samples."""

from __future__ import annotations

import asyncio
import gc
import inspect
import time
import tracemalloc

from .probe import Probe


class Meter:
    """Best of several repeats of processor time; memory by tracemalloc; lengths as they are.

    >>> # Meter(3).samples(PROBES["roll.beat"])
    """

    def __init__(self, repeats: int = 3, clock=time.process_time):
        self.repeats, self.clock = repeats, clock

    def samples(self, probe: Probe) -> list:
        """[[size, figure], ...] of one probe."""
        read = {"cpu": self._cpu, "thread": self._thread, "bytes": self._bytes, "memory": self._memory}[probe.kind]
        return [[n, asyncio.run(read(probe, n))] for n in probe.sizes]

    async def _cpu(self, probe: Probe, n: int) -> float:
        took = []
        for _ in range(self.repeats):
            async with probe.make(n) as (function, ops):
                gc.collect()
                gc.disable()
                began = self.clock()
                try:
                    out = function()
                    if inspect.isawaitable(out):
                        await out
                    took.append((self.clock() - began) / ops)
                finally:
                    gc.enable()
        return min(took)

    async def _thread(self, probe: Probe, n: int) -> float:
        """The function itself tells the processor time of its own thread: others play its peers."""
        return min([await self._bytes(probe, n) for _ in range(self.repeats)])

    async def _bytes(self, probe: Probe, n: int) -> float:
        async with probe.make(n) as (function, ops):
            out = function()
            return (await out if inspect.isawaitable(out) else out) / ops

    async def _memory(self, probe: Probe, n: int) -> float:
        async with probe.make(n) as (function, ops):
            gc.collect()
            tracemalloc.start()
            try:
                began = tracemalloc.get_traced_memory()[0]
                kept = function()
                kept = await kept if inspect.isawaitable(kept) else kept
                gc.collect()
                return (tracemalloc.get_traced_memory()[0] - began) / ops
            finally:
                tracemalloc.stop()
                del kept
