"""What a new holder makes of what the stores tell it; who may order, and when."""

import asyncio

import orjson
import pytest
from tests.support.fakes import MemBook
from tests.jobs.test_batch_job import LOT

from archhatch.runtime import StateBoard, Counters, TaskGroup, open_logs
from archhatch.runtime.settings import check_settings
from archhatch.rollout_controller import LeadershipTerm
from archhatch.jobs import DeposedError, Quorum, Record, RecordStore

BOOT = check_settings({"NodeName": "n", "IpAddress": "1.1.1.1", "InternalPorts": [1, 9]})


class FakeCopier:
    def __init__(self, st):
        self.st, self.puts, self.deposed = st, [], False
        self.gate = asyncio.Event()  # copies arrive while it is set
        self.gate.set()

    def enough(self, rec):
        return self.st.quorum.enough(rec.held, self.st.members())

    async def put(self, run, term, recs):
        self.puts.append((term, recs))
        await self.gate.wait()
        if self.deposed:
            raise DeposedError(run)
        for r in recs:
            r.held |= {"me", "b"}


class FakeStore:
    """A store whose neighbours are shelves in the same process."""

    def __init__(self, clock, names=("me", "b", "c")):
        self.id, self.clock, self.boot = "me", clock, BOOT
        self.ctr, self.board, self.log, self.beat_s = Counters(), StateBoard(), open_logs("t", "CRITICAL"), 0.01
        self.crew = TaskGroup(self.log, self.ctr)
        self.shelves = {n: RecordStore(MemBook(), clock, Counters()) for n in names}
        self.shelf, self.quorum = self.shelves["me"], Quorum.of(BOOT)
        self.copier = FakeCopier(self)
        self.news, self.silent, self.proof = self, set(), True

    async def do(self, part, name, args):
        return 1000, {"stores": self.members(), "runs": {}}

    def members(self):
        return {n: {"ip": n, "state": "active", "zone": "z"} for n in self.shelves}

    def addr_of(self, m):
        return m["ip"]

    def alive(self, sid):
        return sid not in self.silent

    def confirmed(self, run, term, secs):
        return self.proof

    async def ask_store(self, sid, addr, verb, doc):
        return None if sid in self.silent else await self.shelves[sid].prepare(doc["run"], doc["term"])

    async def fetch(self, sid, addr, lid, poss, lot):
        recs = self.shelves[sid].fetch(lid, poss, lot)
        return [Record(orjson.loads(orjson.dumps(r.head)), r.body) for r in recs]


def lot_rec():
    return Record({"k": "L", "lot": "l", "run": "s", "host": "h", "path": "/p/", "by": 1}, orjson.dumps(LOT))


def res(pos, term, item):
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
        st = FakeStore(clock)
        for n, shelf in st.shelves.items():
            await shelf.append([lot_rec()] + [res(*r) for r in held.get(n, [])])
        reign = LeadershipTerm(st, "s", 5)
        await reign.begin()
        lot = reign.lots["l"]
        assert [r.head["item"] for r in lot.results] == items and lot.listed == len(items) and lot.done == set(items)
        again = [r.head["pos"] for _, recs in st.copier.puts for r in recs if r.head["k"] == "R"]
        assert again == anew and all(t == 5 for t, _ in st.copier.puts)
        assert all(lot.results[p].head["term"] == 5 for p in anew)

    run(go())


@pytest.mark.parametrize(
    "holders, silent, taken",
    [(("me", "b"), "c", True), (("b",), "c", True), (("b", "c"), "me", True), (("b", "c"), "b", True)],
)
def test_a_lot_on_two_stores_is_found_without_any_one(run, clock, holders, silent, taken):
    async def go():
        st = FakeStore(clock)
        for n in holders:
            await st.shelves[n].append([lot_rec()])
        st.silent = {silent} - {"me"}
        reign = LeadershipTerm(st, "s", 2)
        await reign.begin()
        assert ("l" in reign.lots) is taken and reign.state == "holding"

    run(go())


def test_higher_term_ends_it(run, clock):
    async def go():
        st = FakeStore(clock)
        await st.shelves["c"].prepare("s", 9)
        reign = LeadershipTerm(st, "s", 5)
        await reign.begin()
        assert reign.state == "over" and not reign.fresh() and not reign.may_order()

    run(go())


