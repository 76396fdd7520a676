"""Troubles of a soak: series of signals, restarts, crashes and changes, drawn by a seed, that overlap."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass, field

from tests.soak.deployment import BLUE, BOUNDS, GREEN, Replica, configuration, status_of
from tests.soak.links import STORES, LinkedSystem

GRACE_S = float(BOUNDS["GraceS"])
SYNC_S = float(BOUNDS["SyncS"])
BOOT_S = 0.1  # until a program's first line runs, a signal has its default effect


@dataclass
class Log:
    """What was done to whom, by the record's clock.

    Attributes:
        terms: SIGTERMs by machine.
        kills: SIGKILLs by machine.
        core_troubles: Spans in which a store or a control node was in trouble.
        crashes: When the lives of replicas ended.
        late_ends: Machines that were still there at the end of GraceS, or ended otherwise than in order.
    """

    terms: dict[str, list[float]] = field(default_factory=dict)
    kills: dict[str, list[float]] = field(default_factory=dict)
    core_troubles: list[tuple[float, float]] = field(default_factory=list)
    crashes: dict[str, float] = field(default_factory=dict)
    late_ends: list[str] = field(default_factory=list)


class Troubles:
    """Plays troubles on a running deployment; one series for each kind of machine, so that kinds overlap."""

    def __init__(self, system: LinkedSystem, replicas: list[Replica], rng: random.Random) -> None:
        self.system, self.replicas, self.rng = system, replicas, rng
        self.log = Log()
        self.reset_begun = asyncio.Event()
        self.model_service = BLUE
        self.body_limits: tuple[int, ...] = ()  # MaxBodyBytes of versions, drawn; without them that of the first
        self._revision = 1
        self._started_at: dict[str, float] = {}

    async def play(self, for_s: float) -> None:
        """Plays all series for so long, and leaves everything up."""
        end = self.system.record.now() + for_s
        await asyncio.gather(
            self._edges(end), self._core(end), self._crashes(end), self._crashes(end), self._configurations(end)
        )

    async def _pause(self, least_s: float, most_s: float) -> None:
        await asyncio.sleep(self.rng.uniform(least_s, most_s))

    # -- processes

    async def _edges(self, end: float) -> None:
        while self.system.record.now() < end:
            await self._pause(0.5, 3.0)
            name = f"edge-{self.rng.randint(1, self.system.edge_count)}"
            if self.rng.random() < 0.3:
                self.system.signal(name, signal.SIGHUP)
            if self.rng.random() < 0.15:
                await self.kill(name)
            else:
                await self.restart(name)

    async def _core(self, end: float) -> None:
        """One store or control node at a time: more may not be lost at once."""
        while self.system.record.now() < end:
            await self._pause(0.5, 2.0)
            name = self.rng.choice(["core-1", "core-2", "core-3", "store-1", "store-2", "store-3"])
            began_at = self.system.record.now()
            trouble = self.rng.choice([self.restart, self.kill, self.freeze, self.reset_connections])
            await trouble(name)
            self.log.core_troubles.append((began_at, self.system.record.now()))
            await asyncio.sleep(SYNC_S)

    async def restart(self, name: str) -> None:
        """SIGTERM, at times a second one, and a new start once the process is gone."""
        term_at = self.system.record.now()
        self.log.terms.setdefault(name, []).append(term_at)
        self.system.signal(name, signal.SIGTERM)
        process = self.system.nodes[name].process
        assert process is not None, "it runs"
        again_at = self.system.record.now() + self.rng.uniform(0.1, 4.0)
        deadline = self.system.record.now() + GRACE_S
        while process.poll() is None and self.system.record.now() < deadline:
            if self.system.record.now() > again_at:
                self.system.signal(name, signal.SIGTERM)
                again_at = float("inf")
            await asyncio.sleep(0.02)
        is_booting = process.poll() == -signal.SIGTERM and term_at - self._started_at.get(name, 0.0) < BOOT_S
        if process.poll() != 0 and not is_booting:
            self.log.late_ends.append(f"{name}: exit {process.poll()}")
            process.kill()
        process.wait()
        self._start(name)

    def _start(self, name: str) -> None:
        self._started_at[name] = self.system.record.now()
        self.system.start_node(name)

    async def kill(self, name: str) -> None:
        """SIGKILL, and a new start soon."""
        process = self.system.nodes[name].process
        assert process is not None, "it runs"
        self.log.kills.setdefault(name, []).append(self.system.record.now())
        self.system.signal(name, signal.SIGKILL)
        process.wait()
        await self._pause(0.1, 1.5)
        self._start(name)

    async def freeze(self, name: str) -> None:
        """Stops a process and lets it go on."""
        self.system.signal(name, signal.SIGSTOP)
        await self._pause(0.2, 2.5)
        self.system.signal(name, signal.SIGCONT)

    async def reset_connections(self, name: str) -> None:
        """Cuts a store off from the other stores for a moment, at times several; their connections are reset."""
        store = name if name in STORES else self.rng.choice(STORES)
        links = self.system.links_between_stores(store)
        for _ in range(self.rng.choice([1, 1, 4])):
            self.system.record.say(f"connections of {store} with the other stores are reset")
            for link in links:
                link.cut()
            self.reset_begun.set()  # for those that wait now
            self.reset_begun.clear()
            await self._pause(0.05, 0.6)
            for link in links:
                link.is_cut = False
            await self._pause(0.2, 1.5)

    # -- replicas and the configuration

    async def _crashes(self, end: float) -> None:
        while self.system.record.now() < end:
            await self._pause(0.5, 3.0)
            replica = self.rng.choice([replica for replica in self.replicas if replica.life])
            self.log.crashes[replica.life] = self.system.record.now()
            await replica.crash()
            await self._pause(0.3, 4.5)
            await replica.start()

    async def _configurations(self, end: float) -> None:
        has_roll = True
        while self.system.record.now() < end:
            await self._pause(1.0, 5.0)
            change = self.rng.choice(["move", "timeout", "drop"])
            if change == "move":
                self.model_service = GREEN if self.model_service == BLUE else BLUE
            has_roll = change != "drop" or not has_roll
            await self.configure(has_roll=has_roll, timeout_ms=self.rng.choice([15000, 20000, 25000]))
        await self.configure(has_roll=True)

    async def configure(self, has_roll: bool, timeout_ms: int = 20000) -> None:
        """Sends the next version until it is acknowledged."""
        limit = {"max_body_bytes": self.rng.choice(self.body_limits)} if self.body_limits else {}
        document = configuration(self._revision + 1, self.model_service, timeout_ms, has_roll, **limit)
        while status_of(await self.system.change_configuration(document, self._revision)) != 200:
            await asyncio.sleep(0.2)
        self._revision += 1
        self.system.record.say(f"configuration {self._revision}: {self.model_service}, has_roll={has_roll}")
