"""Upgrades from another version of this software, over real processes: all at once, or one process after the other.

By hand, with the other version in a folder of its own that was built:
python3 -m tests.soak.upgrades --before FOLDER --seeds 0:20 --jobs 3
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from tests.soak.deployment import BOUNDS, HOST, LIMITS, Record, Replica, System, call_once, status_of

ROOT = Path(__file__).resolve().parents[2]
CONVERGE_S = BOUNDS["ConvergeMs"] / 1000
CONTACT_S = BOUNDS["ContactMs"] / 1000
START_S = 4.0  # until a process that was started is in touch
STEP_S = 2.5  # between the steps of a rolling upgrade
PAUSE_S = 0.05  # between a client's requests
NOTICED_DELAY_S = 0.3  # by which a timer of this process is late: it stood still
MAX_STILL_SHARE = 0.1  # of a play, in which requests prove nothing
EDGES = 2
UNCLEAR_STATUSES = frozenset({0, 503})
CORES = ("core-1", "core-2", "core-3")
STORES = ("store-1", "store-2", "store-3")


def configuration(revision: int, timeout_ms: object = 2000) -> dict:
    """Returns a version with a route of its own, whose time-out may be malformed, beside that which all have."""
    service = {"Name": "quote-app", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "TlsMode": False}
    route = {
        "HostName": HOST,
        "RouteClass": "idempotent",
        "TargetLatencyMs": 192,
        "Priority": 2,
        "Service": "quote-app",
        "MaxAttempts": 2,
    }
    routes = [
        {**route, "Name": "quote", "PathPrefix": "/quote/", "TimeoutMs": 2000},
        {**route, "Name": f"new-{revision}", "PathPrefix": f"/new-{revision}/", "TimeoutMs": timeout_ms},
    ]
    return {"Revision": revision, "RouteTable": routes, "ServiceTable": [service], "Limits": LIMITS}


class VersionedSystem(System):
    """A system whose processes run the code of one folder or of another."""

    def use(self, folder: Path) -> None:
        """Has all processes that start from now on run the code of a folder."""
        self.code = {**getattr(self, "code", {}), "": folder}

    def folder_of(self, name: str) -> Path:
        """Returns the folder whose code a machine runs."""
        return self.code.get(name, self.code[""])

    def start_node(self, name: str) -> None:
        """Starts a machine's process with the code that is used now."""
        self.code[name] = folder = self.code[""]
        node = self.nodes[name]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(folder / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ARCHHATCH_CONFIG": str(node.settings_path),
        }
        command = [sys.executable, *self.roles[node.program]["run"].split()[1:]]
        with self.log_path(name).open("ab") as log:
            node.process = subprocess.Popen(command, cwd=folder, env=environment, stdout=log, stderr=log)
        self.record.say(f"start {name} with the code of {folder.name}")

    def log_path(self, name: str) -> Path:
        """Returns where a machine's process writes."""
        return self.folder / f"{name}.log"

    def keep_log(self, name: str) -> None:
        """Puts a log aside, so that the next process begins a new one."""
        self.log_path(name).rename(self.folder / f"{name}.log.earlier")

    def stop(self, name: str) -> None:
        """Ends a machine's process in order."""
        process = self.nodes[name].process
        assert process is not None, "it runs"
        self.signal(name, signal.SIGTERM)
        process.wait()


@dataclass
class Operator:
    """Sends configurations, and knows what was acknowledged.

    Attributes:
        revision: The newest acknowledged version.
        unclear: Versions whose answer left open whether they are in force; each may be, and may be acknowledged later.
        broken: What was acknowledged though it must not be.
    """

    system: VersionedSystem
    after: Path
    revision: int = 1
    unclear: set[int] = field(default_factory=set)
    broken: list[str] = field(default_factory=list)

    def possible_revisions(self) -> list[int]:
        """Returns the versions that may be in force: the newest acknowledged one, and the next one if it is unclear."""
        return [self.revision, *(revision for revision in self.unclear if revision > self.revision)]

    async def send(self, core: int, timeout_ms: object = 2000) -> int:
        """Sends the next version to one control node; returns the status."""
        document = configuration(self.revision + 1, timeout_ms)
        headers = {"If-Match": str(self.revision), "Content-Type": "application/json"}
        address = self.system.control_addresses[core - 1]
        answer = await call_once(address, "PUT", "/api/config", headers, json.dumps(document).encode(), 2.0)
        status = status_of(answer)
        self.system.record.say(f"version {self.revision + 1}, TimeoutMs {timeout_ms!r}, to core-{core}: {status}")
        is_new_code = self.system.folder_of(f"core-{core}") == self.after
        is_sent_again = self.revision + 1 in self.unclear
        if status in UNCLEAR_STATUSES:
            self.unclear.add(self.revision + 1)
        if status == 200 and isinstance(timeout_ms, str) and is_new_code and not is_sent_again:
            self.broken.append(f"CONFIG core-{core}, upgraded, acknowledged a malformed version")
        if status == 200:
            self.revision += 1
        return status

    async def send_until_taken(self) -> None:
        """Sends a valid version to one control node after the other until one acknowledges it."""
        core = 1
        while await self.send(core) != 200:
            core = core % len(CORES) + 1
            await asyncio.sleep(0.3)


