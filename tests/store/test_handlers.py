"""What a store's answers may promise."""

from types import SimpleNamespace

import pytest

from archhatch.store.handlers import may_be_taken


@pytest.mark.parametrize(
    "why, job_id, state, taken",
    [
        ("nothing is known of it", "x", "holding", False),
        ("a record stands here", "kept", "over", True),
        ("it was offered under a term that is over", "offered", "over", True),
        ("a term begins: it may be found", "x", "reading", True),
    ],
)
def test_when_not_taken_may_not_be_said(clock, why, job_id, state, taken):
    leadership = SimpleNamespace(state=state, offered_jobs={"offered"}, batch_jobs={})
    store = SimpleNamespace(record_store=SimpleNamespace(batch_jobs={"kept": {}}), leaderships={"s": leadership})
    assert may_be_taken(store, "s", job_id) is taken
