"""The clients of a simulated deployment: operators that change and read the configuration, and claimers of leases."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass

import orjson

from ..rpc import CallError
from .deployment import Deployment
from .history import Attempt, Change, ChangeMethod, Grant, Outcome, Read

HTTP_PORT, CALL_PORT = 8144, 7380
SILENCE_S = 1.0
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.05, 0.8
REDIRECTS = 2
MOST_AT_ONCE = 8
_OUTCOMES = {200: Outcome.ACKNOWLEDGED, 412: Outcome.CONFLICT, 400: Outcome.INVALID}


def body_of(change: Change) -> bytes:
    """A change as it is sent."""
    services = [{"Name": mark} for mark in change.marks]
    routes = (
        []
        if change.is_valid
        else [{"Name": "r", "HostName": "h", "PathPrefix": "/", "RouteClass": "idempotent", "Service": "unknown"}]
    )
    if change.method is ChangeMethod.PATCH:
        return orjson.dumps({"Revision": change.revision, "Upsert": {"ServiceTable": services, "RouteTable": routes}})
    return orjson.dumps({"Revision": change.revision, "RouteTable": routes, "ServiceTable": services})


@dataclass(frozen=True)
class ClientBehavior:
    """How the clients of one run behave. Quiet days leave a node that missed something behind for longer."""

    operators: int
    claimers: int
    pause: float  # factor on the pauses between orders
    faithful: float  # the chance to call the same node again

    @classmethod
    def draw(cls, rng: random.Random) -> ClientBehavior:
        """Drawn by the seed."""
        pause, faithful = rng.choice((1.0, 1.0, 4.0, 10.0)), rng.choice((0.0, 0.5, 0.95))
        return cls(rng.choice((1, 2, 2)), rng.choice((0, 1, 3)), pause, faithful)


class UpstreamClient:
    """Calls the HTTP entry of a node, as one outside the system does."""

    def __init__(self, deployment: Deployment, name: str, behavior: ClientBehavior):
        self.deployment, self.name, self.behavior = deployment, name, behavior
        self._favourite = ""
        self.rng = deployment.stream(name)
        self._pool = deployment.network.at(name).pool(None)

    def now(self) -> float:
        """Virtual time."""
        return self.deployment.loop.time()

    def pick(self) -> str:
        """A node to call; it may be down, or cut off from others."""
        hosts = self.deployment.hosts
        if self._favourite not in hosts or self.rng.random() >= self.behavior.faithful:
            self._favourite = self.rng.choice(hosts)
        return self._favourite

    def avoid(self) -> None:
        """The node that was called gave no clear answer: the next call goes to any."""
        self._favourite = ""

    async def http(self, host: str, method: str, path: str, headers: dict, body: bytes) -> tuple:
        """(status, body) of an answer; (0, b"") if there is none."""
        for _ in range(1 + REDIRECTS):
            doc = {"method": method, "path": path, "headers": headers}
            try:
                code, out, raw = await self._pool.to(f"{host}:{HTTP_PORT}").call("http", doc, body, timeout_s=SILENCE_S)
            except CallError:
                return 0, b""
            if code != 1000 or out["status"] != 307:
                return (out["status"], raw) if code == 1000 else (500, b"")
            host = out["headers"]["Location"].split("/")[2].rsplit(":", 1)[0]
        return 503, b""


class Operator(UpstreamClient):
    """Sends changes as the users' pages say; all operators of a run number their changes by one count."""

    def __init__(
        self, deployment: Deployment, name: str, behavior: ClientBehavior, numbers: itertools.count, sent: list
    ):
        super().__init__(deployment, name, behavior)
        self._numbers, self._sent = numbers, sent
        self.newest = 0  # the highest revision that this operator knows of

    def make(self, match: int, revision: int | None = None, is_valid: bool = True) -> Change:
        """A change on top of a version."""
        number = next(self._numbers)
        extra = [f"x{self.rng.randrange(5)}" for _ in range(self.rng.randrange(3))]
        method = ChangeMethod.PATCH if match and self.rng.random() < 0.5 else ChangeMethod.PUT
        marks = tuple(dict.fromkeys([f"c{number}", *extra]))
        return Change(number, method, revision or match + self.rng.randint(1, 5), match, marks, is_valid)

    async def attempt(self, change: Change, host: str) -> Outcome:
        """Send a change once."""
        attempt = Attempt(change, host, self.now())
        self.deployment.history.attempts.append(attempt)
        status, _ = await self.http(
            host, change.method.value, "/api/config", {"If-Match": str(change.match)}, body_of(change)
        )
        attempt.outcome = _OUTCOMES.get(status, Outcome.UNCLEAR)
        attempt.answered_at = self.now() if status else None
        if attempt.outcome is Outcome.ACKNOWLEDGED:
            self.newest = max(self.newest, change.revision)
            self._sent.append(change)
        self.deployment.on_outcome(attempt.outcome)
        return attempt.outcome

    async def send(self, change: Change, patience_s: float = 5.0) -> Outcome:
        """Send a change, to one node after the other, until its answer is clear or patience ends."""
        end, pause = self.now() + patience_s, FIRST_PAUSE_S
        while True:
            outcome = await self.attempt(change, self.pick())
            if outcome is not Outcome.UNCLEAR or self.now() >= end:
                return outcome
            self.avoid()
            await asyncio.sleep(pause * self.rng.uniform(0.7, 1.3))
            pause = min(LONGEST_PAUSE_S, pause * 2)

    async def read(self, host: str | None = None, is_final: bool = False) -> Read:
        """Read the configuration once."""
        read = Read(host or self.pick(), self.now(), is_final=is_final)
        self.deployment.history.reads.append(read)
        status, raw = await self.http(read.node, "GET", "/api/config", {}, b"")
        if status == 200:
            doc = orjson.loads(raw)
            read.answered_at, read.revision = self.now(), doc["Revision"]
            read.marks = tuple(service["Name"] for service in doc["ServiceTable"])
            self.newest = max(self.newest, read.revision)
        return read

    async def catch_up(self, patience_s: float = 5.0) -> None:
        """Learn the version in force."""
        end = self.now() + patience_s
        while (await self.read()).answered_at is None and self.now() < end:
            self.avoid()
            await asyncio.sleep(self.rng.uniform(0.05, 0.3))

    # -- what operators do

    async def run(self, end: float) -> None:
        """Order and read until a moment."""
        actions = [
            (self.order, 6),
            (self.race, 3),
            (self.burst, 2),
            (self.run_ahead, 2),
            (self.resend, 3),
            (self.look_back, 1),
            (self.spoil, 1),
            (self.read, 3),
            (self.send_twice, 2),
        ]
        await self.send(self.make(0), patience_s=end)
        while self.now() < end:
            action = self.rng.choices([a for a, _ in actions], [w for _, w in actions])[0]
            await action()
            await asyncio.sleep(self.rng.choice((0.0, 0.02, 0.3, 1.0)) * self.rng.random() * self.behavior.pause)

    async def order(self) -> None:
        """One change on the newest known version; a conflict is followed by a reading."""
        outcome = await self.send(self.make(self.newest), self.rng.choice((0.0, 1.0, 5.0)))
        if outcome is not Outcome.ACKNOWLEDGED:
            await self.catch_up()

    async def race(self) -> None:
        """Two changes with one number, on one version, by two ways."""
        match = self.newest
        first = self.make(match)
        await asyncio.gather(self.send(first), self.send(self.make(match, first.revision)))
        await self.catch_up()

    async def burst(self) -> None:
        """Up to eight changes on one version at once."""
        match = self.newest
        changes = [self.make(match) for _ in range(self.rng.randint(2, MOST_AT_ONCE))]
        await asyncio.gather(*(self.send(change, 3.0) for change in changes))
        await self.catch_up()

    async def run_ahead(self) -> None:
        """Changes one on top of the other, sent at once: a later one may come before the one it stands on."""
        changes, match = [], self.newest
        for _ in range(self.rng.randint(2, 4)):
            changes.append(self.make(match))
            match = changes[-1].revision
        await asyncio.gather(*(self.send(change, 3.0) for change in changes))
        await self.catch_up()

    async def send_twice(self) -> None:
        """One change by several ways at once."""
        change = self.make(self.newest)
        await asyncio.gather(*(self.send(change, 2.0) for _ in range(self.rng.randint(2, 3))))
        await self.catch_up()

    async def resend(self) -> None:
        """A change that was acknowledged earlier, to any node."""
        if self._sent:
            await self.attempt(self.rng.choice(self._sent), self.pick())

    async def look_back(self) -> None:
        """A change on a version that was left behind."""
        if self._sent:
            await self.send(self.make(self.rng.choice(self._sent).match), 1.0)

    async def spoil(self) -> None:
        """An invalid configuration."""
        await self.send(self.make(self.newest, is_valid=False), 1.0)


