"""Commands on a role register, by a table of cases; what a register drops."""

import pytest
from tests.support.role_register import (
    ASK_A,
    BAD_LEASE,
    BEGIN_A,
    DONE,
    FAILED,
    HELD,
    LEASE,
    STALE,
    TOO_LARGE,
    UNKNOWN,
    WINDOW,
    WRONG_STATE,
    RoleRegister,
    play,
)

from archhatch.singleton_roles.commands import MAX_FINISHED_PER_KIND
from archhatch.singleton_roles.record import MAX_AUDIT_ENTRIES

CASES = {
    "a second requester is refused": [ASK_A, (4, "request", "b", {}, HELD, {"node": "a", "fence": 1})],
    "the same grant asked for again": [ASK_A, (1, "request", "a", {}, DONE, {"fence": 1, "prior": "none"})],
    "a lapsed lease goes on with the next fence": [
        ASK_A,
        (4.9, "request", "b", {}, HELD, None),
        (0.3, "request", "b", {}, DONE, {"fence": 2, "prior": "expired"}),
        (0, "renew", "a", {"fence": 1}, STALE, {"fence": 2}),
    ],
    "a renewal holds it": [
        ASK_A,
        (3.2, "renew", "a", {"fence": 1}, DONE, None),
        (4.9, "request", "b", {}, HELD, None),
        (0.3, "request", "b", {}, DONE, {"fence": 2}),
    ],
    "a machine's next life has it at once": [
        ASK_A,
        (0, "request", "a", {"life": "2"}, DONE, {"fence": 2, "prior": "expired"}),
        (0, "renew", "a", {"fence": 1}, STALE, None),
    ],
    "given back: others wait for the rest": [
        ASK_A,
        (1, "release", "a", {"fence": 1, "rest_s": 3.3}, DONE, None),
        (3.0, "request", "b", {}, HELD, None),
        (0.5, "request", "b", {}, DONE, {"fence": 2, "prior": "none"}),
    ],
    "a stale commit is refused": [
        ASK_A,
        BEGIN_A,
        (6, "request", "b", {}, DONE, {"fence": 2}),
        (0, "commit", "a", {"key": WINDOW, "fence": 1, "result": "x"}, STALE, {"fence": 2}),
    ],
    "a successor gets the first intent": [
        ASK_A,
        BEGIN_A,
        (6, "request", "b", {}, DONE, {"fence": 2}),
        (
            0,
            "intend",
            "b",
            {"key": WINDOW, "fence": 2, "intent": {"n": 9}},
            DONE,
            {"prior": "expired", "intent": {"n": 3}},
        ),
        (0, "commit", "b", {"key": WINDOW, "fence": 2, "result": "taken"}, DONE, None),
        (
            0,
            "intend",
            "b",
            {"key": WINDOW, "fence": 2, "intent": {"n": 9}},
            DONE,
            {"cached": True, "result": "taken"},
        ),
    ],
    "nothing is begun without the lease": [
        (0, "intend", "a", {"key": WINDOW, "fence": 1, "intent": {}}, STALE, {"fence": 0}),
        ASK_A,
        (0, "intend", "b", {"key": WINDOW, "fence": 1, "intent": {}}, STALE, {"fence": 1}),
    ],
    "a commit of what was never begun": [
        ASK_A,
        (0, "commit", "a", {"key": WINDOW, "fence": 1, "result": 1}, STALE, None),
    ],
    "a failed role is refused until its reset": [
        ASK_A,
        BEGIN_A,
        (0, "fail", "a", {"key": WINDOW, "fence": 1, "error": "400"}, DONE, None),
        (0, "intend", "a", {"key": WINDOW, "fence": 1, "intent": {}}, FAILED, None),
        (0, "reset", "operator", {"key": WINDOW}, DONE, None),
        (
            0,
            "intend",
            "a",
            {"key": WINDOW, "fence": 1, "intent": {"n": 4}},
            DONE,
            {"prior": "reset", "intent": {"n": 4}},
        ),
    ],
    "what runs is not reset": [ASK_A, BEGIN_A, (0, "reset", "operator", {"key": WINDOW}, WRONG_STATE, None)],
    "what is unknown is not reset": [(0, "reset", "operator", {"key": WINDOW}, UNKNOWN, None)],
    "a lease that is too short": [(0, "request", "a", {"lease_s": 4.9}, BAD_LEASE, None)],
    "a lease that is too long": [(0, "request", "a", {"lease_s": 121}, BAD_LEASE, None)],
    "an intent that is too large": [
        ASK_A,
        (0, "intend", "a", {"key": WINDOW, "fence": 1, "intent": "x" * 70_000}, TOO_LARGE, None),
    ],
    "an effect of its own lease": [
        (0, "request", "a", {"key": "refund"}, DONE, {"fence": 1}),
        (0, "commit", "a", {"key": "refund", "fence": 1, "result": 5}, DONE, None),
        (0, "commit", "a", {"key": "refund", "fence": 1, "result": 5}, DONE, None),
        (0, "request", "b", {"key": "refund"}, DONE, {"cached": True, "result": 5}),
    ],
}


@pytest.mark.parametrize("name", CASES)
def test_what_the_register_answers(name):
    play(CASES[name])


def test_finished_effects_are_dropped_and_never_begun_again():
    register = play([ASK_A])
    count = MAX_FINISHED_PER_KIND + 3
    for n in range(1, count + 1):
        for name, args in (("intend", {"intent": n}), ("commit", {"result": n})):
            assert register.run(name, "a", key=f"accounting/window:{n}", fence=1, **args)[0] == DONE
    kept = [k for k in register.value["duties"] if "/" in k]
    assert kept == [f"accounting/window:{n}" for n in range(4, count + 1)]
    assert register.run("intend", "a", key="accounting/window:3", fence=1, intent=0)[0] == UNKNOWN
    assert register.run("intend", "a", key="accounting/other:3", fence=1, intent=0)[0] == DONE


def test_the_audit_trail_is_bounded():
    register = RoleRegister()
    for n in range(MAX_AUDIT_ENTRIES + 5):
        assert register.run("request", "a", incarnation=str(n))[0] == DONE
    audit = register.value["duties"][LEASE]["audit"]
    assert len(audit) == MAX_AUDIT_ENTRIES and audit[-1] == ["granted", MAX_AUDIT_ENTRIES + 5, "a"]
