"""Rare requests go by a store of the zone, on a connection that it keeps; whatever comes of that, they are served."""

import asyncio
import types

import pytest
from tests.support.fakes import HandClock
from tests.data_plane.test_hedging import GOOD, Req, setup

from archhatch.routing import RoutingTable
from archhatch.runtime import Counters
from archhatch.rpc import CallError, CallRefusedError
from archhatch.upstream import AttemptResult, Delivery, Execution, LoadBalancer
from archhatch.upstream.proxied_request import ProxiedRequest
from archhatch.store.proxy import RequestProxy
from archhatch.data_plane.store_proxies import FREQUENT_REQUESTS, HALF_LIFE_S, Proxy, StoreProxies


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
    assert (got.store_id if got else None) == chosen and (got is None or got.address == f"{stores[chosen]['ip']}:7381")


def test_all_edges_of_a_zone_ask_the_same_store():
    stores = {name: member("z1") for name in "abcdef"}
    first = proxies(stores).choose("s", 0.0)
    assert all(proxies(dict(reversed(stores.items()))).choose("s", 0.0) == first for _ in range(5))
    assert len({proxies(stores).choose(f"s{n}", 0.0).store_id for n in range(40)}) > 2  # other services by others


def test_who_sends_often_keeps_connections_of_its_own():
    many, few = proxies({}), proxies({})
    said = [many.record_request("s", 0.1 * n) for n in range(4 * int(FREQUENT_REQUESTS))]
    assert all(said[: int(FREQUENT_REQUESTS) - 1]) and not any(said[2 * int(FREQUENT_REQUESTS) :])
    assert all(few.record_request("s", HALF_LIFE_S * n) for n in range(50))
    assert many.record_request("other", 1.0) and many.record_request("s", 100.0)  # by service, and forgotten in time


OK = (1000, {"ran": "yes", "status": 200, "heads": [["X-Archhatch-Reply-Seal", "s"]], "why": ""}, b"ok")
OUTCOMES = [  # what the store answers, ran, whether it rests then
    (OK, Execution.EXECUTED, False),
    ((1000, {"ran": "maybe", "status": 0, "heads": [], "why": "cut"}, b""), Execution.UNKNOWN, False),
    ((3002, None, b""), Execution.NOT_EXECUTED, False),  # its replicas are full: it is well
    ((2006, None, b""), Execution.NOT_EXECUTED, True),
    ((2008, None, b""), Execution.NOT_EXECUTED, True),
    ((5001, "fault", b""), Execution.UNKNOWN, True),
    (CallError("no way", sent=False), Execution.NOT_EXECUTED, True),
    (CallError("silent", sent=True), Execution.UNKNOWN, True),
]


@pytest.mark.parametrize("outcome, ran, rests", OUTCOMES)
def test_what_a_store_answers(run, outcome, ran, rests):
    async def go():
        lines = Lines(outcome)
        p = proxies({"a": member("z1")}, lines=lines)
        answer = await p.send(p.choose("s", 5.0), ProxiedRequest(*ASK.values()), b"body", lambda: 5.0)
        assert answer.execution is ran and lines.calls == [("10.0.0.1:7381", "request.send", ASK, b"body")]
        assert (p.choose("s", 5.5) is None) is rests and p.choose("s", 6.1) is not None

    run(go())


class FakeProxies:
    def __init__(self, answer, rare=True):
        self.answer, self.is_rare, self.sent = answer, rare, []

    def record_request(self, service, now):
        return self.is_rare

    def choose(self, service, now):
        return Proxy("a", "10.0.0.1:7381")

    async def send(self, proxy, request, body, now):
        self.sent.append(request)
        return self.answer


SENT = [  # kind, rare, warm, answer by the store, sends of its own, status
    ("idempotent", True, False, GOOD, 0, 200),
    ("idempotent", True, True, GOOD, 1, 200),  # a connection of its own is warm
    ("idempotent", False, False, GOOD, 1, 200),
    ("non_idempotent", True, False, GOOD, 1, 200),
    ("idempotent", True, False, AttemptResult(Execution.NOT_EXECUTED, reason="refused"), 1, 200),
    ("idempotent", True, False, AttemptResult(Execution.UNKNOWN, reason="cut"), 1, 200),
    ("idempotent", True, False, AttemptResult(Execution.NOT_EXECUTED, 503), 1, 200),
    ("idempotent", True, False, AttemptResult(Execution.EXECUTED, 500), 1, 200),
]


