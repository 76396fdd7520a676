"""What the holder of the evacuations' lease does next with a record; it has neither clock nor I/O."""

from __future__ import annotations

import enum
from typing import NamedTuple, Protocol

from .record import EvacuationState, Place

WAIT_FOR_TERM = "term"  # NoticeWait: the move may begin once the notice's term is over, acknowledged or not


class NoticeKind(enum.StrEnum):
    """What a notice tells the tenant."""

    MOVE = "move"
    RETURN = "return"
    CANCELLED = "cancelled"


class NoticeOutcome(enum.StrEnum):
    """How far a notice has come, in the order of settlement: a later one is never undone by an earlier one."""

    NO_KEY = "no key"
    FAILED = "failed"
    TERM_OVER = "term over"
    ACKNOWLEDGED = "acknowledged"


OUTCOME_ORDER = tuple(NoticeOutcome)
SETTLED = frozenset({NoticeOutcome.TERM_OVER, NoticeOutcome.ACKNOWLEDGED})  # the evacuation need not wait any longer


class Report(enum.StrEnum):
    """What the leader of a run reports; the values are keys of stored reports."""

    COPIED = "copied"
    DRAINED = "drained"


class Step(NamedTuple):
    """A step of an evacuation.

    Attributes:
        to: The state that follows.
        reason: Why, for the record's log.
    """

    to: EvacuationState
    reason: str


class CapacityCheck(NamedTuple):
    """What the target lacks.

    Attributes:
        gaps: What is lacking, in words.
        is_lasting: Whether it has been lacking for so long that it is taken to be lacking for good.
    """

    gaps: list[str]
    is_lasting: bool


class Situation(Protocol):
    """What is known of one evacuation now. Each part is worked out only if the decision asks for it."""

    @property
    def record(self) -> dict:
        """Its record."""

    @property
    def age_s(self) -> float:
        """Seconds since it was planned."""

    def check_capacity(self) -> CapacityCheck:
        """Returns what the target lacks."""

    def cold_models(self) -> list[str]:
        """Returns the models whose newest version no replica of the target has."""

    def missing_reports(self, report: Report) -> list[str]:
        """Returns the runs whose present leader has not reported so far."""

    def is_drained(self) -> bool:
        """Returns whether all that ran in the place that was left has ended."""


def is_late(situation: Situation) -> bool:
    """Returns whether the deadline of an evacuation has passed."""
    return situation.age_s > situation.record["plan"]["DeadlineS"]


def is_given_up(record: dict) -> bool:
    """Returns whether an operator has cancelled an evacuation that was under way."""
    return record.get("outcome") == EvacuationState.CANCELLED


def is_notice_settled(record: dict, kind: NoticeKind) -> bool:
    """Returns whether the tenant has acknowledged a notice, or its term is over.

    >>> is_notice_settled({"notices": {"move": "acknowledged"}}, NoticeKind.MOVE)
    True
    """
    return record["notices"].get(kind) in SETTLED


def notice_due(situation: Situation) -> NoticeKind | None:
    """Returns the notice that the tenant is to be sent now; None if none is."""
    record = situation.record
    kind = None
    if record["state"] == EvacuationState.ANNOUNCED and not is_late(situation):
        kind = NoticeKind.MOVE
    elif record["state"] == EvacuationState.RETURNING and record["placed"] == Place.TARGET:
        kind = _notice_of_return(record)
    return None if kind is None or is_notice_settled(record, kind) else kind


def is_notice_term_over(plan: dict, in_state_s: float) -> bool:
    """Returns whether the plan lets the evacuation go on without an acknowledgement now.

    >>> plan = {"NoticeWait": "term", "NoticeTermS": 60.0}
    >>> is_notice_term_over(plan, 59.0), is_notice_term_over(plan, 60.0)
    (False, True)
    """
    return plan["NoticeWait"] == WAIT_FOR_TERM and in_state_s >= plan["NoticeTermS"]


def decide(situation: Situation) -> Step | None:
    """Returns the next step of an evacuation; None while it has to wait, or if an operator has to order it."""
    match EvacuationState(situation.record["state"]):
        case EvacuationState.PLANNED:
            return _decide_planned(situation)
        case EvacuationState.ANNOUNCED:
            return _decide_announced(situation)
        case EvacuationState.PREPARING:
            return _decide_preparing(situation)
        case EvacuationState.MOVING:
            return _decide_moving(situation)
        case EvacuationState.RETURNING:
            return _decide_returning(situation)
    return None


def _decide_planned(situation: Situation) -> Step | None:
    if is_late(situation):
        return Step(EvacuationState.FAILED, "it was not started before its deadline")
    return None


def _decide_announced(situation: Situation) -> Step | None:
    record = situation.record
    if is_late(situation):
        return Step(EvacuationState.FAILED, f"its deadline passed; the notice: {record['notices']}")
    if not is_notice_settled(record, NoticeKind.MOVE) or situation.age_s < record["plan"]["StartAfterS"]:
        return None
    capacity = situation.check_capacity()
    if capacity.gaps:
        return _fail_if_lasting(capacity)
    return Step(EvacuationState.PREPARING, f"notice: {record['notices'][NoticeKind.MOVE]}")


def _decide_preparing(situation: Situation) -> Step | None:
    if is_late(situation):
        runs = ", ".join(situation.missing_reports(Report.COPIED)) or "nothing of the runs"
        return Step(EvacuationState.FAILED, f"its deadline passed; waiting for {runs}")
    capacity = situation.check_capacity()
    if capacity.gaps:
        return _fail_if_lasting(capacity)
    if situation.cold_models() or situation.missing_reports(Report.COPIED):
        return None
    return Step(EvacuationState.MOVING, "copies and weights are in the target")


def _fail_if_lasting(capacity: CapacityCheck) -> Step | None:
    return Step(EvacuationState.FAILED, "; ".join(capacity.gaps)) if capacity.is_lasting else None


def _decide_moving(situation: Situation) -> Step | None:
    if situation.is_drained():
        return Step(EvacuationState.MOVED, "nothing of it runs in the origin any more")
    return None


def _decide_returning(situation: Situation) -> Step | None:
    """First the copies come home, then the requests; a return that was ordered waits for its notice, too."""
    record = situation.record
    if record["placed"] == Place.TARGET:
        may_return = is_given_up(record) or is_notice_settled(record, NoticeKind.RETURN)
        if may_return and not situation.missing_reports(Report.COPIED):
            return Step(EvacuationState.RETURNING, "copies are in the origin")
        return None
    if not situation.is_drained():
        return None
    final = EvacuationState.CANCELLED if is_given_up(record) else EvacuationState.RETURNED
    return Step(final, "nothing of it runs in the target any more")


def _notice_of_return(record: dict) -> NoticeKind:
    return NoticeKind.CANCELLED if is_given_up(record) else NoticeKind.RETURN
