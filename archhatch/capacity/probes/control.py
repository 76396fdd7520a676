"""What control nodes do: beats, rolls, pings between them, and the news for others."""

from __future__ import annotations

import itertools

import orjson

from ..needs import need
from ..probe import probe
from .made import Quiet, Sink, beat_body, settings, entry, plan

SOME = (1000, 3000, 9000)
OTHER = "10.0.0.2:1"  # another control node


def full_roll(n: int):
    registry = need(
        "membership.replica_registry",
        "ReplicaRegistry",
        "record_heartbeat",
        "changes_since",
        "sweep",
        "heartbeats_since",
    )()
    for i in range(n):
        registry.record_heartbeat(entry(i), 0.0)
    return registry


def core(n: int, routes: int = 0):
    """A control node's object that was never started, with a roll of n and a majority of one."""
    one = need("control.node", "ControlNode", "has_majority_contact", "check_serving")(settings(), Quiet())
    one.id = "f-127.0.0.1"
    one.known["plan"] = {
        "stamp": 5,
        "val": {"plan": plan(routes)} if routes else {},
        "prev": None,
        "voters": {one.id: one.address},
    }
    for i in range(n):
        one.registry.record_heartbeat(entry(i), one.clock.now())
    return one


async def serve(one, verb: str, doc: dict) -> int:
    """Answer one call as the desk does, encoded and framed; the bytes of the answer."""
    desk, env = need("rpc", "Server", "_run"), need("rpc", "Envelope")
    if not isinstance(one.rpc_server, desk):
        raise TypeError("ControlNode.rpc_server is no Server")
    sink = Sink()
    await one.rpc_server._run(env(call=1, verb=verb, head=orjson.dumps(doc)), sink, one.rpc_server.now())
    return sink.size


def ask(turn: int, incarnation: str, stamps: dict, hold: float = 0.0) -> dict:
    """An edge's question for news."""
    return {
        "live": {},
        "busy": [],
        "who": {"id": "e", "klass": "edge", "name": "e", "ip": "127.0.0.1", "zone": "z"},
        "stamps": stamps,
        "life": incarnation,
        "turn": turn,
        "hold": hold,
    }


@probe("roll.beat", "cpu", "fold one beat into the roll", "beats", SOME)
async def _beat(n):
    registry = full_roll(n)
    again = [entry(i, 2) for i in range(n)]

    def function():
        for ent in again:
            registry.record_heartbeat(ent, 1.0)

    yield function, 1


@probe("roll.since", "cpu", "look for changed entries, none changed", "replicas", SOME)
async def _since(n):
    registry = full_roll(n)

    def function():
        for _ in range(20):
            registry.changes_since(registry.version)

    yield function, 20


@probe("roll.sweep", "cpu", "one sweep for silent replicas", "replicas", SOME)
async def _sweep(n):
    registry = full_roll(n)

    def function():
        for _ in range(10):
            registry.sweep(1.0, 3.0)

    yield function, 10


@probe("roll.memory", "memory", "a roll in a control node", "replicas", (1000, 4000))
async def _memory(n):
    yield (lambda: full_roll(n)), 1


def told(n: int):
    """A control node that told another one all replicas, and since then heard a beat of each that says nothing new."""
    one = core(n)
    one.peers.reports[OTHER] = need("control.peers", "PeerReport")("x", one.registry.heartbeat_version)
    for i in range(n):
        one.registry.record_heartbeat(entry(i, 2), one.clock.now())
    return one


@probe("ping.make", "cpu", "make, encode and frame a ping with beats that say nothing new", "beats", (100, 400, 1600))
async def _ping(n):
    one, pack, env = told(n), need("rpc.framing", "pack"), need("rpc", "Envelope")

    def function():
        for _ in range(10):
            pack(env(call=1, verb="core.ping", head=orjson.dumps(one.peers.ping_document(OTHER))))

    yield function, 10


@probe("ping.take", "cpu", "read a ping with beats that say nothing new and fold it", "beats", (100, 400, 1600))
async def _take(n):
    here, there = core(0), core(n)
    there.id = here.id  # the card of the same node: no second ping loop is begun
    ping = need("control.messages", "Ping", "from_document")
    here.peers.merge_ping(
        ping.from_document(orjson.loads(orjson.dumps(there.peers.ping_document(OTHER))))
    )  # the whole entries
    there.peers.reports[OTHER] = need("control.peers", "PeerReport")("x", there.registry.heartbeat_version)
    raws = []
    for k in range(5):
        for i in range(n):
            there.registry.record_heartbeat(entry(i, k + 2), there.clock.now())
        raws.append(orjson.dumps(there.peers.ping_document(OTHER)))

    def function():
        for raw in raws:
            if here.peers.merge_ping(ping.from_document(orjson.loads(raw))):
                raise ValueError("a beat told in short was not known")

    yield function, 5
    await here.task_group.cancel_all()


