"""Judges a history by the rules of the users' pages; it knows nothing of the code under test."""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from .chain import BrokenChainError, Chain, ChangeAttempts
from .history import Attempt, Change, History, Outcome, SettledSpan

MAX_RETRY_GAP_S = 2.5  # between two attempts of a client that goes on trying; a longer one means that it gave up
MAX_ATTEMPTS_TEXT = 400  # characters of the attempts in a violation, so that it stays readable


class Rule(enum.Enum):
    """What a history can break. The names stand in the command's output."""

    CHAIN = "the changes in force form one chain, and nothing acknowledged is lost"
    CONTENT = "a reading shows what was sent under its number"
    ORDER = "what was acknowledged or read is seen by all that begins later"
    UNSENT = "nothing is in force before it was sent"
    IN_FORCE = "what was refused, or is invalid, is never in force"
    REFUSED = "a valid change on the current version is not refused"
    FINAL = "the configuration comes when it is read back at the end"
    BACK = "a reader's versions never go back in one incarnation"
    LEASE = "a term of a lease has one holder"
    FRESH = "a reader has what was acknowledged ConvergeMs ago while the group is settled"
    AVAILABLE = "a settled group answers within AckTimeoutMs"


@dataclass(frozen=True)
class Violation:
    """One broken rule.

    Attributes:
        rule: The rule.
        why: What broke it, with the moments.
    """

    rule: Rule
    why: str

    def __str__(self) -> str:
        return f"{self.rule.name}: {self.why}"


def check(history: History) -> list[Violation]:
    """Judges a history.

    Args:
        history: What the clients did and saw.

    Returns:
        All that it breaks; empty if it keeps the rules.
    """
    violations = _check_readers(history) + _check_leases(history) + _check_final_read(history)
    try:
        chain = Chain(history)
    except BrokenChainError as error:
        return [*violations, Violation(Rule.CHAIN, str(error))]
    violations += _check_chain_is_unique(chain) + _check_in_force(chain)
    violations += _check_content(history, chain) or _check_order(history, chain)
    if any(violation.rule in (Rule.ORDER, Rule.CONTENT) for violation in violations):
        return violations  # the other rules go by the positions of reads, which say nothing then
    violations += _check_refusals(history, chain)
    violations += _check_available(history, chain)
    violations += _check_fresh(history, chain)
    return violations


def _check_readers(history: History) -> list[Violation]:
    newest: dict[tuple[str, int], int] = {}
    violations = []
    for held in history.held_revisions:
        key = (held.reader, held.incarnation)
        if held.revision < newest.get(key, 0):
            why = f"{held.reader} has {held.revision} after {newest[key]} at {held.at:.3f}"
            violations.append(Violation(Rule.BACK, why))
        newest[key] = max(held.revision, newest.get(key, 0))
    return violations


def _check_leases(history: History) -> list[Violation]:
    holders: defaultdict[tuple[str, int], set[str]] = defaultdict(set)
    for grant in history.grants:
        holders[grant.run, grant.term].add(grant.holder)
    return [
        Violation(Rule.LEASE, f"term {term} of {run} is held by {sorted(names)}")
        for (run, term), names in holders.items()
        if len(names) > 1
    ]


def _check_final_read(history: History) -> list[Violation]:
    final = [read for read in history.reads if read.is_final]
    if final and all(read.answered_at is None for read in final):
        return [Violation(Rule.FINAL, "no reading at the end was answered")]
    return []


def _check_chain_is_unique(chain: Chain) -> list[Violation]:
    return [
        *_check_unique(chain, "revision", lambda change: change.revision),
        *_check_unique(chain, "version to build on", lambda change: change.match),
    ]


def _check_unique(chain: Chain, what: str, key: Callable[[Change], int]) -> list[Violation]:
    groups: defaultdict[int, list[int]] = defaultdict(list)
    for change in chain.evident:
        groups[key(change)].append(change.number)
    return [
        Violation(Rule.CHAIN, f"changes {numbers} were all in force with one {what}, {value}")
        for value, numbers in groups.items()
        if len(numbers) > 1
    ]


