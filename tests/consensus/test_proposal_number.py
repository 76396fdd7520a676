"""A proposer that restarts while its disk lagged never uses a proposal number of its earlier incarnation again."""

import asyncio

import orjson
import pytest
from tests.support.fakes import MemBook

from archhatch.consensus import Acceptor, Commands, Proposer, UnclearResultError
from archhatch.runtime import Counters

VOTERS = dict(zip("abc", "abc"))
commands = Commands()


@commands.on("set")
def set_value(value, args):
    """Set x, if the count of changes is still the one seen."""
    if value.get("n", 0) != args["match"]:
        return 2011, value.get("x"), False
    value["x"], value["n"] = args["x"], args["match"] + 1
    return 1000, args["x"], True


@commands.on("get")
def get_value(value, args):
    """The value, confirmed by a majority."""
    return 1000, value.get("x"), False


class Disk(MemBook):
    """A log that may stand still: what is appended then is never synced."""

    stalled = False

    async def append(self, *raws):
        if self.stalled:
            await asyncio.Event().wait()
        await super().append(*raws)


class Group:
    """Three voters; calls over cut paths (caller, voter, verb or none) are lost."""

    def __init__(self):
        self.disks = {name: Disk() for name in VOTERS}
        self.acceptors, self.cut = {}, set()
        for name in VOTERS:
            self.start(name)

    def start(self, name):
        """An incarnation of a voter begins with what its disk holds."""
        acceptor = self.acceptors[name] = Acceptor("plan", self.disks[name], Counters())
        for raw in self.disks[name].raws:
            acceptor.adopt(orjson.loads(raw))

    def proposer(self, name, incarnation):
        """The proposer of one incarnation of a node."""

        async def ask(address, verb, document):
            if {(name, address, verb), (name, address, None)} & self.cut:
                return None
            document = orjson.loads(orjson.dumps(document))
            rest = [document["state"]] if verb == "part.accept" else []
            call = getattr(self.acceptors[address], verb.removeprefix("part."))
            return {"me": address, **await call(document["ballot"], *rest)}

        base = {"stamp": 0, "val": {}, "voters": VOTERS, "prev": None}
        return Proposer(
            "plan",
            name,
            commands,
            ask,
            lambda: self.acceptors[name].state or base,
            lambda *a: None,
            Counters(),
            0.05,
            incarnation=incarnation,
        )


@pytest.mark.parametrize("first, second", [("1", "2"), ("2", "1")])
def test_a_change_that_was_acknowledged_outlives_a_restart_on_a_lagging_disk(run, first, second):
    async def go():
        group = Group()
        group.disks["a"].stalled = True
        group.cut = {("a", "c", "part.accept")}
        with pytest.raises(UnclearResultError):
            await group.proposer("a", first).execute("set", {"x": "X", "match": 0})  # accepted by b alone
        group.disks["a"] = Disk()  # what was not synced is gone
        group.start("a")
        group.cut = {("a", "b", None)}
        again = group.proposer("a", second)
        code, value = await again.execute("set", {"x": "Y", "match": 0})
        assert (code, value) == (1000, "Y") and again.prepared_number.incarnation == second
        group.cut = {("b", "c", None)}  # one node is lost
        assert await group.proposer("b", "3").execute("get", {}) == (1000, "Y")

    run(go())
