"""The record store on a log that fails, waits or is rewritten: what is told or acknowledged is on the disk."""

import asyncio

import pytest
from tests.support.fakes import MemBook
from tests.support.simulated_disk import InlineWorker, InMemoryDisk

from archhatch.jobs import Record, RecordStore
from archhatch.runtime import Counters
from archhatch.wal import LogError, WriteAheadLog


class Book(MemBook):
    """Fails while `failing`; while `gate` is set, appends wait there like on a slow disk, and then go in order."""

    failing, gate = False, None

    async def append(self, *raws):
        if self.gate is not None:
            await self.gate.wait()
        if self.failing:
            raise LogError("no space left on device")
        await super().append(*raws)


def record(kind, by=1, body=b"{}", **more):
    head = {"k": kind, "lot": "l", "run": "m", "by": by, **more}
    return Record(head, body)


LOT, END, NOTE = record("L"), record("E"), record("O", lot="", iid="i", term=1, t=1.5)
RESULT = record("R", pos=0, term=1, item="i", t=2.5)
SNAPSHOT, UPDATE = (record(k, lot="window|p", part="p", term=1, se=1, n=n) for k, n in (("S", 0), ("U", 1)))
ALL = {"lot": LOT, "result": RESULT, "end": END, "order": NOTE, "snapshot": SNAPSHOT, "update": UPDATE}


def store(wal, clock):
    made = RecordStore(wal, clock, Counters())
    made.load(wal.raws)
    return made


def told(record_store):
    """All that others may hear of, but for the times of orders."""
    return record_store.describe_run("m"), dict(record_store.promised_terms), record_store.id


async def settled(*tasks):
    for _ in range(20):
        await asyncio.sleep(0)
    return [t.done() for t in tasks]


@pytest.mark.parametrize("record", ALL.values(), ids=ALL)
def test_a_record_whose_write_failed_is_neither_told_nor_acknowledged(run, clock, record):
    async def go():
        wal = Book()
        record_store = store(wal, clock)
        before, wal.failing = told(record_store), True
        for _ in range(2):
            with pytest.raises(LogError):
                await record_store.append([record])
            assert told(record_store) == before
        wal.failing = False
        assert await record_store.append([record]) == [True]
        assert told(record_store) != before and told(store(wal, clock)) == told(record_store)

    run(go())


@pytest.mark.parametrize("record", ALL.values(), ids=ALL)
def test_a_record_on_its_way_is_not_told_and_its_copies_share_its_fate(run, clock, record):
    async def go():
        for failing in (True, False):
            wal = Book()
            record_store = store(wal, clock)
            before, wal.gate = told(record_store), asyncio.Event()
            tries = [asyncio.ensure_future(record_store.append([record])) for _ in range(3)]
            assert await settled(*tries) == [False] * 3 and told(record_store) == before
            tries[0].cancel()  # who waits may go; the write goes on
            wal.failing = failing
            wal.gate.set()
            out = await asyncio.gather(*tries[1:], return_exceptions=True)
            assert [type(x) for x in out] == [LogError if failing else list] * 2
            assert told(store(wal, clock)) == told(record_store) and (told(record_store) == before) is failing
            written = 0 if failing else 2  # the promise and the record, once
            assert record.place() is None or len(wal.raws) == written

    run(go())


def test_a_promise_counts_once_it_is_synced(run, clock):
    async def go():
        wal = Book()
        record_store = store(wal, clock)
        wal.failing = True
        for _ in range(2):
            with pytest.raises(LogError):
                await record_store.prepare("m", 3)
        assert record_store.promised_terms == {} and not wal.raws
        wal.failing, wal.gate = False, asyncio.Event()
        tries = [asyncio.ensure_future(record_store.prepare("m", 3)) for _ in range(2)]
        assert await settled(*tries) == [False, False] and record_store.promised_terms == {}
        wal.gate.set()
        assert [out["ok"] for out in await asyncio.gather(*tries)] == [True, True] and len(wal.raws) == 1
        assert store(wal, clock).promised_terms == {"m": 3}

    run(go())


# what is under way, in order -> what each is answered, and whether the lot is told to the new holder
RACES = [
    ([("put", 1), ("prepare", 2)], [[True], True], True),  # synced before the promise: told with it
    ([("prepare", 2), ("put", 1)], [True, [False]], False),  # behind the promise: refused, though on the disk
    ([("prepare", 2), ("put", 1), ("put", 2)], [True, [False], [True]], False),  # the newer one is written anew
    ([("prepare", 2), ("prepare", 3), ("put", 2)], [False, True, [False]], False),
    ([("put", 2), ("put", 1)], [[True], [False]], None),
]  # the older holder is refused


