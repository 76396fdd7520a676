"""Reward calls: who goes first, how many at once, and no place lost."""

import asyncio
from types import SimpleNamespace

import pytest

from archhatch.routing import RoutingTable
from archhatch.runtime import StateBoard, Counters
from archhatch.upstream import AGAIN, Answer, LoadBalancer, Ran
from archhatch.rollout_controller.load_limit import LoadLimit
from archhatch.rollout_controller.scoring import Scoring

PLAN = RoutingTable(
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

    async def send(self, addr, iid, method, target, heads, body, rid, secs, mode, may_send=None):
        assert mode == AGAIN  # reward calls may be repeated
        self.order.append(rid)
        await self.gate.wait()
        left = self.answers.get(rid) or [200]
        status = left.pop(0)
        if status == 0:
            return Answer(Ran.MAYBE)
        return Answer(Ran.YES, status, [("X-Archhatch-Reply-Seal", f"seal.{rid}")])


def setup(clock, answers=None, slots=2):
    picker = LoadBalancer("z")
    picker.fold([{"id": "i", "addr": "a:1", "service": "s", "zone": "z", "slots": slots, "state": "up"}])
    st = SimpleNamespace(
        board=StateBoard(),
        clock=clock,
        ctr=Counters(),
        plan=PLAN,
        picker=picker,
        beat_s=0.01,
        caller=FakeCaller(answers),
        gap_s=lambda: 0.0,
    )
    return st, Scoring(st, LoadLimit())


def work(name):
    return SimpleNamespace(
        item=SimpleNamespace(scorer={"InstanceId": name, "HostName": "h", "Path": "/q/1"}), score_fails=0
    )


def test_most_urgent_first_and_no_more_than_the_places(run, clock):
    async def go():
        st, sc = setup(clock)
        tasks = [
            asyncio.ensure_future(sc.score(work(n), key))
            for n, key in [("late", (True, 1, 0)), ("b", (False, 2, 0)), ("a", (False, 1, 1)), ("first", (False, 1, 0))]
        ]
        loop = asyncio.ensure_future(sc.run())
        while len(st.caller.order) < 2:
            await st.board.news("nothing", 0, 0.01)
        assert st.caller.order == ["first", "a"] and st.picker.all["i"].under_way == 2
        st.caller.gate.set()
        assert await asyncio.gather(*tasks) == ["seal.late", "seal.b", "seal.a", "seal.first"]
        assert st.caller.order[2:] == ["b", "late"] and st.picker.all["i"].under_way == 0
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
        st, sc = setup(clock, {"x": list(statuses)})
        st.caller.gate.set()
        loop = asyncio.ensure_future(sc.run())
        assert await sc.score(work("x"), (False, 0, 0)) == out
        assert len(st.caller.order) == sends and st.picker.all["i"].under_way == 0
        loop.cancel()

    run(go())


def test_a_place_that_comes_as_the_lot_ends_is_not_lost(run, clock):
    async def go():
        st, sc = setup(clock)
        tasks = [asyncio.ensure_future(sc.score(work(n), (False, 0, n))) for n in "abc"]
        await st.board.news("nothing", 0, 0.001)
        assert sc._place_one()
        for t in tasks:
            t.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert st.picker.all["i"].under_way == 0 and not sc._place_one() and sc.inbox == []

    run(go())


def test_calls_that_must_wait_do_not_hold_up_the_others(run, clock):
    async def go():
        st, sc = setup(clock, slots=2)
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
        while len(st.caller.order) < 2:
            await st.board.news("nothing", 0, 0.01)
        assert st.caller.order == ["c", "d"]  # the first has no lane, the second's leader is out of touch
        st.caller.gate.set()
        assert [await t for t in tasks[2:]] == ["seal.c", "seal.d"]
        touch["b"] = True
        st.board.touch("score")
        assert await tasks[1] == "seal.b"
        tasks[0].cancel()
        await asyncio.wait([tasks[0]])
        sc._place_one()
        assert not sc.inbox and st.picker.all["i"].under_way == 0
        loop.cancel()

    run(go())