def _check_in_force(chain: Chain) -> list[Violation]:
    violations = []
    for change in chain.changes:
        if not change.is_valid:
            violations.append(Violation(Rule.IN_FORCE, f"change {change.number} is invalid and in force"))
        for refusal in chain.sends[change.number].refusals():
            why = (
                f"change {change.number} (revision {change.revision} on {change.match}) "
                f"is in force, and {refusal.node} answered {refusal.outcome.value} at "
                f"{refusal.answered_at:.3f} to what was sent at {refusal.sent_at:.3f}"
            )
            violations.append(Violation(Rule.IN_FORCE, why))
    return violations


def _check_content(history: History, chain: Chain) -> list[Violation]:
    violations = []
    for read in history.reads:
        if read.answered_at is None:
            continue
        expected = chain.content(read.revision)
        if expected != tuple(sorted(read.marks)):
            why = (
                f"{read.node} told revision {read.revision} with {read.marks} instead of "
                f"{expected} at {read.answered_at:.3f}"
            )
            violations.append(Violation(Rule.CONTENT, why))
    return violations


@dataclass(frozen=True)
class _Operation:
    """A read or an acknowledged change: it took effect between two moments, at a position of the chain."""

    start: float
    end: float
    position: int
    is_write: bool
    name: str


def _operations(history: History, chain: Chain) -> list[_Operation]:
    """The operations by their end."""
    operations = []
    for read in history.reads:
        if read.answered_at is not None and read.revision is not None:
            position = chain.position[read.revision]
            name = f"the reading at {read.node}"
            operations.append(_Operation(read.sent_at, read.answered_at, position, False, name))
    for change in chain.changes:
        sends = chain.sends[change.number]
        if sends.acknowledged_at is not None:
            position = chain.position[change.revision]
            name = f"change {change.number}"
            operations.append(_Operation(sends.first_at, sends.acknowledged_at, position, True, name))
    return sorted(operations, key=lambda operation: operation.end)


class _KnownPosition:
    """The newest position that was known to be in force at a moment.

    Args:
        operations: The operations by their end.
    """

    def __init__(self, operations: list[_Operation]) -> None:
        self._steps: list[tuple[float, int]] = [(float("-inf"), 0)]
        for operation in operations:
            newest = self._steps[-1][1]
            if operation.position > newest:
                self._steps.append((operation.end, operation.position))

    def at(self, moment: float) -> int:
        """Returns the position; operations that end at the very moment do not count."""
        return max(position for end, position in self._steps if end < moment)


def _check_order(history: History, chain: Chain) -> list[Violation]:
    operations = _operations(history, chain)
    known = _KnownPosition(operations)
    violations = []
    for operation in operations:
        reached = known.at(operation.start)
        least = reached + 1 if operation.is_write else reached
        if operation.position < least:
            why = (
                f"{operation.name}, begun at {operation.start:.3f}, took effect at position {operation.position}, "
                f"though {reached} was reached before"
            )
            violations.append(Violation(Rule.ORDER, why))
        if operation.position and not operation.is_write:
            first_at = chain.sends[chain.changes[operation.position - 1].number].first_at
            if first_at > operation.end:
                why = f"{operation.name} at {operation.end:.3f} shows what was first sent at {first_at:.3f}"
                violations.append(Violation(Rule.UNSENT, why))
    return violations


def _was_current_throughout(chain: Chain, known: _KnownPosition, change: Change, start: float, end: float) -> bool:
    """Whether the revision that a change builds on was surely the current one from start to end.

    The change itself is left aside: that it took effect does not mean that it was rightly refused.
    """
    position = chain.position.get(change.match)
    if position is None or known.at(start) < position:
        return False
    following = chain.after(change.match)
    if following is None or following.number == change.number:
        return True
    return chain.sends[following.number].first_at > end


