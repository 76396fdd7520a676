"""protect(): an effect is done once, whatever came before."""

import pytest
from tests.support.role_register import ASK_A, DONE, FAILED, WINDOW, LeaseStandIn, play

from archhatch.singleton_roles.effect import protect
from archhatch.singleton_roles.errors import EffectFailedError, RoleCallError

PROTECTED = [  # what came before, what an observation finds, what is done, the result
    ("nothing", "found", ["act"], "acted"),
    ("an expiry", "found", ["observe"], "found"),
    ("an expiry", None, ["observe", "act"], "acted"),
    ("a commit", None, [], "before"),
    ("a reset", "found", ["act"], "acted"),
]


@pytest.mark.parametrize("before, found, done, result", PROTECTED)
def test_what_is_done_to_have_an_effect_once(run, before, found, done, result):
    async def go():
        register = play([ASK_A])
        steps = {
            "nothing": [],
            "an expiry": [("intend", {"intent": 1})],
            "a commit": [("intend", {"intent": 1}), ("commit", {"result": "before"})],
            "a reset": [("intend", {"intent": 1}), ("fail", {"error": "x"})],
        }[before]
        for name, args in steps:
            assert register.run(name, "a", key=WINDOW, fence=1, **args)[0] == DONE
        if before == "a reset":
            assert register.run("reset", "operator", key=WINDOW)[0] == DONE
        register.clock.at += 6
        assert register.run("request", "b")[0] == DONE
        seen = []

        async def act(intent):
            seen.append("act")
            assert intent == (1 if before == "an expiry" else 2)
            return "acted"

        async def observe(intent):
            seen.append("observe")
            return found

        lease = LeaseStandIn(register, "b", 2)
        assert await protect(lease, WINDOW, 2, act, observe) == result and seen == done
        assert await protect(lease, WINDOW, 3, act, observe) == result and seen == done  # and never again

    run(go())


def test_an_act_that_cannot_succeed_is_kept_as_failed(run):
    async def go():
        register = play([ASK_A])

        async def act(intent):
            raise EffectFailedError("no such zone")

        lease = LeaseStandIn(register, "a", 1)
        with pytest.raises(EffectFailedError):
            await protect(lease, WINDOW, 1, act)
        with pytest.raises(RoleCallError) as refusal:
            await protect(lease, WINDOW, 1, act)
        assert (refusal.value.code, refusal.value.details) == (FAILED, "no such zone")

    run(go())
