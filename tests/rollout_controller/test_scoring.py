"""Reward calls: who goes first, how many at once, and no place lost."""

import asyncio
from types import SimpleNamespace

import pytest

from archhatch.routing import RoutingTable
from archhatch.runtime import StateBoard, Counters
from archhatch.upstream import AttemptResult, LoadBalancer, Execution, Delivery
from archhatch.rollout_controller.load_limit import LoadLimit
from archhatch.rollout_controller.scoring import Scoring

PLAN = RoutingTable.from_document(
    {
        "Revision": 1,
        "ServiceTable": [{"Name": "s"}],
        "RouteTable": [
            {
                "Name": "r",
                "HostName": "h",
                "PathPrefix": "/q/",
                "RouteClass": "idempotent",
                "TimeoutMs": 1000,
                "TargetLatencyMs": 100,
                "Service": "s",
                "MaxAttempts": 3,
            }
        ],
    }
)


class FakeCaller:
    def __init__(self, answers=None):
        self.order, self.answers, self.gate = [], answers or {}, asyncio.Event()

    async def send(self, address, iid, method, target, heads, body, rid, timeout_s, mode, may_send=None):
        assert mode == Delivery.AT_LEAST_ONCE  # reward calls may be repeated
        self.order.append(rid)
        await self.gate.wait()
        left = self.answers.get(rid) or [200]
        status = left.pop(0)
        if status == 0:
            return AttemptResult(Execution.UNKNOWN)
        return AttemptResult(Execution.EXECUTED, status, [("X-Archhatch-Reply-Seal", f"seal.{rid}")])


def setup(clock, answers=None, slots=2):
    load_balancer = LoadBalancer("z")
    load_balancer.apply_updates(
        [{"id": "i", "addr": "a:1", "service": "s", "zone": "z", "slots": slots, "state": "up"}]
    )
    store = SimpleNamespace(
        state_board=StateBoard(),
        clock=clock,
        counters=Counters(),
        plan=PLAN,
        load_balancer=load_balancer,
        heartbeat_interval_s=0.01,
        upstream_client=FakeCaller(answers),
        replica_pause_s=lambda: 0.0,
    )
    return store, Scoring(store, LoadLimit())


def work(name):
    return SimpleNamespace(
        item=SimpleNamespace(scorer={"InstanceId": name, "HostName": "h", "Path": "/q/1"}), score_fails=0
    )


def test_most_urgent_first_and_no_more_than_the_places(run, clock):
    async def go():
        store, sc = setup(clock)
        tasks = [
            asyncio.ensure_future(sc.score(work(n), key))
            for n, key in [("late", (True, 1, 0)), ("b", (False, 2, 0)), ("a", (False, 1, 1)), ("first", (False, 1, 0))]
        ]
        loop = asyncio.ensure_future(sc.run())
        while len(store.upstream_client.order) < 2:
            await store.state_board.wait_for_change("nothing", 0, 0.01)
        assert store.upstream_client.order == ["first", "a"] and store.load_balancer.replicas["i"].in_flight == 2
        store.upstream_client.gate.set()
        assert await asyncio.gather(*tasks) == ["seal.late", "seal.b", "seal.a", "seal.first"]
        assert store.upstream_client.order[2:] == ["b", "late"] and store.load_balancer.replicas["i"].in_flight == 0
        loop.cancel()

    run(go())


@pytest.mark.parametrize(
    "statuses, out, sends",
    [
        ([200], "seal.x", 1),
        ([500, 200], "seal.x", 2),
        ([500, 500, 500], None, 3),
        ([0, 0, 0, 0, 200], "seal.x", 5),
        ([503, 500, 500, 200], "seal.x", 4),
    ],
)
def test_only_answers_of_500_use_up_the_sends(run, clock, statuses, out, sends):
    async def go():
        store, sc = setup(clock, {"x": list(statuses)})
        store.upstream_client.gate.set()
        loop = asyncio.ensure_future(sc.run())
        assert await sc.score(work("x"), (False, 0, 0)) == out
        assert len(store.upstream_client.order) == sends and store.load_balancer.replicas["i"].in_flight == 0
        loop.cancel()

    run(go())


def test_a_place_that_comes_as_the_job_ends_is_not_lost(run, clock):
    async def go():
        store, sc = setup(clock)
        tasks = [asyncio.ensure_future(sc.score(work(n), (False, 0, n))) for n in "abc"]
        await store.state_board.wait_for_change("nothing", 0, 0.001)
        assert sc._assign_one()
        for t in tasks:
            t.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert store.load_balancer.replicas["i"].in_flight == 0 and not sc._assign_one() and sc.waiting == []

    run(go())


def test_calls_that_must_wait_do_not_hold_up_the_others(run, clock):
    async def go():
        store, sc = setup(clock, slots=2)
        touch = {"b": False}

        def one(name):
            w = work(name)
            w.may_send = lambda: touch.get(name, True)
            return w

        nowhere = one("nowhere")
        nowhere.item.scorer["HostName"] = "unknown"
        tasks = [
            asyncio.ensure_future(sc.score(w, key))
            for w, key in [(nowhere, (0,)), (one("b"), (1,)), (one("c"), (2,)), (one("d"), (3,))]
        ]
        loop = asyncio.ensure_future(sc.run())
        while len(store.upstream_client.order) < 2:
            await store.state_board.wait_for_change("nothing", 0, 0.01)
        assert store.upstream_client.order == ["c", "d"]  # the first has no lane, the second's leader is out of touch
        store.upstream_client.gate.set()
        assert [await t for t in tasks[2:]] == ["seal.c", "seal.d"]
        touch["b"] = True
        store.state_board.notify("score")
        assert await tasks[1] == "seal.b"
        tasks[0].cancel()
        await asyncio.wait([tasks[0]])
        sc._assign_one()
        assert not sc.waiting and store.load_balancer.replicas["i"].in_flight == 0
        loop.cancel()

    run(go())
