"""What an edge says of a lot: only a proof that no copy of the call was taken is a refusal, and only the store that was
asked is believed."""

import asyncio
import collections
import gc
import tracemalloc
from types import SimpleNamespace

import orjson
import pytest
from tests.support.fakes import HandClock
from tests.jobs.test_batch_job import LOT
from tests.jobs.test_quorum import quorum_settings

from archhatch.memory import RecentTexts
from archhatch.runtime import Counters
from archhatch.rpc import CallError
from archhatch.upstream import REQUEST_ID_HEADER
from archhatch.data_plane.job_handlers import MAX_UNCLEAR_JOBS, JobHandlers
from archhatch.jobs import LARGE_JOB_BYTES
from archhatch.data_plane.job_messages import ReadJobRequest

LEASE = {"holder": "s0", "life": "l", "term": 4}
STORES = {"s0": {"ip": "p0", "zone": "z", "state": "active"}}
MINE = {"run": "s", "me": "s0", "term": 4}
LOST, UNSENT = CallError("no answer", sent=True), CallError("no connection", sent=False)


class Edge:
    """A desk whose calls are answered from a list, the last answer again and again; each takes time."""

    def __init__(self, *answers):
        self.clock, self.answers, self.calls = HandClock(), list(answers), []
        self.leases = {"s": LEASE}
        config_watcher = SimpleNamespace(
            shards={"plan": {"stores": STORES}, "p0": {"tenures": self.leases}},
            plan=SimpleNamespace(service_by_model=lambda: {}),
        )
        self.desk = JobHandlers(quorum_settings(Machines=0), config_watcher, self, Counters(), self.clock)

    def to(self, address):
        return self

    async def call(self, verb, doc, body=b"", timeout_s=1.0):
        self.calls.append((verb, doc))
        self.clock.at += 1.0
        answer = self.answers[0] if len(self.answers) == 1 else self.answers.pop(0)
        if isinstance(answer, CallError):
            raise answer
        code, out = answer
        return code, out, b"page"

    async def hand_in(self, job_id="l", more=None):
        request = SimpleNamespace(headers={REQUEST_ID_HEADER: job_id, "Host": "h"}, raw_path="/p/")
        route = SimpleNamespace(traffic_split=[("s", 1)])
        return (await self.desk.submit(request, route, orjson.dumps({**LOT, **(more or {})}))).status


HAND_INS = [  # what the holder answers, in turn -> the status of the hand-in
    ([(1000, MINE)], 202),
    ([(3005, None)], 503),
    ([UNSENT], 503),
    ([(2008, None)], 503),
    ([(3008, None)], 503),
    ([LOST], 504),
    ([(3004, None)], 504),
    ([(5001, None)], 504),
    ([LOST, (3005, None)], 504),  # the copy that got no answer may still be taken
    ([(3004, None), (3005, None)], 504),
    ([(3005, None), (1000, MINE)], 202),
    ([(1000, {**MINE, "me": "another"}), (3005, None)], 504),
]  # another's word is no acknowledgement


LARGE_HAND_INS = [  # what the holder answers, in turn -> the status of the hand-in, and whether the body was sent
    ([(1000, None), (1000, MINE)], 202, True),
    ([(3013, None), (1000, None), (1000, MINE)], 202, True),
    ([(3013, None)], 503, False),
    ([LOST], 503, False),  # of the question for room nothing is left anywhere
    ([(2009, None), (1000, MINE)], 202, True),  # a store of an earlier version does not know the question
]


@pytest.mark.parametrize("answers, status, is_sent", LARGE_HAND_INS)
def test_a_large_job_is_sent_only_to_a_holder_with_room_for_it(run, answers, status, is_sent):
    async def go():
        edge = Edge(*answers)
        assert await edge.hand_in(more={"Comment": "x" * (LARGE_JOB_BYTES + 1)}) == status
        assert edge.calls[0][0] == "lot.reserve" and edge.calls[0][1]["size"] > LARGE_JOB_BYTES
        assert any(verb == "lot.put" for verb, _ in edge.calls) is is_sent

    run(go())


def test_a_submission_that_asks_for_room_again_makes_the_same_claim(run):
    async def go():
        edge = Edge((3013, None))
        for _ in range(2):
            await edge.hand_in(more={"Comment": "x" * (LARGE_JOB_BYTES + 1)})
        claims = [document["claim"] for _, document in edge.calls]
        assert len(claims) >= 4 and len(set(claims)) == 2

    run(go())


# A job that was sent once more after its route's move was accepted a second time, by the route's new run (review/7).
@pytest.mark.parametrize(
    "answers, status, verbs",
    [
        ([(2020, "t"), (1000, {**MINE, "run": "t"})], 202, ["lot.put", "lot.read"]),  # accepted there before
        ([(2020, "t"), LOST], 504, ["lot.put", "lot.read"]),  # nobody can say whether it was
        ([(2020, "t"), (3004, None)], 504, ["lot.put", "lot.read"]),
    ],
)
def test_a_job_of_another_run_is_answered_by_what_that_run_says(run, answers, status, verbs):
    async def go():
        edge = Edge(*answers)
        edge.leases["t"] = LEASE
        edge.desk._may_be_in_other_run = lambda *_: False  # this edge remembers nothing
        assert await edge.hand_in() == status
        assert [verb for verb, _ in edge.calls][:2] == verbs and ("l" in edge.desk.unclear) is True

    run(go())


