"""The judge of simulated histories finds what is planted in small ones, and nothing in sound ones."""

import pytest

from archhatch.simulation.checker import Rule, check
from archhatch.simulation.history import (
    Attempt,
    SettledSpan,
    Change,
    ChangeMethod,
    Grant,
    History,
    Outcome,
    Read,
    HeldRevision,
)

ACK, CONFLICT, INVALID, UNCLEAR = Outcome.ACKNOWLEDGED, Outcome.CONFLICT, Outcome.INVALID, Outcome.UNCLEAR


def change(number, revision, match, method=ChangeMethod.PUT, is_valid=True):
    return Change(number, method, revision, match, (f"c{number}",), is_valid)


A, B, C = change(1, 2, 0), change(2, 5, 2), change(3, 9, 5, ChangeMethod.PATCH)
RIVAL, BAD, AHEAD = change(4, 5, 2), change(5, 7, 2, is_valid=False), change(6, 12, 9)


def sent(what, start, end, outcome=ACK, node="n1"):
    return Attempt(what, node, start, end, outcome)


def read(start, end, revision, *numbers, is_final=False):
    return Read("n1", start, end, revision, tuple(f"c{n}" for n in numbers), is_final)


def history(*events, settled_spans=(), acknowledge_s=4.0):
    lists = {Attempt: [], Read: [], HeldRevision: [], Grant: []}
    for event in events:
        lists[type(event)].append(event)
    return History(lists[Attempt], lists[Read], lists[HeldRevision], lists[Grant], list(settled_spans), acknowledge_s)


CHAIN = (sent(A, 0, 1), sent(B, 2, 3), sent(C, 4, 5))

SOUND = {
    "nothing": [],
    "a chain and its readings": [*CHAIN, read(1, 2, 2, 1), read(6, 7, 9, 2, 3, is_final=True)],
    "a reading beside a change": [*CHAIN, read(4, 5, 5, 2), read(4, 5, 9, 2, 3)],
    "an unclear one in force": [sent(A, 0, 1), sent(B, 2, None, UNCLEAR), read(3, 4, 5, 2)],
    "an unclear one not in force": [sent(A, 0, 1), sent(B, 2, None, UNCLEAR), read(3, 4, 2, 1)],
    "an unclear one that another stands on": [
        sent(A, 0, 1),
        sent(B, 2, None, UNCLEAR),
        sent(C, 4, 5),
        read(6, 7, 9, 2, 3),
    ],
    "one of two unclear ones": [
        sent(A, 0, 1),
        sent(change(7, 9, 2), 2, None, UNCLEAR),
        sent(B, 2, 3),
        sent(C, 4, None, UNCLEAR),
        sent(change(8, 10, 9), 5, 6),
        read(7, 8, 10, 8),
    ],
    "one of two, the other refused": [
        sent(A, 0, 1),
        sent(B, 2, 3, UNCLEAR),
        sent(RIVAL, 2, 3, CONFLICT),
        sent(C, 4, 5),
    ],
    "acknowledged again": [*CHAIN, sent(A, 6, 7)],
    "a race": [sent(A, 0, 1), sent(B, 2, 3), sent(RIVAL, 2, 3, CONFLICT), read(4, 5, 5, 2)],
    "an invalid one refused": [sent(A, 0, 1), sent(BAD, 2, 3, INVALID), read(4, 5, 2, 1)],
    "an end that was read": [*CHAIN, read(6, None, None, is_final=True), read(7, 8, 9, 2, 3, is_final=True)],
    "readers": [
        HeldRevision("e", 1, 1, 2),
        HeldRevision("e", 1, 2, 5),
        HeldRevision("e", 2, 3, 2),
        HeldRevision("f", 1, 3, 2),
    ],
    "leases": [Grant("s", 1, "x", 1), Grant("s", 1, "x", 2), Grant("s", 2, "y", 3), Grant("t", 1, "y", 3)],
    "refused ahead of its version, and so for good": [
        sent(B, 0, None, UNCLEAR),
        sent(A, 0.5, 1),
        sent(B, 2, 3, CONFLICT),
    ],
    "refused, and given up by its sender": [sent(A, 0, 1), sent(AHEAD, 2, 3, CONFLICT), read(4, 5, 2, 1)],
}

