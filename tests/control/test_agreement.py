"""What the acceptors of a control node promise stands on the disk; its registers' owners follow the chosen states."""

import itertools
from types import SimpleNamespace

import pytest
from tests.support.fakes import MemBook

from archhatch.consensus import Acceptor
from archhatch.control.agreement import Registers
from archhatch.runtime import Counters

VOTERS = {"a": "a:1", "b": "b:1", "c": "c:1"}


class FailingBook(MemBook):
    """A log whose n-th append fails."""

    def __init__(self, *failing):
        super().__init__()
        self.failing, self.count = set(failing), itertools.count(1)

    async def append(self, *raws):
        if next(self.count) in self.failing:
            raise OSError("no space left on device")
        await super().append(*raws)


STATE = {"stamp": 1, "val": {"x": 1}, "voters": VOTERS, "prev": None}


@pytest.mark.parametrize("verb, args", [("prepare", ((9, "x", "life"),)), ("accept", ((9, "x", "life"), STATE))])
def test_what_failed_to_reach_the_disk_is_neither_counted_nor_told(run, verb, args):
    async def go():
        acceptor = Acceptor("plan", FailingBook(2, 3), Counters())
        assert (await acceptor.prepare((1, "a", "old")))["ok"]
        for _ in range(2):
            with pytest.raises(OSError):
                await getattr(acceptor, verb)(*args)
            assert tuple(acceptor.promised) == (1, "a", "old") and acceptor.state is None
            assert (await acceptor.confirm((1, "a", "old")))["ok"] and not (await acceptor.confirm((9, "x", "life")))[
                "ok"
            ]
        assert (await getattr(acceptor, verb)(*args))["ok"] and len(acceptor.wal.raws) == 2

    run(go())


def test_owners_follow_the_chosen_state_not_one_that_may_never_be():
    node = SimpleNamespace(
        counters=Counters(),
        settings=SimpleNamespace(tolerated_machines=1, seconds=lambda *a: 1.0),
        available=lambda n: True,
    )
    registers = Registers(node)
    registers.known["plan"] = {"stamp": 4, "val": {}, "voters": VOTERS, "prev": None}
    registers.acceptors["plan"].state = {"stamp": 5, "val": {}, "voters": {"x": "x:1"}, "prev": VOTERS}
    assert sorted(registers.owners("plan")) == ["a", "b", "c"] and registers.newest_state("plan")["stamp"] == 5
