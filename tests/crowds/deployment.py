"""A small deployment of real processes for crowds of clients, with the memory of the smallest machines served."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import resource
from pathlib import Path

from tests.soak.deployment import BLUE, Message, Record, Replica, System, configuration

BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1024
MEMORY_MB = {"edge": 160, "storage": 270, "core": 256}  # MemoryMb by class of machine
MAX_FDS = 2048
RESERVED_FDS = 200  # of MaxFds: files outside of the data folder
MAX_LOG_BYTES = 1_000_000
SAMPLE_S = 0.05  # between two looks at the open descriptors
LARGE_ANSWER_BYTES = 8_000_000
STREAM_EVENT_BYTES = 50_000
LARGE_ANSWER_MARK = "/large/"  # in the target of a request whose answer is large
SETTLE_S = 2.0  # until all nodes know all replicas


class LargeAnswerReplica(Replica):
    """A replica whose answers to some targets are large."""

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request: Message,
        extra: dict[str, str],
        body: bytes = b"",
    ) -> None:
        if LARGE_ANSWER_MARK in request.first_line and status == 200:
            body = bytes(LARGE_ANSWER_BYTES)
        await super()._write(writer, status, request, extra, body)


class EndlessStreamReplica(Replica):
    """A replica whose streams go on for as long as they are read."""

    async def _run(self, target: str, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers["x-archhatch-request-id"]
        head = [
            "HTTP/1.1 200 OK",
            f"X-Archhatch-Request-Id: {request_id}",
            f"X-Archhatch-Reply-Seal: seal.{request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in itertools.count(1):
            event = f"id: {number}\ndata: {'x' * STREAM_EVENT_BYTES}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()


class SmallSystem(System):
    """Three control nodes, three stores and an edge, each within the memory of a small machine."""

    max_fds = MAX_FDS

    def settings_of(self, name: str, settings: dict) -> dict:
        limits = {**settings["Limits"], "MemoryMb": MEMORY_MB[settings["MachineClass"]], "MaxFds": self.max_fds}
        return {**settings, "Limits": limits}

    def start_node(self, name: str) -> None:
        super().start_node(name)
        process = self.nodes[name].process
        assert process is not None, "it has been started"
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))

    def memory_bound(self, name: str) -> int:
        """Returns how many bytes a machine's process may use."""
        machine_class = {"edge": "edge", "store": "storage", "core": "core"}[name.split("-")[0]]
        return MEMORY_MB[machine_class] * BYTES_PER_MB

    def log_bytes(self, name: str) -> int:
        """Returns the length of a process's log."""
        return (self.folder / f"{name}.log").stat().st_size


def peak_memory(pid: int) -> int:
    """Returns the highest resident memory that a process had, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * BYTES_PER_KB
    raise AssertionError(f"process {pid} has ended")


def open_descriptors(pid: int) -> int:
    """Returns how many descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


class Watch:
    """What the processes of a system used while it was watched.

    Attributes:
        most_fds: The most descriptors that a machine's process had open, by machine.
    """

    def __init__(self, system: SmallSystem) -> None:
        self.system = system
        self.most_fds: dict[str, int] = {}
        self._task: asyncio.Task | None = None

    def begin(self) -> None:
        """Begins to watch."""
        self._task = asyncio.ensure_future(self._sample())

    def end(self) -> None:
        """Ends it."""
        if self._task is not None:
            self._task.cancel()

    async def _sample(self) -> None:
        while True:
            for name, node in self.system.nodes.items():
                with contextlib.suppress(OSError):
                    open_fds = open_descriptors(node.process.pid)
                    self.most_fds[name] = max(self.most_fds.get(name, 0), open_fds)
            await asyncio.sleep(SAMPLE_S)

    def broken_bounds(self) -> list[str]:
        """Returns the bounds that a process did not keep: it ended, or used more memory or descriptors than it has."""
        broken = []
        for name, node in self.system.nodes.items():
            if node.process.poll() is not None:
                broken.append(f"{name} ended with {node.process.poll()}")
                continue
            peak, bound = peak_memory(node.process.pid), self.system.memory_bound(name)
            if peak > bound:
                broken.append(f"{name} used {peak / BYTES_PER_MB:.0f} MB of {bound / BYTES_PER_MB:.0f}")
            if self.most_fds.get(name, 0) > self.system.max_fds - RESERVED_FDS:
                broken.append(f"{name} had {self.most_fds[name]} descriptors open of {self.system.max_fds}")
            if self.system.log_bytes(name) > MAX_LOG_BYTES:
                broken.append(f"{name} wrote a log of {self.system.log_bytes(name)} bytes")
        return broken


def crowd_configuration() -> dict:
    """Returns the soak's first version with a route of streams beside its own."""
    document = configuration(1, BLUE)
    quote = next(route for route in document["RouteTable"] if route["Name"] == "quote")
    service = next(service for service in document["ServiceTable"] if service["Name"] == "quote-app")
    stream = {
        "Name": "talk",
        "PathPrefix": "/talk/",
        "RouteClass": "streaming",
        "TimeoutMs": 60_000,
        "Service": "talk-app",
    }
    document["RouteTable"].append({**quote, **stream})
    document["ServiceTable"].append({**service, "Name": "talk-app"})
    return document


def replicas_of(system: System) -> list[Replica]:
    """Returns the replicas of the services that crowds use, not started."""
    replicas: list[Replica] = [LargeAnswerReplica(system, "quote-app", number, slots=16) for number in (1, 2)]
    replicas.append(Replica(system, "score-app", 3, slots=8))
    replicas.append(Replica(system, BLUE, 4, model="m", events=2))
    replicas.append(Replica(system, "order-app", 5, slots=16))
    replicas.append(EndlessStreamReplica(system, "talk-app", 6, slots=200))
    return replicas


@contextlib.asynccontextmanager
async def small_system(max_fds: int = MAX_FDS, edge_count: int = 1):
    """Starts a system and its replicas, and ends them; gives the system and a watch on it."""
    system = SmallSystem(Record(Path(os.devnull)), edge_count=edge_count)
    system.max_fds = max_fds
    replicas = replicas_of(system)
    watch = Watch(system)
    try:
        await system.start(crowd_configuration())
        for replica in replicas:
            await replica.start()
        await asyncio.sleep(SETTLE_S)
        watch.begin()
        yield system, watch
    finally:
        watch.end()
        for replica in replicas:
            await replica.stop()
        system.end()
