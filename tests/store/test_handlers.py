"""What a store's answers may promise."""

from types import SimpleNamespace

import pytest

from archhatch.store.handlers import StoreHandlers, may_be_taken


@pytest.mark.parametrize(
    "why, job_id, state, taken",
    [
        ("nothing is known of it", "x", "holding", False),
        ("a record stands here", "kept", "over", True),
        ("another store may have it: it was claimed here", "claimed", "holding", True),
        ("it was offered under a term that is over", "offered", "over", True),
        ("a term begins: it may be found", "x", "reading", True),
    ],
)
def test_when_not_taken_may_not_be_said(clock, why, job_id, state, taken):
    leadership = SimpleNamespace(state=state, offered_jobs={"offered"}, batch_jobs={})
    store = SimpleNamespace(
        record_store=SimpleNamespace(batch_jobs={"kept": {}}, claims={"claimed": "s"}), leaderships={"s": leadership}
    )
    assert may_be_taken(store, "s", job_id) is taken


def test_a_job_that_two_runs_of_one_store_have_is_ended_in_both(run):
    """Guards against a second copy of a job, as earlier versions accepted it, that runs on after the job's end."""
    ended = []

    def leadership(name):
        async def end_job(job_id):
            ended.append((name, job_id))

        return SimpleNamespace(
            run=name, term=1, state="holding", batch_jobs={"l": None}, pending_jobs={}, end_job=end_job
        )

    leaderships = {name: leadership(name) for name in ("r1", "r2")}
    store = SimpleNamespace(id="me", leaderships=leaderships, settings=SimpleNamespace(memory_mb=300))
    answer = run(StoreHandlers(store)._end_job({"lot": "l"}, b""))
    assert ended == [("r1", "l"), ("r2", "l")] and answer == {"run": "r1", "me": "me", "term": 1}
