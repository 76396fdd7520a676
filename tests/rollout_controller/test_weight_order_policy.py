"""Which engine loads which version next, decided without clock or I/O."""

from types import SimpleNamespace

import pytest

from archhatch.rollout_controller.engines import Engine
from archhatch.rollout_controller.weight_order_policy import has_share, is_urgent, needs_single_version, rank_of


def engine(revision=1, held=(), running=0, seconds_per_event=0.0):
    return Engine(
        "i",
        "a:1",
        "s",
        "z",
        4,
        revisions={"m": revision},
        held_models=set(held),
        running_items={"m": running},
        seconds_per_event=seconds_per_event,
    )


def job(model="m", is_ended=False, min_revision=1, path="/single/x"):
    return SimpleNamespace(model=model, is_ended=is_ended, min_revision=min_revision, host="h", path=path)


@pytest.mark.parametrize(
    "engines, model_count, enough",
    [
        ([], 1, True),
        ([engine(1), engine(2)], 1, False),
        ([engine(2), engine(2)], 1, True),
        ([engine(1, held={"m"}), engine(2)], 1, True),  # an order that is under way counts
        ([engine(1), engine(2)], 2, True),
        ([engine(1), engine(1), engine(2)], 2, False),  # shares are rounded up
        ([engine(1), engine(2)], 0, False),
    ],
)
def test_has_share(engines, model_count, enough):
    assert has_share(engines, "m", 2, model_count) is enough


@pytest.mark.parametrize(
    "jobs, engines, urgent",
    [
        ([], [engine(1)], True),  # nobody has the newest version
        ([], [engine(1), engine(2)], False),
        ([job(min_revision=3)], [engine(2)], True),  # no engine may make the job's tokens
        ([job(min_revision=3, is_ended=True)], [engine(2)], False),
        ([job(min_revision=3, model="other")], [engine(2)], False),
        ([job(min_revision=2)], [engine(1), engine(2)], False),
    ],
)
def test_is_urgent(jobs, engines, urgent):
    assert is_urgent(jobs, engines, "m", 2) is urgent


def test_rank_puts_urgency_before_load_and_load_before_speed():
    ranks = [
        rank_of(engine(running=3, seconds_per_event=9.0), "m", True),
        rank_of(engine(running=0, seconds_per_event=0.2), "m", False),
        rank_of(engine(running=0, seconds_per_event=0.5), "m", False),
        rank_of(engine(running=1, seconds_per_event=0.1), "m", False),
    ]
    assert ranks == sorted(ranks)


@pytest.mark.parametrize(
    "jobs, single",
    [
        ([], False),
        ([job()], True),
        ([job(path="/single/x?query")], True),
        ([job(path="/any/x")], False),
        ([job(path="/unknown")], False),  # its route is gone from the configuration
        ([job(is_ended=True), job(model="other")], False),
    ],
)
def test_needs_single_version(jobs, single):
    routes = {"/single/x": SimpleNamespace(is_single_version=True), "/any/x": SimpleNamespace(is_single_version=False)}
    plan = SimpleNamespace(find_route=lambda host, path: routes.get(path))
    assert needs_single_version(jobs, "m", plan) is single
