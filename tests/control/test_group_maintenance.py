"""Who settles a register that its owner does not settle."""

from types import SimpleNamespace

import pytest
from tests.support.fakes import HandClock

from archhatch.control.agreement import Registers
from archhatch.control.contact import MajorityContact
from archhatch.control.group_maintenance import GroupMaintainer
from archhatch.runtime import Counters

VOTERS = {"a": "a:1", "b": "b:1", "c": "c:1"}
BOUND = 0.75


@pytest.mark.parametrize("waits, place, overdue", [(1.4, 0, False), (1.6, 0, True), (1.6, 1, False), (2.3, 1, True)])
def test_a_register_that_nobody_settles_is_settled_by_the_next(waits, place, overdue):
    """Some have accepted a state that names another owner than the chosen one does; that one knows nothing of it."""
    clock = HandClock()
    node = SimpleNamespace(
        id="abc"[place],
        clock=clock,
        quiet_s=BOUND,
        counters=Counters(),
        contact=MajorityContact(60.0),
        settings=SimpleNamespace(tolerated_machines=1, seconds=lambda *a: 1.0),
        available=lambda n: True,
    )
    registers = Registers(node)
    registers.known["plan"] = {"stamp": 4, "val": {}, "voters": VOTERS, "prev": None}
    registers.owners = lambda shard: list("abc")
    groups = GroupMaintainer(node, registers)
    node.contact.record_answer("c", clock.now(), {"plan": 5})
    assert not groups.update_overdue("plan")
    clock.at += waits
    assert groups.update_overdue("plan") is overdue
    registers.known["plan"]["stamp"] = 5
    assert not groups.update_overdue("plan")
