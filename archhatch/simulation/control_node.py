"""A whole control node on a simulated machine, and readers of the data plane that follow its feed."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from ..control.node import ControlNode
from ..control.registers import PLAN
from ..membership import ConfigWatcher
from ..runtime import StateBoard, Counters
from ..runtime.settings import check_settings
from ..rpc import Handlers
from .deployment import Deployment
from .history import HeldRevision
from .loop import Incarnation, VirtualClock
from .machine import Machine
from .operators import CALL_PORT, HTTP_PORT

SEEDS = 3
SAMPLE_S = 0.25


def simulated_settings(deployment: Deployment, host: str, seeds: list, bootstrap: bool):
    """The settings of a machine, as its settings file would have them."""
    shape = deployment.shape
    bounds = {
        "ContactMs": int(shape.contact_s * 1000),
        "SyncS": shape.sync_s,
        "AckTimeoutMs": int(deployment.history.acknowledge_s * 1000),
        "ConvergeMs": int(deployment.history.converge_s * 1000),
    }
    return check_settings(
        {
            "NodeName": f"node-{host}",
            "IpAddress": host,
            "Zone": "z",
            "Zones": {"z": "r"},
            "Bootstrap": bootstrap,
            "Bindings": {"ControlPlane": f"{host}:{HTTP_PORT}"},
            "InternalPorts": [CALL_PORT, CALL_PORT + 15],
            "SeedPeers": [f"{seed}:{HTTP_PORT}" for seed in seeds],
            "DataDir": "/data",
            "QuorumMember": True,
            "FaultTolerance": {"Machines": shape.tolerance},
            "Bounds": bounds,
        }
    )


class QuietLog:
    """Takes log lines and keeps none; faults that a node would have logged with their trace are counted."""

    def __init__(self, faults: list):
        self._faults = faults

    def opt(self, exception=None, **options) -> QuietLog:
        """A line that bears an exception."""
        if exception is not None:
            self._faults.append(exception)
        return self

    def debug(self, *args) -> None:
        """Nothing."""

    info = warning = error = debug


class _Entry:
    """Takes the place of the HTTP listener: the same handler, called over the simulated network."""

    is_draining = False

    def __init__(self, place, answer):
        self._answer = answer
        handlers = Handlers()
        handlers.on("http")(self._serve)
        self._server = place.server(handlers, None, None)

    async def open(self, address: str) -> None:
        """Answer callers at an address."""
        await self._server.open(address)

    async def _serve(self, doc: dict, body: bytes):
        request = SimpleNamespace(method=doc["method"], raw_path=doc["path"], headers=doc["headers"])
        result = await self._answer(request, body)
        return {"status": result.status, "headers": dict(result.head)}, result.body

    async def close(self, grace_s: float) -> None:
        """Stop answering."""
        await self._server.close()


class SimulatedControlNode:
    """One life of a control node."""

    def __init__(self, machine: Machine, incarnation: Incarnation, deployment: Deployment):
        place = machine.network.at(machine.host, incarnation)
        seeds = deployment.first_hosts[:SEEDS] if machine.bootstrap else deployment.sample_hosts(SEEDS)
        settings = simulated_settings(deployment, machine.host, seeds, machine.bootstrap)
        log = QuietLog(deployment.loop.faults)
        self.node = ControlNode(settings, log, VirtualClock(machine.loop), place, machine.disk)
        self.node.http_server = _Entry(place, self.node.admin_api.answer)

    async def start(self) -> None:
        """Start the node."""
        await self.node.start()


class Reader:
    """A node of the data plane: follows the feed, and notes which revision it holds."""

    def __init__(self, deployment: Deployment, name: str):
        self.deployment, self.name = deployment, name
        self._incarnation_count = 0
        self._incarnation: Incarnation | None = None
        self._rng = deployment.stream(name)

    def start(self) -> None:
        """Begin a new life, with nothing in memory."""
        loop = self.deployment.loop
        if self._incarnation is not None:
            loop.end(self._incarnation)
        self._incarnation_count += 1
        self._incarnation = Incarnation(f"{self.name}#{self._incarnation_count}")
        self.deployment.other_incarnations.append(self._incarnation)
        loop.spawn(self._incarnation, self._run(self._incarnation_count))

    async def _run(self, number: int) -> None:
        deployment, counters, state_board = self.deployment, Counters(), StateBoard()
        settings = simulated_settings(deployment, self.name, deployment.sample_hosts(SEEDS), False)
        pool = deployment.network.at(self.name, self._incarnation).pool(counters)
        card = {"id": f"{self.name}-{number}", "klass": "edge", "name": self.name, "ip": self.name, "zone": "z"}
        reader = ConfigWatcher(settings, card, pool, state_board, VirtualClock(deployment.loop), counters)
        task = asyncio.ensure_future(reader.run())
        while not task.done():
            plan = reader.shards.get(PLAN, {}).get("plan") or {"Revision": 0}
            deployment.history.held_revisions.append(
                HeldRevision(self.name, number, deployment.loop.time(), plan["Revision"])
            )
            await state_board.wait_for_change("parts", state_board.version("parts"), SAMPLE_S)

    async def run(self, end: float) -> None:
        """Live until a moment, at times anew."""
        loop = self.deployment.loop
        self.start()
        while loop.time() < end:
            await asyncio.sleep(self._rng.uniform(2.0, 20.0))
            if loop.time() < end:
                self.start()
