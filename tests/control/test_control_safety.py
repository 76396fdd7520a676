"""A control node serves on proof of contact alone."""

import itertools
from types import SimpleNamespace

import pytest
from tests.support.fakes import HandClock, MemBook

from archhatch.jobs import Quorum
from archhatch.consensus import Acceptor
from archhatch.control.agreement import Registers
from archhatch.control.contact import MajorityContact, ServingGate
from archhatch.control.group_maintenance import GroupMaintainer
from archhatch.control.store_membership import StoreMembershipController
from archhatch.membership import PeerSet
from archhatch.runtime import Counters

VOTERS = {"a": "a:1", "b": "b:1", "c": "c:1"}
BOUND = 0.75


@pytest.mark.parametrize(
    "answers, now, reached",
    [
        ({}, 10.0, False),
        ({"b": 10.0}, 10.0, True),
        ({"b": 9.25}, 10.0, True),
        ({"b": 9.24}, 10.0, False),
        ({"b": 1.0, "c": 10.0}, 10.0, True),
        ({"x": 10.0, "y": 10.0}, 10.0, False),
        ({"b": 10.0, "c": 10.0}, 15.0, False),
    ],
)  # it stood still for five seconds
def test_contact_is_proven_by_answers_alone(answers, now, reached):
    contact = MajorityContact(BOUND)
    for node, sent_at in answers.items():
        contact.record_answer(node, sent_at, {})
    assert contact.has_majority("a", {"voters": VOTERS, "prev": None}, now) is reached


def test_an_older_answer_does_not_undo_a_newer_one():
    contact = MajorityContact(BOUND)
    contact.record_answer("b", 5.0, {"plan": 7})
    contact.record_answer("b", 4.0, {"plan": 6})
    assert contact.newest_accepted("plan", VOTERS, 5.5) == 7 and contact.newest_accepted("plan", VOTERS, 6.0) == -1


GATES = [  # why, what is seen in turn: (time, majority reached, registers behind), whether it serves after each
    ("a start learns first", [(0, True, "p"), (1, True, "")], [False, True]),
    (
        "a change on its way",
        [(0, True, ""), (1, True, "p"), (1.7, True, "p"), (1.8, True, "")],
        [True, True, True, True],
    ),
    ("it stays behind", [(0, True, ""), (1, True, "p"), (1.8, True, "p"), (2, True, "")], [True, True, False, True]),
    ("a cut", [(0, True, ""), (1, False, ""), (2, True, "p"), (2.1, True, "")], [True, False, False, True]),
    ("a cut, nothing new", [(0, True, ""), (1, False, ""), (2, True, "")], [True, False, True]),
    ("one behind after the other", [(0, True, ""), (1, True, "p"), (1.5, True, "q"), (2, True, "q")], [True] * 4),
]


@pytest.mark.parametrize("why, seen, serves", GATES, ids=[g[0] for g in GATES])
def test_what_opens_and_shuts_the_gate(why, seen, serves):
    gate = ServingGate(BOUND)
    assert [gate.update(reached, set(behind), at) for at, reached, behind in seen] == serves


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


class Duty:
    """What StoreMembershipController needs of a control node: f = 1, SyncS 10, ContactMs 3000."""

    def __init__(self, silent, joined_at):
        names = list(silent)
        self.started, self.said = 0.0, []
        self.settings = SimpleNamespace(seconds=lambda name, ratio=1.0: {"SyncS": 10.0, "ContactMs": 3.0}[name] * ratio)
        self.clock, self.log, self.quorum = HandClock(100.0), SimpleNamespace(info=lambda *a: None), Quorum(1)
        self.stores = PeerSet()
        for name, seconds in silent.items():
            self.stores.record_contact({"id": name, "name": name}, 100.0 - seconds)
        members = {n: {"name": n, "zone": "z", "state": "active", "no": i} for i, n in enumerate(names)}
        self.registers = SimpleNamespace(owns=lambda shard: True, known={"plan": {"val": {"stores": members}}})
        self.duty = StoreMembershipController(self)
        self.duty._member_since = {n: joined_at.get(n, 1.0) for n in names}

    async def try_command(self, shard, name, args):
        self.said.append((name, args["id"]))


@pytest.mark.parametrize(
    "why, silent, joined_at, leaves",
    [
        ("all are there", {"a": 0, "b": 0, "c": 0}, {}, []),
        ("gone, and another came", {"a": 5, "b": 0, "c": 0, "d": 0}, {"d": 97.0}, ["a"]),
        ("gone, and another came: not yet", {"a": 4, "b": 0, "c": 0, "d": 0}, {"d": 97.0}, []),
        ("its successor came before it ended", {"a": 9.5, "b": 0, "c": 0, "d": 0}, {"d": 50.0}, ["a"]),
        ("... not yet", {"a": 8, "b": 0, "c": 0, "d": 0}, {"d": 50.0}, []),
        ("too few stay", {"a": 60, "b": 0, "c": 0}, {}, []),
        ("too few of the others are heard", {"a": 60, "b": 60, "c": 0, "d": 0}, {}, []),
    ],
)
def test_a_silent_store_is_to_leave_once_others_can_do_without_it(run, why, silent, joined_at, leaves):
    node = Duty(silent, joined_at)
    run(node.duty.update())
    assert node.said == [("store.leave", name) for name in leaves]


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
