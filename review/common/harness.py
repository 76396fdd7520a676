"""What the review's scripts share: a small deployment of the project's own programs, and stand-ins for what is outside.

The programs run as processes of their own, with the commands of deploy/system.toml, on loopback addresses. The
stand-ins are written by PROTOCOL-archhatch.md with the standard library alone, and run in the script's process.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit codes of a script
SCRIPT_LIMIT_S = 110.0
HOST = "ficu95.example"
HEARTBEAT_S = 1.2  # KeepaliveMs
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
BOUNDS = {
    "SeedLagS": 3,
    "ReuseHoldS": 2,
    "ContactMs": 3000,
    "AckTimeoutMs": 4000,
    "SyncS": 4.7,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConvergeMs": 2000,
    "RollbackSlackMs": 250,
    "StretchMaxMs": 5000,
    "RecoveryS": 12,
    "PassMs": 120,
    "FinishS": 10,
    "StatusS": 120,
    "CancelMs": 3000,
    "SettleMs": 1000,
    "QuotaOvershoot": 0.1,
    "Fencing": False,
    "LeaseMs": 3000,
    "ThawMs": 300,
}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch"]


class CouldNotRunError(Exception):
    """The case could not be played: the deployment did not come up, or ran into something outside of the case."""


class Record:
    """The lines of record.txt: what was sent, answered and run, with the seconds since the script began."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.began_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Returns the seconds since the script began."""
        return time.monotonic() - self.began_at

    def add(self, text: str) -> None:
        """Adds a line."""
        self.lines.append(f"{self.now():8.3f}  {text}")

    def say(self, text: str) -> None:
        """Adds a line and prints it."""
        self.add(text)
        print(self.lines[-1], flush=True)

    def write(self) -> None:
        """Writes the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


# -- HTTP by hand: a reader of requests and answers


@dataclass
class Message:
    """A request or an answer as it was read.

    Attributes:
        first_line: The request line or the status line.
        headers: The headers, names in lower case.
        body: The whole body.
        is_complete: Whether it ended as its head says.
    """

    first_line: str
    headers: dict[str, str]
    body: bytes = b""
    is_complete: bool = True

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first_line.split(" ")[1])

    def json(self) -> dict:
        """Returns the body as JSON."""
        return json.loads(self.body)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; None if the connection ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines[1:] if line]
    return Message(lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a request or an answer with its body; None if the connection ended before its head was whole."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if "chunked" in message.headers.get("transfer-encoding", "").lower():
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        else:
            message.body = await reader.readexactly(int(message.headers.get("content-length") or 0))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        message.is_complete = False
    return message


def encode(first_line: str, headers: dict[str, str], body: bytes | None = b"") -> bytes:
    """Returns a request or an answer as bytes; without a body its length is not stated."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


class ClientConnection:
    """A client's connection, which it may keep for many requests."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connects; a new connection is allowed one second."""
        host, port = self.address.rsplit(":", 1)
        self._reader, self._writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)

    async def call(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b"", timeout_s: float = 5.0
    ) -> Message | None:
        """Sends a request; returns the answer, or None if the connection ended without one."""
        assert self._reader is not None and self._writer is not None, "open() comes first"
        self._writer.write(encode(f"{method} {target} HTTP/1.1", {"Host": self.address, **headers}, body))
        try:
            await self._writer.drain()
            return await asyncio.wait_for(read_message(self._reader), timeout_s)
        except OSError:
            return None

    def close(self) -> None:
        """Closes it."""
        if self._writer is not None:
            self._writer.close()


