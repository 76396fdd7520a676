"""Measures a thousand changes of a large configuration: log, memory, bytes between nodes, start-up, catching up.

    PYTHONPATH=target/deps python3 benchmarks/thousand_changes.py [changes] [routes]

Three acceptors with real logs on this machine's disk and one proposer; one voter is cut off for the whole time. No
verdict: it prints what it saw.
"""

import asyncio
import os
import resource
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

import orjson

from archhatch.consensus import Acceptor, Proposer
from archhatch.control.agreement import REWRITE_BYTES, REWRITE_GROWTH
from archhatch.control.registers import commands
from archhatch.runtime import Counters
from archhatch.wal import WriteAheadLog

VOTERS = {name: name for name in "abc"}


def route(number: int, timeout: int) -> dict:
    return {
        "Name": f"route-{number:05d}",
        "HostName": "host.example",
        "PathPrefix": f"/prefix{number:05d}/",
        "RouteClass": "idempotent",
        "TimeoutMs": timeout,
        "TargetLatencyMs": 200,
        "Priority": 2,
        "Service": "service",
        "MaxAttempts": 2,
    }


class Voter:
    """An acceptor over a log of its own, which is rewritten as a control node's is."""

    def __init__(self, folder: str):
        self.folder = folder
        self.log = WriteAheadLog(folder, "core")
        self.acceptor = Acceptor("plan", self.log, Counters())
        for raw in self.log.load():
            self.acceptor.adopt(orjson.loads(raw))
        self.log.snapshot = lambda: [self.acceptor.record()]
        self.log.start()
        self.rewritten = self.largest = self.rewrites = 0

    async def tend(self) -> None:
        self.largest = max(self.largest, self.log.size)
        if self.log.size > REWRITE_BYTES and self.log.size > self.rewritten * REWRITE_GROWTH:
            await self.log.rewrite()
            self.rewritten, self.rewrites = self.log.size, self.rewrites + 1


async def main(changes: int, routes: int) -> None:
    folder = tempfile.mkdtemp()
    voters = {name: Voter(f"{folder}/{name}") for name in VOTERS}
    cut, sent = {"c"}, 0

    async def ask(address, verb, doc):
        nonlocal sent
        if address in cut:
            return None
        raw = orjson.dumps(doc)
        sent += len(raw) if address != "a" else 0
        doc, acceptor = orjson.loads(raw), voters[address].acceptor
        rest = [doc["state"]] if verb == "part.accept" else []
        return {"me": address, **await getattr(acceptor, verb.removeprefix("part."))(doc["ballot"], *rest)}

    base = {"stamp": 0, "val": {}, "voters": VOTERS, "prev": None}
    proposer = Proposer("plan", "a", commands, ask, lambda: base, lambda *a: None, Counters(), timeout_s=5.0)
    whole = {
        "Revision": 1,
        "RouteTable": [route(n, 1000) for n in range(routes)],
        "ServiceTable": [{"Name": "service", "HealthPath": "/health", "MaxConnections": 50}],
        "Limits": {},
    }
    assert (await proposer.execute("plan.put", {"doc": whole, "match": 0}))[0] == 1000
    before, began = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss, time.monotonic()
    for number in range(2, changes + 1):
        doc = {"Revision": number, "Upsert": {"RouteTable": [route(number % routes, number)]}}
        assert (await proposer.execute("plan.patch", {"doc": doc, "match": number - 1}))[0] == 1000
        for voter in voters.values():
            await voter.tend()
    took = time.monotonic() - began
    grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    state = voters["a"].acceptor.state
    print(f"configuration {len(orjson.dumps(whole)) / 1e3:.0f} KB, register {len(orjson.dumps(state)) / 1e3:.0f} KB")
    print(f"{changes} changes: {took / changes * 1e3:.1f} ms each, {sent / changes / 1e3:.0f} KB sent each")
    print(
        f"largest log {voters['a'].largest / 1e6:.2f} MB, {voters['a'].rewrites} rewrites, memory +{grown / 1e3:.1f} MB"
    )
    cut.clear()
    behind = voters["c"].acceptor.version
    began = time.monotonic()
    assert (await proposer.reconfigure({})) and (await proposer.execute("plan.get", {}))[0] == 1000
    doc = {"Revision": changes + 1, "Upsert": {"RouteTable": [route(0, 7)]}}
    assert (await proposer.execute("plan.patch", {"doc": doc, "match": changes}))[0] == 1000
    while voters["c"].acceptor.version < proposer.state.version:
        await asyncio.sleep(0)
    print(f"the voter that was cut off: {behind} -> {voters['c'].acceptor.version} in {time.monotonic() - began:.3f} s")
    for voter in voters.values():
        await voter.log.close()
    began = time.monotonic()
    again = Voter(f"{folder}/a")
    print(f"start-up from its log: {(time.monotonic() - began) * 1e3:.1f} ms, version {again.acceptor.version}")
    await again.log.close()


if __name__ == "__main__":
    asyncio.run(main(*[int(arg) for arg in sys.argv[1:]] or [1000, 600]))
