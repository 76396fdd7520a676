"""A job has one owner: no second run accepts it, whatever becomes of leaders, stores and links meanwhile."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from tests.support.job_cluster import Cluster

from archhatch.jobs.record_state import RecordState
from archhatch.rollout_controller.job_claims import JobClaims

RUNS, JOBS = ("r1", "r2"), ("a", "b")
NUMBER = st.integers(0, 4)
STEP = st.one_of(
    st.tuples(st.just("submit"), st.sampled_from(RUNS), st.sampled_from(JOBS)),
    st.tuples(st.just("lead"), st.sampled_from(RUNS), NUMBER),
    st.tuples(st.sampled_from(["cut", "heal", "power"]), NUMBER),
    st.tuples(st.just("wait"), st.sampled_from([0.005, 0.02, 0.1, 1.0])),
)
SIZES = st.sampled_from([(3, 1), (4, 1), (5, 1), (5, 2)])
LED = [("lead", "r1", 0), ("lead", "r2", 1), ("wait", 1.0)]
# A job is sent to two runs, one after the other (review/7), at the same moment, and while a store that has it is away.
TWICE = [*LED, ("submit", "r1", "a"), ("wait", 1.0), ("submit", "r2", "a"), ("wait", 1.0)]
AT_ONCE = [*LED, ("submit", "r1", "a"), ("submit", "r2", "a"), ("wait", 1.0)]
AFTER_A_TAKEOVER = [
    *LED,
    ("submit", "r1", "a"),
    ("wait", 1.0),
    ("lead", "r2", 2),
    ("wait", 1.0),
    ("submit", "r2", "a"),
    ("wait", 1.0),
]
STORE_AWAY = [*LED, ("cut", 0), ("submit", "r2", "a"), ("wait", 1.0), ("heal", 0), ("submit", "r1", "a"), ("wait", 1.0)]


def play(seed, size, steps):
    cluster = Cluster(seed, *size)
    cluster.play(steps)
    return cluster


@settings(max_examples=250, deadline=None)
@given(st.integers(0, 99), SIZES, st.lists(STEP, max_size=25).map(lambda steps: [*LED, *steps]))
@example(0, (3, 1), TWICE)
@example(0, (4, 1), AT_ONCE)
@example(0, (5, 1), AFTER_A_TAKEOVER)
@example(0, (3, 1), STORE_AWAY)
def test_no_two_runs_accept_or_serve_one_job(seed, size, steps):
    play(seed, size, steps)


@pytest.mark.parametrize("size", [(3, 1), (4, 1), (5, 2)])
def test_a_job_that_is_sent_to_two_runs_at_once_is_served_by_one(size):
    for seed in range(20):
        cluster = play(seed, size, [*AT_ONCE, ("submit", "r1", "a"), ("submit", "r2", "a"), ("wait", 2.0)])
        assert len(cluster.open_jobs()["a"]) == 1


@pytest.fixture
def without_owners(monkeypatch):
    """Stores and leaders as they were: a store took any run's job, and copies alone made a job accepted."""

    async def accept(self, record, claimed=()):
        await self.host.replicator.replicate(self.run, self.term, [record])

    monkeypatch.setattr(RecordState, "other_owner", lambda self, record: None)
    monkeypatch.setattr(JobClaims, "accept", accept)
    monkeypatch.setattr(JobClaims, "is_owner", lambda self, held, claimed: True)


@pytest.mark.parametrize("steps", [TWICE, AT_ONCE, AFTER_A_TAKEOVER, STORE_AWAY])
def test_the_model_finds_the_former_fault(without_owners, steps):
    with pytest.raises(AssertionError, match="was accepted by|is served by"):
        play(0, (3, 1), steps)