@pytest.mark.parametrize("calls, answers, heard", RACES)
def test_a_term_that_rises_while_a_record_is_written(run, clock, calls, answers, heard):
    async def go():
        wal, seen = Book(), []
        record_store = store(wal, clock)
        wal.gate = asyncio.Event()

        async def call(what, term):
            if what == "put":
                return await record_store.append([record("L", by=term)])
            out = await record_store.prepare("m", term)
            if out["ok"]:
                seen.append("l" in out["lots"])
            return out["ok"]

        tasks = [asyncio.ensure_future(call(*c)) for c in calls]
        await settled()
        wal.gate.set()
        out = await asyncio.gather(*tasks)
        assert out == answers and (heard is None or seen[-1] is heard)

    run(go())


@pytest.mark.parametrize("order", [[SNAPSHOT, UPDATE], [UPDATE, SNAPSHOT], [UPDATE]])
def test_a_delta_that_is_acknowledged_is_kept_also_ahead_of_its_snapshot(run, clock, order):
    async def go():
        wal = Book()
        record_store = store(wal, clock)
        for record in order:
            assert await record_store.append([record]) == [True]
        kinds = ["S", "U"][2 - len(order) :]
        for one in (record_store, store(wal, clock)):
            assert [head["k"] for head, _ in one.describe_run("m")["windows"]] == kinds
        wal.raws = list(map(b"".join, record_store.snapshot()))
        assert told(store(wal, clock))[0]["windows"] == record_store.describe_run("m")["windows"]

    run(go())


def real(disk, clock, **more):
    log = WriteAheadLog("/data", "store", files=disk, worker=InlineWorker(), sleep=lambda s: asyncio.sleep(0), **more)
    record_store = RecordStore(log, clock, Counters())
    record_store.load(log.load())
    log.start()
    return record_store


@pytest.mark.parametrize("turns", range(12))
@pytest.mark.parametrize("broken", [False, True])
def test_a_rewrite_amid_writes_loses_nothing_acknowledged(run, clock, turns, broken):
    async def go():
        disk = InMemoryDisk()
        record_store = real(disk, clock)
        await record_store.take_id("s")
        disk.fails = lambda kind, n: broken and kind == "datasync" and n == 3
        tasks = [
            asyncio.ensure_future(record_store.append([record("R", by=n + 1, pos=n, term=1, item="i")]))
            for n in range(4)
        ]
        for _ in range(turns):
            await asyncio.sleep(0)
        tasks += [asyncio.ensure_future(record_store.wal.rewrite())]
        tasks += [
            asyncio.ensure_future(record_store.append([record("R", by=9, pos=n, term=1, item="i")]))
            for n in range(4, 6)
        ]
        await asyncio.gather(*tasks, return_exceptions=True)
        while record_store.wal.is_broken:
            await asyncio.sleep(0)
        await record_store.append([END])
        await record_store.wal.close()
        disk.lose_power(0)
        again = real(disk, clock)
        assert told(again) == told(record_store) and again.id == "s"
        await again.wal.close()

    run(go())


@pytest.mark.parametrize("nth", range(1, 8))
@pytest.mark.parametrize("kind", ["pwrite", "datasync", "sync", "sync_folder"])
def test_an_id_counts_once_the_disk_has_it(run, clock, kind, nth):
    async def go():
        disk = InMemoryDisk()
        try:
            record_store = real(disk, clock)
            record_store.wal.snapshot = None  # nothing mends the log by itself
            disk.fails = lambda k, n: k == kind and n >= nth
            for change in (record_store.take_id("one"), record_store.append([LOT]), record_store.reset("two")):
                before = told(record_store)
                try:
                    await change
                except LogError:
                    assert told(record_store) == before
            told_last = told(record_store)
            await record_store.wal.close()
        except LogError:
            return
        disk.lose_power(0)
        again = real(disk, clock)
        assert told(again) == told_last
        await again.wal.close()

    run(go())


@pytest.mark.parametrize("limit, size, taken", [(0, 90_000, True), (100_000, 500, True), (100_000, 60_000, None)])
def test_a_new_job_leaves_the_reserve(run, clock, limit, size, taken):
    async def go():
        record_store = real(InMemoryDisk(), clock, limit_bytes=limit)
        assert await record_store.append([record("L", body=bytes(size)), RESULT, END]) == [taken, True, True]
        assert await record_store.append([record("L", body=bytes(size))]) == [taken]
        assert record_store.can_admit("other", size) is (taken is True)
        assert (await record_store.prepare("m", 4))["ok"]
        await record_store.wal.close()

    run(go())