BROKEN = {
    "acknowledged and lost": ([*CHAIN, read(6, 7, 5, 2)], Rule.ORDER),
    "lost, and another put in its place": ([sent(A, 0, 1), sent(B, 2, 3), sent(RIVAL, 4, 5)], Rule.CHAIN),
    "two on one version": ([sent(A, 0, 1), sent(B, 2, 3), sent(change(7, 6, 2), 2, 3)], Rule.CHAIN),
    "on a version that nobody sent": ([sent(A, 0, 1), sent(C, 4, 5)], Rule.CHAIN),
    "on what is not in force": ([sent(A, 0, 1), sent(AHEAD, 2, 3)], Rule.CHAIN),
    "a reading of another content": ([*CHAIN, read(6, 7, 9, 3)], Rule.CONTENT),
    "a reading of what nobody sent": ([*CHAIN, read(6, 7, 11, 8)], Rule.CHAIN),
    "a reading that goes back": ([*CHAIN, read(2, 6, 9, 2, 3), read(7, 8, 5, 2)], Rule.ORDER),
    "two readings the wrong way round": (
        [sent(A, 0, 1), sent(B, 2, None, UNCLEAR), read(3, 4, 5, 2), read(5, 6, 2, 1)],
        Rule.ORDER,
    ),
    "a reading before its sending": ([sent(A, 0, 1), read(0.5, 0.7, 5, 2), sent(B, 2, 3)], Rule.UNSENT),
    "an old change taken anew": ([*CHAIN, sent(change(8, 12, 9), 6, 7), sent(change(9, 14, 12), 0.1, 0.2)], Rule.ORDER),
    "refused and in force": ([*CHAIN, sent(B, 2, 2.5, CONFLICT)], Rule.IN_FORCE),
    "acknowledged, later refused": ([*CHAIN, sent(A, 6, 7, CONFLICT)], Rule.IN_FORCE),
    "refused, later acknowledged": ([sent(A, 0, 1), sent(B, 2, 3, CONFLICT), sent(B, 4, 5)], Rule.IN_FORCE),
    "invalid and acknowledged": ([sent(A, 0, 1), sent(BAD, 2, 3)], Rule.IN_FORCE),
    "invalid and read": ([sent(A, 0, 1), sent(BAD, 2, 3, UNCLEAR), read(4, 5, 7, 5)], Rule.IN_FORCE),
    "a valid one refused on the current version": ([sent(A, 0, 1), sent(B, 2, 3, CONFLICT)], Rule.REFUSED),
    "a valid one called invalid": ([sent(A, 0, 1), sent(B, 2, 3, INVALID)], Rule.REFUSED),
    "the first one refused": ([sent(A, 0, 1, CONFLICT)], Rule.REFUSED),
    "no end": ([*CHAIN, read(6, None, None, is_final=True)], Rule.FINAL),
    "a reader that goes back": ([HeldRevision("e", 1, 1, 5), HeldRevision("e", 1, 2, 2)], Rule.BACK),
    "a lease of two": ([Grant("s", 1, "x", 1), Grant("s", 1, "y", 2)], Rule.LEASE),
}


@pytest.mark.parametrize("name", SOUND)
def test_a_sound_history_breaks_nothing(name):
    assert check(history(*SOUND[name])) == []


@pytest.mark.parametrize("name", BROKEN)
def test_a_planted_violation_is_found(name):
    events, rule = BROKEN[name]
    assert rule in {violation.rule for violation in check(history(*events))}


@pytest.mark.parametrize(
    "span, answered, broken",
    [((1, 9), None, True), ((1, 9), 3.0, False), ((1, 9), 6.5, True), ((1, 5), None, False), ((3, 9), None, False)],
)
def test_a_settled_group_owes_an_answer_in_time(span, answered, broken):
    attempts = [sent(B, 2, None, UNCLEAR), sent(B, 2.5, answered, ACK) if answered else sent(B, 5, None, UNCLEAR)]
    found = check(history(sent(A, 0, 1), *attempts, settled_spans=[SettledSpan(*span)]))
    assert [v.rule for v in found] == [Rule.AVAILABLE] * broken


@pytest.mark.parametrize(
    "events",
    [[sent(B, 2, 3), sent(RIVAL, 2, None, UNCLEAR), sent(RIVAL, 5, None, UNCLEAR)], [sent(B, 2, None, UNCLEAR)]],
    ids=["one that lost a race", "one whose sender gave up"],
)
def test_nothing_is_owed_to(events):
    assert check(history(sent(A, 0, 1), *events, settled_spans=[SettledSpan(1, 9)])) == []


@pytest.mark.parametrize("at, revision, broken", [(3.5, 2, True), (3.5, 5, False), (2.5, 2, False), (8.5, 2, False)])
def test_a_reader_is_fresh_while_the_group_is_settled(at, revision, broken):
    seen = [HeldRevision("e", 1, 0.5, 0), HeldRevision("e", 1, at, revision)]
    found = check(history(sent(A, 0, 0.4), sent(B, 0.5, 1), *seen, settled_spans=[SettledSpan(0.2, 8)]))
    assert [v.rule for v in found] == [Rule.FRESH] * broken
