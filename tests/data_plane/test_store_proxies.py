"""Rare requests go by a store of the zone, on a connection that it keeps; whatever comes of that, they are served."""

import asyncio
import types

import pytest
from tests.support.fakes import HandClock
from tests.data_plane.test_hedging import GOOD, Req, setup

from archhatch.routing import RoutingTable
from archhatch.runtime import Counters
from archhatch.rpc import CallError, CallRefusedError
from archhatch.upstream import Answer, LoadBalancer, Ran
from archhatch.store.proxy import RequestProxy
from archhatch.data_plane.store_proxies import HALF_S, RARE, Proxy, StoreProxies


def member(zone, state="active", n=1):
    return {"ip": f"10.0.0.{n}", "zone": zone, "state": state}


class Lines:
    """Calls to stores: gives an answer, or raises."""

    def __init__(self, *answers):
        self.answers, self.calls = list(answers), []

    def to(self, address):
        async def call(verb, doc, body, timeout_s):
            self.calls.append((address, verb, doc, body))
            out = self.answers.pop(0)
            if isinstance(out, Exception):
                raise out
            return out

        return types.SimpleNamespace(call=call)


def proxies(stores, tenures=None, lines=None):
    shards = {"plan": {"stores": stores}, "p0": {"tenures": tenures or {}}}
    config_watcher = types.SimpleNamespace(shards=shards)
    return StoreProxies(config_watcher, lines or Lines(), 7381, "z1", 1.0, Counters())


CHOICES = [  # stores, holders, whether one is chosen
    ({}, [], None),
    ({"a": member("z2")}, [], None),  # none in this zone
    ({"a": member("z1", "leaving")}, [], None),
    ({"a": member("z1")}, [], "a"),
    ({"a": member("z1"), "b": member("z2")}, [], "a"),
    ({"a": member("z1")}, ["a"], None),  # it leads a run, and has other work
    ({"a": member("z1"), "b": member("z1", n=2)}, ["a"], "b"),
]


@pytest.mark.parametrize("stores, holders, chosen", CHOICES)
def test_the_store_that_is_asked(stores, holders, chosen):
    got = proxies(stores, {f"r{n}": {"holder": h} for n, h in enumerate(holders)}).choose("s", 0.0)
    assert (got.sid if got else None) == chosen and (got is None or got.address == f"{stores[chosen]['ip']}:7381")


def test_all_edges_of_a_zone_ask_the_same_store():
    stores = {name: member("z1") for name in "abcdef"}
    first = proxies(stores).choose("s", 0.0)
    assert all(proxies(dict(reversed(stores.items()))).choose("s", 0.0) == first for _ in range(5))
    assert len({proxies(stores).choose(f"s{n}", 0.0).sid for n in range(40)}) > 2  # other services by others


def test_who_sends_often_keeps_connections_of_its_own():
    many, few = proxies({}), proxies({})
    said = [many.rare("s", 0.1 * n) for n in range(4 * int(RARE))]
    assert all(said[: int(RARE) - 1]) and not any(said[2 * int(RARE) :])
    assert all(few.rare("s", HALF_S * n) for n in range(50))
    assert many.rare("other", 1.0) and many.rare("s", 100.0)  # by service, and forgotten in time


OK = (1000, {"ran": "yes", "status": 200, "heads": [["X-Archhatch-Reply-Seal", "s"]], "why": ""}, b"ok")
OUTCOMES = [  # what the store answers, ran, whether it rests then
    (OK, Ran.YES, False),
    ((1000, {"ran": "maybe", "status": 0, "heads": [], "why": "cut"}, b""), Ran.MAYBE, False),
    ((3002, None, b""), Ran.NO, False),  # its replicas are full: it is well
    ((2006, None, b""), Ran.NO, True),
    ((2008, None, b""), Ran.NO, True),
    ((5001, "fault", b""), Ran.MAYBE, True),
    (CallError("no way", sent=False), Ran.NO, True),
    (CallError("silent", sent=True), Ran.MAYBE, True),
]


