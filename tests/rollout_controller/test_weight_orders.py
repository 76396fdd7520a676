"""Weight orders: at most one holder's, none too late, none unresolved; which engines load when."""

import asyncio
from types import SimpleNamespace

import orjson
import pytest
from transitions import Machine

from archhatch.routing import RoutingTable
from archhatch.runtime import StateBoard, Counters, open_logs
from archhatch.runtime.settings import check_settings
from archhatch.upstream import NotSentError
from archhatch.rollout_controller import Engines, WeightOrders
from archhatch.rollout_controller.leadership_term import TRANSITIONS
from archhatch.rollout_controller.replica_orders import OrderOutcome, ReplicaReport

BOOT = check_settings(
    {"NodeName": "n", "IpAddress": "1.1.1.1", "InternalPorts": [1, 9], "Bounds": {"LeaseMs": 300, "ContactMs": 300}}
)


class Resp:
    def __init__(self, status, doc, headers=None):
        self.status, self.doc, self.headers = status, doc, headers or {}

    async def read(self):
        return orjson.dumps(self.doc)

    def close(self):
        pass

    async def __aenter__(self):
        if self.status == 0:
            raise OSError("reset")
        if self.status == "late":
            raise NotSentError
        return self

    async def __aexit__(self, *a):
        return False


class FakeReplica:
    """Answers orders from a script, and reports what it holds."""

    def __init__(self, script=(), rev=1, count=0):
        self.script, self.rev, self.count, self.orders, self.reports = list(script), rev, count, [], 0
        self.dark, self.connecting = False, lambda: None

    def request(self, address, iid, method, target, heads, body, timeout_s, mode="", may_send=None):
        if target == "/api/report":
            self.reports += 1
            if self.dark:
                return Resp(0, {})
            return Resp(
                200, {"ModelList": [{"Name": "m", "Revision": self.rev}], "Utilization": False, "Sequence": self.count}
            )
        doc = orjson.loads(body)
        self.connecting()
        if not may_send():
            return Resp("late", {})
        self.orders.append(doc)
        status, taken = self.script.pop(0) if self.script else (202, True)
        if isinstance(status, dict):
            return Resp(202, {}, status)
        if taken:
            self.rev, self.count = doc["Revision"], self.count + 1
        return Resp(status, {})


class FakeLeadership:
    def __init__(self, clock):
        self.run, self.term, self.batch_jobs, self.state = "s", 7, {}, "holding"
        self.clock, self.allowed, self.noted, self.right_s = clock, True, [], 0.1

    def may_order(self, iid=None):
        return self.allowed

    async def record_order_intent(self, iid):
        self.noted.append(iid)
        return self.clock.now() + self.right_s

    def step_down(self):
        self.state = "over"


def setup(clock, replica, named=2, models=("m",), n=1):
    engines = Engines()
    engines.apply_entries(
        [
            {
                "id": f"e{i}",
                "addr": f"a{i}",
                "service": "s",
                "zone": "z",
                "slots": 4,
                "state": "up",
                "models": {m: 1 for m in models},
            }
            for i in range(n)
        ]
    )
    store = SimpleNamespace(
        settings=BOOT,
        state_board=StateBoard(),
        clock=clock,
        counters=Counters(),
        engines=engines,
        upstream_client=replica,
        log=open_logs("t", "CRITICAL"),
        heartbeat_interval_s=0.001,
        replica_pause_s=lambda: 0.02,
        named=lambda: {m: named for m in models},
        models_of=lambda run: list(models),
        plan=RoutingTable.from_document({"Revision": 1, "RouteTable": [], "ServiceTable": []}),
        leader=SimpleNamespace(lacks_replicas=lambda leadership, model: False),
        task_group=None,
    )
    store.leaderships = {"s": FakeLeadership(clock)}
    store.tasks = []
    store.task_group = SimpleNamespace(
        spawn=lambda name, function, *args: store.tasks.append(asyncio.ensure_future(function(*args)))
    )
    return store, store.leaderships["s"], WeightOrders(store)


async def send(orders, leadership, engine, until):
    request = orders.request_for(leadership, engine, "m", 2, "hold")
    return await orders.client.send(leadership, engine, request, until)


