"""What an edge counts and sends."""

import pytest
from tests.support.usage_stores import VOTERS, Stores, usage_sender

from archhatch.usage.counter import MAX_WINDOWS


def test_sums_are_told_to_two_and_once_told_not_again(run):
    async def go():
        stores, edge = Stores(), None
        edge = usage_sender(stores)
        for _ in range(3):
            edge.record_request("t", 7.0)
        await edge.send()
        assert len(stores.asked) == 2
        await edge.send()
        assert len(stores.asked) == 2  # nothing new
        edge.record_request("t", 11.0)
        await edge.send()
        for sid in set(stores.asked):
            assert stores.collectors[sid].counts_in(1) == {"t": 3} and stores.collectors[sid].counts_in(2) == {"t": 1}

    run(go())


@pytest.mark.parametrize("holder", sorted(VOTERS))
def test_the_holder_is_told_whoever_it_is(run, holder):
    async def go():
        stores = Stores()
        stores.holder = holder
        edge = usage_sender(stores)
        for _ in range(2):
            edge.record_request("t", 7.0)
            await edge.send()
        assert stores.collectors[holder].counts_in(1) == {"t": 2}

    run(go())


def test_one_that_does_not_answer_is_replaced_and_the_successor_hears_all(run):
    async def go():
        stores = Stores()
        edge = usage_sender(stores)
        edge.record_request("t", 7.0)
        await edge.send()
        first = stores.asked[0]
        stores.down.add(first)
        edge.record_request("t", 7.5)
        await edge.send()
        await edge.send()
        others = [sid for sid in VOTERS if sid != first]
        assert all(stores.collectors[sid].counts_in(1) == {"t": 2} for sid in others)

    run(go())


def test_an_edge_keeps_the_last_windows_only():
    edge = usage_sender(Stores())
    for window in range(60):
        edge.record_request("t", 5.0 * window + 1)
    assert sorted(edge.counter.counts) == list(range(60 - MAX_WINDOWS, 60))
