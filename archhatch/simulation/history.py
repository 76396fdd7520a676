"""What the clients of a simulated deployment did and saw. The checker judges by this alone.

All moments are seconds of virtual time since the start of the run.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Outcome(enum.Enum):
    """What the answer to a change says."""

    ACKNOWLEDGED = "acknowledged"  # 200
    CONFLICT = "conflict"  # 412: another version is current
    INVALID = "invalid"  # 400
    UNCLEAR = "unclear"  # any other status, or no answer


class ChangeMethod(enum.Enum):
    """The HTTP method by which a change is sent."""

    PUT = "PUT"  # the whole configuration
    PATCH = "PATCH"  # single items


@dataclass(frozen=True)
class Change:
    """A change of the configuration.

    Attributes:
        number: Its number, unique in the run.
        method: How it is sent.
        revision: The revision that it makes.
        match: The revision that it builds on; 0 for none.
        marks: The names of the services that it brings; the first is unique to this change.
        is_valid: Whether the configuration is one that a node must accept.
    """

    number: int
    method: ChangeMethod
    revision: int
    match: int
    marks: tuple[str, ...]
    is_valid: bool = True

    @property
    def mark(self) -> str:
        """The service that only this change brings."""
        return self.marks[0]


@dataclass
class Attempt:
    """One sending of a change to one node.

    Attributes:
        change: What was sent.
        node: The host that it was sent to.
        sent_at: When it was sent.
        answered_at: When the answer came; None without one.
        outcome: What the answer says.
    """

    change: Change
    node: str
    sent_at: float
    answered_at: float | None = None
    outcome: Outcome = Outcome.UNCLEAR


@dataclass
class Read:
    """A read of the configuration.

    Attributes:
        node: The host that was asked.
        sent_at: When it was asked.
        answered_at: When the answer came; None without one.
        revision: The revision that was read; 0 if there is no configuration yet, None without an answer.
        marks: The names of its services.
        is_final: Whether this is the read at the end of the run, which must be answered.
    """

    node: str
    sent_at: float
    answered_at: float | None = None
    revision: int | None = None
    marks: tuple[str, ...] = ()
    is_final: bool = False


@dataclass(frozen=True)
class HeldRevision:
    """A reader of the data plane holds a revision from a moment on.

    Attributes:
        reader: The reader's name.
        incarnation: Which incarnation of its process this is, from 1.
        at: The moment.
        revision: The revision; 0 for none.
    """

    reader: str
    incarnation: int
    at: float
    revision: int


@dataclass(frozen=True)
class Grant:
    """A lease was granted.

    Attributes:
        run: What the lease is on.
        term: Its term.
        holder: Who holds it.
        at: When the holder received the answer.
    """

    run: str
    term: int
    holder: str
    at: float


@dataclass(frozen=True)
class SettledSpan:
    """A span of time in which the group was settled: no fault hindered it from answering."""

    start: float
    end: float


@dataclass
class History:
    """Everything that clients did and saw, each list in the order in which it was recorded.

    Attributes:
        attempts: The changes that were sent.
        reads: The reads of the configuration.
        held_revisions: What readers of the data plane held.
        grants: The leases that were granted.
        settled_spans: When the group was settled.
        acknowledge_s: AckTimeoutMs of the run, in seconds.
        converge_s: ConvergeMs of the run, in seconds.
    """

    attempts: list[Attempt] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    held_revisions: list[HeldRevision] = field(default_factory=list)
    grants: list[Grant] = field(default_factory=list)
    settled_spans: list[SettledSpan] = field(default_factory=list)
    acknowledge_s: float = 4.0
    converge_s: float = 2.0
