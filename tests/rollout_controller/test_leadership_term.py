"""What a new holder makes of what the stores tell it; who may order, and when."""

import asyncio

import orjson
import pytest
from tests.support.leadership_rig import BOOT, FakeStore
from tests.jobs.test_batch_job import LOT

from archhatch.rollout_controller import LeadershipTerm
from archhatch.jobs.run_report import RunReport
from archhatch.jobs import DeposedError, InvalidJobError, Record


def job_record():
    return Record({"k": "L", "lot": "l", "run": "s", "host": "h", "path": "/p/", "by": 1}, orjson.dumps(LOT))


def result_record(pos, term, item):
    return Record(
        {"k": "R", "lot": "l", "run": "s", "pos": pos, "term": term, "item": item, "by": term},
        orjson.dumps({"InstanceId": item, "t": term}),
    )


# what each store holds (pos, term, item) -> the items in order, and the positions written anew
ADOPT = [
    ("two copies stand", {"me": [(0, 1, "i1")], "b": [(0, 1, "i1")]}, ["i1"], []),
    ("one copy is taken and written anew", {"b": [(0, 1, "i1")]}, ["i1"], [0]),
    ("the higher term wins", {"me": [(0, 1, "i1")], "b": [(0, 2, "i2")], "c": [(0, 2, "i2")]}, ["i2"], []),
    ("behind a hole nothing was listed", {"b": [(0, 1, "i1"), (2, 1, "i2")], "c": [(0, 1, "i1")]}, ["i1"], []),
    ("an item stands once", {"b": [(0, 2, "i1"), (1, 1, "i1")], "c": [(0, 2, "i1")]}, ["i1"], []),
    ("nothing listed", {}, [], []),
]


@pytest.mark.parametrize("why, held, items, anew", ADOPT, ids=[a[0] for a in ADOPT])
def test_adopt(run, clock, why, held, items, anew):
    async def go():
        store = FakeStore(clock)
        for n, record_store in store.record_stores.items():
            await record_store.append([job_record()] + [result_record(*r) for r in held.get(n, [])])
        leadership = LeadershipTerm(store, "s", 5)
        await leadership.begin()
        batch_job = leadership.batch_jobs["l"]
        assert (
            [r.head["item"] for r in batch_job.results] == items
            and batch_job.listed_count == len(items)
            and batch_job.positioned_items == set(items)
        )
        again = [r.head["pos"] for _, records in store.replicator.puts for r in records if r.head["k"] == "R"]
        assert again == anew and all(t == 5 for t, _ in store.replicator.puts)
        assert all(batch_job.results[p].head["term"] == 5 for p in anew)

    run(go())


@pytest.mark.parametrize(
    "holders, silent, taken",
    [(("me", "b"), "c", True), (("b",), "c", True), (("b", "c"), "me", True), (("b", "c"), "b", True)],
)
def test_a_job_on_two_stores_is_found_without_any_one(run, clock, holders, silent, taken):
    async def go():
        store = FakeStore(clock)
        for n in holders:
            await store.record_stores[n].append([job_record()])
        store.silent = {silent} - {"me"}
        leadership = LeadershipTerm(store, "s", 2)
        await leadership.begin()
        assert ("l" in leadership.batch_jobs) is taken and leadership.state == "holding"

    run(go())


class ChangingStore(FakeStore):
    """A store some of whose neighbours are silent once the open jobs are taken up, and others are back."""

    def __init__(self, clock, silent_first, silent_then):
        super().__init__(clock)
        self.silent, self._silent_then = silent_first, silent_then

    def take_turn(self):
        self.silent = self._silent_then


@pytest.mark.parametrize(
    "silent_first, silent_then, has_all_but_end",
    [
        (set(), {"b"}, False),  # the first that has it is gone before it was fetched there
        ({"c"}, {"b"}, False),  # ... and the other was not heard in time for the takeover
        ({"c"}, {"b"}, True),  # a job whose end was heard of must not be taken up as an open one
    ],
)
def test_an_ended_job_is_found_at_whichever_store_has_it(run, clock, silent_first, silent_then, has_all_but_end):
    """Guards against 503 for an ended job's readers for the rest of the term, though a store has its records."""

    async def go():
        store = ChangingStore(clock, silent_first, silent_then)
        end = Record({"k": "E", "lot": "l", "run": "s", "by": 1})
        for n in ("b", "c"):
            await store.record_stores[n].append([job_record(), result_record(0, 1, "i1"), end])
        await store.record_store.append([job_record(), result_record(0, 1, "i1")] * has_all_but_end)
        leadership = LeadershipTerm(store, "s", 2)
        leadership.host.log = type("Log", (), {"info": lambda *_args: store.take_turn()})()
        await leadership.begin()
        assert leadership.batch_jobs["l"].is_ended and leadership.batch_jobs["l"].listed_count == 1

    run(go())