@pytest.mark.parametrize("outcome, ran, rests", OUTCOMES)
def test_what_a_store_answers(run, outcome, ran, rests):
    async def go():
        lines = Lines(outcome)
        p = proxies({"a": member("z1")}, lines=lines)
        answer = await p.send(p.choose("s", 5.0), {"x": 1}, b"body", 1.0, lambda: 5.0)
        assert answer.ran is ran and lines.calls == [("10.0.0.1:7381", "request.send", {"to": "a", "x": 1}, b"body")]
        assert (p.choose("s", 5.5) is None) is rests and p.choose("s", 6.1) is not None

    run(go())


class FakeProxies:
    def __init__(self, answer, rare=True):
        self.answer, self.is_rare, self.sent = answer, rare, []

    def rare(self, service, now):
        return self.is_rare

    def choose(self, service, now):
        return Proxy("a", "10.0.0.1:7381")

    async def send(self, proxy, doc, body, timeout_s, now):
        self.sent.append(doc)
        return self.answer


SENT = [  # kind, rare, warm, answer by the store, sends of its own, status
    ("idempotent", True, False, GOOD, 0, 200),
    ("idempotent", True, True, GOOD, 1, 200),  # a connection of its own is warm
    ("idempotent", False, False, GOOD, 1, 200),
    ("non_idempotent", True, False, GOOD, 1, 200),
    ("idempotent", True, False, Answer(Ran.NO, why="refused"), 1, 200),
    ("idempotent", True, False, Answer(Ran.MAYBE, why="cut"), 1, 200),
    ("idempotent", True, False, Answer(Ran.NO, 503), 1, 200),
    ("idempotent", True, False, Answer(Ran.YES, 500), 1, 200),
]


@pytest.mark.parametrize("kind, rare, warm, answer, own, status", SENT)
def test_a_request_by_a_store(run, kind, rare, warm, answer, own, status):
    async def go():
        fwd, route = setup([GOOD, GOOD], kind)
        fwd.proxies = FakeProxies(answer, rare)
        fwd.upstream_client.idle = lambda address: warm
        res = await fwd.run(Req, route, list(Req.headers.items()), b"")
        assert res.status == status and len(fwd.upstream_client.sent) == own
        assert {t.under_way for t in fwd.load_balancer.all.values()} == {0}
        for doc in fwd.proxies.sent:
            assert (doc["rid"], doc["method"], doc["target"]) == ("r", "POST", "/q/x") and doc["secs"] > 0
            assert ("X-Archhatch-Deadline-Ms", "200") in doc["heads"]

    run(go())


def test_one_try_is_never_on_more_replicas_than_it_may(run):
    async def go():
        fwd, route = setup([Answer(Ran.NO, 503)] * 9, sends=3)
        fwd.proxies = FakeProxies(Answer(Ran.NO, 503))
        fwd.upstream_client.idle = lambda address: False
        assert (await fwd.run(Req, route, list(Req.headers.items()), b"")).status == 503
        assert len(fwd.proxies.sent) + len(fwd.upstream_client.sent) == 3

    run(go())


def test_heads_that_no_document_can_carry_go_directly(run):
    async def go():
        fwd, route = setup([GOOD])
        fwd.proxies = FakeProxies(GOOD)
        fwd.upstream_client.idle = lambda address: False

        class Odd(Req):
            headers = {**Req.headers, "X-Name": "\udce9"}

        assert (await fwd.run(Odd, route, list(Odd.headers.items()), b"")).status == 200 and not fwd.proxies.sent

    run(go())


