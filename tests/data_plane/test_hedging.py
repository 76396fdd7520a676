"""Early second sends: to well replicas only, to no more than a try may use, and the slower one is not broken off."""

import asyncio

import pytest
from tests.support.fakes import HandClock
from multidict import CIMultiDict

from archhatch.routing import RoutingTable
from archhatch.runtime import StateBoard, Counters
from archhatch.upstream import AttemptResult, Delivery, Execution, LoadBalancer
from archhatch.data_plane.forward import RequestForwarder
from archhatch.data_plane.live_requests import LiveRequestTracker

GOOD, FULL, CUT, FAILED = (
    AttemptResult(Execution.EXECUTED, 200, body=b"ok"),
    AttemptResult(Execution.NOT_EXECUTED, 503),
    AttemptResult(Execution.UNKNOWN),
    AttemptResult(Execution.EXECUTED, 500),
)
OUT = None  # no answer before the others' are there


class StepClock(HandClock):
    """Goes on by a fiftieth with each look, so that whoever waits for a time gets there."""

    def now(self):
        self.at += 0.02
        return self.at


class FakeCaller:
    """Answers by turn of sends; OUT ones wait for the gate."""

    def __init__(self, answers):
        self.answers, self.sent, self.ended, self.gate = list(answers), [], [], asyncio.Event()

    async def send(self, address, iid, method, target, heads, body, rid, timeout_s, mode="", may_send=None):
        self.sent.append((iid, mode))
        answer = self.answers.pop(0) if self.answers else OUT
        try:
            if answer is OUT:
                await self.gate.wait()
                answer = GOOD
        finally:
            self.ended.append(iid)
        return answer


class Req:
    method, raw_path = "POST", "/q/x"
    headers = CIMultiDict({"X-Archhatch-Request-Id": "r", "X-Archhatch-Deadline-Ms": "200"})


def setup(answers, kind="idempotent", sends=3, replicas=6):
    plan = RoutingTable.from_document(
        {
            "Revision": 1,
            "ServiceTable": [{"Name": "s"}],
            "RouteTable": [
                {
                    "Name": "r",
                    "HostName": "h",
                    "PathPrefix": "/q/",
                    "RouteClass": kind,
                    "TimeoutMs": 900,
                    "TargetLatencyMs": 40,
                    "Service": "s",
                    "MaxAttempts": sends,
                }
            ],
        }
    )
    load_balancer, clock, upstream_client, counters = (
        LoadBalancer("z", "e", busy_share=0.5),
        StepClock(),
        FakeCaller(answers),
        Counters(),
    )
    load_balancer.apply_updates(
        [
            {"id": f"i{n}", "addr": f"a{n}:1", "service": "s", "zone": "z", "slots": 6, "state": "up"}
            for n in range(replicas)
        ]
    )
    return RequestForwarder(
        upstream_client, load_balancer, clock, counters, LiveRequestTracker(StateBoard(), HandClock(), 1.0)
    ), plan.find_route("h", "/q/x")


CASES = [  # kind, most sends, answers by turn, status, sends, of them early
    ("idempotent", 3, [GOOD], 200, 1, 0),
    ("idempotent", 3, [OUT, GOOD], 200, 2, 1),
    ("idempotent", 3, [OUT, OUT, GOOD], 200, 3, 2),
    ("idempotent", 3, [OUT, OUT, OUT, GOOD], 504, 3, 2),  # never past MaxAttempts
    ("idempotent", 1, [OUT, GOOD], 504, 1, 0),
    ("idempotent", 2, [FAILED, CUT, GOOD], 500, 2, 0),
    ("idempotent", 3, [FULL, FULL, GOOD], 200, 3, 0),
    ("idempotent", 3, [OUT, FULL, GOOD], 200, 3, 2),
    ("non_idempotent", 3, [OUT, GOOD], 504, 1, 0),  # what may run once is never out twice
    ("non_idempotent", 3, [FULL, GOOD], 200, 2, 0),
    ("non_idempotent", 3, [CUT, GOOD], 502, 1, 0),
    ("non_idempotent", 3, [FAILED, GOOD], 500, 1, 0),
]