@pytest.mark.parametrize("answer", [5, [], {}, {"ok": "yes"}, {"ok": True, "lots": 5}, {"ok": True, "lots": {"l": []}}])
def test_a_store_whose_report_cannot_be_read_counts_as_silent(run, clock, answer):
    """Guards against a run that nobody leads, as one store's report ends each term that begins."""

    async def go():
        store = FakeStore(clock)
        for n in ("me", "b"):
            await store.record_stores[n].append([job_record()])
        call_store = store.call_store

        async def call(sid, *args):
            return answer if sid == "c" else await call_store(sid, *args)

        store.call_store = call
        leadership = LeadershipTerm(store, "s", 2)
        await leadership.begin()
        assert "l" in leadership.batch_jobs and leadership.state == "holding"
        assert store.counters.counts["takeover.malformed_report"] == 1

    run(go())


def test_higher_term_ends_it(run, clock):
    async def go():
        store = FakeStore(clock)
        await store.record_stores["c"].prepare("s", 9)
        leadership = LeadershipTerm(store, "s", 5)
        await leadership.begin()
        assert leadership.state == "over" and not leadership.is_confirmed() and not leadership.may_order()

    run(go())


@pytest.mark.parametrize("iid, age, wait", [("e1", 0.5, 3.0), ("e1", 3.4, 0.1), ("e1", 9.0, 0.0), ("e2", 0.0, 0.0)])
def test_orders_wait_for_what_the_earlier_holder_meant_to_do(run, clock, iid, age, wait):
    async def go():
        store = FakeStore(clock)
        for n in ("b", "c"):
            await store.record_stores[n].append([Record({"k": "O", "lot": "", "run": "s", "iid": "e1", "by": 1})])
        clock.at += age
        leadership = LeadershipTerm(store, "s", 2)
        await leadership.begin()
        if wait:
            clock.at += wait - 0.01
            assert not leadership.may_order(iid)
        clock.at += 0.02
        assert leadership.may_order(iid)
        store.proof = False
        assert not leadership.may_order(iid)

    run(go())


async def holding(clock):
    store = FakeStore(clock)
    for n in store.record_stores:
        await store.record_stores[n].append([job_record()])
    leadership = LeadershipTerm(store, "s", 2)
    await leadership.begin()
    store.replicator.gate.clear()
    return store, leadership


HEAD = {"lot": "new", "host": "h", "path": "/p/"}
WAITERS = [  # who waits for copies; what must hold once they are there, though the waiter was cancelled
    (
        "the last results",
        lambda r: [r.append_result(r.batch_jobs["l"], i, {}) for i in ("i1", "i2")],
        lambda r: r.batch_jobs["l"].listed_count == 2,
        ("lot", "l"),
    ),
    ("an end", lambda r: [r.end_job("l")], lambda r: r.batch_jobs["l"].records[-1].held >= {"me", "b"}, ("lot", "l")),
    ("a lot", lambda r: [r.accept_job(HEAD, orjson.dumps(LOT))], lambda r: "new" in r.batch_jobs, "work"),
]


@pytest.mark.parametrize("why, waits, good, name", WAITERS, ids=[w[0] for w in WAITERS])
def test_copies_arrive_although_the_task_that_waited_was_cancelled(run, clock, why, waits, good, name):
    async def go():
        store, leadership = await holding(clock)
        tasks = [asyncio.ensure_future(c) for c in waits(leadership)]
        while len(store.replicator.puts) < len(tasks):
            await asyncio.sleep(0)
        for t in tasks:  # as Dispatch._sync does with the tasks of a lot whose items all have positions
            t.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert not good(leadership)
        turn = store.state_board.version(name)
        store.replicator.gate.set()
        while not good(leadership):
            turn = await store.state_board.wait_for_change(name, turn)
        assert not leadership.copier.in_flight

    run(go())


