"""The rules that a soak judges, as functions of what its clients and replicas saw."""

from __future__ import annotations

from collections.abc import Iterable

from tests.soak.clients import ITEMS, TIMEOUTS_S, Job, Outcome
from tests.soak.deployment import BOUNDS, Replica
from tests.soak.troubles import GRACE_S, Log

CANCEL_S = BOUNDS["CancelMs"] / 1000
CONTACT_S = BOUNDS["ContactMs"] / 1000
EXCUSED_SENT_S = 3.0  # after a SIGTERM: a request sent until then may be given up in the last sixth of GraceS
DEADLINE_SLACK_S = 0.2
CUT_SLACK_S = 1.0  # a connection that is closed unread ends sooner, also beside load
UNSAFE_STATUSES = frozenset({408, 421, 429, 503})  # they promise that a request has not run


def judge_live(outcomes: Iterable[Outcome], replicas: list[Replica], log: Log) -> list[str]:
    """Returns the broken rules of live requests: LOST, TWICE, REFUSED."""
    lives: dict[str, list[str]] = {}
    for replica in replicas:
        for run in replica.runs:
            lives.setdefault(run.request_id, []).append(run.life)
    broken = []
    for outcome in outcomes:
        ran_at = lives.get(outcome.request_id, [])
        if outcome.route == "order" and len(ran_at) > 1:
            broken.append(f"TWICE {outcome} ran at {ran_at}")
        if outcome.route == "order" and ran_at and outcome.status in UNSAFE_STATUSES:
            broken.append(f"REFUSED {outcome} ran at {ran_at}")
        if outcome.status == 0 and _is_lost(outcome, ran_at, log):
            broken.append(f"LOST {outcome} ran at {ran_at}")
    return broken


def _is_lost(outcome: Outcome, ran_at: list[str], log: Log) -> bool:
    """Whether a request without a whole answer was read, and nothing excuses that."""
    cut_at = outcome.sent_at + outcome.took_s
    if outcome.took_s >= TIMEOUTS_S[outcome.route] - DEADLINE_SLACK_S:
        return False
    if any(outcome.sent_at - 1.0 <= at <= cut_at + 1.0 for at in log.kills.get(outcome.edge, ())):
        return False
    if any(outcome.sent_at <= log.crashes.get(life, -1.0) <= cut_at for life in ran_at):
        return False
    for term_at in log.terms.get(outcome.edge, ()):
        if outcome.sent_at <= term_at + EXCUSED_SENT_S and cut_at >= term_at + GRACE_S * 5 / 6:
            return False
    return bool(ran_at) or outcome.took_s > CUT_SLACK_S


def judge_jobs(jobs: Iterable[Job], replicas: list[Replica], log: Log) -> list[str]:
    """Returns the broken rules of batch jobs: LOST, UNASKED."""
    broken = []
    runs: dict[str, list[float]] = {}
    for replica in replicas:
        for run in replica.runs:
            kind, _, rest = run.request_id.partition("-")
            if kind in ("item", "reward"):
                runs.setdefault(rest.rsplit("-", 1)[0], []).append(run.began_at)
    for job in jobs:
        if job.changed_positions:
            broken.append(f"LOST {job.job_id}: positions changed: {job.changed_positions}")
        if job.is_owed() and len(set(job.results)) != ITEMS:
            broken.append(f"LOST {job.job_id}: {len(job.results)} of {ITEMS} results at the end")
        if job.ended_at is None:
            continue
        late = [at for at in runs.get(job.job_id, ()) if at > job.ended_at + CANCEL_S and not _is_unsettled(at, log)]
        if late:
            after_s = max(late) - job.ended_at
            broken.append(f"UNASKED {job.job_id}: {len(late)} runs later than CancelMs, up to {after_s:.1f} s")
    return broken


def _is_unsettled(at: float, log: Log) -> bool:
    """Whether a store or control node was in trouble in the ContactMs before a moment."""
    return any(began_at <= at <= ended_at + CONTACT_S for began_at, ended_at in log.core_troubles)


def judge_use(replicas: list[Replica], since: float, services: set[str]) -> list[str]:
    """Returns the replicas of some services that got no request since a moment, though all are up."""
    return [
        f"UNUSED {replica.life}: no request in the calm"
        for replica in replicas
        if replica.service in services and not any(run.began_at > since for run in replica.runs)
    ]
