"""Calls of other nodes at a control node's acceptors."""

import copy
from types import SimpleNamespace

import pytest
from tests.support.fakes import MemBook

from archhatch.consensus import Acceptor
from archhatch.control.handlers import register_handlers
from archhatch.control.registers import PLAN
from archhatch.runtime import Counters
from archhatch.runtime.message import InvalidMessageError

STATE = {"stamp": 1, "val": {}, "voters": {"a": "a"}, "prev": None, "ballot": [1, "a", "x"]}


def test_an_accept_without_a_state_is_refused_and_nothing_is_written(run):
    acceptor = Acceptor(PLAN, MemBook(), Counters())
    node = SimpleNamespace(id="n", registers=SimpleNamespace(acceptors={PLAN: acceptor}))
    accept = register_handlers(node).table["part.accept"]
    assert run(accept({"part": PLAN, "ballot": [1, "a", "x"], "state": STATE}, b""))["ok"]
    before = (copy.deepcopy(acceptor.state), list(acceptor.wal.raws))
    with pytest.raises(InvalidMessageError, match="state: required"):
        run(accept({"part": PLAN, "ballot": [2, "a", "x"]}, b""))
    assert (acceptor.state, acceptor.wal.raws) == before
