"""The share partition's window: case tables, no clock but the one that is given."""

import pytest
from tests.share_group.windows import window

from archhatch.share_group import EntryState, InvalidTransitionError
from archhatch.share_group.window import TRANSITIONS

TRANSITION_CASES = [  # state, trigger, what it becomes (None: refused)
    ("AVAILABLE", "acquire", "ACQUIRED"),
    ("AVAILABLE", "release", None),
    ("AVAILABLE", "accept", None),
    ("AVAILABLE", "reject", None),
    ("AVAILABLE", "archive", "ARCHIVED"),
    ("AVAILABLE", "found", "ACKNOWLEDGED"),
    ("ACQUIRED", "acquire", None),
    ("ACQUIRED", "release", "AVAILABLE"),
    ("ACQUIRED", "accept", "ACKNOWLEDGED"),
    ("ACQUIRED", "reject", "ARCHIVED"),
    ("ACQUIRED", "archive", "ARCHIVED"),
    ("ACQUIRED", "found", "ACKNOWLEDGED"),
    *[
        (s, t, None)
        for s in ("ACKNOWLEDGED", "ARCHIVED")
        for t in ("acquire", "release", "accept", "reject", "archive", "found")
    ],
]


@pytest.mark.parametrize("state, trigger, after", TRANSITION_CASES)
def test_transitions(state, trigger, after):
    assert TRANSITIONS.get((EntryState[state], trigger)) == (EntryState[after] if after else None)


ACKNOWLEDGEMENTS = [  # who acknowledges, with which delivery, at which offset, whether it counts
    ("w1", 1, 0, True),
    ("w2", 1, 0, False),
    ("w1", 2, 0, False),
    ("w1", 0, 0, False),
    ("w1", 1, 1, False),
    ("w1", 1, 99, False),
    ("w1", 1, -1, False),
]


@pytest.mark.parametrize("kind", ["accept", "release", "reject"])
@pytest.mark.parametrize("worker, delivery, offset, counts", ACKNOWLEDGEMENTS)
def test_only_the_worker_of_an_acquisition_acknowledges_it(kind, worker, delivery, offset, counts):
    w, es = window()
    w.acquire(es[0], "w1", 0.0)
    if counts:
        assert w.acknowledge(offset, worker, delivery, kind) is es[0]
    else:
        with pytest.raises(InvalidTransitionError):
            w.acknowledge(offset, worker, delivery, kind)
        assert es[0].state is EntryState.ACQUIRED and w.free_locks() == 199


@pytest.mark.parametrize(
    "final, start", [((0,), 1), ((1,), 0), ((0, 1), 2), ((1, 0), 2), ((0, 2), 1), ((0, 2, 1), 3), ((4, 3, 2, 1, 0), 5)]
)
def test_start_moves_over_final_entries_only(final, start):
    w, es = window()
    for n in final:
        w.acquire(es[n], "w", 0.0)
        w.acknowledge(n, "w", 1, "accept" if n % 2 else "reject")
    assert w.start_offset == start and w.end_offset >= max(final) + 1


@pytest.mark.parametrize("now, out", [(0.0, []), (29.9, []), (30.0, [0]), (34.9, [0]), (35.0, [0, 1])])
def test_locks_run_out_on_the_steady_clock(now, out):
    w, es = window()
    w.acquire(es[0], "w", 0.0)
    w.acquire(es[1], "w", 5.0)
    w.acquire(es[2], "w", 5.0)
    es[2].is_acknowledging = True  # an acknowledgement that is being committed keeps its lock
    assert [e.offset for e in w.expired(now)] == out


def test_a_lock_that_ran_out_is_presented_again_and_the_late_acknowledgement_refused():
    w, es = window()
    w.acquire(es[0], "w1", 0.0)
    w.release_lock(es[0])
    with pytest.raises(InvalidTransitionError):
        w.acknowledge(0, "w1", 1, "accept")
    w.acquire(es[0], "w1", 40.0)  # even by the same worker: another acquisition
    with pytest.raises(InvalidTransitionError):
        w.acknowledge(0, "w1", 1, "accept")
    assert es[0].delivery_count == 2 and w.acknowledge(0, "w1", 2, "accept").state is EntryState.ACKNOWLEDGED


def test_locks_are_capped():
    w, es = window(4, locks=2)
    w.acquire(es[0], "w", 0.0)
    w.acquire(es[1], "w", 0.0)
    with pytest.raises(InvalidTransitionError):
        w.acquire(es[2], "w", 0.0)
    assert es[2].state is EntryState.AVAILABLE and es[2].delivery_count == 0
    w.acknowledge(0, "w", 1, "release")
    w.acquire(es[2], "w", 0.0)
    assert w.free_locks() == 0


def test_no_number_of_deliveries_ends_an_entry():
    w, es = window(1)
    for n in range(1, 200):
        w.acquire(es[0], "w", float(n))
        w.acknowledge(0, "w", n, "release")
    assert es[0].state is EntryState.AVAILABLE and es[0].delivery_count == 199
