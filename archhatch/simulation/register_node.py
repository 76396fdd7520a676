"""A small node around one register: Acceptor, Proposer and write-ahead log, without the rest of a control node.

Commands go to the first voter that was heard lately, but at times a node proposes for itself, so that proposers meet
far more often than under the control node's rule of one owner.
"""

from __future__ import annotations

import asyncio
import random

import orjson

from ..consensus import Acceptor, Proposer, UnclearResultError
from ..control.registers import commands
from ..runtime import CODES, Counters
from ..rpc import CallError, Handlers, CallRefusedError
from ..wal import LogError, WriteAheadLog
from .loop import VirtualClock
from .machine import Machine
from .operators import CALL_PORT, HTTP_PORT

PART = "plan"
ROUND_S = 0.75
CALL_S = 0.75
RUN_S = 1.5
TEND_S = (0.2, 0.6)
FRESH_S, SILENT_S = 0.9, 1.2
MEDDLING = 0.1  # the chance that a node proposes out of its turn
REWRITE_BYTES = 6000  # small, so that rewrites happen often,
REWRITES = 0.15  # ... and at times for no reason
UNREACHED = 3003
_METHODS = {"PUT": "plan.put", "PATCH": "plan.patch", "GET": "plan.get"}


def open_log(folder: str, name: str, machine: Machine, counters: Counters) -> WriteAheadLog:
    """A node's log on the machine's disk."""
    return WriteAheadLog(folder, name, files=machine.disk, clock=VirtualClock(machine.loop), counters=counters)


