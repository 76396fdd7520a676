"""Room for the bodies of large jobs: bounded, each job once, and never kept for good by one that does not come."""

import asyncio
import types

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.support.fakes import HandClock

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
    reservations, now = JobReservations(100), 0.0
    for name, job_id, number in steps:
        if name == "reserve":
            reservations.reserve(job_id, number, now)
        elif name == "wait":
            now += number / 50
        else:
            getattr(reservations, name)(job_id)
        assert sum(size for size, _ in reservations._reserved.values()) <= 100


@pytest.mark.parametrize("waited_s, is_there_room", [(0.0, False), (RESERVED_S, True)])
def test_room_that_is_not_used_is_given_to_others(waited_s, is_there_room):
    reservations = JobReservations(100)
    assert reservations.reserve("a", 80, 0.0)
    assert reservations.reserve("b", 80, waited_s) is is_there_room


def small_store(clock, admits=True, kept=()):
    """Returns what handlers use of a store with room for 100,000 bytes of arriving jobs."""
    return types.SimpleNamespace(
        settings=types.SimpleNamespace(memory_mb=1),
        clock=clock,
        counters=Counters(),
        leaderships={},
        leaving=True,
        ready=True,
        record_store=types.SimpleNamespace(batch_jobs=dict.fromkeys(kept)),
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
        await handlers._reserve_job({"to": "s", "lot": "a", "size": 90_000}, b"")
        submitting = asyncio.ensure_future(handlers._submit_job(put, b""))
        await asyncio.sleep(0)
        clock.at += 2 * RESERVED_S
        with pytest.raises(CallRefusedError) as refusal:
            await handlers._reserve_job({"to": "s", "lot": "b", "size": 90_000}, b"")
        assert refusal.value.code == 3013
        gate.set()
        await submitting
        await handlers._reserve_job({"to": "s", "lot": "b", "size": 90_000}, b"")

    run(go())
