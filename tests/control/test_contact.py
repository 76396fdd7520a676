"""A control node serves on proof of contact alone."""

import pytest

from archhatch.control.contact import MajorityContact, ServingGate

VOTERS = {"a": "a:1", "b": "b:1", "c": "c:1"}
BOUND = 0.75


@pytest.mark.parametrize(
    "answers, now, reached",
    [
        ({}, 10.0, False),
        ({"b": 10.0}, 10.0, True),
        ({"b": 9.25}, 10.0, True),
        ({"b": 9.24}, 10.0, False),
        ({"b": 1.0, "c": 10.0}, 10.0, True),
        ({"x": 10.0, "y": 10.0}, 10.0, False),
        ({"b": 10.0, "c": 10.0}, 15.0, False),
    ],
)  # it stood still for five seconds
def test_contact_is_proven_by_answers_alone(answers, now, reached):
    contact = MajorityContact(BOUND)
    for node, sent_at in answers.items():
        contact.record_answer(node, sent_at, {})
    assert contact.has_majority("a", {"voters": VOTERS, "prev": None}, now) is reached


def test_an_older_answer_does_not_undo_a_newer_one():
    contact = MajorityContact(BOUND)
    contact.record_answer("b", 5.0, {"plan": 7})
    contact.record_answer("b", 4.0, {"plan": 6})
    assert contact.newest_accepted("plan", VOTERS, 5.5) == 7 and contact.newest_accepted("plan", VOTERS, 6.0) == -1


GATES = [  # why, what is seen in turn: (time, majority reached, registers behind), whether it serves after each
    ("a start learns first", [(0, True, "p"), (1, True, "")], [False, True]),
    (
        "a change on its way",
        [(0, True, ""), (1, True, "p"), (1.7, True, "p"), (1.8, True, "")],
        [True, True, True, True],
    ),
    ("it stays behind", [(0, True, ""), (1, True, "p"), (1.8, True, "p"), (2, True, "")], [True, True, False, True]),
    ("a cut", [(0, True, ""), (1, False, ""), (2, True, "p"), (2.1, True, "")], [True, False, False, True]),
    ("a cut, nothing new", [(0, True, ""), (1, False, ""), (2, True, "")], [True, False, True]),
    ("one behind after the other", [(0, True, ""), (1, True, "p"), (1.5, True, "q"), (2, True, "q")], [True] * 4),
]


@pytest.mark.parametrize("why, seen, serves", GATES, ids=[g[0] for g in GATES])
def test_what_opens_and_shuts_the_gate(why, seen, serves):
    gate = ServingGate(BOUND)
    assert [gate.update(reached, set(behind), at) for at, reached, behind in seen] == serves
