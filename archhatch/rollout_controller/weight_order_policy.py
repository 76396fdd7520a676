"""Decides which engine loads which version next: pure functions of what is known of engines and jobs."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from ..jobs import BatchJob
from ..routing import RoutingTable
from .engines import Engine


class LoadRank(NamedTuple):
    """The order in which engines load: the lowest first."""

    is_not_urgent: bool  # whether an engine can run the model's jobs already
    running_items: int  # items of the model under way there
    seconds_per_event: float


def rank_of(engine: Engine, model: str, is_urgent: bool) -> LoadRank:
    """Returns how soon an engine should load a model.

    >>> rank_of(Engine("i", "a", "s", "z", 1), "m", True) < rank_of(Engine("j", "b", "s", "z", 1), "m", False)
    True
    """
    return LoadRank(not is_urgent, engine.running_items.get(model, 0), engine.seconds_per_event)


def has_share(engines: list[Engine], model: str, revision: int, model_count: int) -> bool:
    """Returns whether a model has its even share of a service's engines.

    Args:
        engines: The service's engines.
        model: The model.
        revision: The version that it should have there.
        model_count: How many models are trained on the service.

    >>> has_share([Engine("i", "a", "s", "z", 1), Engine("j", "b", "s", "z", 1)], "m", 1, 2)
    True
    """
    loaded = sum(1 for engine in engines if engine.has_revision(model, revision) or model in engine.held_models)
    return loaded >= math.ceil(len(engines) / max(1, model_count))


def is_urgent(batch_jobs: Iterable[BatchJob], engines: list[Engine], model: str, revision: int) -> bool:
    """Returns whether no engine has the newest version of a model yet, or an open job waits for any engine at all."""
    if not any(engine.has_revision(model, revision) for engine in engines):
        return True
    return _is_starved(batch_jobs, engines, model)


def _is_starved(batch_jobs: Iterable[BatchJob], engines: list[Engine], model: str) -> bool:
    """Whether an open job has no engine that may make its tokens."""
    return any(
        batch_job.model == model
        and not batch_job.is_ended
        and not any(engine.has_revision(model, batch_job.min_revision) for engine in engines)
        for batch_job in batch_jobs
    )


def needs_single_version(batch_jobs: Iterable[BatchJob], model: str, plan: RoutingTable | None) -> bool:
    """Returns whether an open job came by a route whose items must each be made by one version of the model."""
    for batch_job in batch_jobs:
        if batch_job.is_ended or batch_job.model != model:
            continue
        route = plan.find_route(batch_job.host, batch_job.path.split("?", 1)[0])  # type: ignore[union-attr]
        if route is not None and route.is_single_version:
            return True
    return False
