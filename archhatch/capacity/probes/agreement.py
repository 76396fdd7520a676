"""What the parts cost: commands under a majority, the write-ahead log, configurations checked and made ready."""

from __future__ import annotations

import copy

import orjson

from ..needs import need
from ..probe import probe
from .made import Quiet, folder, plan, settle

VOTERS = 3


async def owner(folders: list, value: dict):
    """An owner over keepers with a write-ahead log each; calls between them are encoded as on a connection."""
    counters = need("runtime", "Counters")()
    wal = need("wal", "WriteAheadLog", "load", "append")
    keep = need("consensus", "Acceptor", "prepare", "accept", "confirm")
    books = [wal(f, "core") for f in folders]
    for b in books:
        b.load()
        b.start()
    keepers = {f"a{n}": keep("plan", b, counters) for n, b in enumerate(books)}
    base = {"stamp": 1, "val": value, "voters": {a: a for a in keepers}, "prev": None}

    async def asked(address, verb, doc):
        doc = orjson.loads(orjson.dumps(doc))
        one, proposal_number = keepers[address], tuple(doc["ballot"])
        if verb == "part.accept":
            out = await one.accept(proposal_number, doc["state"])
        else:
            out = await (one.prepare if verb == "part.prepare" else one.confirm)(proposal_number)
        return orjson.loads(orjson.dumps({"me": address, **out}))

    own = need("consensus", "Proposer", "execute")(
        "plan", "a0", need("control.registers", "commands"), asked, lambda: base, lambda *a: None, counters, 5.0
    )
    return own, books


async def _commands(n: int, change, times: int = 4):
    tmps = [folder() for _ in range(VOTERS)]
    own, books = await owner([t.name for t in tmps], {"plan": plan(n)})
    code, _ = await own.execute("noop", {})
    if code != 1000:
        raise ValueError(f"noop gives {code}")

    async def function():
        for k in range(times):
            code, doc = await own.execute(*change(k))
            if code != 1000:
                raise ValueError(f"a command gives {code}: {doc}")

    yield function, times
    await settle("asked")  # writes that the majority did not wait for
    for b in books:
        await b.close()
    for t in tmps:
        t.cleanup()


@probe("command.patch", "cpu", "one PATCH under 3 voters, all of them in one process", "routes", (50, 200, 800))
async def _patch(n):
    def change(k):
        row = {**plan(1)["RouteTable"][0], "TimeoutMs": 100 + k}
        return "plan.patch", {"doc": {"Revision": k + 2, "Upsert": {"RouteTable": [row]}}, "match": k + 1}

    async for got in _commands(n, change):
        yield got


@probe("command.read", "cpu", "one confirmed read under 3 voters, all of them in one process", "routes", (50, 200, 800))
async def _read(n):
    async for got in _commands(n, lambda k: ("plan.get", {})):
        yield got


@probe("command.bytes", "bytes", "a part's state, as each voter writes it for each change", "routes", (50, 200, 800))
async def _state_bytes(n):
    keeper = need("consensus", "Acceptor", "record")("plan", None, None)
    keeper.state = {"stamp": 1, "val": {"plan": plan(n)}, "voters": {"a": "10.0.0.1:1"}, "prev": None}
    yield (lambda: len(keeper.record())), 1


@probe("book.append", "cpu", "append records to a write-ahead log, synced", "records", (50, 200, 800))
async def _append(n):
    with folder() as path:
        wal = need("wal", "WriteAheadLog", "load", "append")(path, "tolls", Quiet())
        wal.load()
        wal.start()
        raws = [b"x" * 400] * n
        yield (lambda: wal.append(*raws)), 1
        await wal.close()


@probe("plan.check", "cpu", "check a configuration", "routes", (50, 200, 800))
async def _check(n):
    check, doc = need("routing", "read_configuration"), plan(n)
    yield (lambda: check(doc)), 1


@probe("plan.make", "cpu", "make a configuration ready for look-ups", "routes", (50, 200, 800))
async def _make(n):
    made, doc = need("routing", "RoutingTable", "from_document"), plan(n)
    yield (lambda: [made.from_document(doc) for _ in range(5)]), 5


@probe("plan.memory", "memory", "a configuration in hand, as JSON and as look-ups", "routes", (200, 800))
async def _memory(n):
    made, raw = need("routing", "RoutingTable", "from_document"), orjson.dumps(plan(n))
    yield (lambda: made.from_document(orjson.loads(raw))), 1


@probe("plan.merge", "cpu", "apply a change of one route", "routes", (50, 200, 800))
async def _merge(n):
    merge, doc = need("routing.patch", "merge"), plan(n)
    change = {"Revision": 2, "Upsert": {"RouteTable": [copy.deepcopy(doc["RouteTable"][0])]}}
    yield (lambda: [merge(doc, change) for _ in range(20)]), 20
