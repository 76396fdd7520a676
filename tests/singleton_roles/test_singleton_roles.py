"""Duties: the state machine by a table of cases, its rules under random histories, and the register's commands."""

from types import SimpleNamespace

import pytest
from tests.support.fakes import HandClock
from hypothesis import settings
from hypothesis import strategies as store
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from archhatch.singleton_roles import client
from archhatch.singleton_roles.commands import KEEP_FINISHED, commands
from archhatch.singleton_roles.effect import EffectFailedError, protect
from archhatch.singleton_roles.lease import RoleCallError
from archhatch.singleton_roles.record import AUDIT_KEPT
from archhatch.singleton_roles.watch import LeaseWatch

LEASE, WINDOW = "accounting", "accounting/window:7"
HELD, STALE, FAILED, UNKNOWN, BAD_LEASE, TOO_LARGE, WRONG_STATE = range(2301, 2308)
DONE = 1000


class Ledger:
    """One namespace's value, with a watch on a clock moved by hand, as the owner of the register has it."""

    def __init__(self):
        self.value, self.watch, self.clock = {}, LeaseWatch(), HandClock()

    def run(self, name, node, key=LEASE, incarnation="1", **args):
        args = {"key": key, "node": node, "life": incarnation, **args}
        if name == "request":
            args = {"lease_s": 5.0, **args, **self.watch.args(key, self.clock.now())}
        code, doc, changed = commands.run(self.value, f"duty.{name}", args)
        for k, duty in self.value.get("duties", {}).items():
            self.watch.note(k, duty["fence"], duty["renewals"], self.clock.now())
        assert changed is False or code == DONE
        return code, doc


def play(steps):
    """Play (seconds to wait, command, node, arguments, code, what the answer holds) one behind the other."""
    ledger = Ledger()
    for n, (wait_s, name, node, args, code, holds) in enumerate(steps):
        ledger.clock.at += wait_s
        got, doc = ledger.run(name, node, **args)
        assert got == code, (n, name, got, doc)
        assert holds is None or {k: (doc or {}).get(k) for k in holds} == holds, (n, doc)
    return ledger


