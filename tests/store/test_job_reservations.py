"""Room for the bodies of large jobs: bounded, and never kept for good by one that does not come."""

import asyncio
import types

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.support.fakes import HandClock

from archhatch.jobs import LARGE_JOB_BYTES
from archhatch.rpc import CallRefusedError
from archhatch.runtime import Counters
from archhatch.store.handlers import StoreHandlers
from archhatch.store.job_reservations import RESERVED_S, JobReservations

STEPS = st.lists(
    st.tuples(st.sampled_from(["reserve", "begin", "release", "wait"]), st.sampled_from("abc"), st.integers(1, 150)),
    max_size=30,
)


@given(STEPS)
@settings(max_examples=150, deadline=None)
def test_what_is_reserved_never_passes_the_capacity(steps):
    reservations, now, begun = JobReservations(100), 0.0, []
    for name, job_id, number in steps:
        if name == "reserve":
            reservations.reserve(job_id, number, now)
        elif name == "wait":
            now += number / 50
        elif name == "begin":
            begun += filter(None, [reservations.begin(job_id, number, now)])
        elif begun:
            reservations.release(begun.pop(number % len(begun)))
        assert sum(held.size for held in begun) <= reservations.reserved_bytes <= 100
    for reservation in begun:
        reservations.release(reservation)
    assert reservations.reserve("d", 100, now + RESERVED_S)


@pytest.mark.parametrize("waited_s, is_there_room", [(0.0, False), (RESERVED_S, True)])
def test_room_that_is_not_used_is_given_to_others(waited_s, is_there_room):
    reservations = JobReservations(100)
    assert reservations.reserve("a", 80, 0.0)
    assert reservations.reserve("b", 80, waited_s) is is_there_room


def test_each_copy_of_a_job_needs_room_of_its_own():
    """Guards against one job that was sent by several edges: room was kept once, and each edge sent its body."""
    reservations = JobReservations(100)
    assert reservations.reserve("a", 60, 0.0) and not reservations.reserve("a", 60, 0.0)
    assert reservations.begin("a", 60, 0.0) is not None and reservations.begin("a", 60, 0.0) is None


def test_one_that_asks_again_has_the_same_room():
    """Guards against room that nobody uses: kept for an edge whose first question was answered too late."""
    reservations = JobReservations(100)
    assert reservations.reserve("a", 60, 0.0, claim="x") and reservations.reserve("a", 60, 2.0, claim="x")
    assert reservations.reserved_bytes == 60
    assert not reservations.reserve("b", 60, RESERVED_S, claim="y")  # the room is kept from the last question on
    body = reservations.begin("a", 60, RESERVED_S)
    assert body is not None and not reservations.reserve("a", 60, RESERVED_S, claim="x")  # a second body
    reservations.release(body)
    assert reservations.reserved_bytes == 0


def small_store(clock, admits=True, kept=()):
    """Returns what handlers use of a store with room for 100,000 bytes of arriving jobs."""
    return types.SimpleNamespace(
        settings=types.SimpleNamespace(memory_mb=1),
        clock=clock,
        counters=Counters(),
        leaderships={},
        leaving=True,
        ready=True,
        record_store=types.SimpleNamespace(batch_jobs=dict.fromkeys(kept), claims={}),
        membership=types.SimpleNamespace(can_admit=lambda _job_id, _size: admits),
        members=dict,
        id="s",
    )


@pytest.mark.parametrize("admits, job_id, code", [(False, "new", 3008), (False, "kept", None), (True, "new", None)])
def test_a_job_that_cannot_be_opened_is_refused_before_its_body_is_sent(run, clock, admits, job_id, code):
    """Guards against edges that sent bodies of 20 MB ten times a second, each read whole only to be refused."""

    async def go():
        handlers = StoreHandlers(small_store(clock, admits, kept=["kept"]))
        try:
            await handlers._reserve_job({"to": "s", "lot": job_id, "size": 90_000}, b"")
            refused_with = None
        except CallRefusedError as refusal:
            refused_with = refusal.code
        assert refused_with == code

    run(go())


