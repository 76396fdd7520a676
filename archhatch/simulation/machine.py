"""A machine of a simulated deployment: its disk, and the life of the process on it."""

from __future__ import annotations

from collections.abc import Callable

from ..wal import LogError
from .disk import SimulatedDisk
from .loop import Life, VirtualLoop
from .network import SimulatedNetwork

RESTART_S = 0.4  # after a process has ended by itself


class Machine:
    """One machine; build(machine, life) makes the node of a life, whose start() is run."""

    def __init__(self, host: str, loop: VirtualLoop, network: SimulatedNetwork, disk: SimulatedDisk, build: Callable):
        self.host, self.loop, self.network, self.disk = host, loop, network, disk
        self._build = build
        self._down = 0  # reasons for which it must not run
        self._freezes = 0
        self.bootstrap = True  # only for its first start
        self.gone = False
        self.incarnation: Life | None = None
        self.lives: list[Life] = []
        self.node = None
        self.own_ends = 0

    @property
    def running(self) -> bool:
        """Whether its process lives."""
        return self.incarnation is not None and self.incarnation.alive

    def start(self) -> None:
        """Start the process, unless something keeps the machine down."""
        if self._down or self.gone or self.running:
            return
        incarnation = Life(f"{self.host}#{len(self.lives) + 1}")
        incarnation.disk = self.disk
        self.incarnation = incarnation
        self.lives.append(incarnation)
        self.network.dark.discard(self.host)
        # building it draws no handles, but belongs to the life all the same
        self.node = incarnation.context.run(self._build, self, incarnation)
        self.loop.spawn(incarnation, self._run(incarnation))

    async def _run(self, incarnation: Life) -> None:
        try:
            await self.node.start()
            self.bootstrap = False
        except (OSError, LogError):
            self.own_ends += 1
            self.loop.call_outside(0.0, self._end, incarnation)

    def _end(self, incarnation: Life) -> None:
        """The process ended by itself: it is started again a little later."""
        if incarnation.alive:
            self.loop.end(incarnation)
            self.disk.kill()
            self.loop.call_outside(RESTART_S, self.start)

    def take_down(self, power: bool) -> None:
        """Kill the process, or cut the power; it stays down until bring_up()."""
        self._down += 1
        self.bootstrap = False
        if self.incarnation is not None:
            self.loop.end(self.incarnation)
        if power:
            self.network.dark.add(self.host)
            self.disk.lose_power()
        else:
            self.disk.kill()

    def bring_up(self) -> None:
        """One reason to be down is over."""
        self._down -= 1
        self.start()

    def freeze(self) -> None:
        """Hold the process."""
        self._freezes += 1
        if self.incarnation is not None:
            self.loop.freeze(self.incarnation)

    def thaw(self) -> None:
        """One freeze is over."""
        self._freezes -= 1
        if self.incarnation is not None and not self._freezes:
            self.loop.thaw(self.incarnation)