@pytest.mark.parametrize("why, waits, good, name", WAITERS, ids=[w[0] for w in WAITERS])
@pytest.mark.parametrize("how", ["a store knows a higher term", "the term is over"])
def test_waiters_are_told_that_the_term_is_over(run, clock, how, why, waits, good, name):
    async def go():
        store, leadership = await holding(clock)
        tasks = [asyncio.ensure_future(c) for c in waits(leadership)]
        while len(store.replicator.puts) < len(tasks):
            await asyncio.sleep(0)
        if how == "the term is over":
            leadership.step_down()
        else:
            store.replicator.deposed = True
            store.replicator.gate.set()
        outs = await asyncio.gather(*tasks, return_exceptions=True)
        assert all(isinstance(o, DeposedError) for o in outs) and leadership.state == "over" and not good(leadership)

    run(go())


def test_the_same_lot_handed_in_twice_is_copied_once(run, clock):
    async def go():
        store, leadership = await holding(clock)
        tasks = [asyncio.ensure_future(leadership.accept_job(HEAD, orjson.dumps(LOT))) for _ in range(3)]
        while not store.replicator.puts:
            await asyncio.sleep(0)
        tasks[0].cancel()
        store.replicator.gate.set()
        outs = await asyncio.gather(*tasks, return_exceptions=True)
        assert outs[1:] == [None, None] and len(store.replicator.puts) == 1 and "new" in leadership.batch_jobs

    run(go())


def test_a_job_that_was_handed_in_is_known_for_as_long_as_it_may_be_somewhere(run, clock):
    """Guards against the ids of all jobs of a term, kept until its end: each may be as long as a header."""

    async def go():
        store, leadership = await holding(clock)
        with pytest.raises(InvalidJobError):
            await leadership.accept_job({**HEAD, "lot": "wrong"}, b"{}")
        accepting = asyncio.ensure_future(leadership.accept_job(HEAD, orjson.dumps(LOT)))
        while not store.replicator.puts:
            await asyncio.sleep(0)
        accepting.cancel()  # the copies go on
        await asyncio.gather(accepting, return_exceptions=True)
        leadership.forget_old_jobs()
        assert leadership.offered_jobs == {"new"}
        store.replicator.gate.set()
        while "new" not in leadership.batch_jobs:
            await asyncio.sleep(0)
        await leadership.end_job("new")
        store.record_store.batch_jobs["new"] = None
        clock.at += 2 * store.settings.seconds("StatusS")
        assert leadership.forget_old_jobs() == ["new"] and leadership.offered_jobs == {"new"}
        del store.record_store.batch_jobs["new"]
        assert leadership.forget_old_jobs() == [] and leadership.offered_jobs == set()

    run(go())


NOTES = [  # what stores tell: (age here, note's (term, t) or none, newest (term, t) there); until when none may go
    ([(0.0, None, None)], 3.5),
    ([(1.0, None, None)], 2.5),
    ([(9.0, None, None)], -5.5),
    ([(0.0, (4, 10.0), (4, 10.0))], 3.5),
    ([(0.0, (4, 10.0), (4, 12.0))], 1.5),
    ([(0.0, (4, 10.0), (4, 20.0))], -6.5),
    ([(3.0, (4, 10.0), (4, 12.0))], 0.5),  # what a store knows itself counts too
    ([(0.0, (3, 99.0), (4, 2.0))], 1.5),  # an older term's note: before all of the newer
    ([(0.0, (4, 10.0), (4, 10.0)), (0.0, (4, 10.0), (4, 13.0))], 0.5),  # another store's records prove it too
    ([(9.0, (4, 10.0), None), (0.0, (4, 12.0), (4, 12.0))], 3.5),
]  # a later note that only one store has


@pytest.mark.parametrize("told, wait", NOTES)
def test_how_old_a_note_of_an_order_is(clock, told, wait):
    store = FakeStore(clock)
    leadership = LeadershipTerm(store, "run", 5)
    leadership.takeover.wait_out_orders(
        [
            RunReport.from_document({"orders": {"i": age}, "noted": {"i": note} if note else {}, "tick": tick})
            for age, note, tick in told
        ]
    )
    assert leadership.may_order_from["i"] - clock.now() == pytest.approx(wait * BOOT.seconds("LeaseMs") / 3.0)