class RegisterNode:
    """One life of a node. The deployment tells which machines are part of it, as an operator's list would."""

    def __init__(self, machine: Machine, incarnation, deployment):
        self.machine, self.host, self._deployment = machine, machine.host, deployment
        self.counters = Counters()
        self.address = f"{self.host}:{CALL_PORT}"
        self.id, self.founders = "", None
        self.known: dict | None = None
        self._cards: dict[str, str] = {}  # address -> id of the node that was last heard there
        self._heard: dict[str, float] = {}  # address -> when
        self._started = machine.loop.time()
        place = machine.network.at(self.host, incarnation)
        self._pool = place.pool(self.counters)
        self._calls = place.server(self._make_handlers(), None, self.counters, lambda: self.id)
        self._entry = place.server(self._make_entry(), None, self.counters)
        self._tasks: list = []

    # -- life

    async def start(self) -> None:
        """Read the log, found the group at the first start of all, and take part."""
        self.log = open_log("/data", "core", self.machine, self.counters)
        self.acceptor = Acceptor(PART, self.log, self.counters)
        for raw in self.log.load():
            record = orjson.loads(raw)
            if "id" in record:
                self.id, self.founders = record["id"], record["founders"]
            else:
                self.acceptor.adopt(record)
        self.log.snapshot = self.snapshot
        self.log.start()
        if not self.id:
            await self._found()
        self.proposer = Proposer(
            PART,
            self.id,
            commands,
            self._ask,
            self._base,
            self._publish,
            self.counters,
            timeout_s=ROUND_S,
            chosen_version=self._version,
        )
        await self._calls.open(self.address)
        await self._entry.open(f"{self.host}:{HTTP_PORT}")
        self._tasks.append(asyncio.get_running_loop().create_task(self._tend_loop()))

    async def _found(self) -> None:
        hosts = self._deployment.first_hosts
        if self.machine.bootstrap and self.host in hosts:
            self.id = f"f-{self.host}"
            self.founders = {f"f-{host}": f"{host}:{CALL_PORT}" for host in hosts}
        else:
            self.id = f"n-{random.getrandbits(64):016x}"
        await self.log.append(self._identity())

    def _identity(self) -> bytes:
        return orjson.dumps({"id": self.id, "founders": self.founders})

    def snapshot(self) -> list[bytes]:
        """All that must outlive the process."""
        return [self._identity(), self.acceptor.record()]

    # -- what is known

    def _version(self) -> int:
        return self.known["stamp"] if self.known else 0

    def _base(self) -> dict | None:
        best, mine = self.known, self.acceptor.state
        if mine is not None and (best is None or mine["stamp"] > best["stamp"]):
            best = mine
        if best is None and self.founders:
            best = {"stamp": 0, "val": {}, "voters": self.founders, "prev": None}
        return best

    def _publish(self, shard: str, state: dict) -> None:
        if state["stamp"] > self._version():
            self.known = state

    # -- calls between nodes

    async def _call(self, address: str, verb: str, doc: dict, timeout_s: float = CALL_S):
        try:
            code, out, _ = await self._pool.to(address).call(verb, doc, timeout_s=timeout_s)
        except CallError:
            return None
        return out if code == 1000 else None

    async def _ask(self, address: str, verb: str, doc: dict):
        if address == self.address:
            return await self._calls.handle(verb, doc)
        return await self._call(address, verb, doc)

    def _make_handlers(self) -> Handlers:
        handlers = Handlers()
        on = handlers.on

        @on("part.prepare")
        async def _prepare(doc, body):
            return {"me": self.id, **await self.acceptor.prepare(doc["ballot"])}

        @on("part.accept")
        async def _accept(doc, body):
            return {"me": self.id, **await self.acceptor.accept(doc["ballot"], doc["state"])}

        @on("part.confirm")
        async def _confirm(doc, body):
            return {"me": self.id, **await self.acceptor.confirm(doc["ballot"])}

        @on("hello")
        async def _hello(doc, body):
            return {"id": self.id, "known": self.known}

        @on("run")
        async def _run(doc, body):
            return await self._run_here(doc["name"], doc["args"])

        @on("do")
        async def _do(doc, body):
            code, out = await self._command(doc["name"], doc["args"])
            if code != 1000:
                raise CallRefusedError(code, out)
            return out

        return handlers

    def _make_entry(self) -> Handlers:
        handlers = Handlers()

        @handlers.on("http")
        async def _http(doc, body):
            args = {}
            if doc["method"] != "GET":
                args = {"doc": orjson.loads(body), "match": int(doc["headers"]["If-Match"])}
            try:
                code, out = await self._command(_METHODS[doc["method"]], args)
            except CallRefusedError as refusal:
                code, out = refusal.code, None
            return {"status": CODES[code][0], "headers": {}}, orjson.dumps(out)

        return handlers

    async def _command(self, name: str, args: dict) -> tuple:
        """Run a command at the voter whose turn it is, or here: (code, document)."""
        base, now = self._base(), self.machine.loop.time()
        first = self._first(base["voters"], now) if base is not None else self.id
        if first in (None, self.id) or random.random() < MEDDLING:
            return await self._run_here(name, args)
        out = await self._call(base["voters"][first], "run", {"name": name, "args": args}, RUN_S)
        if out is None:
            raise CallRefusedError(UNREACHED)
        return tuple(out)

    async def _run_here(self, name: str, args: dict) -> tuple:
        try:
            return await self.proposer.execute(name, args, RUN_S)
        except UnclearResultError:
            raise CallRefusedError(UNREACHED) from None

    # -- duties

    async def _tend_loop(self) -> None:
        while True:
            await asyncio.sleep(random.uniform(*TEND_S))
            for host in self._deployment.hosts:
                if host != self.host:
                    await self._hear(f"{host}:{CALL_PORT}")
            try:
                await self._tend()
                if self.log.size > REWRITE_BYTES or random.random() < REWRITES:
                    await self.log.rewrite()
            except LogError:
                self.counters.add("sim.disk_refused")

    async def _hear(self, address: str) -> None:
        out = await self._call(address, "hello", {})
        if out is not None:
            self._cards[address], self._heard[address] = out["id"], self.machine.loop.time()
            if out["known"] is not None:
                self._publish(PART, out["known"])

    async def _tend(self) -> None:
        """Finish a change of the group; give a voter's place to another if it is silent, or has lost its disk."""
        base, now = self._base(), self.machine.loop.time()
        if base is None or not (self._first(base["voters"], now) == self.id or random.random() < MEDDLING):
            return
        if base["prev"]:
            await self.proposer.reconfigure({})
            return
        fresh = {i: a for a, i in self._cards.items() if i not in base["voters"] and now - self._heard[a] < FRESH_S}
        if self.id not in base["voters"]:
            fresh[self.id] = self.address
        for voter, address in base["voters"].items():
            if voter != self.id and fresh and self._lost(voter, address, now):
                node = next((i for i in fresh if fresh[i] == address), min(fresh))
                rest = {i: a for i, a in base["voters"].items() if i != voter}
                await self.proposer.reconfigure({**rest, node: fresh[node]})
                return

    def _first(self, voters: dict, now: float) -> str | None:
        """The first of the voters that were heard lately."""
        up = [v for v, a in voters.items() if self._cards.get(a) == v and now - self._heard.get(a, 0.0) < FRESH_S]
        if self.id in voters:
            up.append(self.id)
        return min(up, default=None)

    def _lost(self, voter: str, address: str, now: float) -> bool:
        if self._cards.get(address, voter) != voter or address == self.address:
            return True
        return now - max(self._started, self._heard.get(address, 0.0)) > SILENT_S