class Claimer(UpstreamClient):
    """A store that tries to get leases, by the calls of nodes."""

    def __init__(self, deployment: Deployment, name: str, behavior: ClientBehavior, runs: tuple = ("svc",)):
        super().__init__(deployment, name, behavior)
        self._runs = runs

    async def run(self, end: float) -> None:
        """Claim until a moment."""
        while self.now() < end:
            await self.claim(self.rng.choice(self._runs))
            await asyncio.sleep(self.rng.uniform(0.05, 1.5) * self.behavior.pause)

    async def _do(self, run: str, name: str, args: dict) -> tuple:
        doc = {"part": f"of:{run}", "name": name, "args": args}
        try:
            code, out, _ = await self._pool.to(f"{self.pick()}:{CALL_PORT}").call("do", doc, timeout_s=SILENCE_S)
        except CallError:
            self.avoid()
            return 0, None
        return code, out

    async def claim(self, run: str) -> None:
        """Look who holds a lease, and claim its next term."""
        code, leases = await self._do(run, "tenure.list", {})
        if code != 1000:
            return
        seen = leases.get(run, {"term": 0})["term"]
        code, out = await self._do(run, "tenure.claim", {"run": run, "holder": self.name, "life": "1", "seen": seen})
        if code == 1000:
            grant = Grant(run, out["term"], out["holder"], self.now())
            self.deployment.history.grants.append(grant)


def make_clients(deployment: Deployment) -> tuple[list[Operator], list[Claimer]]:
    """Operators, who know of each other's changes only by reading, and claimers."""
    behavior = ClientBehavior.draw(deployment.stream("habits"))
    numbers, sent = itertools.count(1), []
    operators = [Operator(deployment, f"operator-{at}", behavior, numbers, sent) for at in range(behavior.operators)]
    return operators, [Claimer(deployment, f"store-{at}", behavior) for at in range(behavior.claimers)]
