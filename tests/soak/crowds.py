"""Clients that do not behave, as a series of a soak, and the bounds that each life of a process keeps beside them."""

from __future__ import annotations

import asyncio
import itertools
import random

from tests.crowds.clients import (
    bodies_and_resets,
    body_in_chunks,
    body_with_length,
    crowd,
    nothing,
    requests_ahead,
    slow_body,
    unread_answer,
)
from tests.crowds.deployment import BYTES_PER_MB, MAX_FDS, MEMORY_MB, RESERVED_FDS, open_descriptors, peak_memory
from tests.soak.links import LinkedSystem

LARGE_BYTES = 30_000_000
BODY_LIMITS = (33554432, 1 << 20)  # MaxBodyBytes, lowered and raised again
SAMPLE_S = 0.1
KINDS = {
    "large bodies": (6, lambda: body_with_length("/quote/1", LARGE_BYTES, missing=1)),
    "large orders": (6, lambda: body_with_length("/order/1", LARGE_BYTES, missing=1)),
    "large chunks": (6, lambda: body_in_chunks("/quote/1", LARGE_BYTES, 65_000)),
    "small chunks": (20, lambda: body_in_chunks("/quote/1", 500_000, 1)),
    "slow ends": (100, lambda: slow_body("/quote/1", 500_000, missing=40)),
    "requests ahead": (10, lambda: requests_ahead("/quote/1", 50, 100_000)),
    "answers unread": (50, lambda: unread_answer("/quote/1")),
    "resets": (10, lambda: bodies_and_resets("/quote/1", 300_000, itertools.cycle([200_000, 300_000]), 50)),
    "silent": (400, lambda: nothing),
}


class SmallLinkedSystem(LinkedSystem):
    """A system whose processes have the memory and the descriptors of small machines."""

    def settings_of(self, name: str, settings: dict) -> dict:
        settings = super().settings_of(name, settings)
        limits = {**settings["Limits"], "MemoryMb": MEMORY_MB[settings["MachineClass"]], "MaxFds": MAX_FDS}
        return {**settings, "Limits": limits}


class CrowdSeries:
    """Plays one crowd after the other at the edges, and samples what the processes use."""

    def __init__(self, system: LinkedSystem, rng: random.Random) -> None:
        self.system, self.rng = system, rng
        self.broken: set[str] = set()
        self.played: list[str] = []

    async def play(self, until: asyncio.Event) -> None:
        """Goes on until the event is set."""
        while not until.is_set():
            name = self.rng.choice(sorted(KINDS))
            size, make_script = KINDS[name]
            edge = self.rng.randint(1, self.system.edge_count)
            self.played.append(f"{name} at edge-{edge}")
            async with crowd(self.system.front(edge), size, make_script(), self.rng.uniform(0.5, 3.0)):
                await asyncio.sleep(self.rng.uniform(0.0, 2.0))

    async def watch(self, until: asyncio.Event) -> None:
        """Samples the processes until the event is set; restarts begin new lives, with bounds of their own."""
        bounds = {"edge": MEMORY_MB["edge"], "store": MEMORY_MB["storage"], "core": MEMORY_MB["core"]}
        while not until.is_set():
            for name, node in self.system.nodes.items():
                self._sample(name, node.process.pid, bounds[name.split("-")[0]])
            await asyncio.sleep(SAMPLE_S)

    def _sample(self, name: str, pid: int, memory_mb: int) -> None:
        try:
            peak, fds = peak_memory(pid), open_descriptors(pid)
        except (OSError, AssertionError):  # it has ended; its next life is sampled
            return
        if peak > memory_mb * BYTES_PER_MB:
            self.broken.add(f"MEMORY {name}, process {pid}: over {memory_mb} MB")
        if fds > MAX_FDS - RESERVED_FDS:
            self.broken.add(f"DESCRIPTORS {name}, process {pid}: over {MAX_FDS - RESERVED_FDS}")
