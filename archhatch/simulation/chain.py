"""The chain of changes that came into force, as far as a history shows it.

A change applies only on top of the version that it names, and versions only rise: so the changes in force form one
chain, from the first to the newest. A change is in it for sure if it was acknowledged, or its mark was read under its
revision.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..exceptions import ArchhatchError
from .history import Attempt, Change, ChangeMethod, History, Outcome, Read

MAX_PARTIAL_CHAINS = 2000  # tried in one search: beyond it, no chain is taken to fit


class BrokenChainError(ArchhatchError):
    """The changes that were seen in force do not form one chain."""


@dataclass
class ChangeAttempts:
    """All attempts to send one change.

    Attributes:
        change: The change.
        attempts: Its attempts, in the order in which they were sent.
    """

    change: Change
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def first_at(self) -> float:
        """When it was first sent."""
        return min(attempt.sent_at for attempt in self.attempts)

    @property
    def acknowledged_at(self) -> float | None:
        """When it was first acknowledged; None if it never was."""
        moments = [
            attempt.answered_at
            for attempt in self.attempts
            if attempt.outcome is Outcome.ACKNOWLEDGED and attempt.answered_at is not None
        ]
        return min(moments, default=None)

    def refusals(self) -> list[Attempt]:
        """Returns the attempts that were refused for sure."""
        return [attempt for attempt in self.attempts if attempt.outcome in (Outcome.CONFLICT, Outcome.INVALID)]


def attempts_by_change(history: History) -> dict[int, ChangeAttempts]:
    """Returns the attempts of each change, by the change's number.

    Args:
        history: What the clients did.
    """
    by_change: dict[int, ChangeAttempts] = {}
    for attempt in history.attempts:
        change = attempt.change
        by_change.setdefault(change.number, ChangeAttempts(change)).attempts.append(attempt)
    return by_change


class Chain:
    """The changes in force. Position 0 of the chain stands for the time before the first one.

    Attributes:
        sends: The attempts of each change, in force or not, by the change's number.
        evident: The changes that were in force for sure, by revision.
        changes: The changes in force, oldest first.
        position: The position of each revision in the chain.

    Raises:
        BrokenChainError: No chain holds all changes that were in force for sure.
    """

    def __init__(self, history: History) -> None:
        self.sends = attempts_by_change(history)
        self._read_marks = {mark for read in history.reads for mark in read.marks}
        self.evident = self._find_evident(history.reads)
        self.changes = self._find_chain()
        self.position = {change.revision: at for at, change in enumerate(self.changes, start=1)} | {0: 0}
        self._contents = self._replay()

    def _find_evident(self, reads: list[Read]) -> list[Change]:
        found = {
            sends.change.number: sends.change for sends in self.sends.values() if sends.acknowledged_at is not None
        }
        by_mark = {sends.change.mark: sends.change for sends in self.sends.values()}
        for read in reads:
            if read.answered_at is None or not read.revision:
                continue
            sources = [by_mark[mark] for mark in read.marks if mark in by_mark]
            sources = [change for change in sources if change.revision == read.revision]
            if not sources:
                raise BrokenChainError(
                    f"revision {read.revision} was read with {read.marks}, which nobody sent under it"
                )
            for change in sources:
                found[change.number] = change
        return sorted(found.values(), key=lambda change: change.revision)

    def _find_chain(self) -> list[Change]:
        """Searches, from the newest evident change backwards, a chain that holds all evident changes."""
        if not self.evident:
            return []
        wanted = {change.number for change in self.evident}
        best: list[Change] = []
        partial_chains = [[self.evident[-1]]]
        for _ in range(MAX_PARTIAL_CHAINS):
            if not partial_chains:
                break
            partial = partial_chains.pop()
            oldest = partial[-1]
            if oldest.match == 0:
                if wanted <= {change.number for change in partial}:
                    return partial[::-1]
                best = best or partial[::-1]
            partial_chains += [[*partial, before] for before in self._candidates_before(oldest)]
        missing = [change.number for change in self.evident if change not in best]
        nearest = [f"{change.number}: {change.revision} on {change.match}" for change in best]
        raise BrokenChainError(
            f"changes {missing} were in force, and no chain holds them; the nearest one has {nearest}"
        )

    def _candidates_before(self, change: Change) -> list[Change]:
        """What may have come right before a change, the likeliest last: the search takes that one first."""
        evident = [before for before in self.evident if before.revision == change.match]
        if evident:
            return evident
        sent = [sends.change for sends in self.sends.values()]
        possible = [before for before in sent if before.revision == change.match and before.is_valid]
        return sorted(possible, key=self._likelihood)

    def _likelihood(self, change: Change) -> tuple[bool, bool]:
        """Sort key: a change that nobody refused is likelier in force, and then one whose mark was read."""
        was_never_refused = not self.sends[change.number].refusals()
        return was_never_refused, change.mark in self._read_marks

    def _replay(self) -> dict[int, tuple[str, ...]]:
        marks: tuple[str, ...] = ()
        contents = {0: marks}
        for change in self.changes:
            marks = apply_change(marks, change)
            contents[change.revision] = marks
        return contents

    def content(self, revision: int | None) -> tuple[str, ...] | None:
        """Returns the services of a revision; None if it never was in force."""
        return None if revision is None else self._contents.get(revision)

    def after(self, revision: int) -> Change | None:
        """Returns the change that followed a revision; None for the newest one."""
        position = self.position[revision]
        return self.changes[position] if position < len(self.changes) else None


def apply_change(marks: tuple[str, ...], change: Change) -> tuple[str, ...]:
    """Returns the services after a change, sorted.

    >>> apply_change(("a",), Change(1, ChangeMethod.PATCH, revision=2, match=1, marks=("c1",)))
    ('a', 'c1')
    >>> apply_change(("a",), Change(1, ChangeMethod.PUT, revision=2, match=1, marks=("c1",)))
    ('c1',)

    Args:
        marks: The services before it.
        change: The change.
    """
    if change.method is ChangeMethod.PUT:
        return tuple(sorted(change.marks))
    return tuple(sorted({*marks, *change.marks}))
