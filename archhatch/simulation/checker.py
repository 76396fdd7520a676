"""The judge of a history. It knows the rules of the users' pages and nothing of the code."""

from __future__ import annotations

import enum
from collections import defaultdict
from dataclasses import dataclass

from .chain import BrokenChainError, Chain, Sends
from .history import Attempt, Calm, History, Outcome


LONGEST_GAP_S = 2.5  # between two sendings of one who goes on trying


class Rule(enum.Enum):
    """What a history can break."""

    CHAIN = "the changes in force form one chain, and nothing acknowledged is lost"
    CONTENT = "a reading shows what was sent under its number"
    ORDER = "what was acknowledged or read is seen by all that begins later"
    UNSENT = "nothing is in force before it was sent"
    IN_FORCE = "what was refused, or is invalid, is never in force"
    REFUSED = "a valid change on the current version is not refused"
    FINAL = "the configuration comes when it is read back at the end"
    BACK = "a reader's versions never go back in one life"
    LEASE = "a term of a lease has one holder"
    FRESH = "a reader has what was acknowledged ConvergeMs ago while the group is settled"
    AVAILABLE = "a settled group answers within AckTimeoutMs"


@dataclass(frozen=True)
class Violation:
    """One broken rule, and how."""

    rule: Rule
    why: str

    def __str__(self) -> str:
        return f"{self.rule.name}: {self.why}"


def check(history: History) -> list[Violation]:
    """All that a history breaks; empty if it keeps the rules."""
    found = _check_readers(history) + _check_leases(history) + _check_last(history)
    try:
        chain = Chain(history)
    except BrokenChainError as broken:
        return found + [Violation(Rule.CHAIN, str(broken))]
    found += _check_one_each(chain) + _check_force(chain)
    found += _check_content(history, chain) or _check_order(history, chain)
    if not any(v.rule in (Rule.ORDER, Rule.CONTENT) for v in found):
        found += _check_refusals(history, chain) + _check_available(history, chain) + _check_fresh(history, chain)
    return found


def _check_readers(history: History) -> list[Violation]:
    newest: dict[tuple, int] = {}
    out = []
    for seen in history.seen:
        key = (seen.reader, seen.incarnation)
        if seen.revision < newest.get(key, 0):
            out.append(Violation(Rule.BACK, f"{seen.reader} has {seen.revision} after {newest[key]} at {seen.at:.3f}"))
        newest[key] = max(seen.revision, newest.get(key, 0))
    return out


def _check_leases(history: History) -> list[Violation]:
    holders = defaultdict(set)
    for grant in history.grants:
        holders[grant.run, grant.term].add(grant.holder)
    return [
        Violation(Rule.LEASE, f"term {term} of {run} is held by {sorted(names)}")
        for (run, term), names in holders.items()
        if len(names) > 1
    ]


def _check_last(history: History) -> list[Violation]:
    last = [read for read in history.reads if read.last]
    if last and all(read.answered_at is None for read in last):
        return [Violation(Rule.FINAL, "no reading at the end was answered")]
    return []


def _check_one_each(chain: Chain) -> list[Violation]:
    out = []
    for what, key in (("revision", lambda c: c.revision), ("version to build on", lambda c: c.match)):
        groups = defaultdict(list)
        for change in chain.evident:
            groups[key(change)].append(change.number)
        out += [
            Violation(Rule.CHAIN, f"changes {numbers} were all in force with one {what}, {value}")
            for value, numbers in groups.items()
            if len(numbers) > 1
        ]
    return out


def _check_force(chain: Chain) -> list[Violation]:
    out = []
    for change in chain.changes:
        if not change.valid:
            out.append(Violation(Rule.IN_FORCE, f"change {change.number} is invalid and in force"))
        for refusal in chain.sends[change.number].refusals():
            out.append(
                Violation(
                    Rule.IN_FORCE,
                    f"change {change.number} (revision {change.revision} on {change.match}) "
                    f"is in force, and {refusal.node} answered {refusal.outcome.value} at "
                    f"{refusal.answered_at:.3f} to what was sent at {refusal.sent_at:.3f}",
                )
            )
    return out


def _check_content(history: History, chain: Chain) -> list[Violation]:
    out = []
    for read in history.reads:
        if read.answered_at is not None and chain.content(read.revision) != tuple(sorted(read.marks)):
            out.append(
                Violation(
                    Rule.CONTENT,
                    f"{read.node} told revision {read.revision} with {read.marks} instead of "
                    f"{chain.content(read.revision)} at {read.answered_at:.3f}",
                )
            )
    return out


@dataclass(frozen=True)
class _Operation:
    """Something that took effect between two moments, at a position of the chain."""

    start: float
    end: float
    position: int
    writes: bool
    name: str


def _operations(history: History, chain: Chain) -> list[_Operation]:
    out = [
        _Operation(r.sent_at, r.answered_at, chain.position[r.revision], False, f"the reading at {r.node}")
        for r in history.reads
        if r.answered_at is not None
    ]
    for change in chain.changes:
        sends = chain.sends[change.number]
        if sends.acknowledged_at is not None:
            out.append(
                _Operation(
                    sends.first_at,
                    sends.acknowledged_at,
                    chain.position[change.revision],
                    True,
                    f"change {change.number}",
                )
            )
    return sorted(out, key=lambda o: o.end)


