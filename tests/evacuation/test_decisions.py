"""The next step of an evacuation: tables of what is known, and what follows."""

from dataclasses import dataclass, field

import pytest

from archhatch.evacuation.decisions import CapacityCheck, NoticeKind, decide, notice_due
from archhatch.evacuation.record import EvacuationState

PLAN = {"DeadlineS": 100.0, "StartAfterS": 20.0, "NoticeWait": "acknowledged", "NoticeTermS": 10.0}
SETTLED = {"move": "acknowledged"}
READY = {"age_s": 30.0, "notices": SETTLED}


@dataclass
class Known:
    """What is known of an evacuation; by itself nothing is lacking, cold, missing or drained."""

    state: str
    placed: str = "origin"
    age_s: float = 0.0
    notices: dict = field(default_factory=dict)
    is_cancelled: bool = False
    capacity: CapacityCheck = CapacityCheck([], is_lasting=False)
    cold: tuple = ()
    missing: tuple = ()
    drained: bool = False

    @property
    def record(self):
        record = {"plan": PLAN, "state": self.state, "placed": self.placed, "notices": self.notices}
        return {**record, "outcome": EvacuationState.CANCELLED} if self.is_cancelled else record

    def check_capacity(self):
        return self.capacity

    def cold_models(self):
        return list(self.cold)

    def missing_reports(self, report):
        return list(self.missing)

    def is_drained(self):
        return self.drained


STEPS = [  # what is known, the state that follows (None: it waits), a word of the reason
    (Known("planned", age_s=100.0), None, ""),
    (Known("planned", age_s=100.1), "failed", "before its deadline"),
    (Known("announced", age_s=100.1, notices={"move": "failed"}), "failed", "the notice: {'move': 'failed'}"),
    (Known("announced", age_s=30.0), None, ""),
    (Known("announced", age_s=30.0, notices={"move": "failed"}), None, ""),
    (Known("announced", age_s=30.0, notices={"move": "no key"}), None, ""),
    (Known("announced", age_s=19.9, notices=SETTLED), None, ""),
    (Known("announced", **READY), "preparing", "notice: acknowledged"),
    (Known("announced", age_s=30.0, notices={"move": "term over"}), "preparing", "notice: term over"),
    (Known("announced", **READY, capacity=CapacityCheck(["x"], is_lasting=False)), None, ""),
    (Known("announced", **READY, capacity=CapacityCheck(["x", "y"], is_lasting=True)), "failed", "x; y"),
    (Known("preparing", age_s=100.1, missing=("r1", "r2")), "failed", "waiting for r1, r2"),
    (Known("preparing", age_s=100.1), "failed", "waiting for nothing of the runs"),
    (Known("preparing", capacity=CapacityCheck(["x"], is_lasting=False)), None, ""),
    (Known("preparing", capacity=CapacityCheck(["x"], is_lasting=True)), "failed", "x"),
    (Known("preparing", cold=("m",)), None, ""),
    (Known("preparing", missing=("r",)), None, ""),
    (Known("preparing"), "moving", "copies and weights"),
    (Known("moving", "target", age_s=200.0), None, ""),  # what is moving has no deadline
    (Known("moving", "target", drained=True), "moved", "origin"),
    (Known("moved", "target", drained=True), None, ""),
    (Known("returning", "target"), None, ""),
    (Known("returning", "target", notices=SETTLED), None, ""),  # of the move, not of the return
    (Known("returning", "target", notices={"return": "acknowledged"}, missing=("r",)), None, ""),
    (Known("returning", "target", notices={"return": "acknowledged"}), "returning", "copies are in the origin"),
    (Known("returning", "target", is_cancelled=True), "returning", "copies are in the origin"),
    (Known("returning", "target", is_cancelled=True, missing=("r",)), None, ""),
    (Known("returning"), None, ""),
    (Known("returning", drained=True), "returned", "target"),
    (Known("returning", drained=True, is_cancelled=True), "cancelled", "target"),
    (Known("returned", drained=True), None, ""),
    (Known("failed", age_s=200.0), None, ""),
]


@pytest.mark.parametrize("known, to, words", STEPS)
def test_the_next_step(known, to, words):
    step = decide(known)
    assert (step and step.to) == to
    assert step is None or words in step.reason


NOTICES = [  # what is known, the notice that is due
    (Known("planned"), None),
    (Known("announced"), NoticeKind.MOVE),
    (Known("announced", notices={"move": "failed"}), NoticeKind.MOVE),
    (Known("announced", notices=SETTLED), None),
    (Known("announced", age_s=100.1), None),
    (Known("preparing"), None),
    (Known("returning", "target", notices=SETTLED), NoticeKind.RETURN),
    (Known("returning", "target", notices={"return": "term over"}), None),
    (Known("returning", "target", is_cancelled=True), NoticeKind.CANCELLED),
    (Known("returning"), None),
]


@pytest.mark.parametrize("known, kind", NOTICES)
def test_the_notice_that_is_due(known, kind):
    assert notice_due(known) is kind
