"""The rules of leases and effects under random histories."""

from hypothesis import settings
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from tests.support.role_register import DONE, RoleRegister

NODES = strategies.sampled_from(["a", "b", "c"])
INTENTS = strategies.integers(-(2**63), 2**64 - 1)  # what a JSON number between nodes can hold (orjson)


class Histories(RuleBasedStateMachine):
    """Holders that ask, renew, act late, die and come back, while time passes: no fence has two holders, acts stand
    under rising fences, and one window is only ever agreed with one intent."""

    def __init__(self):
        super().__init__()
        self.register = RoleRegister()
        self.holders: dict[int, tuple] = {}  # fence -> who got it
        self.tenancies: dict[str, tuple] = {}  # node -> (life, fence, until when it may act)
        self.lives = dict.fromkeys("abc", 1)
        self.acts: list = []  # (when, fence, node)
        self.intents: dict[int, object] = {}

    @rule(wait_s=strategies.sampled_from([0.1, 1.0, 2.0, 5.2]))
    def time_passes(self, wait_s):
        self.register.clock.at += wait_s

    @rule(node=NODES)
    def asks(self, node):
        incarnation, at = str(self.lives[node]), self.register.clock.at
        code, doc = self.register.run("request", node, incarnation=incarnation)
        if code == DONE:
            assert self.holders.setdefault(doc["fence"], (node, incarnation)) == (node, incarnation)
            self.tenancies[node] = (incarnation, doc["fence"], at + 5.0)

    @rule(node=NODES)
    def renews(self, node):
        if node in self.tenancies:
            incarnation, fence, _ = self.tenancies[node]
            at = self.register.clock.at
            if self.register.run("renew", node, incarnation=incarnation, fence=fence)[0] == DONE:
                self.tenancies[node] = (incarnation, fence, at + 5.0)

    @rule(node=NODES)
    def gives_back(self, node):
        if node in self.tenancies:
            incarnation, fence, _ = self.tenancies.pop(node)
            self.register.run("release", node, incarnation=incarnation, fence=fence, rest_s=3.3)

    @rule(node=NODES)
    def dies(self, node):
        self.lives[node] += 1
        self.tenancies.pop(node, None)

    @rule(node=NODES, number=strategies.integers(1, 4), intent=INTENTS)
    def acts_on(self, node, number, intent):
        if node not in self.tenancies:
            return
        incarnation, fence, until = self.tenancies[node]
        key = f"accounting/window:{number}"
        code, doc = self.register.run("intend", node, incarnation=incarnation, key=key, fence=fence, intent=intent)
        if code != DONE or doc["cached"]:
            return
        assert self.intents.setdefault(number, doc["intent"]) == doc["intent"]
        if self.register.clock.at < until:
            self.acts.append((self.register.clock.at, fence, node))

    @rule(node=NODES, number=strategies.integers(1, 4))
    def commits(self, node, number):
        if node in self.tenancies:
            incarnation, fence, _ = self.tenancies[node]
            args = {"key": f"accounting/window:{number}", "fence": fence, "result": "taken"}
            if self.register.run("commit", node, incarnation=incarnation, **args)[0] == DONE:
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
