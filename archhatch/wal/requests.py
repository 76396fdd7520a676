"""The calls of a log that wait for the disk."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .records import LogRecord

Snapshot = Callable[[], Iterable[LogRecord]]


@dataclass(slots=True, eq=False)
class LogRequest:
    """One call that waits for the disk: an append, a rewrite (with a snapshot) or a probe of the disk (with neither).

    Attributes:
        submitted_at: When it was submitted, on the log's clock, in seconds.
        done: Gets the outcome.
        records: What an append adds.
        snapshot: Gives the records of a rewrite.
        has_result: Whether `done` has its result; the caller's task may not have run since.
    """

    submitted_at: float
    done: asyncio.Future
    records: tuple[LogRecord, ...] = ()
    snapshot: Snapshot | None = None
    has_result: bool = False


@dataclass(slots=True)
class RequestQueue:
    """The requests that have no result yet.

    Attributes:
        appends: Waiting appends, oldest first.
        others: Waiting rewrites and probes, which run before appends.
        at_disk: The requests that the disk is working on.
    """

    appends: list[LogRequest] = field(default_factory=list)
    others: list[LogRequest] = field(default_factory=list)
    at_disk: list[LogRequest] = field(default_factory=list)

    def all(self) -> list[LogRequest]:
        """Returns every request."""
        return self.at_disk + self.others + self.appends
