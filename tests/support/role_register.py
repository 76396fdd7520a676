"""A role register and a lease without a network, on a clock moved by hand."""

from tests.support.fakes import HandClock

from archhatch.singleton_roles.commands import commands
from archhatch.singleton_roles.errors import RoleCallError
from archhatch.singleton_roles.watch import LeaseWatch

LEASE, WINDOW = "accounting", "accounting/window:7"
HELD, STALE, FAILED, UNKNOWN, BAD_LEASE, TOO_LARGE, WRONG_STATE = range(2301, 2308)
DONE = 1000


class RoleRegister:
    """One namespace's value, with a watch on a clock moved by hand, as the owner of the register has it."""

    def __init__(self):
        self.value, self.watch, self.clock = {}, LeaseWatch(), HandClock()

    def run(self, name, node, key=LEASE, incarnation="1", **args):
        args = {"key": key, "node": node, "life": incarnation, **args}
        if name == "request":
            args = {"lease_s": 5.0, **args, **self.watch.request_arguments(key, self.clock.now())}
        code, doc, changed = commands.run(self.value, f"duty.{name}", args)
        for role_key, role in self.value.get("duties", {}).items():
            self.watch.record_grant(role_key, role["fence"], role["renewals"], self.clock.now())
        assert changed is False or code == DONE
        return code, doc


def play(steps):
    """Play (seconds to wait, command, node, arguments, code, what the answer holds) one behind the other."""
    register = RoleRegister()
    for n, (wait_s, name, node, args, code, holds) in enumerate(steps):
        register.clock.at += wait_s
        got, doc = register.run(name, node, **args)
        assert got == code, (n, name, got, doc)
        assert holds is None or {k: (doc or {}).get(k) for k in holds} == holds, (n, doc)
    return register


ASK_A = (0, "request", "a", {}, DONE, {"fence": 1, "prior": "none"})
BEGIN_A = (0, "intend", "a", {"key": WINDOW, "fence": 1, "intent": {"n": 3}}, DONE, {"prior": "none"})


class LeaseStandIn:
    """A lease of one node, on a register without a network."""

    def __init__(self, register, node, fence):
        self.register, self.node, self.fence = register, node, fence

    async def call(self, name, key, **args):
        code, doc = self.register.run(name.removeprefix("duty."), self.node, key=key, fence=self.fence, **args)
        if code != DONE:
            raise RoleCallError(code, doc)
        return doc
