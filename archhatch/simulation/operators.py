"""The clients of a simulated deployment: operators that change and read the configuration, and claimers of leases."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import orjson

from ..rpc import CallError
from ..rpc.server import OK_CODE
from .deployment import Deployment
from .history import Attempt, Change, ChangeMethod, Grant, Outcome, Read

CONFIG_PATH = "/api/config"
HTTP_PORT = 8144
CALL_PORT = 7380
CALL_TIMEOUT_S = 1.0
PATIENCE_S = 5.0  # how long a client goes on trying
FIRST_PAUSE_S = 0.05  # between attempts of one change; it doubles up to MAX_PAUSE_S
MAX_PAUSE_S = 0.8
PAUSE_JITTER = (0.7, 1.3)  # factors, so that clients do not fall into step
READ_PAUSE_S = (0.05, 0.3)
ACTION_PAUSES_S = (0.0, 0.02, 0.3, 1.0)
CLAIM_PAUSE_S = (0.05, 1.5)
MAX_REDIRECTS = 2
MAX_CHANGES_AT_ONCE = 8
MAX_REVISION_STEP = 5
PATCH_SHARE = 0.5  # of the changes that build on a version
_OUTCOMES: dict[int, Outcome] = {
    HTTPStatus.OK: Outcome.ACKNOWLEDGED,
    HTTPStatus.PRECONDITION_FAILED: Outcome.CONFLICT,
    HTTPStatus.BAD_REQUEST: Outcome.INVALID,
}
# A route to a service that does not exist.
_INVALID_ROUTE = {
    "Name": "r",
    "HostName": "h",
    "PathPrefix": "/",
    "RouteClass": "idempotent",
    "Service": "unknown",
}


def encode_change(change: Change) -> bytes:
    """Returns the body of the request that sends a change.

    Args:
        change: The change.
    """
    services = [{"Name": mark} for mark in change.marks]
    routes = [] if change.is_valid else [_INVALID_ROUTE]
    if change.method is ChangeMethod.PATCH:
        return orjson.dumps({"Revision": change.revision, "Upsert": {"ServiceTable": services, "RouteTable": routes}})
    return orjson.dumps({"Revision": change.revision, "RouteTable": routes, "ServiceTable": services})


@dataclass(frozen=True)
class ClientBehavior:
    """How the clients of one run behave. In runs with long pauses a node that missed something stays behind for longer.

    Attributes:
        operators: How many operators there are.
        claimers: How many claimers there are.
        pause: The factor on the pauses between actions.
        faithful: The chance to call the same node again.
    """

    operators: int
    claimers: int
    pause: float
    faithful: float

    @classmethod
    def draw(cls, rng: random.Random) -> ClientBehavior:
        """Draws the behavior of a run."""
        pause = rng.choice((1.0, 1.0, 4.0, 10.0))
        faithful = rng.choice((0.0, 0.5, 0.95))
        operators = rng.choice((1, 2, 2))
        claimers = rng.choice((0, 1, 3))
        return cls(operators, claimers, pause, faithful)


class UpstreamClient:
    """Calls the HTTP interface of a node, as a client outside the system does.

    Attributes:
        deployment: The deployment.
        name: The client's name, which also names its random stream.
        behavior: How it behaves.
        rng: Its random numbers.
    """

    def __init__(self, deployment: Deployment, name: str, behavior: ClientBehavior) -> None:
        self.deployment = deployment
        self.name = name
        self.behavior = behavior
        self.rng = deployment.stream(name)
        self._favourite = ""
        self._pool = deployment.network.at(name).pool(None)

    def now(self) -> float:
        """Returns the virtual time in seconds."""
        return self.deployment.loop.time()

    def choose_host(self) -> str:
        """Returns a node to call; it may be down, or cut off from others."""
        hosts = self.deployment.hosts
        if self._favourite not in hosts or self.rng.random() >= self.behavior.faithful:
            self._favourite = self.rng.choice(hosts)
        return self._favourite

    def forget_favourite(self) -> None:
        """Has the next call go to any node, after one that gave no clear answer."""
        self._favourite = ""

    async def http(self, host: str, method: str, path: str, headers: dict, body: bytes) -> tuple[int, bytes]:
        """Sends a request and follows redirects.

        Args:
            host: The node to call.
            method: The HTTP method.
            path: The path.
            headers: The request's headers.
            body: The request's body.

        Returns:
            Status and body of the answer; status 0 if there is none.
        """
        request = {"method": method, "path": path, "headers": headers}
        for _ in range(1 + MAX_REDIRECTS):
            connection = self._pool.to(f"{host}:{HTTP_PORT}")
            try:
                code, answer, raw = await connection.call("http", request, body, timeout_s=CALL_TIMEOUT_S)
            except CallError:
                return 0, b""
            if code != OK_CODE:
                return HTTPStatus.INTERNAL_SERVER_ERROR, b""
            if answer["status"] != HTTPStatus.TEMPORARY_REDIRECT:
                return answer["status"], raw
            host = answer["headers"]["Location"].split("/")[2].rsplit(":", 1)[0]
        return HTTPStatus.SERVICE_UNAVAILABLE, b""


class Operator(UpstreamClient):
    """Sends changes as the users' pages say; all operators of a run number their changes by one count.

    Attributes:
        newest: The highest revision that this operator knows of.
    """

    def __init__(
        self,
        deployment: Deployment,
        name: str,
        behavior: ClientBehavior,
        numbers: Iterator[int],
        acknowledged: list[Change],
    ) -> None:
        super().__init__(deployment, name, behavior)
        self._numbers = numbers
        self._acknowledged = acknowledged  # by all operators of the run
        self.newest = 0

    def make(self, match: int, revision: int | None = None, is_valid: bool = True) -> Change:
        """Makes a change.

        Args:
            match: The revision that it builds on.
            revision: The revision that it makes; one a little above `match` if left out.
            is_valid: Whether a node must accept it.

        Returns:
            The change, not yet sent.
        """
        number = next(self._numbers)
        extra = [f"x{self.rng.randrange(5)}" for _ in range(self.rng.randrange(3))]
        is_patch = match and self.rng.random() < PATCH_SHARE
        method = ChangeMethod.PATCH if is_patch else ChangeMethod.PUT
        marks = tuple(dict.fromkeys([f"c{number}", *extra]))
        new_revision = revision or match + self.rng.randint(1, MAX_REVISION_STEP)
        return Change(number, method, new_revision, match, marks, is_valid)

    async def attempt(self, change: Change, host: str) -> Outcome:
        """Sends a change once.

        Args:
            change: The change.
            host: The node to send it to.
        """
        attempt = Attempt(change, host, self.now())
        self.deployment.history.attempts.append(attempt)
        headers = {"If-Match": str(change.match)}
        status, _ = await self.http(host, change.method.value, CONFIG_PATH, headers, encode_change(change))
        attempt.outcome = _OUTCOMES.get(status, Outcome.UNCLEAR)
        attempt.answered_at = self.now() if status else None
        if attempt.outcome is Outcome.ACKNOWLEDGED:
            self.newest = max(self.newest, change.revision)
            self._acknowledged.append(change)
        self.deployment.on_outcome(attempt.outcome)
        return attempt.outcome

    async def send(self, change: Change, patience_s: float = PATIENCE_S) -> Outcome:
        """Sends a change, to one node after the other, until its answer is clear or patience ends.

        Args:
            change: The change.
            patience_s: How long to go on; with 0 it is sent once.
        """
        end = self.now() + patience_s
        pause_s = FIRST_PAUSE_S
        while True:
            outcome = await self.attempt(change, self.choose_host())
            if outcome is not Outcome.UNCLEAR or self.now() >= end:
                return outcome
            self.forget_favourite()
            await asyncio.sleep(pause_s * self.rng.uniform(*PAUSE_JITTER))
            pause_s = min(MAX_PAUSE_S, pause_s * 2)

    async def read(self, host: str | None = None, is_final: bool = False) -> Read:
        """Reads the configuration once.

        Args:
            host: The node to ask; any if left out.
            is_final: Whether this is the read at the end of the run.
        """
        read = Read(host or self.choose_host(), self.now(), is_final=is_final)
        self.deployment.history.reads.append(read)
        status, raw = await self.http(read.node, "GET", CONFIG_PATH, {}, b"")
        if status == HTTPStatus.OK:
            config = orjson.loads(raw)
            revision = config["Revision"]
            read.answered_at = self.now()
            read.revision = revision
            read.marks = tuple(service["Name"] for service in config["ServiceTable"])
            self.newest = max(self.newest, revision)
        return read

    async def catch_up(self, patience_s: float = PATIENCE_S) -> None:
        """Reads until a node answers with the version in force, or patience ends."""
        end = self.now() + patience_s
        while (await self.read()).answered_at is None and self.now() < end:
            self.forget_favourite()
            await asyncio.sleep(self.rng.uniform(*READ_PAUSE_S))

    # -- what operators do

    async def run(self, end: float) -> None:
        """Changes and reads the configuration until a moment."""
        weights: list[tuple[Callable[[], Awaitable[object]], int]] = [
            (self.change_newest, 6),
            (self.race, 3),
            (self.burst, 2),
            (self.run_ahead, 2),
            (self.resend, 3),
            (self.change_old_version, 1),
            (self.send_invalid, 1),
            (self.read, 3),
            (self.send_twice, 2),
        ]
        await self.send(self.make(0), patience_s=end)
        while self.now() < end:
            action = self.rng.choices([action for action, _ in weights], [weight for _, weight in weights])[0]
            await action()
            await asyncio.sleep(self.rng.choice(ACTION_PAUSES_S) * self.rng.random() * self.behavior.pause)

    async def change_newest(self) -> None:
        """One change on the newest known version; a conflict is followed by a read."""
        outcome = await self.send(self.make(self.newest), self.rng.choice((0.0, 1.0, PATIENCE_S)))
        if outcome is not Outcome.ACKNOWLEDGED:
            await self.catch_up()

    async def race(self) -> None:
        """Two different changes with one revision, on one version, at once."""
        match = self.newest
        first = self.make(match)
        await asyncio.gather(self.send(first), self.send(self.make(match, first.revision)))
        await self.catch_up()

    async def burst(self) -> None:
        """Several changes on one version at once."""
        match = self.newest
        changes = [self.make(match) for _ in range(self.rng.randint(2, MAX_CHANGES_AT_ONCE))]
        await asyncio.gather(*(self.send(change, 3.0) for change in changes))
        await self.catch_up()

    async def run_ahead(self) -> None:
        """Changes one on top of the other, sent at once: a later one may arrive before the one that it builds on."""
        changes: list[Change] = []
        match = self.newest
        for _ in range(self.rng.randint(2, 4)):
            changes.append(self.make(match))
            match = changes[-1].revision
        await asyncio.gather(*(self.send(change, 3.0) for change in changes))
        await self.catch_up()

    async def send_twice(self) -> None:
        """One change two or three times at once."""
        change = self.make(self.newest)
        await asyncio.gather(*(self.send(change, 2.0) for _ in range(self.rng.randint(2, 3))))
        await self.catch_up()

    async def resend(self) -> None:
        """A change that was acknowledged earlier, to any node."""
        if self._acknowledged:
            await self.attempt(self.rng.choice(self._acknowledged), self.choose_host())

    async def change_old_version(self) -> None:
        """A change on a version that is no longer the newest."""
        if self._acknowledged:
            await self.send(self.make(self.rng.choice(self._acknowledged).match), 1.0)

    async def send_invalid(self) -> None:
        """An invalid configuration."""
        await self.send(self.make(self.newest, is_valid=False), 1.0)


class Claimer(UpstreamClient):
    """A store that tries to get leases, by the calls of nodes."""

    def __init__(
        self, deployment: Deployment, name: str, behavior: ClientBehavior, runs: tuple[str, ...] = ("svc",)
    ) -> None:
        super().__init__(deployment, name, behavior)
        self._runs = runs

    async def run(self, end: float) -> None:
        """Claims leases until a moment."""
        while self.now() < end:
            await self.claim(self.rng.choice(self._runs))
            await asyncio.sleep(self.rng.uniform(*CLAIM_PAUSE_S) * self.behavior.pause)

    async def _call_command(self, run: str, name: str, args: dict) -> tuple[int, Any]:
        """The result code and the document of a command; code 0 without an answer."""
        request = {"part": f"of:{run}", "name": name, "args": args}
        connection = self._pool.to(f"{self.choose_host()}:{CALL_PORT}")
        try:
            code, document, _ = await connection.call("do", request, timeout_s=CALL_TIMEOUT_S)
        except CallError:
            self.forget_favourite()
            return 0, None
        return code, document

    async def claim(self, run: str) -> None:
        """Reads who holds a lease, and claims its next term.

        Args:
            run: What the lease is on.
        """
        code, leases = await self._call_command(run, "tenure.list", {})
        if code != OK_CODE:
            return
        seen = leases.get(run, {"term": 0})["term"]
        claim = {"run": run, "holder": self.name, "life": "1", "seen": seen}
        code, lease = await self._call_command(run, "tenure.claim", claim)
        if code == OK_CODE:
            grant = Grant(run, lease["term"], lease["holder"], self.now())
            self.deployment.history.grants.append(grant)


def make_clients(deployment: Deployment) -> tuple[list[Operator], list[Claimer]]:
    """Makes the clients of a run: operators, who know of each other's changes only by reading, and claimers.

    Args:
        deployment: The deployment that they call.
    """
    behavior = ClientBehavior.draw(deployment.stream("habits"))
    numbers = itertools.count(1)
    acknowledged: list[Change] = []
    operators = [
        Operator(deployment, f"operator-{index}", behavior, numbers, acknowledged)
        for index in range(behavior.operators)
    ]
    claimers = [Claimer(deployment, f"store-{index}", behavior) for index in range(behavior.claimers)]
    return operators, claimers
