"""Evacuation records: what operators, the lease's holder and stores may do to them, and what each is answered."""

import copy
import random

import pytest

from archhatch.region_policy import Placement
from archhatch.region_policy.reader import read_policy
from archhatch.control.registers import commands, feed_view
from archhatch.evacuation.commands import MAX_FINAL_RECORDS
from archhatch.evacuation.plans import InvalidPlanError, plan_digest, read_plan
from archhatch.evacuation.record import FINAL, Move, Moves, Place, EvacuationState

POLICY = """version = 1
[[rule]]
name = "quotes"
routes = ["q"]
regions = ["a", "b", "c"]
tenant = "yards"
[[rule]]
name = "rollouts"
class = "rollout"
regions = ["a", "b"]
tenant = "yards"
[[rule]]
name = "others"
routes = ["o"]
regions = ["a", "b"]
tenant = "mills"
"""
PLAN = {"Id": "e1", "Tenant": "yards", "Origin": "a", "Target": "b", "NoticeUrl": "http://10.0.0.1:80/n"}


def register_value():
    doc = read_policy(POLICY)
    return {"policy": {**doc, "zones": {"z1": "a", "z2": "b", "z3": "c"}}, "runs": {"llm": 2}}


class Register:
    """A register's value with its commands, as the agreement runs them."""

    def __init__(self, value=None):
        self.value = value or register_value()

    def do(self, name, **args):
        code, doc, changed, self.value = commands.run_isolated(self.value, name, args)
        return code, doc, changed

    def plan(self, **change):
        return self.do("evacuation.plan", plan=read_plan({**PLAN, **change}))

    def step(self, to, term=1, **args):
        record = self.value["evacuations"]["e1"]
        seen = {"from": record["state"], "placed": record["placed"]}
        args = {"id": "e1", "term": term, **seen, "to": to, "why": "", "age_s": 0.0, **args}
        return self.do("evacuation.step", **args)

    def state(self):
        return self.value["evacuations"]["e1"]["state"]

    def claim(self, seen=0, holder="n", incarnation="l"):
        return self.do("lease.claim", duty="evacuation", holder=holder, life=incarnation, seen=seen)

    def to(self, state):
        """A record in a state, driven there in order."""
        self.claim()
        self.plan()
        order = ["planned", "announced", "preparing", "moving", "moved", "returning", "returned"]
        for at in order[1 : order.index(state) + 1]:
            if at in ("announced", "returning"):
                assert self.do("evacuation.start" if at == "announced" else "evacuation.return", id="e1")[0] == 1000
            else:
                if at == "returned":
                    assert self.step(at)[0] == 2206 and self.step("returning")[0] == 1000  # first the requests go home
                assert self.step(at)[0] == 1000
        return self


REFUSED = [  # change of the plan, change of the value, code
    ({}, {}, 1000),
    ({"Tenant": "nobody"}, {}, 2203),
    ({"Origin": "nowhere"}, {}, 2102),
    ({"Target": "nowhere"}, {}, 2102),
    ({"Target": "c"}, {}, 2207),  # the rule of the rollouts does not allow it
    ({"StartAfterS": 50.0}, {}, 1000),
    ({}, {"policy": None}, 2103),
]


@pytest.mark.parametrize("change, value, code", REFUSED)
def test_plans_are_taken_or_refused(change, value, code):
    register = Register({k: v for k, v in {**register_value(), **value}.items() if v is not None})
    before = copy.deepcopy(register.value)
    got, _, changed = register.plan(**change)
    assert got == code and changed is (code == 1000)
    assert code == 1000 or register.value == before


def test_the_same_plan_again_is_the_same_and_another_under_its_id_is_refused():
    register = Register()
    register.plan()
    assert register.plan()[0] == 1000 and register.plan()[2] is False
    assert register.plan(Reason="other")[0] == 2208
    assert register.plan(Id="e2")[0] == 2205  # it moves the same rules
    assert register.plan(Id="e2", Tenant="mills")[0] == 1000
    before = copy.deepcopy(register.value)
    args = {"plan": read_plan({**PLAN, "Id": "e3", "Tenant": "mills"}), "dry_run": True}
    assert register.do("evacuation.plan", **args)[0] == 2205 and register.value == before


def test_a_dry_run_changes_nothing():
    register = Register()
    code, doc, changed = register.do("evacuation.plan", plan=read_plan(PLAN), dry_run=True)
    assert (code, changed) == (1000, False) and doc["RuleList"] == ["quotes", "rollouts"]
    assert "evacuations" not in register.value


