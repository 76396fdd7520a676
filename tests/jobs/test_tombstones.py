"""What was ended stays ended: no store that was away brings a job back, and no end is kept for ever."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from tests.support.job_cluster import STATUS_S, Cluster

from archhatch.jobs.record_state import RecordState
from archhatch.rollout_controller.tombstones import Tombstones

JOBS = ("a", "b")
NUMBER = st.integers(0, 4)
STEP = st.one_of(
    st.tuples(st.just("submit"), st.just("r1"), st.sampled_from(JOBS)),
    st.tuples(st.just("end"), st.sampled_from(JOBS)),
    st.tuples(st.just("lead"), st.just("r1"), NUMBER),
    st.tuples(st.sampled_from(["cut", "heal", "power"]), NUMBER),
    st.tuples(st.just("wait"), st.sampled_from([0.05, 1.0, STATUS_S + 10, 2 * STATUS_S + 10])),
)
LED = [("lead", "r1", 0), ("wait", 1.0)]
LONG_S = 3 * STATUS_S
# The leader changes before the job's end, so that the end and the job come to other stores (review/8).
OTHER_STORES = [
    *LED,
    ("submit", "r1", "a"),
    ("wait", 1.0),
    ("cut", 0),
    ("lead", "r1", 2),
    ("wait", 1.0),
    ("end", "a"),
    ("wait", 1.0),
    ("heal", 0),
    ("wait", LONG_S),
    ("lead", "r1", 1),
    ("wait", 5.0),
]
# A store that has the job is away for longer than anything is kept by time.
STORE_AWAY = [
    *LED,
    ("submit", "r1", "a"),
    ("wait", 1.0),
    ("cut", 1),
    ("end", "a"),
    ("wait", LONG_S),
    ("wait", LONG_S),
    ("heal", 1),
    ("lead", "r1", 1),
    ("wait", 5.0),
]
STORE_RESTARTED = [*STORE_AWAY[:-3], ("power", 1), ("power", 2), *STORE_AWAY[-3:]]
PLAYS = [OTHER_STORES, STORE_AWAY, STORE_RESTARTED]


def play(seed, size, steps):
    cluster = Cluster(seed, *size)
    cluster.play(steps)
    return cluster


@settings(max_examples=100, deadline=None)
@given(
    st.integers(0, 99), st.sampled_from([(3, 1), (4, 1), (5, 2)]), st.lists(STEP, max_size=20).map(lambda s: [*LED, *s])
)
@example(0, (3, 1), OTHER_STORES)
@example(0, (3, 1), STORE_AWAY)
@example(0, (4, 1), STORE_RESTARTED)
def test_no_item_of_an_ended_job_begins_again(seed, size, steps):
    play(seed, size, steps)


@pytest.mark.parametrize("steps", PLAYS)
@pytest.mark.parametrize("size", [(3, 1), (4, 1), (5, 2)])
def test_nothing_is_left_of_an_ended_job_once_all_stores_know_its_end(size, steps):
    cluster = Cluster(0, *size)
    cluster.rest = lambda: cluster.wait(LONG_S)
    cluster.play(steps)
    assert cluster.ended_at and not cluster.remains("a")


def test_an_end_is_kept_while_a_member_is_away():
    cluster = Cluster(0, 3, 1)
    cluster.rest = lambda: cluster.wait(0.0)
    cluster.play(STORE_AWAY[:-3])
    assert sorted(cluster.remains("a")) == ["p0", "p1", "p2"]
    assert all(cluster.at[place].record_store.lacks("a") for place in ("p0", "p2"))  # but for its end


@pytest.fixture
def with_expiry(monkeypatch):
    """Stores as they were: each dropped a job with its end by its own clock, and nobody brought ends to others."""

    def strip(self, ended_before):
        for job_id, stored in list(self.batch_jobs.items()):
            if stored.end is not None and stored.stored_at < ended_before:
                del self.batch_jobs[job_id]

    async def round_without_ends(self):
        return True

    monkeypatch.setattr(RecordState, "strip", strip)
    monkeypatch.setattr(Tombstones, "round", round_without_ends)


@pytest.mark.parametrize("steps", [OTHER_STORES, STORE_AWAY])
def test_the_model_finds_the_former_fault(with_expiry, steps):
    with pytest.raises(AssertionError, match="is open again"):
        play(0, (3, 1), steps)
