"""A machine of a simulated deployment: its disk, and the incarnations of the process on it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..wal import LogError
from .disk import SimulatedDisk
from .loop import Incarnation, VirtualLoop
from .network import SimulatedNetwork

RESTART_S = 0.4  # after a process has ended by itself, as a process supervisor would wait


class SimulatedNode(Protocol):
    """What runs on a machine."""

    async def start(self) -> None:
        """Starts the node; returns once it runs."""


class Machine:
    """One machine.

    Attributes:
        host: Its address.
        loop: The event loop of the simulation.
        network: The network of the simulation.
        disk: Its disk, which outlives the process.
        bootstrap: Whether the next start may found the group; only the first one may.
        gone: Whether it was replaced, so that it never starts again.
        incarnation: The process that was started last; None before the first start.
        incarnations: All processes so far.
        node: The node of the last incarnation; None before the first start.
        own_ends: How often a process ended by itself, because its disk failed it.
    """

    def __init__(
        self,
        host: str,
        loop: VirtualLoop,
        network: SimulatedNetwork,
        disk: SimulatedDisk,
        build: Callable[[Machine, Incarnation], SimulatedNode],
    ) -> None:
        self.host = host
        self.loop = loop
        self.network = network
        self.disk = disk
        self.bootstrap = True
        self.gone = False
        self.incarnation: Incarnation | None = None
        self.incarnations: list[Incarnation] = []
        self.node: SimulatedNode | None = None
        self.own_ends = 0
        self._build = build
        self._down_count = 0  # faults that keep it down: they may overlap
        self._freeze_count = 0

    @property
    def running(self) -> bool:
        """Whether its process runs, frozen or not."""
        return self.incarnation is not None and self.incarnation.alive

    def start(self) -> None:
        """Starts the process, unless a fault keeps the machine down."""
        if self._down_count or self.gone or self.running:
            return
        incarnation = Incarnation(f"{self.host}#{len(self.incarnations) + 1}")
        incarnation.disk = self.disk
        self.incarnation = incarnation
        self.incarnations.append(incarnation)
        self.network.dark.discard(self.host)
        # Callbacks that the constructor schedules must belong to the incarnation, so that they end with it.
        node = incarnation.context.run(self._build, self, incarnation)
        self.node = node
        self.loop.spawn(incarnation, self._run(node, incarnation))

    async def _run(self, node: SimulatedNode, incarnation: Incarnation) -> None:
        try:
            await node.start()
            self.bootstrap = False
        except (OSError, LogError):
            self.own_ends += 1
            self.loop.call_outside(0.0, self._end, incarnation)

    def _end(self, incarnation: Incarnation) -> None:
        """Ends a process that gave up by itself, and starts it again a little later."""
        if incarnation.alive:
            self.loop.end(incarnation)
            self.disk.kill()
            self.loop.call_outside(RESTART_S, self.start)

    def take_down(self, power: bool) -> None:
        """Kills the process; it stays down until bring_up() was called as often.

        Args:
            power: Whether the machine loses power, and with it what its disk has not synced.
        """
        self._down_count += 1
        self.bootstrap = False
        if self.incarnation is not None:
            self.loop.end(self.incarnation)
        if power:
            self.network.dark.add(self.host)
            self.disk.lose_power()
        else:
            self.disk.kill()

    def bring_up(self) -> None:
        """Takes one take_down() back, and starts the process if it was the last."""
        self._down_count -= 1
        self.start()

    def freeze(self) -> None:
        """Stops the process without ending it; it stays frozen until thaw() was called as often."""
        self._freeze_count += 1
        if self.incarnation is not None:
            self.loop.freeze(self.incarnation)

    def thaw(self) -> None:
        """Takes one freeze() back, and lets the process go on if it was the last."""
        self._freeze_count -= 1
        if self.incarnation is not None and not self._freeze_count:
            self.loop.thaw(self.incarnation)