async def call_once(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message | None:
    """Makes one call on a connection of its own; None without an answer."""
    connection = ClientConnection(address)
    try:
        await connection.open()
        return await connection.call(method, target, headers or {}, body, timeout_s)
    except (OSError, TimeoutError):
        return None
    finally:
        connection.close()


def status_of(answer: Message | None) -> int:
    """Returns the status of an answer; 0 for none."""
    return 0 if answer is None else answer.status


# -- the system


def _loopback_net() -> str:
    """Returns the first two numbers of loopback addresses on which nothing listens at the ports that are used."""
    return f"127.{random.randrange(40, 240)}"


def _free_port(ip: str, count: int = 1) -> int:
    """Returns a port from which on so many are free at an address."""
    for _ in range(200):
        port = random.randrange(20000, 30000)
        with contextlib.ExitStack() as stack:
            try:
                for offset in range(count):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((ip, port + offset))
            except OSError:
                continue
        return port
    raise CouldNotRunError("no free port")


@dataclass
class Node:
    """A process of the system.

    Attributes:
        name: The machine's name.
        program: The role in the deploy file.
        settings_path: Its settings file.
        process: The running process; None when it is not running.
    """

    name: str
    program: str
    settings_path: Path
    process: subprocess.Popen | None = None


@dataclass
class System:
    """Three control nodes, three stores and some edges, each a process of its own.

    Attributes:
        record: Where what happens is written.
        edge_count: How many edges there are.
        nodes: The processes by the name of their machine.
    """

    record: Record
    edge_count: int = 1
    nodes: dict[str, Node] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = _loopback_net()
        self.control_port, self.front_port, self.readiness_port = (_free_port(f"{self.net}.0.1") for _ in range(3))
        self.internal_port = _free_port(f"{self.net}.0.1", self.ports_needed())
        self.control_addresses = [f"{self.net}.0.{i}:{self.control_port}" for i in (1, 2, 3)]
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self.roles = tomllib.load(file)["roles"]

    def ports_needed(self) -> int:
        """Returns how many internal ports are used from the first on."""
        return 16

    def settings_of(self, name: str, settings: dict) -> dict:  # noqa: ARG002 - a case may change those of a machine
        """Returns the settings of a machine, as its file gets them."""
        return settings

    def front(self, edge: int = 1) -> str:
        """Returns where an edge takes clients' requests."""
        return f"{self.net}.2.{edge}:{self.front_port}"

    def readiness(self, edge: int = 1) -> str:
        """Returns where the platform asks an edge for its readiness."""
        return f"{self.net}.2.{edge}:{self.readiness_port}"

    def add_edge(self, number: int) -> None:
        """Adds an edge machine."""
        bindings = {"FrontHttp": self.front(number), "Readiness": self.readiness(number)}
        self._add(f"edge-{number}", "data-plane", "edge", f"{self.net}.2.{number}", bindings)

    def _settings(self, name: str, machine_class: str, ip: str, bindings: dict[str, str], has_disk: bool) -> dict:
        serves = {"edge": "edge", "core": "control", "storage": "storage"}[machine_class]
        data_dir = self.folder / name
        if has_disk:
            data_dir.mkdir()
        return {
            "NodeName": name,
            "Role": f"my-{machine_class}",
            "MachineClass": machine_class,
            "Serves": [serves],
            "IpAddress": ip,
            "Zone": "z1",
            "Region": "r1",
            "Zones": {"z1": "r1"},
            "Bindings": bindings,
            "InternalPorts": [self.internal_port, self.internal_port + 15],
            "SeedPeers": self.control_addresses,
            "Bootstrap": True,
            "QuorumMember": has_disk,
            "Limits": {
                "CpuShare": 1.0,
                "CoreCount": 2,
                "MemoryMb": 300,
                "MaxFds": 4096,
                "LinkMbps": 1000.0,
                "DiskMb": 128 if has_disk else 0,
            },
            "DataDir": str(data_dir) if has_disk else None,
            "Discovery": "registration",
            "EntryMode": "vip",
            "KeepaliveMs": 1200,
            "Contracts": CONTRACTS,
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
        }

    def _add(self, name: str, program: str, machine_class: str, ip: str, bindings: dict[str, str]) -> None:
        path = self.folder / f"{name}.json"
        settings = self._settings(name, machine_class, ip, bindings, machine_class != "edge")
        path.write_text(json.dumps(self.settings_of(name, settings)))
        self.nodes[name] = Node(name, program, path)
        self.start_node(name)

    def start_node(self, name: str) -> None:
        """Starts a machine's process with the command of the deploy file."""
        node = self.nodes[name]
        words = self.roles[node.program]["run"].split()
        command = [sys.executable if words[0] == "python3" else words[0], *words[1:]]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ARCHHATCH_CONFIG": str(node.settings_path),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            node.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record.add(f"start {name}: pid {node.process.pid}")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a machine's process."""
        process = self.nodes[name].process
        assert process is not None, "it runs"
        process.send_signal(number)
        self.record.say(f"{number.name} to {name}")

    async def start(self, configuration: dict) -> None:
        """Starts all processes, has the first configuration taken, and waits until the edges are ready."""
        for i in (1, 2, 3):
            binding = {"ControlPlane": f"{self.net}.0.{i}:{self.control_port}"}
            self._add(f"core-{i}", "control-plane", "core", f"{self.net}.0.{i}", binding)
        for i in (1, 2, 3):
            self._add(f"store-{i}", "store", "storage", f"{self.net}.1.{i}", {})
        for i in range(1, self.edge_count + 1):
            self.add_edge(i)
        await self._until("the first configuration", lambda: self.change_configuration(configuration, 0))
        for i in range(1, self.edge_count + 1):
            await self._until(f"edge-{i} ready", partial(call_once, self.readiness(i), "GET", "/api/readiness"))

    async def _until(self, what: str, attempt: Callable, wait_s: float = 25.0) -> None:
        end = time.monotonic() + wait_s
        while status_of(await attempt()) != 200:
            if time.monotonic() > end:
                raise CouldNotRunError(what)
            await asyncio.sleep(0.3)
        self.record.say(what)

    async def change_configuration(self, configuration: dict, builds_on: int) -> Message | None:
        """Sends a configuration as the operator does, to one node after the other until one gives a clear answer."""
        headers = {"If-Match": str(builds_on), "Content-Type": "application/json"}
        return await self.call_control("PUT", "/api/config", headers, json.dumps(configuration).encode())

    async def call_control(self, method: str, path: str, headers: dict[str, str], body: bytes) -> Message | None:
        """Calls control nodes in turn until one answers with neither a 5xx, a 408 nor a 429."""
        answer = None
        for address in self.control_addresses:
            answer = await call_once(address, method, path, headers, body, 1.0)
            if answer is not None and answer.status < 500 and answer.status not in (408, 429):
                break
        return answer

    def end(self) -> None:
        """Ends all processes that this system started, and removes its folder."""
        for node in self.nodes.values():
            if node.process is not None:
                node.process.kill()
        for node in self.nodes.values():
            if node.process is not None:
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# -- replicas


@dataclass
class Run:
    """One request that a replica ran.

    Attributes:
        request_id: Its id.
        life: The instance id of the replica's life.
        began_at: When it began to run, by the record's clock.
        ended_at: When its last byte was written; None if it never was.
    """

    request_id: str
    life: str
    began_at: float
    ended_at: float | None = None


class Replica:
    """A replica of a service, at one address; each start is a new life with an id of its own.

    It works on a request for as long as `work_s` says, answers with the request's id and a seal, refuses what names
    another life with a 421 that says it was not run, turns requests away with 503 and X-Archhatch-Not-Executed when its
    slots and queue are full, and drops a request when its connection closes.
    """

    def __init__(
        self,
        system: System,
        service: str,
        number: int,
        slots: int = 4,
        model: str | None = None,
        work_s: Callable[[str], float] = lambda target: 0.02,  # noqa: ARG005 - the same for all
        events: int = 8,
    ) -> None:
        self.system, self.record, self.service = system, system.record, service
        self.ip = f"{system.net}.3.{number}"
        self.port = _free_port(self.ip)
        self.number, self.slots, self.model, self.work_s, self.events = number, slots, model, work_s, events
        self.life = ""
        self.runs: list[Run] = []
        self.active = 0
        self.sequence = 0
        self.order_count = 0
        self.heard_at = float("-inf")  # when a heartbeat was acknowledged last
        self._lives = 0
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None
        self._free = asyncio.Condition()

    @property
    def address(self) -> str:
        """Where it serves."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Begins a new life."""
        self._lives += 1
        self.life, self.sequence, self.active, self.order_count = (
            f"i-{self.service}-{self.number}-{self._lives}",
            0,
            0,
            0,
        )
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self._beats = asyncio.ensure_future(self._beat_for_good(self.life))
        self.record.add(f"replica {self.life} starts at {self.address}")

    async def crash(self) -> None:
        """Ends this life without a word: its connections are reset, and its port is dead."""
        assert self._server is not None and self._beats is not None, "it has started"
        self.record.say(f"replica {self.life} crashes")
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._connections):
            task.cancel()
        await asyncio.sleep(0)
        self.life = ""

    async def stop(self) -> None:
        """Ends it at the end of the script."""
        if self.life:
            self._beats.cancel()  # type: ignore[union-attr] # it has started
            self._server.close()  # type: ignore[union-attr]
            for writer in list(self._writers):
                writer.transport.abort()

    # -- heartbeats

    async def _beat_for_good(self, life: str) -> None:
        targets = list(self.system.control_addresses)
        while True:
            self.sequence += 1
            document = {
                "Service": self.service,
                "Address": self.address,
                "Zone": "z1",
                "Revision": "v1",
                "SlotCount": self.slots,
                "OperState": "up",
                "WarmupLeftMs": 0,
                "Phase": "dual",
                "ModelList": self._models(),
                "Sequence": self.sequence,
            }
            for _ in range(len(targets)):
                body, headers = json.dumps(document).encode(), {"Content-Type": "application/json"}
                answer = await call_once(targets[0], "PUT", f"/api/instances/{life}", headers, body, 1.0)
                if 200 <= status_of(answer) < 300:
                    self.heard_at = self.record.now()
                    break
                targets.append(targets.pop(0))
            await asyncio.sleep(HEARTBEAT_S)

    def _models(self) -> list[dict]:
        return [] if self.model is None else [{"Name": self.model, "Revision": 1, "AdapterList": []}]

    # -- requests

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None and request.is_complete:
                answering = asyncio.ensure_future(self._answer(request, writer))
                answering.add_done_callback(_note_end)
                closing = (
                    asyncio.ensure_future(reader.read(1)) if request.headers.get("x-archhatch-request-id") else None
                )
                if closing is not None:
                    await asyncio.wait({answering, closing}, return_when=asyncio.FIRST_COMPLETED)
                    if not answering.done():  # the caller closed its connection: the request is dropped
                        answering.cancel()
                        self.record.add(f"{self.life} drops {request.headers['x-archhatch-request-id']}")
                        return
                    if closing.done():
                        return
                    closing.cancel()
                    with contextlib.suppress(asyncio.CancelledError):
                        await closing
                await answering
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        method, target, _ = request.first_line.split(" ", 2)
        if request.headers.get("x-archhatch-expect-instance", self.life) != self.life:
            await self._write(writer, 421, request, {"X-Archhatch-Not-Executed": "1"})
            self.record.add(
                f"{self.life} turns {target} away: it names {request.headers['x-archhatch-expect-instance']}"
            )
        elif target == "/api/report":
            await self._report(writer)
        elif target == "/api/order":
            await self._order(request, writer)
        elif method == "GET" and target == "/health":
            await self._write(writer, 200, request, {})
        elif self.active >= self.slots:
            await self._write(writer, 503, request, {"X-Archhatch-Not-Executed": "1"})
        else:
            await self._run(target, request, writer)

    async def _run(self, target: str, request: Message, writer: asyncio.StreamWriter) -> None:
        run = Run(request.headers.get("x-archhatch-request-id", ""), self.life, self.record.now())
        self.runs.append(run)
        self.active += 1
        self.record.add(f"{self.life} begins {run.request_id} ({target})")
        life = self.life
        try:
            if self.model is not None:
                await self._stream(target, request, writer)
            else:
                await asyncio.sleep(self.work_s(target))
                seal = {"X-Archhatch-Reply-Seal": f"seal.{run.request_id}"}
                await self._write(writer, 200, request, seal, f"answer to {run.request_id}".encode())
            run.ended_at = self.record.now()
            self.record.add(f"{life} has answered {run.request_id}")
        finally:
            if self.life == life:
                self.active -= 1

    async def _stream(self, target: str, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers["x-archhatch-request-id"]
        first = int(request.headers.get("last-event-id") or 0) + 1
        headers = {
            "X-Archhatch-Request-Id": request_id,
            "X-Archhatch-Reply-Seal": f"seal.{request_id}",
            "X-Archhatch-Weight-Versions": "1",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode("HTTP/1.1 200 OK", headers, None))
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.work_s(target))
            event = f"id: {number}\ndata: {request_id}/{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _write(
        self, writer: asyncio.StreamWriter, status: int, request: Message, extra: dict[str, str], body: bytes = b""
    ) -> None:
        headers = {"X-Archhatch-Instance-Id": self.life, **extra}
        if "x-archhatch-request-id" in request.headers:
            headers["X-Archhatch-Request-Id"] = request.headers["x-archhatch-request-id"]
        writer.write(encode(f"HTTP/1.1 {status} X", headers, body))
        await writer.drain()

    async def _report(self, writer: asyncio.StreamWriter) -> None:
        report = {
            "Phase": "dual",
            "ModelList": self._models(),
            "Utilization": False,
            "Sequence": self.order_count,
            "QueuedCount": 0,
            "ActiveCount": self.active,
            "KvInUse": 0,
            "KvPool": 0,
            "HandledModels": 0,
        }
        headers = {"Content-Type": "application/json"}
        writer.write(encode("HTTP/1.1 200 OK", headers, json.dumps(report).encode()))
        await writer.drain()

    async def _order(self, request: Message, writer: asyncio.StreamWriter) -> None:
        document = request.json()
        is_held = document.get("Opcode") == "Revision" and document.get("Revision") == 1
        self.record.add(f"{self.life} gets the order {document}")
        writer.write(encode(f"HTTP/1.1 {200 if is_held else 400} X", {}, b""))
        await writer.drain()


def _note_end(task: asyncio.Task) -> None:
    """Takes note of how an answer ended: one to a connection that is gone fails, and nobody needs to know."""
    if not task.cancelled():
        task.exception()


# -- the frame of a script


def has_trouble() -> bool:
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder: str, play: Callable[[Record], object], limit_s: float = SCRIPT_LIMIT_S) -> None:
    """Plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    Args:
        folder: The case's folder.
        play: A coroutine function of the record; returns whether the rule was broken.
        limit_s: After so long the case is given up as one that could not run.
    """
    record = Record(Path(folder) / "record.txt")
    code = COULD_NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # the case ends its processes on its way out
    try:
        is_broken = asyncio.run(asyncio.wait_for(play(record), limit_s))  # type: ignore[arg-type] # a coroutine
        code = BROKEN if is_broken else HELD
    except CouldNotRunError as error:
        record.say(f"could not run: {error}")
    except TimeoutError:
        record.say("could not run: out of time")
    record.say(f"exit {code}: " + ("the rule held", "the rule was broken", "the case could not run")[code])
    record.write()
    sys.exit(code)
