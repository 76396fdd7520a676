"""Subsetting: few replicas for each node, alike over all nodes, more when the few are taken; costs go by changes."""

import asyncio
from collections import Counter

import orjson
import pytest
from aiohttp import web
from tests.support.fakes import HandClock

from archhatch.membership import ReplicaRegistry
from archhatch.control.node import ControlNode
from archhatch.control.messages import Ping
from archhatch.control.peers import PeerReport
from archhatch.runtime import open_logs
from archhatch.runtime.settings import check_settings
from archhatch.upstream import UpstreamClient, LoadBalancer
from archhatch.upstream.subset import REPLICAS_OF_OWN_ZONE, Subset
from archhatch.rollout_controller import Engines

ZONES = ["z1", "z2", "z3", "z4"]


def ents(count, zones=ZONES, service="s", state="up"):
    return [
        {
            "id": f"i{n}",
            "addr": f"a{n}:1",
            "service": service,
            "zone": zones[n % len(zones)],
            "slots": 6,
            "state": state,
            "models": {"m": 1},
        }
        for n in range(count)
    ]


def load_balancer(me, count, zone="z1", **kwargs):
    p = LoadBalancer(zone, me, busy_share=0.5, **kwargs)
    p.apply_updates(ents(count))
    return p


@pytest.mark.parametrize("count", [1, 2, 5, 24, 400])
def test_blocks_hold_each_replica_once_and_the_first_each_zone(count):
    s = Subset("e1", "z1")
    for e in ents(count):
        s.add(e["id"], e["zone"], e)
    blocks = list(s.blocks())
    flat = [e["id"] for b in blocks for e in b]
    assert sorted(flat) == sorted(e["id"] for e in ents(count))
    own = [e for e in blocks[0] if e["zone"] == "z1"]
    assert blocks[0][: len(own)] == own and len(own) == min(REPLICAS_OF_OWN_ZONE, -(-count // 4))
    assert {e["zone"] for e in blocks[0]} == set(ZONES[:count]) and len(blocks[0]) <= REPLICAS_OF_OWN_ZONE + 3


@pytest.mark.parametrize("gone", ["i0", "i7", "i23"])
def test_a_change_moves_nothing_else(gone):
    s = Subset("e1", "z1")
    for e in ents(24):
        s.add(e["id"], e["zone"], e["id"])
    before = [x for b in s.blocks() for x in b if x != gone and int(x[1:]) % 4 == 0]
    s.remove(gone)
    s.remove(gone)
    assert [x for b in s.blocks() for x in b if int(x[1:]) % 4 == 0] == before
    s.add(gone, ZONES[int(gone[1:]) % 4], gone)
    assert sorted(x for b in s.blocks() for x in b) == sorted(e["id"] for e in ents(24))


@pytest.mark.parametrize(
    "edges, replicas, at_once, most",
    [(73, 24, 1, 3.0), (73, 24, 3, 1.8), (73, 16, 1, 2.5), (450, 100, 1, 3.0), (450, 100, 3, 1.8)],
)
def test_load_is_spread_over_the_replicas_by_many_edges(edges, replicas, at_once, most):
    load = Counter()
    for n in range(edges):
        p = load_balancer(f"edge-{n}", replicas, ZONES[n % 4])
        for _ in range(at_once):
            t = p.select_replica("s", set(), 0.0)
            t.in_flight += 1
            load[t.instance_id] += 1
    mean = edges * at_once / replicas
    assert max(load.values()) <= most * mean and len(load) >= 0.9 * replicas


def test_two_edges_of_a_zone_use_different_replicas():
    firsts = {load_balancer(f"edge-{n}", 400).select_replica("s", set(), 0.0).instance_id for n in range(10)}
    assert len(firsts) >= 9


@pytest.mark.parametrize("at_once, most", [(1, 1), (4, 4), (9, REPLICAS_OF_OWN_ZONE + 3)])
def test_an_edge_keeps_to_few_replicas(at_once, most):
    p, used = load_balancer("e", 10000), set()
    for _ in range(300):
        lines = []
        for _ in range(at_once):
            t = p.select_replica("s", set(), 0.0)
            t.in_flight += 1
            lines.append(t)
        used |= {t.instance_id for t in lines}
        for t in lines:
            t.in_flight -= 1
    assert len(used) <= most


@pytest.mark.parametrize("what", ["full", "resting", "tried", "draining"])
def test_more_are_used_when_all_of_the_subset_are(what):
    p = load_balancer("e", 40)
    first = list(next(iter(p.pools["s"].subset.blocks())))
    tried = {t.instance_id for t in first} if what == "tried" else set()
    for t in first:
        if what == "full":
            t.in_flight = 6
        if what == "resting":
            p.record_outcome(t, "vanished", 0.0)
        if what == "draining":
            p.apply_updates(
                [
                    {
                        "id": t.instance_id,
                        "addr": t.address,
                        "service": "s",
                        "zone": t.zone,
                        "slots": 6,
                        "state": "draining",
                    }
                ]
            )
    got = p.select_replica("s", tried, 0.1)
    assert got is not None and got not in first and got.zone == "z1"


def test_who_makes_all_calls_uses_all_replicas_before_it_waits():
    p = LoadBalancer("z1", "store")
    p.apply_updates(ents(40))
    for _ in range(40):
        p.select_replica("s", set(), 0.0).in_flight += 1
    assert {t.in_flight for t in p.replicas.values()} == {1}


@pytest.mark.parametrize(
    "warm, under_way, zone, picked",
    [
        (True, 0, "z1", "warm"),
        (True, 1, "z1", "cold"),  # busy: a new connection is cheaper than to wait
        (True, 0, "z2", "cold"),  # another zone: bytes between zones cost more
        (False, 0, "z1", "cold"),
    ],
)
def test_a_kept_connection_is_preferred(warm, under_way, zone, picked):
    kept = set()
    p = load_balancer("e", 12, has_idle_connection=lambda address: address in kept)
    first = p.select_replica("s", set(), 0.0)
    other = next(t for t in next(iter(p.pools["s"].subset.blocks())) if t is not first and t.zone == zone)
    other.in_flight = under_way
    if warm:
        kept.add(other.address)
    assert p.select_replica("s", set(), 0.0) is (other if picked == "warm" else first)


@pytest.mark.parametrize(
    "heads, at, stays",
    [
        (["3,0,6"], 0.1, True),  # half full; of the others nothing is known: taken to be as full
        (["3,0,6"], 9.0, True),  # long ago: nothing is known of any
        (["0,0,6", "6,9,6"], 0.1, False),
    ],
)  # much more than was usual
def test_a_word_on_load_does_not_send_requests_to_where_nothing_is_known(heads, at, stays):
    kept = set()
    p = load_balancer("e", 12, has_idle_connection=lambda address: address in kept)
    home = p.select_replica("s", set(), 0.0)
    kept.add(home.address)
    for head in heads:
        p.record_load(home, head, 0.0)
    assert (p.select_replica("s", set(), at) is home) is stays


@pytest.mark.parametrize("widen, looked", [(0.5, 8), (0.0, 1000)])
def test_when_all_are_busy_one_of_many_nodes_looks_at_some(widen, looked):
    p = LoadBalancer("z1", "e", busy_share=widen)
    p.apply_updates(ents(4000))
    for t in p.replicas.values():
        t.in_flight = 4
    blocks = []
    subset = p.pools["s"].subset
    made = subset.blocks
    subset.blocks = lambda: (blocks.append(b) or b for b in made())
    assert p.select_replica("s", set(), 0.0) is not None and len(blocks) >= min(looked, 333)
    assert widen == 0.0 or len(blocks) == looked


@pytest.mark.parametrize("at_once", [1, 3])
def test_connections_are_used_again_the_newest_first(run, at_once):
    async def go():
        conns = Counter()

        async def serve(request):
            conns[request.transport.get_extra_info("peername")] += 1
            return web.Response(
                headers={
                    "X-Archhatch-Request-Id": request.headers["X-Archhatch-Request-Id"],
                    "X-Archhatch-Reply-Seal": "s",
                }
            )

        srv = web.Server(serve, access_log=None)
        site = await asyncio.get_running_loop().create_server(srv, "127.0.0.1", 0)
        address, upstream_client = f"127.0.0.1:{site.sockets[0].getsockname()[1]}", UpstreamClient()

        async def ask(n):
            return await upstream_client.send(address, "i", "GET", "/", [("X-Archhatch-Request-Id", n)], b"", n, 5.0)

        assert not upstream_client.has_idle_connection(address)
        await asyncio.gather(*[ask(f"a{n}") for n in range(at_once)])
        assert upstream_client.has_idle_connection(address) and len(conns) == at_once
        before = Counter(conns)
        for n in range(4):
            assert (await ask(f"b{n}")).is_success
        assert len(conns) == at_once and sorted((conns - before).values()) == [4]  # one of them served all four
        await upstream_client.close()
        site.close()
        await srv.shutdown(0)

    run(go())


@pytest.mark.parametrize("pop", [False, True])
def test_engines_of_a_service_follow_the_changes(pop):
    es = Engines()
    es.apply_entries(
        ents(6, service="s") + [{**e, "id": "x" + e["id"], "addr": "x" + e["addr"]} for e in ents(2, service="t")]
    )
    assert [len(es.of_service(s)) for s in ("s", "t", "u")] == [6, 2, 0]
    if pop:
        es.all.pop("i0")  # as the dispatcher does with a life that ended
    else:
        es.apply_entries([{**ents(1)[0], "state": "gone"}])
    assert [e.instance_id for e in es.of_service("s")] == [f"i{n}" for n in range(1, 6)]
    es.apply_entries([{**ents(1)[0], "id": "new", "addr": "a1:1"}])
    assert [e.instance_id for e in es.of_service("s")] == [f"i{n}" for n in range(2, 6)] + [
        "new"
    ] and "i1" not in es.all


def settings(n):
    return check_settings(
        {
            "NodeName": f"c{n}",
            "Role": "core",
            "IpAddress": f"127.0.0.{n}",
            "Zone": "z1",
            "Bindings": {"ControlPlane": f"127.0.0.{n}:1"},
            "InternalPorts": [2, 3],
            "SeedPeers": ["127.0.0.1:1"],
            "Bootstrap": True,
            "DataDir": "/nowhere",
        }
    )


def core(n=1):
    c = ControlNode(settings(n), open_logs("test", "CRITICAL"), HandClock())
    c.id, c.has_majority_contact = f"c{n}", lambda: True
    return c


def test_later_beats_are_told_in_short_and_understood():
    a, b = core(1), core(2)
    for step, (seq, change) in enumerate([(1, {}), (2, {}), (3, {"models": {"m": 2}}), (4, {})]):
        for e in ents(3):
            a.registry.record_heartbeat(
                {
                    **e,
                    "seq": seq,
                    **(change if e["id"] == "i1" else {}),
                    **({"models": {"m": 2}} if e["id"] == "i1" and seq > 3 else {}),
                },
                a.clock.now(),
            )
        doc = orjson.loads(orjson.dumps(a.peers.ping_document(b.address)))
        assert ["state" in e for e in doc["roll"]] == [[True] * 3, [False] * 3, [False, True, False], [False] * 3][step]
        assert b.peers.merge_ping(Ping.from_document(doc)) is False
        a.peers.reports[b.address] = PeerReport(b.incarnation, a.registry.heartbeat_version)
        assert b.registry.replicas == a.registry.replicas
    assert a.peers.ping_document(b.address)["roll"] == []


@pytest.mark.parametrize("known, lack", [(True, False), (False, True)])
def test_one_that_forgot_says_so(known, lack):
    b = core()
    if known:
        b.registry.record_heartbeat({**ents(1)[0], "seq": 1}, 0.0)
    assert b.peers.merge_replicas([{"id": "i0", "seq": 2, "age": 0.5}]) is lack
    assert b.registry.replicas.get("i0", {}).get("seq") == (2 if known else None)


@pytest.mark.parametrize(
    "answer, acked",
    [
        ({"life": "x", "lack": False, "card": {"id": "b"}}, ("x", 3)),  # told up to the turn of the question
        ({"life": "x", "lack": True, "card": {"id": "b"}}, ("x", 0)),  # it lacks something: all again
        ({"life": "y", "lack": False, "card": {"id": "b"}}, ("y", 0)),
    ],
)  # another life: all again
def test_a_control_node_is_told_all_again_when_it_must(run, answer, acked):
    async def go():
        a = core()
        for e in ents(3):
            a.registry.record_heartbeat({**e, "seq": 1}, 0.0)
        a.peers.reports["b:1"] = PeerReport("x", 2)
        a.peers.merge_ping, a.check_serving = lambda out: False, lambda: True
        a.heartbeat_interval_s = 30.0  # one round only: its pause outlasts the test

        async def call(address, verb, doc):
            assert [e["id"] for e in doc["roll"]] == ["i2"]
            a.state_board.notify("asked")
            return answer

        a.call = call
        task = asyncio.ensure_future(a.peers.ping_loop("b:1"))
        await a.state_board.wait_for_change("asked", 0)
        await asyncio.sleep(0)
        told = a.peers.reports["b:1"]
        assert (told.incarnation, told.heartbeat_version) == acked
        task.cancel()

    run(go())


def test_short_beats_keep_the_order_of_turns():
    registry = ReplicaRegistry()
    for e in ents(3):
        registry.record_heartbeat({**e, "seq": 1}, 0.0)
    registry.record_heartbeat({**ents(3)[0], "seq": 2}, 0.0)
    assert [e["id"] for e in registry.heartbeats_since(2, 0.0)] == ["i2", "i0"]
    assert [("state" in e) for e in registry.heartbeats_since(2, 0.0)] == [True, False]
    registry.record_heartbeat({**ents(3)[1], "seq": 2, "zone": "other"}, 0.0)
    assert [e["id"] for e in registry.changes_since(2)] == ["i2", "i1"]


def test_news_of_one_turn_is_made_once_for_all_askers(run):
    async def go():
        c = core()
        for e in ents(3):
            c.registry.record_heartbeat({**e, "seq": 1}, 0.0)
        c.known["plan"] = {"stamp": 4, "voters": {}, "prev": None, "val": {"plan": {"Revision": 9}}}
        ask = {
            "who": {"id": "e", "klass": "edge"},
            "live": {},
            "busy": [],
            "hold": 0.0,
            "stamps": {},
            "life": c.incarnation,
        }
        one, two, three = [orjson.loads(await c.feed.answer({**ask, "turn": t})) for t in (0, 2, 0)]
        assert one == three and [e["id"] for e in one["roll"]] == ["i0", "i1", "i2"]
        assert [e["id"] for e in two["roll"]] == ["i2"] and one["parts"]["plan"]["val"]["plan"] == {"Revision": 9}
        made = c.feed.encoded_registry(0), c.feed.encoded_shard("plan", None)
        assert made == (c.feed.encoded_registry(0), c.feed.encoded_shard("plan", None))
        assert made[0] is c.feed.encoded_registry(0)
        c.registry.record_heartbeat({**ents(3)[2], "state": "draining", "seq": 2}, 0.0)
        c.known["plan"] = {"stamp": 5, "voters": {}, "prev": None, "val": {"plan": {"Revision": 10}}}
        last = orjson.loads(await c.feed.answer({**ask, "turn": 3}))
        assert [e["state"] for e in last["roll"]] == ["draining"] and last["parts"]["plan"]["stamp"] == 5
        other = orjson.loads(await c.feed.answer({**ask, "turn": 3, "life": "another core"}))
        assert len(other["roll"]) == 3

    run(go())
