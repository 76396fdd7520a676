"""Usage: what an edge counts and tells, what a store gathers, and the time by which windows are numbered."""

import types

import pytest
from tests.support.fakes import HandClock

from archhatch.membership.agreed_time import AgreedTime
from archhatch.runtime import Counters
from archhatch.rpc import CallError
from archhatch.usage import collector
from archhatch.usage.collector import UsageCollector
from archhatch.usage.counter import WINDOWS_KEPT, UsageSender

VOTERS = {"s1": "1:1", "s2": "2:1", "s3": "3:1"}


class Stores:
    """Stores that gather; one that is down answers nothing. Each names the holder of the duty."""

    def __init__(self):
        self.down, self.holder, self.asked = set(), None, []
        self.collectors = {sid: UsageCollector() for sid in VOTERS}

    def to(self, address):
        sid = next(sid for sid, where in VOTERS.items() if where == address)
        return types.SimpleNamespace(call=lambda verb, doc, timeout_s: self._call(sid, doc))

    async def _call(self, sid, doc):
        self.asked.append(sid)
        if sid in self.down:
            raise CallError("no answer", sent=True)
        sums = {int(window): counts for window, counts in doc["sums"].items()}
        self.collectors[sid].tell(doc["edge"], doc["life"], doc["version"], sums, 0.0)
        return 1000, {"holder": self.holder}, b""


def teller(stores, incarnation="l1"):
    clock = HandClock()
    config_watcher = types.SimpleNamespace(
        agreed_time=lambda steady: steady,
        shards={"plan": {"ledger": {"accounting": {"voters": VOTERS, "stamp": 0}}}},
    )
    settings = types.SimpleNamespace(node_name="e1", seconds=lambda name: 5.0)
    return UsageSender(settings, config_watcher, stores, clock, Counters(), incarnation)


def test_sums_are_told_to_two_and_once_told_not_again(run):
    async def go():
        stores, edge = Stores(), None
        edge = teller(stores)
        for _ in range(3):
            edge.began("t", 7.0)
        await edge.tell()
        assert len(stores.asked) == 2
        await edge.tell()
        assert len(stores.asked) == 2  # nothing new
        edge.began("t", 11.0)
        await edge.tell()
        for sid in set(stores.asked):
            assert stores.collectors[sid].counts(1) == {"t": 3} and stores.collectors[sid].counts(2) == {"t": 1}

    run(go())


@pytest.mark.parametrize("holder", sorted(VOTERS))
def test_the_holder_is_told_whoever_it_is(run, holder):
    async def go():
        stores = Stores()
        stores.holder = holder
        edge = teller(stores)
        for _ in range(2):
            edge.began("t", 7.0)
            await edge.tell()
        assert stores.collectors[holder].counts(1) == {"t": 2}

    run(go())


def test_one_that_does_not_answer_is_replaced_and_the_successor_hears_all(run):
    async def go():
        stores = Stores()
        edge = teller(stores)
        edge.began("t", 7.0)
        await edge.tell()
        first = stores.asked[0]
        stores.down.add(first)
        edge.began("t", 7.5)
        await edge.tell()
        await edge.tell()
        others = [sid for sid in VOTERS if sid != first]
        assert all(stores.collectors[sid].counts(1) == {"t": 2} for sid in others)

    run(go())


def test_two_lives_of_an_edge_add_up_and_old_words_are_passed_over():
    gathered = UsageCollector()
    words = [  # edge, life, version, sums, counts of window 1 afterwards
        ("e1", "a", 1, {1: {"t": 1}}, {"t": 1}),
        ("e1", "a", 3, {1: {"t": 3}}, {"t": 3}),
        ("e1", "a", 2, {1: {"t": 2}}, {"t": 3}),
        ("e1", "b", 1, {1: {"t": 1, "u": 1}}, {"t": 4, "u": 1}),
        ("e2", "c", 1, {1: {"u": 2}}, {"t": 4, "u": 3}),
        ("e1", "a", 4, {2: {"t": 1}}, {"t": 4, "u": 3}),  # an edge tells no more of a window; it still counts
    ]
    for edge, incarnation, version, sums, counts in words:
        gathered.tell(edge, incarnation, version, sums, 0.0)
        assert gathered.counts(1) == counts


def test_edges_and_stores_keep_the_last_windows_only():
    edge, gathered = teller(Stores()), UsageCollector()
    for window in range(60):
        edge.began("t", 5.0 * window + 1)
        gathered.tell("e1", "a", window, edge.counter.sums, 0.0)
    assert sorted(edge.counter.sums) == list(range(60 - WINDOWS_KEPT, 60))
    assert gathered.windows() == list(range(60 - collector.WINDOWS_KEPT, 60))


@pytest.mark.parametrize("jumped, by", [(1, 3.0), (1, -3600.0), (2, 9.0)])
def test_clocks_that_jump_do_not_move_the_agreed_time(jumped, by):
    time = AgreedTime()
    for n in range(5):
        time.record_clock(f"n{n}", 1000.0 + n * 0.01 + (by if n < jumped else 0.0), 10.0)
    assert abs(time.at(20.0) - 1010.02) < 0.05