def test_an_end_reaches_all_leaders(run):
    """Guards against a second copy of a job, as earlier versions accepted it, that runs on after the job's end."""

    async def go():
        edge = Edge((1000, MINE))
        edge.leases["t"] = {"holder": "s1", "life": "l", "term": 2}
        edge.desk._config_source.shards["plan"]["stores"] = {**STORES, "s1": {**STORES["s0"], "ip": "p1"}}
        result = await edge.desk._end("l")
        assert result.status == 200 and {doc["to"] for _, doc in edge.calls} == {"s0", "s1"}
        assert {verb for verb, _ in edge.calls} == {"lot.end"}

    run(go())


@pytest.mark.parametrize("answers, status", HAND_INS)
def test_a_refusal_is_said_only_if_nothing_can_have_been_taken(run, answers, status):
    edge = Edge(*answers)
    assert run(edge.hand_in()) == status
    assert all((doc["to"], doc["term"]) == ("s0", 4) for _, doc in edge.calls)


@pytest.mark.parametrize("first, job_id, status", [(LOST, "l", 504), (LOST, "other", 503), (UNSENT, "l", 503)])
def test_a_later_try_does_not_promise_for_an_earlier_one(run, first, job_id, status):
    async def go():
        edge = Edge(first)
        await edge.hand_in("l")
        edge.answers = [(3005, None)]
        assert await edge.hand_in(job_id) == status
        edge.answers = [(1000, MINE)]
        assert await edge.hand_in(job_id) == 202 and job_id not in edge.desk.unclear

    run(go())


def test_what_is_remembered_of_unclear_lots_is_bounded():
    desk = Edge((3005, None)).desk
    for n in range(MAX_UNCLEAR_JOBS + 9):
        desk._note_unclear(f"l{n}")
    assert len(desk.unclear) == MAX_UNCLEAR_JOBS and "l0" not in desk.unclear


@pytest.mark.parametrize("answer", [(1000, MINE), (3004, None), (3005, None)])
def test_ids_and_models_that_clients_make_up_are_not_kept(run, answer):
    """Guards against long names that an edge kept for good: of jobs, of those without a clear answer, of models."""

    async def go():
        edge = Edge(answer)
        edge.calls = collections.deque(maxlen=1)
        await edge.hand_in()
        gc.collect()
        tracemalloc.start()
        try:
            for n in range(10, 20):
                await edge.hand_in(f"{n}" * 25_000, more={"Model": f"{n}" * 100_000})
            gc.collect()
            assert tracemalloc.get_traced_memory()[0] < 200_000
        finally:
            tracemalloc.stop()

    run(go())


def test_of_a_model_that_may_be_forgotten_all_runs_are_asked(run):
    async def go():
        edge = Edge((1000, MINE))
        edge.desk._runs_by_model = RecentTexts(most=1)
        edge.leases["other"] = LEASE
        services = ["s", "other"]
        assert not edge.desk._may_be_in_other_run("first", "s", services)
        assert not edge.desk._may_be_in_other_run("second", "s", services)
        assert edge.desk._may_be_in_other_run("first", "s", services)
        assert not edge.desk._may_be_in_other_run("second", "s", services)
        del edge.leases["other"]
        assert not edge.desk._may_be_in_other_run("first", "s", services)

    run(go())


@pytest.mark.parametrize(
    "answer, status, counted",
    [
        ((1000, MINE), 200, 0),
        ((1000, {**MINE, "term": 5}), 200, 0),
        ((1000, {**MINE, "me": "s1"}), 503, 1),
        ((1000, {**MINE, "term": 3}), 503, 1),  # an older term's answer
        ((2008, None), 503, 1),
        ((3004, None), 503, 0),
        (LOST, 503, 0),
    ],
)
def test_only_the_holder_that_was_asked_is_believed(run, answer, status, counted):
    edge = Edge(answer)

    async def nowhere(job_id):
        return True

    edge.desk._is_absent = nowhere
    result = run(asyncio.wait_for(edge.desk._ask(ReadJobRequest("", "l", 0, 0.0), 0.0), 5))
    assert result.status == status and edge.desk.counters.counts["job.wrong_process"] == counted
    assert edge.calls[0][1]["to"] == "s0"


# A job that its trainer sent again after its model's move was taken a second time, by the model's new run.
@pytest.mark.parametrize(
    "present, answers, statuses, verbs",
    [
        ({"m": "s", "x": "t"}, [(1000, MINE)], [202, 202], ["lot.put", "lot.put"]),  # it did not move
        ({"m": "t"}, [(1000, MINE), (1000, MINE)], [202, 202], ["lot.put", "lot.read"]),
        ({"m": "t", "x": "s"}, [(1000, MINE), (1000, MINE)], [202, 202], ["lot.put", "lot.read"]),
        ({"m": "t"}, [(1000, MINE), LOST], [202, 504], ["lot.put", "lot.read"]),  # nobody can say whether it was taken
        (  # the first try did not arrive
            {"m": "t"},
            [LOST, LOST, (2007, None), (1000, {**MINE, "run": "t"})],
            [504, 202],
            ["lot.put", "lot.put", "lot.read", "lot.put"],
        ),
    ],
)
def test_a_job_that_is_sent_again_after_a_move_is_taken_once(run, present, answers, statuses, verbs):
    async def go():
        edge = Edge(*answers)

        async def nowhere(job_id):
            return True

        edge.desk._is_absent = nowhere
        shards, plan = edge.desk._config_source.shards, edge.desk._config_source.plan
        plan.service_by_model = lambda: {LOT["Model"]: "s"}
        found = [await edge.hand_in()]
        shards["p1"] = {"tenures": {"t": LEASE}}
        plan.service_by_model = lambda: {LOT["Model"] if model == "m" else model: run for model, run in present.items()}
        found.append(await edge.hand_in())
        assert found == statuses and [verb for verb, _ in edge.calls] == verbs

    run(go())