class _Floor:
    """The newest position that was known to be in force at a moment."""

    def __init__(self, operations: list[_Operation]):
        self._steps: list[tuple] = [(float("-inf"), 0)]
        for operation in operations:
            if operation.position > self._steps[-1][1]:
                self._steps.append((operation.end, operation.position))

    def at(self, moment: float) -> int:
        """The position; ends at the very moment don't count."""
        return max(position for end, position in self._steps if end < moment)


def _check_order(history: History, chain: Chain) -> list[Violation]:
    operations, out = _operations(history, chain), []
    floor = _Floor(operations)
    for op in operations:
        least = floor.at(op.start) + op.writes
        if op.position < least:
            out.append(
                Violation(
                    Rule.ORDER,
                    f"{op.name}, begun at {op.start:.3f}, took effect at position {op.position}, "
                    f"though {least - op.writes} was reached before",
                )
            )
        if op.position and not op.writes:
            first_at = chain.sends[chain.changes[op.position - 1].number].first_at
            if first_at > op.end:
                out.append(
                    Violation(Rule.UNSENT, f"{op.name} at {op.end:.3f} shows what was first sent at {first_at:.3f}")
                )
    return out


def _current_throughout(chain: Chain, floor: _Floor, revision: int, start: float, end: float, but: int) -> bool:
    """Whether a revision was surely the current one from start to end, changes of this number left aside."""
    position = chain.position.get(revision)
    if position is None or floor.at(start) < position:
        return False
    following = chain.after(revision)
    return following is None or following.number == but or chain.sends[following.number].first_at > end


def _check_refusals(history: History, chain: Chain) -> list[Violation]:
    """A copy that came before its version may be refused, and then every later copy must be: so the version must have
    been the current one since the change was first sent."""
    floor, out = _Floor(_operations(history, chain)), []
    for sends in chain.sends.values():
        change = sends.change
        for attempt in sends.refusals() if change.valid else []:
            span = sends.first_at, attempt.answered_at
            if _current_throughout(chain, floor, change.match, *span, but=change.number):
                out.append(
                    Violation(
                        Rule.REFUSED,
                        f"change {change.number} on {change.match}, which was current, got "
                        f"{attempt.outcome.value} from {attempt.node} at {attempt.answered_at:.3f}",
                    )
                )
    return out


def _check_available(history: History, chain: Chain) -> list[Violation]:
    floor, out = _Floor(_operations(history, chain)), []
    for sends in chain.sends.values():
        calm = _calm_after(history, sends.first_at)
        if calm is not None and _owed(chain, floor, sends, history.acknowledge_s):
            out.append(
                Violation(
                    Rule.AVAILABLE,
                    f"change {sends.change.number}, sent at {sends.first_at:.3f}, was not "
                    f"acknowledged in {history.acknowledge_s} s; {len(sends.attempts)} attempts: "
                    f"{_told(sends.attempts)}",
                )
            )
    return out


def _calm_after(history: History, start: float) -> Calm | None:
    """The calm span that holds a moment and all of AckTimeoutMs after it."""
    for calm in history.calms:
        if calm.start <= start and start + history.acknowledge_s <= calm.end:
            return calm
    return None


def _owed(chain: Chain, floor: _Floor, sends: Sends, within: float) -> bool:
    """Whether a change that had to be acknowledged in time was not."""
    change, start = sends.change, sends.first_at
    done = sends.acknowledged_at
    if not change.valid or (done is not None and done <= start + within):
        return False
    if done is None and max(a.sent_at for a in sends.attempts) < start + within - LONGEST_GAP_S:
        return False  # its sender gave up
    return _current_throughout(chain, floor, change.match, start, start + within, but=change.number)


def _check_fresh(history: History, chain: Chain) -> list[Violation]:
    """Readers tell what they hold often enough to be judged by that alone; a new life has ConvergeMs to catch up."""
    floor, out, begun = _Floor(_operations(history, chain)), [], {}
    for seen in history.seen:
        since = begun.setdefault((seen.reader, seen.incarnation), seen.at)
        then = seen.at - history.converge_s
        calm = any(c.start <= then and seen.at <= c.end for c in history.calms)
        position = chain.position.get(seen.revision)
        if calm and since <= then and position is not None and position < floor.at(then):
            out.append(
                Violation(
                    Rule.FRESH,
                    f"{seen.reader} holds revision {seen.revision} at {seen.at:.3f}, though "
                    f"position {floor.at(then)} was reached before {then:.3f}",
                )
            )
    return out


def _told(attempts: list[Attempt]) -> str:
    return ", ".join(f"{a.node} {a.outcome.value}" for a in attempts if a.outcome is not None)[:400]


def acknowledged(history: History) -> int:
    """How many changes were acknowledged: a run without any shows nothing."""
    return len({a.change.number for a in history.attempts if a.outcome is Outcome.ACKNOWLEDGED})