@pytest.mark.parametrize("kind, rare, warm, answer, own, status", SENT)
def test_a_request_by_a_store(run, kind, rare, warm, answer, own, status):
    async def go():
        fwd, route = setup([GOOD, GOOD], kind)
        fwd.proxies = FakeProxies(answer, rare)
        fwd.upstream_client.has_idle_connection = lambda address: warm
        res = await fwd.forward(Req, route, list(Req.headers.items()), b"")
        assert res.status == status and len(fwd.upstream_client.sent) == own
        assert {t.in_flight for t in fwd.load_balancer.replicas.values()} == {0}
        for request in fwd.proxies.sent:
            assert (request.request_id, request.method, request.target) == ("r", "POST", "/q/x")
            assert request.timeout_s > 0
            assert ("X-Archhatch-Deadline-Ms", "200") in request.headers

    run(go())


def test_one_try_is_never_on_more_replicas_than_it_may(run):
    async def go():
        fwd, route = setup([AttemptResult(Execution.NOT_EXECUTED, 503)] * 9, sends=3)
        fwd.proxies = FakeProxies(AttemptResult(Execution.NOT_EXECUTED, 503))
        fwd.upstream_client.has_idle_connection = lambda address: False
        assert (await fwd.forward(Req, route, list(Req.headers.items()), b"")).status == 503
        assert len(fwd.proxies.sent) + len(fwd.upstream_client.sent) == 3

    run(go())


def test_a_replica_that_a_store_did_not_send_to_is_not_used_up(run):
    """Guards against 503 while a replica is free: a store that has not heard of it refuses, and no other is left."""

    async def go():
        fwd, route = setup([GOOD], sends=1)
        fwd.proxies = FakeProxies(AttemptResult(Execution.NOT_EXECUTED, reason="store refused: 3002"))
        fwd.upstream_client.has_idle_connection = lambda address: False
        assert (await fwd.forward(Req, route, list(Req.headers.items()), b"")).status == 200
        assert len(fwd.proxies.sent) == len(fwd.upstream_client.sent) == 1

    run(go())


def test_heads_that_no_document_can_carry_go_directly(run):
    async def go():
        fwd, route = setup([GOOD])
        fwd.proxies = FakeProxies(GOOD)
        fwd.upstream_client.has_idle_connection = lambda address: False

        class Odd(Req):
            headers = {**Req.headers, "X-Name": "\udce9"}

        assert (await fwd.forward(Odd, route, list(Odd.headers.items()), b"")).status == 200 and not fwd.proxies.sent

    run(go())


def store(answers=(GOOD,), leaving=False, kind="idempotent", replicas=2):
    row = {"Name": "r", "HostName": "h", "PathPrefix": "/q/", "RouteClass": kind, "Service": "s"}
    load_balancer, sent = LoadBalancer("z1"), []
    load_balancer.apply_updates(
        [
            {"id": f"i{n}", "addr": f"a{n}:1", "service": "s", "zone": "z1", "slots": 2, "state": "up"}
            for n in range(replicas)
        ]
    )
    answers = list(answers)

    async def send(address, iid, method, target, heads, body, rid, timeout_s, mode, may_send, max_answer_bytes):
        sent.append((iid, method, target, heads, body, rid, mode, may_send()))
        assert load_balancer.replicas[iid].in_flight == 1
        return answers.pop(0)

    plan = RoutingTable.from_document({"Revision": 1, "RouteTable": [row], "ServiceTable": [{"Name": "s"}]})
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
        assert sent[0][1:] == ("POST", "/q/x?y=1", [("X-A", "1")], b"body", "r1", Delivery.AT_LEAST_ONCE, True)
        assert {t.in_flight for t in proxy.store.load_balancer.replicas.values()} == {0}

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
        fwd.upstream_client.has_idle_connection = lambda address: False
        task = asyncio.ensure_future(fwd.forward(Req, route, list(Req.headers.items()), b""))
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
                return AttemptResult(Execution.UNKNOWN)

            def suspend(self, proxy, now):
                rested.append(proxy.store_id)

        fwd.proxies = StandsStill(None)
        fwd.upstream_client.has_idle_connection = lambda address: False
        assert (await fwd.forward(Req, route, list(Req.headers.items()), b"")).status == 200
        assert rested == ["a"] and len(fwd.proxies.sent) == 1 and len(fwd.upstream_client.sent) == 1
        gate.set()
        await asyncio.gather(*fwd.outlived)

    run(go())