def test_room_of_a_body_that_has_come_is_kept_until_it_is_taken_or_refused(run):
    async def go():
        clock = HandClock()
        handlers, gate = StoreHandlers(small_store(clock)), asyncio.Event()
        handlers._submission_leadership = lambda *_: types.SimpleNamespace(accept_job=lambda *_: gate.wait())
        handlers._sign = lambda leadership: {}
        put = {"to": "s", "lot": "a", "run": "r", "term": 1, "host": "h", "path": "/x"}
        handlers._reservations = JobReservations(2 * LARGE_JOB_BYTES)
        large = bytes(LARGE_JOB_BYTES + 1)
        await handlers._reserve_job({"to": "s", "lot": "a", "size": len(large)}, b"")
        submitting = asyncio.ensure_future(handlers._submit_job(put, large))
        await asyncio.sleep(0)
        clock.at += 2 * RESERVED_S
        with pytest.raises(CallRefusedError) as refusal:
            await handlers._reserve_job({"to": "s", "lot": "b", "size": len(large)}, b"")
        assert refusal.value.code == 3013
        gate.set()
        await submitting
        await handlers._reserve_job({"to": "s", "lot": "b", "size": len(large)}, b"")

    run(go())


def test_a_body_that_comes_when_its_room_was_given_to_another_is_not_taken(run):
    """Guards against an edge that stood still: its body came beside the one that had got the room meanwhile."""

    async def go():
        clock = HandClock()
        handlers, taken = StoreHandlers(small_store(clock)), []
        handlers._reservations = JobReservations(LARGE_JOB_BYTES + 1)

        async def accept_job(document, _body):
            taken.append(document["lot"])

        handlers._submission_leadership = lambda *_: types.SimpleNamespace(accept_job=accept_job)
        handlers._sign = lambda leadership: {}
        large = bytes(LARGE_JOB_BYTES + 1)
        await handlers._reserve_job({"to": "s", "lot": "a", "size": len(large)}, b"")
        clock.at += RESERVED_S
        await handlers._reserve_job({"to": "s", "lot": "b", "size": len(large)}, b"")
        put = {"to": "s", "lot": "a", "run": "r", "term": 1, "host": "h", "path": "/x"}
        with pytest.raises(CallRefusedError) as refusal:
            await handlers._submit_job(put, large)
        assert refusal.value.code == 3008
        await handlers._submit_job({**put, "lot": "b"}, large)
        await handlers._submit_job({**put, "lot": "small"}, large[:LARGE_JOB_BYTES])
        assert taken == ["b", "small"]

    run(go())


def leading_store(clock, answers):
    """A store that leads a run, whose neighbours answer as told when they are asked for room for a copy."""
    store = small_store(clock)
    store.leaderships = {"r": types.SimpleNamespace(run="r", state="holding", offered_jobs=set(), batch_jobs={})}
    asked = []

    async def reserve_copies(run_name, job_id, size):
        asked.append((run_name, job_id, size))
        return answers.pop(0)

    store.replicator = types.SimpleNamespace(reserve_copies=reserve_copies)
    return StoreHandlers(store), asked


async def refusal_of(call):
    try:
        await call
    except CallRefusedError as refusal:
        return refusal.code
    return None


# A store took a large job of its own run and copies of two others' at once, and went over its memory (review/9).
def test_a_store_has_a_large_job_or_a_large_copy_but_not_both(run, clock):
    async def go():
        handlers, asked = leading_store(clock, [True, True])
        job, copy = {"to": "s", "lot": "a", "size": 90_000, "claim": "x"}, {"to": "s", "lot": "b", "size": 90_000}
        assert await refusal_of(handlers._reserve_job(job, b"")) is None
        assert await refusal_of(handlers._reserve_copy({**copy, "claim": "b"}, b"")) == 3013
        clock.at += RESERVED_S  # the body did not come
        assert await refusal_of(handlers._reserve_copy({**copy, "claim": "b"}, b"")) is None
        assert await refusal_of(handlers._reserve_job(job, b"")) == 3013
        clock.at += RESERVED_S
        assert await refusal_of(handlers._reserve_job(job, b"")) is None
        assert asked == [("r", "a", 90_000)] * 2
        small = {"to": "s", "lot": "c", "size": 10_000, "claim": "c"}
        assert await refusal_of(handlers._reserve_copy(small, b"")) is None  # what fits beside it may come

    run(go())


def test_a_large_job_whose_copies_have_no_room_is_not_asked_for_and_keeps_none(run, clock):
    async def go():
        handlers, _ = leading_store(clock, [False, True])
        first = {"to": "s", "lot": "a", "size": 90_000, "claim": "x"}
        assert await refusal_of(handlers._reserve_job(first, b"")) == 3013
        assert await refusal_of(handlers._reserve_job({**first, "lot": "b", "claim": "y"}, b"")) is None

    run(go())