@probe("ping.bytes", "bytes", "a framed ping with beats that say nothing new", "beats", (100, 400, 1600))
async def _ping_bytes(n):
    one, pack, env = told(n), need("rpc.framing", "pack"), need("rpc", "Envelope")
    yield (lambda: len(pack(env(call=1, verb="core.ping", head=orjson.dumps(one.peers.ping_document(OTHER)))))), 1


@probe("ping.whole_bytes", "bytes", "a framed ping with changed entries", "entries", (100, 400, 1600))
async def _ping_whole(n):
    one, pack, env = core(n), need("rpc.framing", "pack"), need("rpc", "Envelope")
    yield (lambda: len(pack(env(call=1, verb="core.ping", head=orjson.dumps(one.peers.ping_document(OTHER)))))), 1


@probe("ping.live_bytes", "bytes", "words about live requests in a ping", "words", (50, 200, 800))
async def _live_bytes(n):
    one = core(0)
    for i in range(n):
        one.live.record_edge(f"edge-region-{i % 421}", {f"service-{i // 421:02d}": 3.25}, one.clock.now())
    yield (lambda: len(orjson.dumps(one.peers.ping_document(OTHER)))), 1


@probe("news.whole", "cpu", "answer a new reader with the whole roll", "replicas", (500, 1500, 4500))
async def _whole(n):
    one = core(n)

    async def function():
        for _ in range(5):
            await serve(one, "news", ask(0, "", {}))

    yield function, 5


@probe("news.one", "cpu", "answer a reader with one changed entry", "replicas", SOME)
async def _one(n):
    one = core(n)

    async def function():
        for _ in range(30):
            await serve(one, "news", ask(one.registry.version - 1, one.incarnation, {"plan": 5}))

    yield function, 30


@probe("news.bytes", "bytes", "an answer with changed entries", "entries", (100, 400, 1600))
async def _bytes(n):
    one = core(n)
    yield (lambda: serve(one, "news", ask(0, one.incarnation, {"plan": 5}))), 1


@probe("news.plan_bytes", "bytes", "an answer with the whole configuration", "routes", (50, 200, 800))
async def _plan_bytes(n):
    one = core(0, n)
    yield (lambda: serve(one, "news", ask(0, one.incarnation, {}))), 1


@probe("news.plan", "cpu", "answer a reader with the whole configuration", "routes", (50, 200, 800))
async def _plan(n):
    one = core(0, n)

    async def function():
        for _ in range(10):
            await serve(one, "news", ask(0, one.incarnation, {}))

    yield function, 10


@probe("beat.call", "cpu", "decode, fold and answer a beat, without its HTTP", "beats", (500, 1000, 2000))
async def _call(n):
    one, decode = core(n), need("control.api_requests", "decode")
    need("control.admin_api", "AdminApi", "record_heartbeat")
    raws = [(f"/api/instances/{entry(i)['id']}", beat_body(i, 9)) for i in range(n)]

    async def function():
        for path, raw in raws:
            await one.admin_api.record_heartbeat(decode("PUT", path, {}, raw))

    yield function, 1


@probe("news.fold", "cpu", "fold changed entries at a reader", "entries", SOME)
async def _fold(n):
    reader = made_reader()
    seqs = itertools.count(1)

    def function():
        reader.apply_answer(feed_answer(next(seqs), fresh))

    fresh = [entry(i) for i in range(n)]
    yield function, 1


def made_reader():
    """A reader of news that asks nobody."""
    b, frame = settings(), "runtime"
    return need("membership", "ConfigWatcher", "apply_answer", "take_changed_replicas")(
        b, {"id": "e"}, None, need(frame, "StateBoard")(), need(frame, "Clock")(), need(frame, "Counters")()
    )


def feed_answer(version: int, entries: list):
    """An answer of the feed that brings entries of replicas and nothing else."""
    document = {"life": "x", "turn": version, "cores": [], "parts": {}, "busy": {}, "roll": entries}
    return need("membership", "FeedAnswer", "from_document").from_document(document)


@probe("news.memory", "memory", "a roll in a reader of news", "replicas", (1000, 4000))
async def _reader_memory(n):
    def function():
        reader = made_reader()
        raw = orjson.dumps([entry(i) for i in range(n)])
        reader.apply_answer(feed_answer(1, orjson.loads(raw)))
        reader.take_changed_replicas()
        return reader

    yield function, 1
