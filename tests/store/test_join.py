"""A store whose membership ended begins anew, however long it was away."""

from types import SimpleNamespace

import pytest
from tests.support.fakes import HandClock, MemBook

from archhatch.control.registers import commands
from archhatch.control.store_membership import StoreMembershipController
from archhatch.jobs import RecordStore
from archhatch.membership import PeerSet
from archhatch.runtime import Counters
from archhatch.store.join import StoreJoin

MEMBERS = {"s-2": {"no": 5}, "s-3": {"no": 9}}


# Only the last 64 ids of dropped stores are remembered: an older one became a member again with its old records.
@pytest.mark.parametrize(
    "why, number, register, was_dropped",
    [
        ("it is a member", 4, {"stores": {"s-1": {"no": 4}, **MEMBERS}}, False),
        ("its end is remembered", 4, {"stores": MEMBERS, "dropped": {"s-1": 1}}, True),
        ("its end is remembered, and it knows no number", 0, {"stores": MEMBERS, "dropped": {"s-1": 1}}, True),
        ("its end is forgotten, and a later store is a member", 4, {"stores": MEMBERS}, True),
        ("it never was a member", 0, {"stores": MEMBERS}, False),
        ("the register is older than its joining", 12, {"stores": MEMBERS}, False),
        ("there is no register yet", 4, {}, False),
    ],
)
def test_a_store_knows_that_its_membership_ended(why, number, register, was_dropped):
    store = SimpleNamespace(id="s-1", record_store=SimpleNamespace(member_number=number))
    assert StoreJoin(store)._was_dropped(register) is was_dropped


def test_a_store_keeps_its_number_and_loses_it_with_its_identity(run):
    async def go():
        wal = MemBook()
        record_store = RecordStore(wal, HandClock(), Counters())
        await record_store.take_id("s-1")
        await record_store.note_membership(7)
        again = RecordStore(wal, HandClock(), Counters())
        again.load(wal.raws)
        assert (again.id, again.member_number) == ("s-1", 7)
        rewritten = RecordStore(wal, HandClock(), Counters())
        rewritten.load(b"".join(pieces) for pieces in again.snapshot())
        assert rewritten.member_number == 7
        again._clear()
        assert again.member_number == 0

    run(go())


@pytest.mark.parametrize("number, joins", [(None, True), ("7", False)])
def test_a_control_node_lets_no_store_join_twice(run, number, joins):
    async def go():
        stores, asked = PeerSet(), []
        card = {"id": "s-1", "klass": "store", "name": "m1", "ip": "10.0.0.1", "zone": "z"}
        stores.record_contact(card if number is None else {**card, "no": number}, 100.0)
        value = {"stores": {}, "dropped": {}}

        async def try_command(shard, name, args):
            asked.append(name)
            return commands.run(value, name, args)[0], None

        node = SimpleNamespace(
            clock=HandClock(),
            started=0.0,
            stores=stores,
            settings=SimpleNamespace(seconds=lambda name, share=1.0: 3.0 * share),
            registers=SimpleNamespace(known={"plan": {"val": value}}, owns=lambda shard: False),
            try_command=try_command,
        )
        await StoreMembershipController(node).update()
        assert asked == ["store.join"] * joins and ("s-1" in value["stores"]) is joins

    run(go())