async def settle(orders):
    """Start what may start, until nothing is under way and nothing more starts."""
    tasks = orders.host.tasks
    while orders._start_next() or tasks:
        await asyncio.gather(*tasks)
        tasks.clear()


@pytest.mark.parametrize(
    "script, sent, rev",
    [
        ([(202, True)], 1, 2),
        ([(200, True)], 1, 2),
        ([(0, True)], 1, 2),  # no answer, but taken: the report shows it, nothing is ordered twice
        ([(409, False), (202, True)], 2, 2),
        ([(0, False), (202, True)], 2, 2),  # no answer and not taken: the report shows that too
        ([(500, False), (202, True)], 2, 2),
        ([(503, True)], 1, 2),  # an answer that says nothing of it
        ([({"X-Archhatch-Request-Id": "other"}, False), (202, True)], 2, 2),  # an answer of another request
        ([({"X-Archhatch-Reply-Seal": "s"}, False), (202, True)], 2, 2),
    ],
)
def test_an_order_is_cleared_up_before_the_next(run, clock, script, sent, rev):
    async def go():
        rep = FakeReplica(script)
        store, leadership, orders = setup(clock, rep)
        began = asyncio.get_running_loop().time()
        clock.now = lambda: 100.0 + asyncio.get_running_loop().time() - began
        await settle(orders)
        assert len(rep.orders) == sent and store.engines.all["e0"].revisions["m"] == rev
        assert all(o["FenceToken"] == 7 and o["Owner"] == "n" for o in rep.orders)
        assert len(leadership.noted) == sent and [o.get("ExpectedCount") for o in rep.orders] == [None, 0][:sent]

    run(go())


@pytest.mark.parametrize(
    "count, answer, age, seq, busy, clear, after",
    [
        (3, 0, 1.0, 3, False, True, 3),
        (3, 0, 0.01, 3, False, False, 3),  # the report may be older than the order
        (3, 0, 0.01, 4, False, True, 4),
        (3, 0, 1.0, 4, True, False, 3),  # it was taken; it is being carried out
        (3, 0, 1.0, 2, False, False, 3),
        (None, 0, 1.0, 7, False, True, 7),
        (None, 0, 0.01, 7, False, False, 7),
        (3, 409, 1.0, 5, False, True, 5),
        (3, 202, 1.0, 3, False, True, 4),
        (3, 412, 1.0, 3, False, True, 3),
    ],
)
def test_what_a_report_clears_up(run, clock, count, answer, age, seq, busy, clear, after):
    async def go():
        rep = FakeReplica([(answer, False)])
        store, leadership, orders = setup(clock, rep)
        e = store.engines.all["e0"]
        e.count = count
        await send(orders, leadership, e, clock.now() + 9)
        assert rep.orders[0].get("ExpectedCount") == count
        clock.at += age
        orders.client.apply_report(
            e, ReplicaReport.from_document({"Sequence": seq, "Utilization": busy, "ModelList": []}), clock.now()
        )
        assert (e.unresolved_order_at is None, e.count) == (clear, after)

    run(go())


def test_nothing_is_ordered_while_no_report_clears_up_what_became_of_the_last(run, clock):
    async def go():
        rep = FakeReplica([(0, False)])
        store, leadership, orders = setup(clock, rep)
        e = store.engines.all["e0"]
        assert await send(orders, leadership, e, clock.now() + 9) is OrderOutcome.UNKNOWN
        rep.dark = True
        for _ in range(3):
            clock.at += 1.0
            assert orders._start_next()
            await asyncio.gather(*store.tasks)
            store.tasks.clear()
            assert not orders._start_next()  # it is left alone for a while
        assert len(rep.orders) == 1 and rep.reports == 3 and store.counters.counts["order.still_unclear"] == 3
        rep.dark = False
        assert await orders.client.is_resolved(e) and e.count == 0

    run(go())