BAD_PLANS = [
    ({"Id": None}, "Id"),
    ({"Id": "a b"}, "Id"),
    ({"Id": "x" * 65}, "Id"),
    ({"Target": "a"}, "Target: is the origin"),
    ({"NoticeUrl": "tenant"}, "NoticeUrl: must be an http or https URL"),
    ({"NoticeUrl": "ftp://h/x"}, "NoticeUrl"),
    ({"NoticeUrl": "http://h:99999/"}, "NoticeUrl"),
    ({"NoticeWait": "never"}, "NoticeWait"),
    ({"NoticeTermS": -1}, "NoticeTermS"),
    ({"NoticeTermS": True}, "NoticeTermS: must be a number"),
    ({"DeadlineS": 0}, "DeadlineS"),
    ({"StartAfterS": "soon"}, "StartAfterS: must be a number"),
    ({"StartAfterS": -1}, "StartAfterS: lies in the past"),
    ({"Other": 1}, "Other"),
]


@pytest.mark.parametrize("change, words", BAD_PLANS)
def test_a_bad_plan_names_its_field(change, words):
    doc = {k: v for k, v in {**PLAN, **change}.items() if v is not None}
    with pytest.raises(InvalidPlanError, match=words):
        read_plan(doc)


def test_what_is_no_object_is_no_plan():
    with pytest.raises(InvalidPlanError):
        read_plan([PLAN])
    assert plan_digest(read_plan(PLAN)) != plan_digest(read_plan({**PLAN, "Room": 2}))


ORDERS = [  # state, order, code, state after it
    ("planned", "start", 1000, "announced"),
    ("announced", "start", 1000, "announced"),
    ("moved", "start", 1000, "moved"),
    ("planned", "cancel", 1000, "cancelled"),
    ("announced", "cancel", 1000, "cancelled"),
    ("preparing", "cancel", 1000, "cancelled"),
    ("moving", "cancel", 1000, "returning"),
    ("moved", "cancel", 2206, "moved"),
    ("returned", "cancel", 2206, "returned"),
    ("planned", "return", 2206, "planned"),
    ("moving", "return", 2206, "moving"),
    ("moved", "return", 1000, "returning"),
    ("returning", "return", 1000, "returning"),
    ("returned", "return", 1000, "returned"),
]


@pytest.mark.parametrize("state, order, code, after", ORDERS)
def test_orders_of_operators(state, order, code, after):
    register = Register().to(state)
    assert register.state() == state
    assert register.do(f"evacuation.{order}", id="e1", why="w")[0] == code and register.state() == after
    if code == 1000:  # sent again it is acknowledged again, and does no more
        before = copy.deepcopy(register.value)
        assert register.do(f"evacuation.{order}", id="e1", why="w")[0] == 1000 and register.value == before


@pytest.mark.parametrize("order", ["start", "cancel", "return", "get"])
def test_an_unknown_evacuation(order):
    assert Register().do(f"evacuation.{order}", id="e9")[0] == 2202


def test_a_move_that_is_cancelled_goes_home_and_is_cancelled():
    register = Register().to("moving")
    register.do("evacuation.cancel", id="e1", why="")
    assert register.value["evacuations"]["e1"]["placed"] == "target"  # until the copies are back
    assert register.step("returning")[0] == 1000 and register.value["evacuations"]["e1"]["placed"] == "origin"
    assert register.step("cancelled")[0] == 1000 and "evacuations" not in feed_view("plan", register.value)


FENCES = [  # term of the step, state it saw, wanted state, code
    (1, "preparing", "moving", 1000),
    (2, "preparing", "moving", 2018),  # a term that never was
    (0, "preparing", "moving", 2018),
    (1, "announced", "preparing", 2206),  # it saw an older state
    (1, "preparing", "moved", 2206),  # no step leads there
    (1, "preparing", "returned", 2206),
]


@pytest.mark.parametrize("term, seen, to, code", FENCES)
def test_steps_are_fenced(term, seen, to, code):
    register = Register().to("preparing")
    assert register.step(to, term=term, **{"from": seen})[0] == code


def test_a_holder_that_was_followed_by_another_does_no_step():
    register = Register().to("preparing")
    assert register.claim(seen=1, holder="m")[1]["term"] == 2
    assert register.step("moving", term=1)[0] == 2018 and register.state() == "preparing"
    assert register.do("evacuation.notice", id="e1", term=1, kind="move", word="acknowledged")[0] == 2018
    assert register.step("moving", term=2)[0] == 1000
    assert register.claim(seen=0, holder="n")[0] == 2011  # it judged by an old term
    assert register.claim(seen=1, holder="m")[:1] == (1000,)  # sent again


def report(register, **args):
    row = {"id": "e1", "run": "llm", "run_term": 2, "state": "preparing", "placed": "origin", "copied": True}
    return register.do("evacuation.report", **{**row, "drained": False, **args})[0]


def test_reports_of_old_terms_and_states_do_not_count():
    register = Register().to("preparing")
    assert report(register, run_term=1) == 2018 and report(register, state="moving") == 2206
    assert report(register) == 1000
    assert register.value["evacuations"]["e1"]["reports"]["llm"] == {"term": 2, "copied": True, "drained": False}
    register.step("moving")
    assert register.value["evacuations"]["e1"]["reports"] == {}  # said of another place
    assert report(register) == 2206


