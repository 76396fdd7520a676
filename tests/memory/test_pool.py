"""Properties of a pool: bounded, given back whatever happens, and nobody waits for ever."""

import asyncio
import gc
import sys
from unittest import mock

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from tests.support.fakes import HandClock

from archhatch.memory import HELD_BODY, HeldBody, MemoryFullError, MemoryPool, MemoryShares, retain_held_body
from archhatch.memory.decisions import STALL_S
from archhatch.runtime import Counters

CAPACITY = 100
MOST_TURNS = 5000  # of the event loop, in which all have ended
SIZES = st.integers(1, CAPACITY)
PEERS = st.sampled_from("abc")


def make_pool(capacity=CAPACITY, now=lambda: 0.0):
    return MemoryPool("t", capacity, Counters(), now)


def check_sums(pool):
    held = [charge.held_bytes for charge in pool._charges.values()]
    assert sum(held) == pool.held_bytes == sum(pool._held_by_peer.values()) <= pool.capacity_bytes
    assert all(count > 0 for count in pool._held_by_peer.values())


OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("take"), PEERS, SIZES, SIZES),
        st.tuples(st.sampled_from(["release", "cancel", "settle"]), st.integers(0, 20)),
        st.tuples(st.just("grow"), st.integers(0, 20), SIZES),
        st.tuples(st.just("turn")),
    ),
    max_size=40,
)


RELEASED_BEFORE_IT_GROWS = [("take", "a", 1, 1), ("turn",), ("grow", 0, 1), ("release", 0), ("turn",)]