ASK_A = (0, "request", "a", {}, DONE, {"fence": 1, "prior": "none"})
BEGIN_A = (0, "intend", "a", {"key": WINDOW, "fence": 1, "intent": {"n": 3}}, DONE, {"prior": "none"})
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
    "a failed duty is refused until its reset": [
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
def test_what_the_ledger_answers(name):
    play(CASES[name])


def test_finished_effects_are_forgotten_and_never_begun_again():
    ledger = play([ASK_A])
    count = KEEP_FINISHED + 3
    for n in range(1, count + 1):
        for name, args in (("intend", {"intent": n}), ("commit", {"result": n})):
            assert ledger.run(name, "a", key=f"accounting/window:{n}", fence=1, **args)[0] == DONE
    kept = [k for k in ledger.value["duties"] if "/" in k]
    assert kept == [f"accounting/window:{n}" for n in range(4, count + 1)]
    assert ledger.run("intend", "a", key="accounting/window:3", fence=1, intent=0)[0] == UNKNOWN
    assert ledger.run("intend", "a", key="accounting/other:3", fence=1, intent=0)[0] == DONE


def test_the_audit_trail_is_bounded():
    ledger = Ledger()
    for n in range(AUDIT_KEPT + 5):
        assert ledger.run("request", "a", incarnation=str(n))[0] == DONE
    audit = ledger.value["duties"][LEASE]["audit"]
    assert len(audit) == AUDIT_KEPT and audit[-1] == ["granted", AUDIT_KEPT + 5, "a"]


class OneLease:
    """A lease of one node, on a ledger without a network."""

    def __init__(self, ledger, node, fence):
        self.ledger, self.node, self.fence = ledger, node, fence

    async def call(self, name, key, **args):
        code, doc = self.ledger.run(name.removeprefix("duty."), self.node, key=key, fence=self.fence, **args)
        if code != DONE:
            raise RoleCallError(code, doc)
        return doc


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
        ledger = play([ASK_A])
        steps = {
            "nothing": [],
            "an expiry": [("intend", {"intent": 1})],
            "a commit": [("intend", {"intent": 1}), ("commit", {"result": "before"})],
            "a reset": [("intend", {"intent": 1}), ("fail", {"error": "x"})],
        }[before]
        for name, args in steps:
            assert ledger.run(name, "a", key=WINDOW, fence=1, **args)[0] == DONE
        if before == "a reset":
            assert ledger.run("reset", "operator", key=WINDOW)[0] == DONE
        ledger.clock.at += 6
        assert ledger.run("request", "b")[0] == DONE
        seen = []

        async def act(intent):
            seen.append("act")
            assert intent == (1 if before == "an expiry" else 2)
            return "acted"

        async def observe(intent):
            seen.append("observe")
            return found

        lease = OneLease(ledger, "b", 2)
        assert await protect(lease, WINDOW, 2, act, observe) == result and seen == done
        assert await protect(lease, WINDOW, 3, act, observe) == result and seen == done  # and never again

    run(go())


def test_an_act_that_cannot_succeed_is_kept_as_failed(run):
    async def go():
        ledger = play([ASK_A])

        async def act(intent):
            raise EffectFailedError("no such zone")

        lease = OneLease(ledger, "a", 1)
        with pytest.raises(EffectFailedError):
            await protect(lease, WINDOW, 1, act)
        with pytest.raises(RoleCallError) as refusal:
            await protect(lease, WINDOW, 1, act)
        assert (refusal.value.code, refusal.value.doc) == (FAILED, "no such zone")

    run(go())


def test_a_watch_forgets_what_is_no_duty_any_more():
    watch = LeaseWatch()
    for key in ("a", "b"):
        watch.note(key, 1, 0, 10.0)
    watch.keep_only({"b"})
    assert watch.args("a", 12.0) == {} and watch.args("b", 12.0)["seen"] == [1, 0]


NODES = store.sampled_from(["a", "b", "c"])


class Histories(RuleBasedStateMachine):
    """Holders that ask, renew, act late, die and come back, while time passes: no fence has two holders, acts stand
    under rising fences, and one window is only ever agreed with one intent."""

    def __init__(self):
        super().__init__()
        self.ledger = Ledger()
        self.holders: dict[int, tuple] = {}  # fence -> who got it
        self.tenancies: dict[str, tuple] = {}  # node -> (life, fence, until when it may act)
        self.lives = dict.fromkeys("abc", 1)
        self.acts: list = []  # (when, fence, node)
        self.intents: dict[int, object] = {}

    @rule(wait_s=store.sampled_from([0.1, 1.0, 2.0, 5.2]))
    def time_passes(self, wait_s):
        self.ledger.clock.at += wait_s

    @rule(node=NODES)
    def asks(self, node):
        incarnation, at = str(self.lives[node]), self.ledger.clock.at
        code, doc = self.ledger.run("request", node, incarnation=incarnation)
        if code == DONE:
            assert self.holders.setdefault(doc["fence"], (node, incarnation)) == (node, incarnation)
            self.tenancies[node] = (incarnation, doc["fence"], at + 5.0)

    @rule(node=NODES)
    def renews(self, node):
        if node in self.tenancies:
            incarnation, fence, _ = self.tenancies[node]
            at = self.ledger.clock.at
            if self.ledger.run("renew", node, incarnation=incarnation, fence=fence)[0] == DONE:
                self.tenancies[node] = (incarnation, fence, at + 5.0)

    @rule(node=NODES)
    def gives_back(self, node):
        if node in self.tenancies:
            incarnation, fence, _ = self.tenancies.pop(node)
            self.ledger.run("release", node, incarnation=incarnation, fence=fence, rest_s=3.3)

    @rule(node=NODES)
    def dies(self, node):
        self.lives[node] += 1
        self.tenancies.pop(node, None)

    @rule(node=NODES, number=store.integers(1, 4), intent=store.integers())
    def acts_on(self, node, number, intent):
        if node not in self.tenancies:
            return
        incarnation, fence, until = self.tenancies[node]
        key = f"accounting/window:{number}"
        code, doc = self.ledger.run("intend", node, incarnation=incarnation, key=key, fence=fence, intent=intent)
        if code != DONE or doc["cached"]:
            return
        assert self.intents.setdefault(number, doc["intent"]) == doc["intent"]
        if self.ledger.clock.at < until:
            self.acts.append((self.ledger.clock.at, fence, node))

    @rule(node=NODES, number=store.integers(1, 4))
    def commits(self, node, number):
        if node in self.tenancies:
            incarnation, fence, _ = self.tenancies[node]
            args = {"key": f"accounting/window:{number}", "fence": fence, "result": "taken"}
            if self.ledger.run("commit", node, incarnation=incarnation, **args)[0] == DONE:
                assert fence == max(self.holders)

    @invariant()
    def acts_are_ordered(self):
        fences = [fence for _, fence, _ in self.acts]
        assert fences == sorted(fences)
        for n, (at, _, node) in enumerate(self.acts):
            between = {other for t, _, other in self.acts[n:] if t - at < 3.0}
            turns = [other for t, _, other in self.acts[n:] if t - at < 3.0]
            assert len(between) < 2 or turns == sorted(turns, key=lambda x: x != node), "turns of A, B, A"


Histories.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)
TestHistories = Histories.TestCase


DUTY = {"Name": "accounting", "OperState": "RUNNING", "FenceToken": 3, "Owner": "s1", "Renewals": 2, "Error": ""}
ROW = {**DUTY, "Audit": [{"Event": "granted", "FenceToken": 3, "Owner": "s1"}]}
CALLS = [  # arguments, the control node's answer, the status, what is printed, the call that was made
    (["list"], (200, {"DutyList": [ROW]}), 0, "RUNNING", ("GET", "/api/duties")),
    (["show", "accounting"], (200, {"DutyList": [ROW]}), 0, "granted", ("GET", "/api/duties/accounting")),
    (["reset", "a/w:1"], (200, {"OperState": "IDLE"}), 0, "a/w:1", ("POST", "/api/duties/a%2Fw%3A1/reset")),
    (
        ["reset", "a"],
        (409, {"Error": 2307, "Says": "no", "Why": "RUNNING"}),
        1,
        "2307",
        ("POST", "/api/duties/a/reset"),
    ),
    (["show"], None, 2, "duties show KEY", None),
    ([], None, 2, "duties list", None),
]


@pytest.mark.parametrize("args, answer, status, shown, called", CALLS)
def test_the_command_line_of_duties(monkeypatch, capsys, args, answer, status, shown, called):
    calls = []

    class Control:
        def __init__(self, settings):
            pass

        async def __aenter__(self):
            return self

        async def __aexit__(self, *exc):
            pass

        async def call(self, method, path):
            calls.append((method, path))
            return answer

    monkeypatch.setattr(client, "ControlPlane", Control)
    monkeypatch.setattr(client, "read_settings", lambda path: None)
    assert client.SingletonRoleClient(SimpleNamespace(settings=None)).run(args) == status
    out = capsys.readouterr()
    assert shown in out.out + out.err and calls == ([called] if called else [])