def store(answers=(GOOD,), leaving=False, kind="idempotent", replicas=2):
    row = {"Name": "r", "HostName": "h", "PathPrefix": "/q/", "RouteClass": kind, "Service": "s"}
    load_balancer, sent = LoadBalancer("z1"), []
    load_balancer.fold(
        [
            {"id": f"i{n}", "addr": f"a{n}:1", "service": "s", "zone": "z1", "slots": 2, "state": "up"}
            for n in range(replicas)
        ]
    )
    answers = list(answers)

    async def send(address, iid, method, target, heads, body, rid, timeout_s, mode, may_send):
        sent.append((iid, method, target, heads, body, rid, mode, may_send()))
        assert load_balancer.all[iid].under_way == 1
        return answers.pop(0)

    plan = RoutingTable({"Revision": 1, "RouteTable": [row], "ServiceTable": [{"Name": "s"}]})
    state_board = types.SimpleNamespace(notify=lambda name: None)
    upstream_client = types.SimpleNamespace(send=send)
    st = types.SimpleNamespace(
        plan=plan,
        load_balancer=load_balancer,
        upstream_client=upstream_client,
        clock=HandClock(),
        leaving=leaving,
        counters=Counters(),
        state_board=state_board,
    )
    return RequestProxy(st), sent


ASK = {
    "to": "a",
    "service": "s",
    "host": "h",
    "method": "POST",
    "target": "/q/x?y=1",
    "heads": [["X-A", "1"]],
    "rid": "r1",
    "tried": [],
    "secs": 1.0,
}
ASKED = [  # change of the call, the store, refusal
    ({}, {}, None),
    ({"host": "other"}, {}, 2006),
    ({"target": "/other/"}, {}, 2006),
    ({"service": "t"}, {}, 2006),  # the edge's configuration leads elsewhere
    ({}, {"kind": "non_idempotent"}, 2006),
    ({}, {"leaving": True}, 3005),
    ({}, {"replicas": 0}, 3002),
    ({"tried": ["i0", "i1"]}, {}, 3002),
]


@pytest.mark.parametrize("change, made, refusal", ASKED)
def test_what_a_store_sends_for_an_edge(run, change, made, refusal):
    async def go():
        proxy, sent = store(**made)
        if refusal is not None:
            with pytest.raises(CallRefusedError) as e:
                await proxy.send({**ASK, **change}, b"body")
            assert e.value.code == refusal and not sent
            return
        doc, body = await proxy.send({**ASK, **change}, b"body")
        assert (doc["ran"], doc["status"], body) == ("yes", 200, b"ok")
        assert sent[0][1:] == ("POST", "/q/x?y=1", [("X-A", "1")], b"body", "r1", "again", True)
        assert {t.under_way for t in proxy.store.load_balancer.all.values()} == {0}

    run(go())


def test_a_store_that_knows_no_configuration_sends_nothing(run):
    async def go():
        proxy, sent = store()
        proxy.store.plan = None
        with pytest.raises(CallRefusedError) as e:
            await proxy.send(ASK, b"")
        assert e.value.code == 3004 and not sent

    run(go())


def test_a_client_that_leaves_ends_what_a_store_was_asked_for(run):
    async def go():
        fwd, route = setup([])
        gate = asyncio.Event()

        class Waits(FakeProxies):
            async def send(self, *args):
                self.sent.append(args)
                await gate.wait()

        fwd.proxies = Waits(None)
        fwd.upstream_client.idle = lambda address: False
        task = asyncio.ensure_future(fwd.run(Req, route, list(Req.headers.items()), b""))
        while not fwd.proxies.sent:
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled() and not fwd.upstream_client.sent and not fwd.outlived

    run(go())


def test_a_store_that_stands_still_costs_one_early_send_and_then_rests(run):
    async def go():
        fwd, route = setup([GOOD])
        gate, rested = asyncio.Event(), []

        class StandsStill(FakeProxies):
            async def send(self, *args):
                self.sent.append(args[1])
                await gate.wait()
                return Answer(Ran.MAYBE)

            def rest(self, proxy, now):
                rested.append(proxy.sid)

        fwd.proxies = StandsStill(None)
        fwd.upstream_client.idle = lambda address: False
        assert (await fwd.run(Req, route, list(Req.headers.items()), b"")).status == 200
        assert rested == ["a"] and len(fwd.proxies.sent) == 1 and len(fwd.upstream_client.sent) == 1
        gate.set()
        await asyncio.gather(*fwd.outlived)

    run(go())