async def ask(system: VersionedSystem, edge: int, path: str) -> int:
    """Sends a request to an edge; returns the status."""
    headers = {"Host": HOST, "X-Archhatch-Request-Id": f"{path}-{random.random()}", "X-Archhatch-Deadline-Ms": "2000"}
    return status_of(await call_once(system.front(edge), "POST", path, headers, b"{}"))


class LoopWatch:
    """Tells when this process, in which clients and replicas run, stood still: what is late then is late by itself.

    Attributes:
        stalls: The beginning and the end of each time that a request would notice, on the record's clock.
    """

    def __init__(self, system: VersionedSystem) -> None:
        self.system = system
        self.stalls: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Records each delay of the event loop that a request would notice, for good."""
        while True:
            before = self.system.record.now()
            await asyncio.sleep(PAUSE_S)
            now = self.system.record.now()
            if now - before - PAUSE_S > NOTICED_DELAY_S:
                self.stalls.append((before, now))
                self.system.record.say(f"this process stood still for {now - before - PAUSE_S:.2f} s")

    def judge(self) -> list[str]:
        """Returns a rule broken if this process stood still for so long that the play proves too little."""
        still_s = sum(end - begin for begin, end in self.stalls)
        if still_s <= MAX_STILL_SHARE * self.system.record.now():
            return []
        return [f"VOID this process stood still for {still_s:.1f} s of the play"]

    def stood_still_between(self, begin: float, end: float) -> bool:
        """Returns whether this process stood still at any moment between two."""
        return any(stall_begin < end and stall_end > begin for stall_begin, stall_end in self.stalls)


class Client:
    """Asks an edge again and again; counts what was not answered while the edge was up.

    A request during which this process stood still proves nothing, whatever became of it: its replica did too.
    """

    def __init__(self, system: VersionedSystem, edge: int) -> None:
        self.system, self.edge = system, edge
        self.is_expected = True
        self.count = 0
        self._unanswered: list[tuple[float, float, int]] = []  # begin, end and status of requests

    def lost(self, loop_watch: LoopWatch) -> list[str]:
        """Returns the requests that were not answered, but for those that prove nothing."""
        return [
            f"LOST {begin:.2f}: edge-{self.edge} answered {status}"
            for begin, end, status in self._unanswered
            if not loop_watch.stood_still_between(begin, end)
        ]

    async def run(self, is_over: asyncio.Event) -> None:
        """Goes on until the event is set."""
        while not is_over.is_set():
            was_expected, at = self.is_expected, self.system.record.now()
            status = await ask(self.system, self.edge, "/quote/1")
            self.count += 1
            if status != 200 and was_expected and self.is_expected:
                self._unanswered.append((at, self.system.record.now(), status))
            await asyncio.sleep(PAUSE_S)


async def judge_in_force(system: VersionedSystem, operator: Operator, edges: list[int]) -> list[str]:
    """Returns which edges do not serve the route of the newest version, and that which all versions have."""
    broken = []
    for edge in edges:
        routes = [f"/new-{revision}/1" for revision in operator.possible_revisions()]
        for paths in (routes, ["/quote/1"]):
            statuses = [await ask(system, edge, path) for path in paths]
            if 200 not in statuses:
                system.record.say(f"edge-{edge} answers {statuses} on {paths}")
                broken.append(f"CONFIG edge-{edge} answered {statuses} on {paths}, version {operator.revision}")
    return broken


def judge_logs(system: VersionedSystem, names: list[str]) -> list[str]:
    """Returns which processes of the later version wrote a traceback."""
    return [f"FAULT {name} wrote a traceback" for name in names if "Traceback" in system.log_path(name).read_text()]


async def _add_edge(system: VersionedSystem, operator: Operator) -> list[str]:
    """Adds an edge and judges what it serves."""
    system.add_edge(EDGES + 1)
    await asyncio.sleep(START_S)
    return await judge_in_force(system, operator, [EDGES + 1])


async def upgrade_at_once(system: VersionedSystem, operator: Operator, rng: random.Random) -> list[str]:
    """Has the earlier version acknowledge a malformed configuration, ends all and starts the later version."""
    await operator.send(rng.randint(1, 3), timeout_ms="2000")
    for name in (*CORES, *STORES, "edge-1", "edge-2"):
        process = system.nodes[name].process
        assert process is not None, "it runs"
        process.kill()
        process.wait()
        system.keep_log(name)
    system.use(operator.after)
    for name in (*CORES, *STORES, "edge-1", "edge-2"):
        system.start_node(name)
    await asyncio.sleep(START_S + CONTACT_S)
    broken = await judge_in_force(system, operator, [1, 2])
    broken += await _add_edge(system, operator)
    await operator.send_until_taken()
    await asyncio.sleep(CONVERGE_S)
    broken += await judge_in_force(system, operator, [1, 2, EDGES + 1])
    return broken + judge_logs(system, list(system.nodes))


async def upgrade_one_by_one(system: VersionedSystem, operator: Operator, rng: random.Random) -> list[str]:
    """Restarts one process after the other with the later version, while configurations of both kinds come."""
    kinds = [list(CORES), list(STORES), ["edge-1", "edge-2"]]
    rng.shuffle(kinds)
    is_over = asyncio.Event()
    loop_watch = LoopWatch(system)
    watching = asyncio.ensure_future(loop_watch.run())
    clients = {f"edge-{edge}": Client(system, edge) for edge in range(1, EDGES + 1)}
    running = [asyncio.ensure_future(client.run(is_over)) for client in clients.values()]
    broken: list[str] = []
    for name in [name for kind in kinds for name in rng.sample(kind, len(kind))]:
        if name in clients:
            clients[name].is_expected = False
        await asyncio.to_thread(system.stop, name)
        system.keep_log(name)
        system.use(operator.after)
        system.start_node(name)
        await asyncio.sleep(START_S)
        if rng.random() < 0.6:
            await operator.send(rng.randint(1, 3), timeout_ms="2000")
            await asyncio.sleep(STEP_S)
        if name in clients:
            clients[name].is_expected = True
        upgraded = [edge for edge in (1, 2) if system.folder_of(f"edge-{edge}") == operator.after]
        broken += await judge_in_force(system, operator, upgraded)
        if rng.random() < 0.5:
            await operator.send_until_taken()
            await asyncio.sleep(CONVERGE_S)
            broken += await judge_in_force(system, operator, [1, 2])
    broken += await _add_edge(system, operator)
    is_over.set()
    await asyncio.gather(*running)
    watching.cancel()
    system.record.say(f"{sum(client.count for client in clients.values())} requests")
    lost = [line for client in clients.values() for line in client.lost(loop_watch)]
    return broken + lost + loop_watch.judge() + judge_logs(system, list(system.nodes))


PLAYS: list[Callable] = [upgrade_at_once, upgrade_one_by_one, upgrade_one_by_one, upgrade_one_by_one]


async def play(seed: int, before: Path, after: Path) -> list[str]:
    """Plays one upgrade; returns the rules that were broken."""
    rng = random.Random(seed)
    system = VersionedSystem(Record(Path("/dev/null")), edge_count=EDGES)
    system.use(before)
    replicas = [Replica(system, "quote-app", number, slots=6) for number in (1, 2)]
    operator = Operator(system, after)
    try:
        await system.start(configuration(1))
        for replica in replicas:
            await replica.start()
        await asyncio.sleep(START_S)
        broken = await PLAYS[seed % len(PLAYS)](system, operator, rng)
        return broken + operator.broken
    finally:
        for replica in replicas:
            await replica.stop()
        system.end()


def main() -> int:
    """Plays seeds, some side by side, each in a process of its own; returns 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", type=Path, required=True, help="the folder of the other version, built")
    parser.add_argument("--after", type=Path, default=ROOT, help="the folder of the version to upgrade to")
    parser.add_argument("--seeds", default="0:1", help="FIRST:END")
    parser.add_argument("--jobs", type=int, default=1, help="how many are played at once")
    parser.add_argument("--alone", action="store_true", help="play the first seed in this process")
    options = parser.parse_args()
    first, end = (int(part) for part in options.seeds.split(":"))
    if options.alone:
        broken = asyncio.run(play(first, options.before.resolve(), options.after.resolve()))
        print("\n".join(broken) or "all rules held", flush=True)
        return 1 if broken else 0

    def play_seed(seed: int) -> int:
        folders = ["--before", str(options.before.resolve()), "--after", str(options.after.resolve())]
        command = [sys.executable, "-m", "tests.soak.upgrades", "--alone", "--seeds", f"{seed}:{seed + 1}", *folders]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
        print(f"seed {seed}: exit {done.returncode}", *done.stdout.decode().splitlines(), sep="\n  ", flush=True)
        print(done.stderr.decode()[-2000:], end="", flush=True)
        return done.returncode

    with ThreadPoolExecutor(options.jobs) as pool:
        return 1 if any(list(pool.map(play_seed, range(first, end)))) else 0


if __name__ == "__main__":
    sys.exit(main())
