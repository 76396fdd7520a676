"""The chain of changes that came into force, as far as a history shows it.

A change applies only on top of the version that it names, and versions only rise: so the changes in force form one
chain, from the first to the newest. A change is in it for sure if it was acknowledged, or its mark was read under its
revision.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .history import Attempt, Change, Form, History, Outcome, Read


MOST_TRIED = 2000  # beginnings of chains: beyond it, none is taken to fit


class BrokenChainError(Exception):
    """The changes that were seen in force can't stand in one chain."""


@dataclass
class Sends:
    """All sendings of one change."""

    change: Change
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def first_at(self) -> float:
        """When it was first sent."""
        return min(a.sent_at for a in self.attempts)

    @property
    def acknowledged_at(self) -> float | None:
        """When it was first acknowledged."""
        return min((a.answered_at for a in self.attempts if a.outcome is Outcome.ACKNOWLEDGED), default=None)

    def refusals(self) -> list[Attempt]:
        """The attempts that were answered with a clear no."""
        return [a for a in self.attempts if a.outcome in (Outcome.CONFLICT, Outcome.INVALID)]


def sends_by_number(history: History) -> dict[int, Sends]:
    """The sendings of each change."""
    out: dict[int, Sends] = {}
    for attempt in history.attempts:
        out.setdefault(attempt.change.number, Sends(attempt.change)).attempts.append(attempt)
    return out


class Chain:
    """The changes in force, oldest first. Position 0 stands for the time before the first one."""

    def __init__(self, history: History):
        self.sends = sends_by_number(history)
        self._read_marks = {m for read in history.reads for m in read.marks}
        self.evident = self._find_evident(history.reads)
        self.changes = self._walk()
        self.position = {change.revision: at for at, change in enumerate(self.changes, start=1)} | {0: 0}
        self._contents = self._replay()

    def _find_evident(self, reads: list[Read]) -> list[Change]:
        found = {s.change.number: s.change for s in self.sends.values() if s.acknowledged_at is not None}
        by_mark = {s.change.mark: s.change for s in self.sends.values()}
        for read in reads:
            if read.answered_at is None or not read.revision:
                continue
            source = [by_mark[m] for m in read.marks if m in by_mark and by_mark[m].revision == read.revision]
            if not source:
                raise BrokenChainError(
                    f"revision {read.revision} was read with {read.marks}, which nobody sent under it"
                )
            for change in source:
                found[change.number] = change
        return sorted(found.values(), key=lambda c: c.revision)

    def _walk(self) -> list[Change]:
        """The chain up to the newest change that was seen; of several that may be, one that holds all that were."""
        if not self.evident:
            return []
        wanted = {change.number for change in self.evident}
        best: list[Change] = []
        open_ends = [[self.evident[-1]]]
        for _ in range(MOST_TRIED):
            if not open_ends:
                break
            line = open_ends.pop()
            if line[-1].match == 0:
                if wanted <= {change.number for change in line}:
                    return line[::-1]
                best = best or line[::-1]
            open_ends += [[*line, before] for before in self._before(line[-1])]
        missing = [c.number for c in self.evident if c not in best]
        raise BrokenChainError(
            f"changes {missing} were in force, and no chain holds them; the nearest one has "
            f"{[f'{c.number}: {c.revision} on {c.match}' for c in best]}"
        )

    def _before(self, change: Change) -> list[Change]:
        """What may have come right before a change, the likeliest last."""
        maybe = [s.change for s in self.sends.values() if s.change.revision == change.match and s.change.valid]
        known = [c for c in self.evident if c.revision == change.match]
        return known or sorted(maybe, key=lambda c: (not self.sends[c.number].refusals(), c.mark in self._read_marks))

    def _replay(self) -> dict[int, tuple]:
        contents, now = {0: ()}, ()
        for change in self.changes:
            now = apply_change(now, change)
            contents[change.revision] = now
        return contents

    def content(self, revision: int) -> tuple | None:
        """The services of a revision; None if it never was in force."""
        return self._contents.get(revision)

    def after(self, revision: int) -> Change | None:
        """The change that followed a revision."""
        at = self.position[revision]
        return self.changes[at] if at < len(self.changes) else None


def apply_change(marks: tuple, change: Change) -> tuple:
    """The services after a change, sorted."""
    if change.form is Form.WHOLE:
        return tuple(sorted(change.marks))
    return tuple(sorted({*marks, *change.marks}))