@given(OPERATIONS)
@example(RELEASED_BEFORE_IT_GROWS)
@settings(max_examples=150, deadline=None)
def test_what_is_held_never_passes_the_capacity_and_all_is_given_back(operations):
    async def go():
        pool, taking, charges = make_pool(), [], []

        async def take(peer, size, more):
            charges.append(await pool.take(peer, size, 60.0, claim_bytes=min(CAPACITY, size + more)))

        for name, *args in operations:
            if name == "take":
                taking.append(asyncio.ensure_future(take(*args)))
            elif name == "cancel" and taking:
                taking[args[0] % len(taking)].cancel()
            elif name == "turn":
                await asyncio.sleep(0)
            elif charges and name != "cancel":
                charge = charges[args[0] % len(charges)]
                if name == "release":
                    charge.release()
                elif name == "settle" and charge.pool is not None:
                    charge.settle(charge.held_bytes // 2)
                elif name == "grow" and charge.pool is not None:
                    taking.append(asyncio.ensure_future(pool.grow(charge, args[1], 60.0)))
            check_sums(pool)
        for task in taking:
            task.cancel()
        await asyncio.gather(*taking, return_exceptions=True)
        check_sums(pool)
        for charge in charges:
            charge.release()
        assert pool.held_bytes == 0 and pool.waiter_count == 0 and not pool._charges and not pool._growing

    asyncio.run(go())


@given(st.lists(st.tuples(PEERS, SIZES, SIZES, st.integers(1, 5)), min_size=1, max_size=15))
@settings(max_examples=100, deadline=None)
def test_holders_of_parts_never_wait_for_each_other(holders):
    """Each grows in steps to its claim, gives the others their turn in between, and ends: all of them do."""

    async def hold(pool, peer, first, claim, step):
        claim = max(first, claim)
        charge = await pool.take(peer, first, 60.0, claim_bytes=claim)
        while charge.held_bytes < claim:
            await pool.grow(charge, min(step, claim - charge.held_bytes), 60.0)
            await asyncio.sleep(0)
        charge.release()

    async def go():
        pool = make_pool()
        tasks = [asyncio.ensure_future(hold(pool, *holder)) for holder in holders]
        for _ in range(MOST_TURNS):
            if all(task.done() for task in tasks):
                break
            await asyncio.sleep(0)
        done = [task.done() for task in tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert all(done)
        assert pool.held_bytes == 0

    asyncio.run(go())


def test_who_holds_most_for_longest_in_vain_gives_way(run):
    async def go():
        clock, ended = HandClock(), []
        pool = make_pool(now=clock.now)
        stalled = await pool.take("a", 60, 1.0, give_way=lambda: (ended.append("stalled"), stalled.release()))
        lively = await pool.take("a", 40, 1.0, give_way=lambda: ended.append("lively"))
        clock.at += STALL_S
        lively.note_bytes(40)
        third = await pool.take("b", 50, 30.0)
        assert ended == ["stalled"] and third.held_bytes == 50

    run(go())


def test_what_is_worked_on_does_not_give_way(run):
    async def go():
        clock = HandClock()
        pool = make_pool(now=clock.now)
        charge = await pool.take("a", 60, 1.0, give_way=pytest.fail)
        charge.give_way_by(None)
        clock.at += 100 * STALL_S
        with pytest.raises(MemoryFullError):
            await pool.take("b", 50, 0.6)
        charge.release()

    run(go())


def test_a_crowd_from_one_address_does_not_keep_the_others_waiting(run):
    async def go():
        pool, served = make_pool(), []

        async def take(peer):
            charge = await pool.take(peer, CAPACITY, 30.0)
            served.append(peer)
            await asyncio.sleep(0)
            charge.release()

        first = await pool.take("crowd", CAPACITY // 2, 1.0)
        tasks = [asyncio.ensure_future(take(peer)) for peer in ("crowd", "crowd", "other")]
        await asyncio.sleep(0)
        first.settle(1)  # the crowd still holds something
        first.release()
        await asyncio.gather(*tasks)
        assert served.index("other") <= 1

    run(go())


def test_one_that_is_released_while_it_waits_to_grow_gets_nothing(run):
    """Guards against memory that nobody held any more: a closed connection's charge grew when others let go."""

    async def go():
        pool = make_pool()
        other, charge = await pool.take("a", 60, 1.0), await pool.take("b", 40, 1.0)
        growing = asyncio.ensure_future(pool.grow(charge, 30, 30.0))
        await asyncio.sleep(0)
        assert pool.waiter_count == 1
        charge.release()
        with pytest.raises(MemoryFullError):
            await growing
        other.release()
        assert pool.held_bytes == 0 and pool.waiter_count == 0
        with pytest.raises(MemoryFullError):
            await pool.grow(charge, 1, 30.0)

    run(go())


def test_one_that_gives_way_may_let_go_of_others_that_were_to(run):
    """Guards against an error in the pool's timer, after which nobody gave way any more to those that waited."""

    async def go():
        clock, errors, held = HandClock(), [], []
        asyncio.get_running_loop().set_exception_handler(lambda _loop, context: errors.append(context))
        pool = make_pool(now=clock.now)

        def close_connection():
            for charge in held:
                charge.release()

        held += [await pool.take("a", 30, 1.0, give_way=close_connection) for _ in range(2)]
        clock.at += STALL_S
        assert (await pool.take("b", 90, 30.0)).held_bytes == 90
        assert errors == []

    run(go())


def test_a_charge_that_another_thread_collects_is_given_back_by_the_event_loop(run):
    """Guards against a pool that was changed, and a waiter that was woken, in the thread that collected garbage."""

    async def go():
        loop, errors = asyncio.get_running_loop(), []
        loop.set_debug(True)  # the loop then refuses calls from other threads
        pool = make_pool()
        gc.disable()
        try:
            charge = pool.try_take("a", 80)
            charge.give_way_by(charge.release)  # a cycle: it goes only when garbage is collected
            del charge
            waiting = asyncio.ensure_future(pool.take("b", 50, 30.0))
            await asyncio.sleep(0)
            with mock.patch.object(sys, "unraisablehook", errors.append):
                await asyncio.to_thread(gc.collect)
            assert (await waiting).held_bytes == 50 and errors == []
        finally:
            gc.enable()

    run(go())


def test_a_charge_that_is_dropped_is_given_back():
    async def go():
        pool = make_pool()
        assert pool.try_take("a", 30) is not None  # nobody keeps it
        assert pool.held_bytes == 0

    asyncio.run(go())


def test_a_body_is_held_until_its_last_user_lets_go(run):
    async def go():
        pool = make_pool()
        body = HeldBody(b"x" * 30, pool.try_take("a", 30))
        HELD_BODY.set(body)
        outliving = retain_held_body()
        body.release()
        assert pool.held_bytes == 30 and outliving.data
        outliving.release()
        assert pool.held_bytes == 0 and not body.data

    run(go())


@pytest.mark.parametrize("memory_mb", [60, 160, 200, 300, 320, 4000])
def test_the_shares_stay_within_the_memory(memory_mb):
    shares = MemoryShares.of(memory_mb)
    total = shares.connections + shares.small_bodies + shares.large_bodies + shares.large_answers
    assert 0 < total <= memory_mb * 1_000_000


def test_the_largest_body_of_the_default_limits_fits_on_the_smallest_machine():
    assert MemoryShares.of(160).large_bodies >= 32 << 20
