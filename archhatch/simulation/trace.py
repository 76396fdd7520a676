"""A run as text: its events in order of time, and the rules that it broke."""

from __future__ import annotations

from .history import Attempt, Grant, Read
from .runner import Report


def format_trace(report: Report) -> str:
    """Returns the faults, the calls of clients with their answers and the granted leases by time, then the summary.

    Args:
        report: The report of a run.
    """
    lines = [(event.at, str(event)) for event in report.fault_events]
    lines += [(attempt.sent_at, _format_attempt(attempt)) for attempt in report.history.attempts]
    lines += [(read.sent_at, _format_read(read)) for read in report.history.reads]
    lines += [(grant.at, _format_grant(grant)) for grant in report.history.grants]
    lines.sort(key=lambda line: line[0])
    return "\n".join([text for _, text in lines] + format_summary(report))


def format_summary(report: Report) -> list[str]:
    """Returns the lines that sum up a run: its settings, its schedule of faults and the broken rules.

    Args:
        report: The report of a run.
    """
    settings = report.settings
    head = (
        f"seed {report.seed}, {settings.nodes} nodes, {settings.model.value}: "
        f"{report.acknowledged} changes acknowledged, {report.steps} steps, {len(report.faults)} faults"
    )
    faults = [f"  {fault}" for fault in report.faults]
    violations = [f"  broken: {violation}" for violation in report.violations]
    return [head, *faults, *violations]


def _format_answered(at: float | None) -> str:
    return "unanswered" if at is None else f"at {at:.3f}"


def _format_attempt(attempt: Attempt) -> str:
    change = attempt.change
    validity = "" if change.is_valid else " (invalid)"
    return (
        f"{attempt.sent_at:8.3f} {change.method.value} change {change.number}: {change.revision} on {change.match}"
        f"{validity} to {attempt.node}: {attempt.outcome.value}, {_format_answered(attempt.answered_at)}"
    )


def _format_read(read: Read) -> str:
    return f"{read.sent_at:8.3f} GET from {read.node}: revision {read.revision}, {_format_answered(read.answered_at)}"


def _format_grant(grant: Grant) -> str:
    return f"{grant.at:8.3f} lease {grant.run} term {grant.term} to {grant.holder}"
