"""What the clients of a simulated deployment did and saw. The checker judges by this alone."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Outcome(enum.Enum):
    """What an answer to an operator says."""

    ACKNOWLEDGED = "acknowledged"  # 200
    CONFLICT = "conflict"  # 412: another version is current
    INVALID = "invalid"  # 400
    UNCLEAR = "unclear"  # anything else, or nothing


class Form(enum.Enum):
    """How a change is sent."""

    WHOLE = "PUT"
    ITEMS = "PATCH"


@dataclass(frozen=True)
class Change:
    """A change of the configuration: its marks name the services that it brings, the first of them its own."""

    number: int
    form: Form
    revision: int
    match: int
    marks: tuple
    valid: bool = True

    @property
    def mark(self) -> str:
        """The service by which this change is known among all."""
        return self.marks[0]


@dataclass
class Attempt:
    """One sending of a change to one node."""

    change: Change
    node: str
    sent_at: float
    answered_at: float | None = None
    outcome: Outcome = Outcome.UNCLEAR


@dataclass
class Read:
    """A reading of the configuration: its revision (0: none yet) and its services."""

    node: str
    sent_at: float
    answered_at: float | None = None
    revision: int | None = None
    marks: tuple = ()
    last: bool = False  # the reading after the end of the day: it must come


@dataclass(frozen=True)
class Seen:
    """A reader of the data plane has a revision from now on."""

    reader: str
    incarnation: int
    at: float
    revision: int


@dataclass(frozen=True)
class Grant:
    """A lease was acknowledged to a holder."""

    run: str
    term: int
    holder: str
    at: float


@dataclass(frozen=True)
class Calm:
    """A span in which the group was settled."""

    start: float
    end: float


@dataclass
class History:
    """All of it, in the order in which it was noted."""

    attempts: list[Attempt] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    seen: list[Seen] = field(default_factory=list)
    grants: list[Grant] = field(default_factory=list)
    calms: list[Calm] = field(default_factory=list)
    acknowledge_s: float = 4.0
    converge_s: float = 2.0