@pytest.mark.parametrize("iid, age, wait", [("e1", 0.5, 3.0), ("e1", 3.4, 0.1), ("e1", 9.0, 0.0), ("e2", 0.0, 0.0)])
def test_orders_wait_for_what_the_earlier_holder_meant_to_do(run, clock, iid, age, wait):
    async def go():
        st = FakeStore(clock)
        for n in ("b", "c"):
            await st.shelves[n].append([Record({"k": "O", "lot": "", "run": "s", "iid": "e1", "by": 1})])
        clock.at += age
        reign = LeadershipTerm(st, "s", 2)
        await reign.begin()
        if wait:
            clock.at += wait - 0.01
            assert not reign.may_order(iid)
        clock.at += 0.02
        assert reign.may_order(iid)
        st.proof = False
        assert not reign.may_order(iid)

    run(go())


async def holding(clock):
    st = FakeStore(clock)
    for n in st.shelves:
        await st.shelves[n].append([lot_rec()])
    reign = LeadershipTerm(st, "s", 2)
    await reign.begin()
    st.copier.gate.clear()
    return st, reign


HEAD = {"lot": "new", "host": "h", "path": "/p/"}
WAITERS = [  # who waits for copies; what must hold once they are there, though the waiter was cancelled
    (
        "the last results",
        lambda r: [r.list_result(r.lots["l"], i, {}) for i in ("i1", "i2")],
        lambda r: r.lots["l"].listed == 2,
        ("lot", "l"),
    ),
    ("an end", lambda r: [r.end("l")], lambda r: r.lots["l"].recs[-1].held >= {"me", "b"}, ("lot", "l")),
    ("a lot", lambda r: [r.put(HEAD, orjson.dumps(LOT))], lambda r: "new" in r.lots, "work"),
]


@pytest.mark.parametrize("why, waits, good, name", WAITERS, ids=[w[0] for w in WAITERS])
def test_copies_arrive_although_the_task_that_waited_was_cancelled(run, clock, why, waits, good, name):
    async def go():
        st, reign = await holding(clock)
        tasks = [asyncio.ensure_future(c) for c in waits(reign)]
        while len(st.copier.puts) < len(tasks):
            await asyncio.sleep(0)
        for t in tasks:  # as Dispatch._sync does with the tasks of a lot whose items all have positions
            t.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert not good(reign)
        turn = st.board.turn(name)
        st.copier.gate.set()
        while not good(reign):
            turn = await st.board.news(name, turn)
        assert not reign._copying

    run(go())


@pytest.mark.parametrize("why, waits, good, name", WAITERS, ids=[w[0] for w in WAITERS])
@pytest.mark.parametrize("how", ["a store knows a higher term", "the reign is over"])
def test_waiters_are_told_that_the_reign_is_over(run, clock, how, why, waits, good, name):
    async def go():
        st, reign = await holding(clock)
        tasks = [asyncio.ensure_future(c) for c in waits(reign)]
        while len(st.copier.puts) < len(tasks):
            await asyncio.sleep(0)
        if how == "the reign is over":
            reign.over()
        else:
            st.copier.deposed = True
            st.copier.gate.set()
        outs = await asyncio.gather(*tasks, return_exceptions=True)
        assert all(isinstance(o, DeposedError) for o in outs) and reign.state == "over" and not good(reign)

    run(go())


def test_the_same_lot_handed_in_twice_is_copied_once(run, clock):
    async def go():
        st, reign = await holding(clock)
        tasks = [asyncio.ensure_future(reign.put(HEAD, orjson.dumps(LOT))) for _ in range(3)]
        while not st.copier.puts:
            await asyncio.sleep(0)
        tasks[0].cancel()
        st.copier.gate.set()
        outs = await asyncio.gather(*tasks, return_exceptions=True)
        assert outs[1:] == [None, None] and len(st.copier.puts) == 1 and "new" in reign.lots

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
    st = FakeStore(clock)
    reign = LeadershipTerm(st, "run", 5)
    reign.takeover.heed_orders(
        [{"orders": {"i": age}, "noted": {"i": note} if note else {}, "tick": tick} for age, note, tick in told]
    )
    assert reign.order_from["i"] - clock.now() == pytest.approx(wait * BOOT.secs("LeaseMs") / 3.0)
