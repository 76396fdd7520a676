"""When a silent store is to leave."""

from types import SimpleNamespace

import pytest
from tests.support.fakes import HandClock

from archhatch.control.store_membership import StoreMembershipController
from archhatch.jobs import Quorum
from archhatch.membership import PeerSet


class MembershipHost:
    """What StoreMembershipController needs of a control node: f = 1, SyncS 10, ContactMs 3000."""

    def __init__(self, silent, joined_at):
        names = list(silent)
        self.started, self.commands = 0.0, []
        self.settings = SimpleNamespace(seconds=lambda name, ratio=1.0: {"SyncS": 10.0, "ContactMs": 3.0}[name] * ratio)
        self.clock, self.log, self.quorum = HandClock(100.0), SimpleNamespace(info=lambda *a: None), Quorum(1)
        self.stores = PeerSet()
        for name, seconds in silent.items():
            self.stores.record_contact({"id": name, "name": name}, 100.0 - seconds)
        members = {n: {"name": n, "zone": "z", "state": "active", "no": i} for i, n in enumerate(names)}
        self.registers = SimpleNamespace(owns=lambda shard: True, known={"plan": {"val": {"stores": members}}})
        self.controller = StoreMembershipController(self)
        self.controller._member_since = {n: joined_at.get(n, 1.0) for n in names}

    async def try_command(self, shard, name, args):
        self.commands.append((name, args["id"]))


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
    node = MembershipHost(silent, joined_at)
    run(node.controller.update())
    assert node.commands == [("store.leave", name) for name in leaves]