def test_records_that_are_over_are_forgotten_in_time():
    register = Register()
    for n in range(MAX_FINAL_RECORDS + 5):
        assert register.plan(Id=f"e{n}")[0] == 1000
        register.do("evacuation.cancel", id=f"e{n}", why="")
    assert (
        len(register.value["evacuations"]) <= MAX_FINAL_RECORDS + 1
        and f"e{MAX_FINAL_RECORDS + 4}" in register.value["evacuations"]
    )


class Route:
    name, host, prefix, kind = "q", "h", "/q/", "idempotent"


PLACES = [  # state, placed, region out besides, order of the regions
    ("planned", "origin", None, ["a", "b", "c"]),
    ("preparing", "origin", None, ["a", "b", "c"]),
    ("moving", "target", None, ["b", "c", "a"]),
    ("moved", "target", None, ["b", "c", "a"]),
    ("moved", "target", "b", ["c", "a"]),  # the target is lost: the policy's order goes on without it
    ("returning", "target", None, ["b", "c", "a"]),
    ("returning", "origin", None, ["a", "b", "c"]),
]


@pytest.mark.parametrize("state, placed, out, order", PLACES)
def test_where_requests_go(state, placed, out, order):
    value = register_value()
    value["evacuations"] = {"e1": {"rules": ["quotes"], "origin": "a", "target": "b", "state": state, "placed": placed}}
    if out:
        value["regions"] = {out: {"epoch": 1, "out": {"*": {}}}}
    placement = Placement()
    placement.update(feed_view("plan", value))
    assert (
        placement.order(Route) == order and placement.zones(Route) == {"a": {"z1"}, "b": {"z2"}, "c": {"z3"}}[order[0]]
    )
    leaves = {zone for zone in ("z1", "z2", "z3") if placement.is_leaving(Route, zone)}
    assert leaves == {("moving", "target"): {"z1"}, ("returning", "origin"): {"z2"}}.get((state, placed), set())


def test_moves_without_records():
    moves = Moves(None)
    assert moves.order("q", ["a"]) == ["a"] and moves.of_rule("q") is None and str(moves) == "none"
    row = {"rules": [], "origin": "a", "target": "b", "state": "planned", "placed": "origin"}
    assert Move.from_document("e", row).left_region == "b"


@pytest.mark.parametrize("seed", range(60))
def test_any_order_of_calls_keeps_the_record_sound(seed):
    """Random calls of operators, of present and past holders and of stores: states follow each other only as allowed,
    requests are placed in the target only between MOVING and the way home, and nothing leaves a final state."""
    rng, register = random.Random(seed), Register()
    register.plan()
    seen = [("planned", "origin")]
    for _ in range(80):
        kind = rng.choice(["start", "cancel", "return", "claim", "step", "step", "step", "report"])
        if kind == "claim":
            register.claim(seen=rng.randrange(3), holder=rng.choice("nm"))
        elif kind == "step":
            register.step(
                rng.choice(list(EvacuationState)),
                term=rng.randrange(4),
                placed=rng.choice(list(Place)),
                **{"from": rng.choice(list(EvacuationState))},
            )
        elif kind == "report":
            report(register, run_term=rng.randrange(4), state=rng.choice(list(EvacuationState)))
        else:
            register.do(f"evacuation.{kind}", id="e1", why="")
        record = register.value["evacuations"]["e1"]
        now = (record["state"], record["placed"])
        if now != seen[-1]:
            assert seen[-1][0] not in FINAL
            seen.append(now)
        assert record["placed"] == "origin" or record["state"] in ("moving", "moved", "returning")


def test_ages_only_grow_and_are_counted_by_the_holder_alone():
    register = Register().to("preparing")
    assert register.do("evacuation.age", id="e1", term=1, age_s=30.0)[0] == 1000
    assert register.do("evacuation.age", id="e1", term=1, age_s=20.0)[0] == 1000
    assert register.do("evacuation.age", id="e1", term=2, age_s=90.0)[0] == 2018
    assert register.value["evacuations"]["e1"]["age_s"] == 30.0
    assert register.step("moving", age_s=31.0)[1]["Log"][-1]["AgeS"] == 31.0


NOTICES = [  # outcomes in the order in which they come, what the record says then
    (["failed", "acknowledged"], "acknowledged"),
    (["no key", "failed", "term over"], "term over"),
    (["term over", "failed"], "term over"),  # the last try ends as the term does
    (["term over", "acknowledged"], "acknowledged"),
    (["acknowledged", "failed"], "acknowledged"),
]


@pytest.mark.parametrize("outcomes, last", NOTICES)
def test_a_late_failure_of_a_notice_undoes_nothing(outcomes, last):
    register = Register().to("announced")
    for outcome in outcomes:
        assert register.do("evacuation.notice", id="e1", term=1, kind="move", word=outcome)[0] == 1000
    assert register.value["evacuations"]["e1"]["notices"] == {"move": last}
    before = copy.deepcopy(register.value)
    assert register.do("evacuation.notice", id="e1", term=1, kind="move", word=last)[2] is False
    assert register.value == before
