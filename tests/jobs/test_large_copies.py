"""Large copies from several leaders take turns at a store, and hold up nothing else (review/9)."""

import asyncio
from types import SimpleNamespace

import pytest
from tests.support.fakes import HandClock, MemBook

from archhatch.jobs import LARGE_JOB_BYTES, Quorum, Record, RecordStore, Replicator
from archhatch.jobs.record import end_head, job_head, pack_many, unpack_many
from archhatch.rpc import CallError, CallRefusedError
from archhatch.runtime import Counters, TaskGroup, open_logs
from archhatch.store.handlers import StoreHandlers

LOG = open_logs("t", "CRITICAL")
MEMBERS = {sid: {"state": "active", "zone": "z", "addr": sid} for sid in ("me", "b")}
DONE, REFUSED = 1000, 3013


def large_record(job_id="large"):
    return Record(job_head(job_id, "run", "h", "/p/"), bytes(LARGE_JOB_BYTES + 1))


class Store:
    """The other store: answers calls for room as it is told, and keeps the order of what else came."""

    def __init__(self, *rooms):
        self.rooms = list(rooms)
        self.calls = []

    def to(self, address):
        return self

    async def call(self, verb, document, body=b"", timeout_s=1.0):
        if verb == "shelf.reserve":
            self.calls.append(("reserve", document["lot"], document["size"], document["claim"]))
            return (self.rooms.pop(0) if len(self.rooms) > 1 else self.rooms[0]), None, b""
        records = unpack_many(body)
        self.calls += [("append", record.head["lot"]) for record in records]
        return DONE, [True for _ in records], b""

    def appended(self):
        return [call[1] for call in self.calls if call[0] == "append"]


def replicator(store, timeout_s=5.0):
    clock = HandClock()
    record_store = RecordStore(MemBook(), clock, Counters())
    group = TaskGroup(LOG, Counters())
    members, alive = (lambda: MEMBERS), (lambda sid: True)
    made = Replicator("me", record_store, store, members, alive, group, Counters(), timeout_s, Quorum(1))
    return made, group, clock


# Copies of large jobs of three leaders stood in one store's memory at once; the store went over it again and again.
@pytest.mark.parametrize("rooms, tries", [((DONE,), 1), ((REFUSED, REFUSED, DONE), 3), ((2009,), 1)])
def test_a_large_copy_is_sent_once_the_store_has_room(run, rooms, tries):
    async def go():
        store = Store(*rooms)
        it, group, _ = replicator(store)
        assert await it.send("b", "run", 1, [large_record()]) is True
        asked = [call for call in store.calls if call[0] == "reserve"]
        assert len(asked) == tries and len(set(asked)) == 1 and asked[0][2] == LARGE_JOB_BYTES + 1
        assert store.calls[-1] == ("append", "large")
        await group.cancel_all()

    run(go())


def test_a_large_copy_without_room_is_not_sent_and_holds_up_no_other(run):
    async def go():
        store = Store(REFUSED)
        it, group, clock = replicator(store)
        large = it.send("b", "run", 1, [large_record()])
        assert await it.send("b", "run", 1, [Record(end_head("small", "run"))]) is True
        assert not large.done() and store.appended() == ["small"]
        clock.at += 10.0  # the time for an answer is over
        assert await large is None and store.appended() == ["small"]
        await group.cancel_all()

    run(go())


def test_a_store_has_room_for_one_large_copy_at_a_time(run):
    async def go():
        gate = asyncio.Event()

        class Records:
            async def append(self, records):
                await gate.wait()
                return [True for _ in records]

        host = SimpleNamespace(
            id="b",
            ready=True,
            clock=HandClock(),
            counters=Counters(),
            settings=SimpleNamespace(memory_mb=1),
            record_store=Records(),
            disk=SimpleNamespace(watch=lambda write: write),
        )
        handlers = StoreHandlers(host)
        room = {"lot": "large", "size": LARGE_JOB_BYTES + 1, "claim": "c1"}
        await handlers._reserve_copy(room, b"")
        first = asyncio.ensure_future(handlers._append({}, pack_many([large_record()])))
        await asyncio.sleep(0)
        with pytest.raises(CallRefusedError) as refused:
            await handlers._reserve_copy({**room, "lot": "other", "claim": "c2"}, b"")
        assert refused.value.code == REFUSED
        with pytest.raises(CallRefusedError):  # of a store of an earlier version, which asks for no room
            await handlers._append({}, pack_many([large_record("other")]))
        gate.set()
        assert await first == [True]
        await handlers._reserve_copy({**room, "lot": "other", "claim": "c2"}, b"")

    run(go())


def test_a_store_that_does_not_answer_gets_no_large_copy(run):
    async def go():
        store = Store(DONE)

        async def call(verb, document, body=b"", timeout_s=1.0):
            raise CallError("no answer", sent=True)

        store.call = call
        it, group, _ = replicator(store)
        assert await it.send("b", "run", 1, [large_record()]) is None
        await group.cancel_all()

    run(go())
