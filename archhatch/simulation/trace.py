"""A run told in the order of its moments, for people."""

from __future__ import annotations

from .history import Attempt, Read
from .runner import Report


def tell(report: Report) -> str:
    """The faults, what each client did and was answered, and what is broken."""
    lines = [(h.at, str(h)) for h in report.happenings]
    lines += [(a.sent_at, _tell_attempt(a)) for a in report.history.attempts]
    lines += [(r.sent_at, _tell_read(r)) for r in report.history.reads]
    lines += [(g.at, f"{g.at:8.3f} lease {g.run} term {g.term} to {g.holder}") for g in report.history.grants]
    lines.sort(key=lambda line: line[0])
    return "\n".join([text for _, text in lines] + summary(report))


def summary(report: Report) -> list[str]:
    """The schedule and the broken rules."""
    out = [
        f"seed {report.seed}, {report.settings.nodes} nodes, {report.settings.model.value}: "
        f"{report.acknowledged} changes acknowledged, {report.steps} steps, {len(report.faults)} faults"
    ]
    out += [f"  {fault}" for fault in report.faults]
    return out + [f"  broken: {violation}" for violation in report.violations]


def _answered(at: float | None) -> str:
    return "unanswered" if at is None else f"at {at:.3f}"


def _tell_attempt(attempt: Attempt) -> str:
    change = attempt.change
    return (
        f"{attempt.sent_at:8.3f} {change.form.value} change {change.number}: {change.revision} on {change.match}"
        f"{'' if change.valid else ' (invalid)'} to {attempt.node}: {attempt.outcome.value}, "
        f"{_answered(attempt.answered_at)}"
    )


def _tell_read(read: Read) -> str:
    return f"{read.sent_at:8.3f} GET from {read.node}: revision {read.revision}, {_answered(read.answered_at)}"
