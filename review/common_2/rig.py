"""A small deployment of the project's own programs on loopback, with stand-ins for all that stands around it.

Replicas, the operator, trainers and clients are written by the users' protocol page. Standard library only. Every
process that is started here is ended by its own handle, also when a case fails.
"""

from __future__ import annotations

import asyncio
import base64
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
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
CONTROL_PORT, FRONT_PORT, READINESS_PORT, REPLICA_PORT = 8144, 8149, 8141, 9100
INTERNAL_PORTS = [7380, 7395]
BOUNDS: dict[str, Any] = {
    "SeedLagS": 3,
    "ReuseHoldS": 2,
    "ContactMs": 3000,
    "AckTimeoutMs": 4000,
    "SyncS": 4.4,
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
KEEPALIVE_S = 1.2

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run: what it needs did not come about."""


class Record:
    """What was sent, answered and run, in a file beside the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def add(self, *parts: object) -> None:
        """Writes one line with the time since the start."""
        line = f"{time.monotonic() - self._began:8.3f} " + " ".join(str(part) for part in parts)
        print(line, file=self._file, flush=True)


class Answer:
    """A client's answer; status 0 where none came whole."""

    def __init__(
        self, status: int = 0, headers: dict[str, str] | None = None, body: bytes = b"", why: str = ""
    ) -> None:
        self.status, self.headers, self.body, self.why = status, headers or {}, body, why

    def document(self) -> Any:  # noqa: ANN401 - any JSON
        """Returns the body as JSON."""
        return json.loads(self.body)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads a first line and headers; header names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Reads a body with a length or in chunks; raises IncompleteReadError where it ends early."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"x", 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(  # noqa: PLR0913 - the parts of a request
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 2.0,
) -> Answer:
    """Makes one call on a connection of its own."""
    host, port = address.rsplit(":", 1)
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            given = {"Host": address, "Content-Length": str(len(body)), "Connection": "close", **(headers or {})}
            head = "".join(f"{name}: {value}\r\n" for name, value in given.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            await writer.drain()
            line, answer_headers = await read_head(reader)
            answer_body = await read_body(reader, answer_headers)
            return Answer(int(line.split(" ")[1]), answer_headers, answer_body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError) as error:
        return Answer(why=repr(error))
    finally:
        if writer is not None:
            writer.close()


def json_bytes(document: object) -> bytes:
    """Returns a document as JSON."""
    return json.dumps(document).encode()


def new_id() -> str:
    """Returns an id as the pages show them."""
    return f"{random.getrandbits(64):016x}"


class Replica:
    """One life of a sound replica: plain answers or, where it has models, streams of events.

    Attributes:
        instance_id: Its id.
        runs: The requests that it began to run, as (time, id, method, path, body, first event).
        orders: The orders that it took, as (time, owner, fence, document).
        events: How many events a generation has.
        gap_s: The time between two events.
    """

    def __init__(  # noqa: PLR0913 - its traits
        self,
        rig: Rig,
        service: str,
        ip: str,
        *,
        slots: int = 6,
        models: dict[str, int] | None = None,
        events: int = 20,
        gap_s: float = 0.1,
        work_s: float = 0.02,
    ) -> None:
        self.rig, self.service, self.ip, self.slots = rig, service, ip, slots
        self.models = dict(models or {})
        self.events, self.gap_s, self.work_s = events, gap_s, work_s
        self.instance_id = f"i-{new_id()[:8]}"
        self.address = f"{ip}:{REPLICA_PORT}"
        self.runs: list[tuple[float, str, str, str, bytes, int]] = []
        self.orders: list[tuple[float, str, int, dict]] = []
        self.state = "up"
        self.active = 0
        self._sequence = 0
        self._order_count = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens, and sends beats from now on."""
        self._server = await asyncio.start_server(self._serve, self.ip, REPLICA_PORT)
        self._beats = asyncio.ensure_future(self._beat_for_ever())

    async def crash(self) -> None:
        """Ends without a word: its connections are reset."""
        self.rig.record.add("replica", self.instance_id, "crashes")
        await self.close()

    async def close(self) -> None:
        """Ends."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def _beat_for_ever(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(KEEPALIVE_S)

    async def beat(self) -> bool:
        """Sends one beat; the next node is called where no 2xx comes within a second."""
        self._sequence += 1
        document = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "z1",
            "Revision": "v1",
            "SlotCount": self.slots,
            "OperState": self.state,
            "WarmupLeftMs": 0,
            "Sequence": self._sequence,
        }
        if self.models:
            document["Phase"] = "dual"
            document["ModelList"] = self._model_list()
        nodes = self.rig.control_addresses()
        random.shuffle(nodes)
        for node in nodes:
            path = f"/api/instances/{self.instance_id}"
            answer = await call(node, "PUT", path, {"Content-Type": "application/json"}, json_bytes(document), 1.0)
            if 200 <= answer.status < 300:
                return True
        return False

    def _model_list(self) -> list[dict]:
        return [{"Name": name, "Revision": rev, "AdapterList": []} for name, rev in self.models.items()]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = line.split(" ", 2)
                await self._answer(method, path, headers, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    def _head(self, status: int, request_id: str, extra: dict[str, str]) -> bytes:
        headers = {"X-Archhatch-Instance-Id": self.instance_id, **extra}
        if request_id:
            headers["X-Archhatch-Request-Id"] = request_id
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode()

    def _whole(self, status: int, request_id: str, body: bytes = b"", **extra: str) -> bytes:
        headers = {name.replace("_", "-"): value for name, value in extra.items()}
        return self._head(status, request_id, {**headers, "Content-Length": str(len(body))}) + body

    async def _answer(
        self, method: str, path: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request_id = headers.get("x-archhatch-request-id", "")
        if headers.get("x-archhatch-expect-instance", self.instance_id) != self.instance_id:
            writer.write(self._whole(421, request_id, X_Archhatch_Not_Executed="1"))
        elif method == "GET" and path == "/health":
            writer.write(self._whole(200 if self.state == "up" else 503, request_id))
        elif method == "GET" and path == "/api/report":
            report = {
                "Phase": "dual",
                "ModelList": self._model_list(),
                "Utilization": False,
                "Sequence": self._order_count,
                "QueuedCount": 0,
                "ActiveCount": self.active,
                "KvInUse": 0,
                "KvPool": 100000,
                "HandledModels": 0,
            }
            writer.write(self._whole(200, "", json_bytes(report)))
        elif method == "POST" and path == "/api/order":
            writer.write(self._take_order(json.loads(body)))
        elif not request_id:
            writer.write(self._whole(400, "", X_Archhatch_Not_Executed="1"))
        elif self.active >= self.slots:
            writer.write(self._whole(503, request_id, X_Archhatch_Not_Executed="1"))
        else:
            self.active += 1
            try:
                await self._run(method, path, headers, body, writer)
            finally:
                self.active -= 1

    def _take_order(self, document: dict) -> bytes:
        if "Owner" not in document or "FenceToken" not in document:
            return self._whole(400, "")
        if document.get("ExpectedCount", self._order_count) != self._order_count:
            return self._whole(409, "")
        self.orders.append((time.monotonic(), document["Owner"], document["FenceToken"], document))
        self.rig.record.add("order", self.instance_id, document)
        if self.models.get(document["Model"]) == document["Revision"]:
            return self._whole(200, "")
        self._order_count += 1
        self.models[document["Model"]] = document["Revision"]
        return self._whole(202, "")

    async def _run(
        self, method: str, path: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request_id = headers["x-archhatch-request-id"]
        model = headers.get("x-archhatch-model", "")
        if model and model in self.models:
            expected = headers.get("x-archhatch-expect-revision", "")
            if expected and int(expected) != self.models[model]:
                writer.write(self._whole(421, request_id, X_Archhatch_Not_Executed="1"))
                return
            await self._stream(method, path, headers, body, writer)
            return
        self._note_run(request_id, method, path, body, 1)
        await asyncio.sleep(self.work_s)
        seal = f"seal.{request_id}"
        writer.write(self._whole(200, request_id, b"ran " + request_id.encode(), X_Archhatch_Reply_Seal=seal))

    def _note_run(self, request_id: str, method: str, path: str, body: bytes, first: int) -> None:
        self.runs.append((time.monotonic(), request_id, method, path, body, first))
        self.rig.record.add("run", self.instance_id, request_id, method, path, f"from={first}")

    async def _stream(
        self, method: str, path: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request_id, model = headers["x-archhatch-request-id"], headers["x-archhatch-model"]
        first = int(headers.get("last-event-id", "0")) + 1
        self._note_run(request_id, method, path, body, first)
        extra = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "X-Archhatch-Reply-Seal": f"seal.{request_id}.{first}",
            "X-Archhatch-Weight-Versions": str(self.models[model]),
        }
        writer.write(self._head(200, request_id, extra))
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: {event_text(request_id, number)}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def event_text(request_id: str, number: int) -> str:
    """Returns the data of one event of a request: it names the request."""
    return f"{request_id}#{number}"


class Program:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, rig: Rig, role: str, name: str, ip: str) -> None:
        self.rig, self.role, self.name, self.ip = rig, role, name, ip
        self.process: subprocess.Popen | None = None
        self.log_path = rig.folder / f"{name}.log"
        self.settings_path = rig.folder / f"{name}.json"
        self.data_dir = rig.folder / name if role != "data-plane" else None
        if self.data_dir is not None:
            self.data_dir.mkdir()

    def _settings(self, bootstrap: bool) -> dict:
        machine_class = {"control-plane": "core", "store": "storage", "data-plane": "edge"}[self.role]
        serves = {"control-plane": "control", "store": "storage", "data-plane": "edge"}[self.role]
        bindings = {
            "control-plane": {"ControlPlane": f"{self.ip}:{CONTROL_PORT}"},
            "store": {},
            "data-plane": {"FrontHttp": f"{self.ip}:{FRONT_PORT}", "Readiness": f"{self.ip}:{READINESS_PORT}"},
        }[self.role]
        return {
            "NodeName": self.name,
            "Role": self.role,
            "MachineClass": machine_class,
            "Serves": [serves],
            "IpAddress": self.ip,
            "Zone": "z1",
            "Region": "r1",
            "Zones": {"z1": "r1"},
            "Bindings": bindings,
            "InternalPorts": INTERNAL_PORTS,
            "SeedPeers": self.rig.control_addresses()[:3],
            "Bootstrap": bootstrap,
            "QuorumMember": machine_class != "edge",
            "Limits": {
                "CpuShare": 1.0,
                "CoreCount": 2,
                "MemoryMb": 320 if self.role == "store" else 300,
                "MaxFds": 4096,
                "LinkMbps": 1000.0,
                "DiskMb": 400 if self.data_dir else 0,
            },
            "DataDir": str(self.data_dir) if self.data_dir else None,
            "Discovery": "registration",
            "EntryMode": "vip",
            "KeepaliveMs": KEEPALIVE_S * 1000,
            "Contracts": CONTRACTS,
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
        }

    def start(self, bootstrap: bool = False) -> None:
        """Starts it."""
        self.settings_path.write_text(json.dumps(self._settings(bootstrap)), encoding="utf-8")
        command = self.rig.commands[self.role]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["ARCHHATCH_CONFIG"] = str(self.settings_path)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log_path.open("a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT, start_new_session=True
            )
        self.rig.record.add("start", self.name)

    def signal(self, number: signal.Signals) -> None:
        """Sends it a signal."""
        assert self.process is not None
        self.rig.record.add("signal", self.name, number.name)
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def wait_end(self, timeout_s: float) -> int | None:
        """Waits for its end; returns the exit status, or None if it did not end in time."""
        assert self.process is not None
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            status = self.process.poll()
            if status is not None:
                return status
            await asyncio.sleep(0.02)
        return None

    async def restart(self) -> None:
        """Stops it as the platform does, SIGTERM and after GraceS SIGKILL, and starts it again."""
        self.signal(signal.SIGTERM)
        status = await self.wait_end(BOUNDS["GraceS"])
        if status is None:
            self.signal(signal.SIGKILL)
            status = await self.wait_end(2.0)
        self.rig.record.add("ended", self.name, status)
        self.start()

    def kill_now(self) -> None:
        """Ends it for the end of the case."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait(5)

    def last_line(self, text: str) -> str:
        """Returns the last line of its log that holds a text; empty if none does."""
        lines = self.log_path.read_text(encoding="utf-8").splitlines() if self.log_path.exists() else []
        return next((line for line in reversed(lines) if text in line), "")


class Rig:
    """The deployment: control nodes, stores, edges, replicas, and an operator."""

    def __init__(self, record: Record, controls: int = 3, stores: int = 3, edges: int = 1) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="archhatch-review-"))
        self.net = self._free_net()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        self.commands = {role: self._argv(entry["run"]) for role, entry in deploy["roles"].items()}
        self._control_ips = [f"{self.net}.0.{i + 1}" for i in range(controls)]
        self.controls = [Program(self, "control-plane", f"core-{i + 1}", ip) for i, ip in enumerate(self._control_ips)]
        self.stores = [Program(self, "store", f"store-{i + 1}", f"{self.net}.1.{i + 1}") for i in range(stores)]
        self.edges = [Program(self, "data-plane", f"edge-{i + 1}", f"{self.net}.2.{i + 1}") for i in range(edges)]
        self.replicas: list[Replica] = []
        self.revision = 0

    @staticmethod
    def _argv(run: str) -> list[str]:
        words = run.split(" ")
        return [sys.executable, *words[1:]] if words[0] in ("python3", "python") else words

    @staticmethod
    def _free_net() -> str:
        for _ in range(50):
            net = f"127.{random.randint(50, 250)}"
            try:
                with socket.socket() as probe:
                    probe.bind((f"{net}.0.1", CONTROL_PORT))
                with socket.socket() as probe:
                    probe.bind((f"{net}.2.1", FRONT_PORT))
            except OSError:
                continue
            return net
        raise CaseError("no free loopback addresses")

    def control_addresses(self) -> list[str]:
        """Returns where operators and replicas call."""
        return [f"{ip}:{CONTROL_PORT}" for ip in self._control_ips]

    def front(self, index: int = 0) -> str:
        """Returns where clients of an edge connect."""
        return f"{self.edges[index].ip}:{FRONT_PORT}"

    def programs(self) -> list[Program]:
        """Returns all processes of the project."""
        return [*self.controls, *self.stores, *self.edges]

    async def start(self, configuration: dict) -> None:
        """Starts everything and waits until the first configuration is taken and all edges are ready."""
        for program in self.programs():
            program.start(bootstrap=True)
        await self.put_config(configuration, wait_s=25.0)
        for edge in self.edges:
            address = f"{edge.ip}:{READINESS_PORT}"
            await until(f"{edge.name} ready", lambda address=address: self._is_ready(address), 20.0)

    @staticmethod
    async def _is_ready(address: str) -> bool:
        return (await call(address, "GET", "/api/readiness", timeout_s=1.0)).status == 200

    async def add_replica(self, replica: Replica) -> Replica:
        """Starts a replica."""
        self.replicas.append(replica)
        await replica.start()
        return replica

    async def operator(
        self, method: str, path: str, document: object = None, wait_s: float = 10.0, **heads: str
    ) -> Answer:
        """Calls control nodes in turn until a clear answer comes; waits longer after each failure."""
        deadline, pause_s, answer = time.monotonic() + wait_s, 0.1, Answer()
        body = b"" if document is None else json_bytes(document)
        headers = {
            "Content-Type": "application/json",
            **{name.replace("_", "-"): value for name, value in heads.items()},
        }
        while time.monotonic() < deadline:
            nodes = self.control_addresses()
            random.shuffle(nodes)
            for node in nodes:
                answer = await call(node, method, path, headers, body, 1.0)
                self.record.add("operator", method, path, node, answer.status, answer.why)
                if answer.status and answer.status < 500 and answer.status not in (408, 429):
                    return answer
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        return answer

    async def put_config(self, configuration: dict, wait_s: float = 10.0) -> None:
        """Has a whole configuration taken, on top of the present one."""
        before, self.revision = self.revision, configuration["Revision"]
        answer = await self.operator("PUT", "/api/config", configuration, wait_s, If_Match=str(before))
        if answer.status != 200:
            raise CaseError(f"configuration {self.revision}: {answer.status} {answer.why} {answer.body[:200]!r}")

    async def close(self) -> None:
        """Ends all that was started."""
        for replica in self.replicas:
            await replica.close()
        for program in self.programs():
            program.kill_now()
        if os.environ.get("KEEP"):
            print(f"kept: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def until(what: str, check: Callable[[], Awaitable[bool]], wait_s: float) -> None:
    """Waits until a check holds.

    Raises:
        CaseError: It did not in time.
    """
    deadline = time.monotonic() + wait_s
    while not await check():
        if time.monotonic() > deadline:
            raise CaseError(f"{what}: not within {wait_s} s")
        await asyncio.sleep(0.1)


def route(name: str, prefix: str, kind: str, service: str, **fields: object) -> dict:
    """Returns an entry of a RouteTable."""
    entry = {
        "Name": name,
        "HostName": "h.example",
        "PathPrefix": prefix,
        "RouteClass": kind,
        "TimeoutMs": 5000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 3,
    }
    if kind == "rollout":
        entry.update({"ResultDueMs": 12000, "MaxQueueS": 3600, "TimeoutMs": 20000})
    return {**entry, **fields}


def service(name: str, models: list[str] | None = None, slots: int = 6) -> dict:
    """Returns an entry of a ServiceTable."""
    entry: dict[str, Any] = {
        "Name": name,
        "HealthPath": "/health",
        "MaxConnections": 160,
        "Protocol": "h1",
        "TlsMode": False,
    }
    if models:
        entry["Engine"] = {
            "SlotCount": slots,
            "KvCapacity": 123037,
            "KvTokenBytes": 18432,
            "LinkMbps": 1400000.0,
            "Stride": 51,
            "ModelList": [{"Name": model} for model in models],
        }
    return entry


def configuration(revision: int, routes: list[dict], services: list[dict]) -> dict:
    """Returns a whole configuration."""
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
    return {"Revision": revision, "RouteTable": routes, "ServiceTable": services, "Limits": limits}


def make_lot(model: str, items: int, *, path: str = "/r/", scorer: str = "", group: int = 4) -> dict:
    """Returns a lot's document with items of new ids."""
    entries = []
    for index in range(items):
        item_id = new_id()
        heads = {
            "X-Archhatch-Model": model,
            "X-Archhatch-Token-Count": "540,400",
            "X-Archhatch-Prompt-Prefix": f"{new_id()[:6]}:300",
        }
        entry = {
            "InstanceId": item_id,
            "Path": f"{path}{index}",
            "HeaderMap": heads,
            "Payload": base64.b64encode(item_id.encode()).decode(),
            "TokenCount": 940,
            "GroupId": f"g{index // group}",
        }
        if scorer:
            entry["ScorerUrl"] = {
                "InstanceId": new_id(),
                "HostName": "h.example",
                "Path": f"{scorer}{index}",
                "Payload": "3q2+7w==",
            }
        entries.append(entry)
    return {"TrainStep": 0, "Model": model, "MinRevision": 1, "DesiredCount": items // group, "Entries": entries}


class Trainer:
    """Hands lots in and reads their results by the protocol page; a fresh connection for each call."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig

    def _front(self) -> str:
        return self.rig.front(random.randrange(len(self.rig.edges)))

    async def submit(
        self,
        lot_id: str,
        document: dict,
        wait_s: float = 15.0,
        path: str = "/r/",
        *,
        edge: str = "",
        answer_s: float = 3.0,
    ) -> int:
        """Hands a lot in until a 202 comes; returns the last status."""
        deadline, status = time.monotonic() + wait_s, 0
        headers = {"Host": "h.example", "X-Archhatch-Request-Id": lot_id, "Content-Type": "application/json"}
        while time.monotonic() < deadline:
            answer = await call(
                edge or self._front(), "POST", f"{path}{lot_id}", headers, json_bytes(document), answer_s
            )
            status = answer.status
            self.rig.record.add("lot", lot_id, status, answer.why)
            if status == 202 or 400 <= status < 429:
                break
            await asyncio.sleep(0.3)
        return status

    async def read(self, lot_id: str, after: int = 0, hold_ms: int = 0, edge: str = "") -> Answer:
        """Reads a lot's results once."""
        headers = {"Host": "h.example", "X-Archhatch-Hold-Ms": str(hold_ms)}
        path = f"/api/lots/{lot_id}?StartAfter={after}"
        answer = await call(edge or self._front(), "GET", path, headers, timeout_s=hold_ms / 1000 + 1.5)
        self.rig.record.add("read", lot_id, f"after={after}", answer.status, answer.why)
        return answer

    async def read_all(self, lot_id: str, total: int, wait_s: float) -> list[dict]:
        """Reads on until all items are listed or the time is over; returns the results in their order."""
        results: list[dict] = []
        deadline = time.monotonic() + wait_s
        while len(results) < total and time.monotonic() < deadline:
            answer = await self.read(lot_id, len(results), 1000 if wait_s > 1 else 0)
            if answer.status == 200:
                rows = answer.document()["ResultList"]
                for row in rows:
                    self.rig.record.add(
                        "result",
                        lot_id,
                        len(results),
                        row["InstanceId"],
                        row["OperState"],
                        row["Text"].replace("\n", " "),
                    )
                    results.append(row)
            if len(results) < total:
                await asyncio.sleep(min(0.3, wait_s))
        return results


def has_trouble() -> bool:
    """Whether the case is to be played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder: Path, case: Callable[[Record], Awaitable[bool]], most_s: float = 110.0) -> int:
    """Plays a case for so many seconds at most; returns the exit status: 1 if it returned True, the rule was broken."""
    record = Record(folder / "record.txt")
    try:
        is_broken = asyncio.run(asyncio.wait_for(case(record), most_s))
    except Exception as error:  # noqa: BLE001 - whatever it is, nothing was shown
        record.add("could not run:", repr(error))
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN
    verdict = "the rule was broken" if is_broken else "the rule held"
    record.add(verdict)
    print(verdict)
    return BROKEN if is_broken else HELD
