"""The line of those that wait: the order of a look at all of them, and one look for any number of changes in a turn."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.memory.waiter_model import Waiting, choose_waiter

from archhatch.memory import MemoryPool
from archhatch.memory.waiting_line import WaitingLine
from archhatch.runtime import Counters

PEERS = st.sampled_from("abc")
SHARES = st.dictionaries(PEERS, st.integers(0, 5))
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.integers(0, 30), PEERS, st.booleans()),
        st.tuples(st.just("remove"), st.integers(0, 30)),
        st.tuples(st.just("first"), SHARES, SHARES),
    ),
    max_size=60,
)


@given(STEPS)
@settings(max_examples=300, deadline=None)
def test_the_line_serves_in_the_order_of_a_look_at_all(steps):
    line, waiting = WaitingLine(), {}
    for name, *args in [*steps, ("first", {}, {})]:
        if name == "add" and args[0] not in waiting:
            key, peer, has_part = args
            waiting[key] = Waiting(key, peer, has_part)
            line.add(key, peer, has_part=has_part)
        elif name == "remove":
            waiting.pop(args[0], None)
            line.remove(args[0])
        elif name == "first":
            expected = choose_waiter(list(waiting.values()), *args) if waiting else None
            assert line.first(*args) == expected
        assert len(line) == len(waiting) and all(key in line for key in waiting)


# Each of a crowd that waits had all of it looked at when it came and when it left; the event loop stood for seconds.
@pytest.mark.parametrize("count", [10, 1000])
def test_those_that_wait_are_served_once_a_turn(run, count):
    async def go():
        counters = Counters()
        pool = MemoryPool("t", 100, counters, lambda: 0.0)
        holder = await pool.take("a", 100, 1.0)
        waiting = [asyncio.ensure_future(pool.take("b", 60, 60.0)) for _ in range(count)]
        for _ in range(3):
            await asyncio.sleep(0)
        assert pool.waiter_count == count and counters.counts["memory.t.served"] <= 2
        holder.settle(90)
        holder.settle(80)
        await asyncio.sleep(0)
        assert counters.counts["memory.t.served"] <= 3
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        await asyncio.sleep(0)
        assert pool.waiter_count == 0 and counters.counts["memory.t.served"] <= 5
        holder.release()
        assert pool.held_bytes == 0

    run(go())