def _check_refusals(history: History, chain: Chain) -> list[Violation]:
    """Valid changes on the current version must not be refused.

    A copy that came before its version may be refused, and then every later copy must be: so the version must have been
    the current one since the change was first sent.
    """
    known = _KnownPosition(_operations(history, chain))
    violations = []
    for sends in chain.sends.values():
        change = sends.change
        if not change.is_valid:
            continue
        for attempt in sends.refusals():
            answered_at = attempt.answered_at
            if answered_at is None or not _was_current_throughout(chain, known, change, sends.first_at, answered_at):
                continue
            why = (
                f"change {change.number} on {change.match}, which was current, got "
                f"{attempt.outcome.value} from {attempt.node} at {answered_at:.3f}"
            )
            violations.append(Violation(Rule.REFUSED, why))
    return violations


def _check_available(history: History, chain: Chain) -> list[Violation]:
    known = _KnownPosition(_operations(history, chain))
    violations = []
    for sends in chain.sends.values():
        span = _settled_span_after(history, sends.first_at)
        if span is not None and _is_overdue(chain, known, sends, history.acknowledge_s):
            why = (
                f"change {sends.change.number}, sent at {sends.first_at:.3f}, was not "
                f"acknowledged in {history.acknowledge_s} s; {len(sends.attempts)} attempts: "
                f"{_format_attempts(sends.attempts)}"
            )
            violations.append(Violation(Rule.AVAILABLE, why))
    return violations


def _settled_span_after(history: History, start: float) -> SettledSpan | None:
    """The settled span that holds a moment and all of AckTimeoutMs after it."""
    for span in history.settled_spans:
        if span.start <= start and start + history.acknowledge_s <= span.end:
            return span
    return None


def _is_overdue(chain: Chain, known: _KnownPosition, sends: ChangeAttempts, within_s: float) -> bool:
    """Whether a change that had to be acknowledged in time was not."""
    change = sends.change
    deadline = sends.first_at + within_s
    acknowledged_at = sends.acknowledged_at
    if not change.is_valid or (acknowledged_at is not None and acknowledged_at <= deadline):
        return False
    last_sent_at = max(attempt.sent_at for attempt in sends.attempts)
    if acknowledged_at is None and last_sent_at < deadline - MAX_RETRY_GAP_S:
        return False  # its sender gave up
    return _was_current_throughout(chain, known, change, sends.first_at, deadline)


def _check_fresh(history: History, chain: Chain) -> list[Violation]:
    """Readers must hold what was acknowledged ConvergeMs ago.

    They report what they hold often enough to be judged by that alone; a new incarnation has ConvergeMs to catch up.
    """
    known = _KnownPosition(_operations(history, chain))
    started: dict[tuple[str, int], float] = {}
    violations = []
    for held in history.held_revisions:
        started_at = started.setdefault((held.reader, held.incarnation), held.at)
        then = held.at - history.converge_s
        is_settled = any(span.start <= then and held.at <= span.end for span in history.settled_spans)
        position = chain.position.get(held.revision)
        if not is_settled or started_at > then or position is None:
            continue
        expected = known.at(then)
        if position < expected:
            why = (
                f"{held.reader} holds revision {held.revision} at {held.at:.3f}, though "
                f"position {expected} was reached before {then:.3f}"
            )
            violations.append(Violation(Rule.FRESH, why))
    return violations


def _format_attempts(attempts: list[Attempt]) -> str:
    return ", ".join(f"{attempt.node} {attempt.outcome.value}" for attempt in attempts)[:MAX_ATTEMPTS_TEXT]


def count_acknowledged(history: History) -> int:
    """Returns how many changes were acknowledged: a run without any shows nothing.

    Args:
        history: What the clients did and saw.
    """
    return len({attempt.change.number for attempt in history.attempts if attempt.outcome is Outcome.ACKNOWLEDGED})