@pytest.mark.parametrize("kind, most, answers, status, sends, early", CASES)
def test_sends_of_one_try(run, kind, most, answers, status, sends, early):
    async def go():
        fwd, route = setup(answers, kind, most)
        res = await fwd.forward(Req, route, list(Req.headers.items()), b"")
        assert res.status == status
        assert len(fwd.upstream_client.sent) == len({i for i, _ in fwd.upstream_client.sent}) == sends <= most
        assert fwd.counters.counts.get("send.hedged", 0) == early
        assert {m for _, m in fwd.upstream_client.sent} == {
            Delivery.AT_LEAST_ONCE if kind == "idempotent" else Delivery.AT_MOST_ONCE
        }

    run(go())


@pytest.mark.parametrize(
    "others, sends", [("fit", 2), ("full", 1), ("resting", 1), ("doubtful", 1), ("dark", 1), ("slow", 1)]
)
def test_an_early_send_goes_to_a_well_replica_or_nowhere(run, others, sends):
    async def go():
        fwd, route = setup([OUT, GOOD], replicas=3)
        first = fwd.load_balancer.select_replica("s", set(), 100.0)
        for t in fwd.load_balancer.replicas.values():
            if t is first:
                continue
            if others == "full":
                t.in_flight = 6
            if others == "dark":
                t.is_silent = True
            if others == "slow":
                t.relative_latency, t.relative_latency_at = 5.0, 100.0
            for _ in range({"resting": 1, "doubtful": 1}.get(others, 0)):
                fwd.load_balancer.record_outcome(t, "vanished" if others == "resting" else "faulted", 100.0)
        await fwd.forward(Req, route, list(Req.headers.items()), b"")
        assert [i for i, _ in fwd.upstream_client.sent][:1] == [first.instance_id] and len(
            fwd.upstream_client.sent
        ) == sends

    run(go())


@pytest.mark.parametrize("early, got", [(False, True), (True, False)])
def test_a_first_send_goes_somewhere_all_the_same(early, got):
    fwd_picker = LoadBalancer("z")
    fwd_picker.apply_updates([{"id": "i", "addr": "a:1", "service": "s", "zone": "z", "slots": 1, "state": "up"}])
    fwd_picker.record_outcome(fwd_picker.replicas["i"], "vanished", 0.0)
    assert (fwd_picker.select_replica("s", set(), 0.1, is_hedge=early) is not None) is got


def test_the_slower_one_keeps_its_connection_and_is_judged_by_its_answer(run):
    async def go():
        fwd, route = setup([OUT, GOOD])
        assert (await fwd.forward(Req, route, list(Req.headers.items()), b"")).status == 200
        slow = fwd.load_balancer.replicas[fwd.upstream_client.sent[0][0]]
        assert slow.in_flight == 1 and len(fwd.outlived) == 1 and slow.instance_id not in fwd.upstream_client.ended
        fwd.upstream_client.gate.set()
        await asyncio.gather(*fwd.outlived)
        assert (
            slow.in_flight == 0
            and slow.relative_latency > 0
            and slow.health.state == "healthy"
            and slow.health.successes == 1.0
        )
        await asyncio.sleep(0)
        assert not fwd.outlived

    run(go())


def test_when_the_time_is_over_all_is_broken_off(run):
    async def go():
        fwd, route = setup([OUT, OUT, OUT])
        assert (await fwd.forward(Req, route, list(Req.headers.items()), b"")).status == 504
        assert {t.in_flight for t in fwd.load_balancer.replicas.values()} == {0} and not fwd.outlived
        states = [fwd.load_balancer.replicas[i].health.state for i, _ in fwd.upstream_client.sent]
        assert states[0] == "suspect"

    run(go())