@pytest.mark.parametrize("why", ["deposed", "stood still"])
def test_no_order_after_a_thaw_while_it_connects(run, clock, why):
    async def go():
        rep = FakeReplica()
        store, leadership, orders = setup(clock, rep)

        def thaw():
            clock.at += 60.0 if why == "stood still" else 0.0
            leadership.allowed = why != "deposed"

        rep.connecting = thaw
        orders._start_next()
        await asyncio.gather(*store.tasks)
        assert rep.orders == [] and leadership.noted == ["e0"] and store.counters.counts["order.too_late"] == 1
        assert store.engines.all["e0"].unresolved_order_at is None and orders.loading_count == 0

    run(go())


@pytest.mark.parametrize("why", ["deposed", "stood still"])
def test_no_order_by_one_who_may_not(run, clock, why):
    async def go():
        rep = FakeReplica()
        store, leadership, orders = setup(clock, rep)
        if why == "deposed":
            leadership.allowed = False
        else:
            leadership.right_s = 0.0  # thawed after its note: the right to order has run out
        orders._start_next()
        await asyncio.gather(*store.tasks)
        assert rep.orders == [] and store.engines.all["e0"].held_models == set() and orders.loading_count == 0

    run(go())


@pytest.mark.parametrize(
    "n, models, short, loaded",
    [
        (4, ("m",), False, 4),  # one trainer: every replica
        (4, ("m", "k"), False, 2),  # two: an even share each
        (5, ("m", "k", "j"), False, 2),
        (4, ("m", "k"), True, 4),
    ],
)  # items wait for places: more of them
def test_how_many_load(clock, n, models, short, loaded):
    store, leadership, orders = setup(clock, FakeReplica(), models=models, n=n)
    store.leader.lacks_replicas = lambda r, m: short and m == "m"
    es = list(store.engines.all.values())
    got = 0
    while orders._needs_another(leadership, "m", es, 2) and got < n:
        es[got].record_revision("m", 2)
        got += 1
    assert got == loaded


TERM_TRANSITIONS = [
    ("reading", "gathered", "holding"),
    ("reading", "deposed", "over"),
    ("holding", "deposed", "over"),
    ("over", "deposed", "over"),
]


@pytest.mark.parametrize("state, sign, dest", TERM_TRANSITIONS)
def test_states_of_a_term(state, sign, dest):
    model = SimpleNamespace()
    Machine(
        model, states=["reading", "holding", "over"], initial=state, transitions=TRANSITIONS, auto_transitions=False
    )
    getattr(model, sign)()
    assert model.state == dest


@pytest.mark.parametrize("state", ["holding", "over"])
def test_nothing_is_gathered_twice(state):
    from transitions import MachineError

    model = SimpleNamespace()
    Machine(
        model, states=["reading", "holding", "over"], initial=state, transitions=TRANSITIONS, auto_transitions=False
    )
    with pytest.raises(MachineError):
        model.gathered()


MALFORMED_REPORTS = [
    b"5",
    b"{",
    b"{}",
    b'{"Sequence":"1"}',
    b'{"Sequence":true}',
    b'{"Sequence":-1}',
    b'{"Sequence":9,"Utilization":"no"}',
    b'{"Sequence":9,"ModelList":5}',
    b'{"Sequence":9,"ModelList":[{"Name":"m","Revision":5},{"Name":"n","Revision":"2"}]}',
    b'{"Sequence":9,"ModelList":[{"Name":"m"}]}',
    b'{"Sequence":9,"ModelList":[{"Name":"m","Revision":1e99}]}',
]


@pytest.mark.parametrize("body", MALFORMED_REPORTS)
def test_a_report_that_cannot_be_read_changes_nothing(run, clock, body):
    """Guards against half a report being taken up: the rows before a malformed one, or numbers that are none."""

    class Report(Resp):
        async def read(self):
            return body

    class ReportingReplica(FakeReplica):
        def request(self, *_args, **_kwargs):
            return Report(200, {})

    async def go():
        store, _, orders = setup(clock, ReportingReplica())
        engine = store.engines.all["e0"]
        known = (dict(engine.revisions), engine.count)
        assert await orders.client.read_report(engine) is None
        assert (engine.revisions, engine.count) == known and store.counters.counts["report.malformed"] == 1

    run(go())
