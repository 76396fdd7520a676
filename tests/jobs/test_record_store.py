"""The record store on a log that fails, waits or is rewritten: what is told or acknowledged is on the disk."""

import asyncio

import pytest
from tests.support.fakes import MemBook
from tests.support.simulated_disk import InlineWorker, SimDisk

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


def rec(kind, by=1, body=b"{}", **more):
    head = {"k": kind, "lot": "l", "run": "m", "by": by, **more}
    return Record(head, body)


LOT, END, NOTE = rec("L"), rec("E"), rec("O", lot="", iid="i", term=1, t=1.5)
RESULT = rec("R", pos=0, term=1, item="i", t=2.5)
SNAPSHOT, UPDATE = (rec(k, lot="window|p", part="p", term=1, se=1, n=n) for k, n in (("S", 0), ("U", 1)))
ALL = {"lot": LOT, "result": RESULT, "end": END, "order": NOTE, "snapshot": SNAPSHOT, "update": UPDATE}


def store(book, clock):
    made = RecordStore(book, clock, Counters())
    made.load(book.raws)
    return made


def told(shelf):
    """All that others may hear of, but for the times of orders."""
    return shelf.told("m"), dict(shelf.promised), shelf.id


async def settled(*tasks):
    for _ in range(20):
        await asyncio.sleep(0)
    return [t.done() for t in tasks]


@pytest.mark.parametrize("record", ALL.values(), ids=ALL)
def test_a_record_whose_write_failed_is_neither_told_nor_acknowledged(run, clock, record):
    async def go():
        book = Book()
        shelf = store(book, clock)
        before, book.failing = told(shelf), True
        for _ in range(2):
            with pytest.raises(LogError):
                await shelf.append([record])
            assert told(shelf) == before
        book.failing = False
        assert await shelf.append([record]) == [True]
        assert told(shelf) != before and told(store(book, clock)) == told(shelf)

    run(go())


@pytest.mark.parametrize("record", ALL.values(), ids=ALL)
def test_a_record_on_its_way_is_not_told_and_its_copies_share_its_fate(run, clock, record):
    async def go():
        for failing in (True, False):
            book = Book()
            shelf = store(book, clock)
            before, book.gate = told(shelf), asyncio.Event()
            tries = [asyncio.ensure_future(shelf.append([record])) for _ in range(3)]
            assert await settled(*tries) == [False] * 3 and told(shelf) == before
            tries[0].cancel()  # who waits may go; the write goes on
            book.failing = failing
            book.gate.set()
            out = await asyncio.gather(*tries[1:], return_exceptions=True)
            assert [type(x) for x in out] == [LogError if failing else list] * 2
            assert told(store(book, clock)) == told(shelf) and (told(shelf) == before) is failing
            written = 0 if failing else 2  # the promise and the record, once
            assert record.place() is None or len(book.raws) == written

    run(go())


def test_a_promise_counts_once_it_is_synced(run, clock):
    async def go():
        book = Book()
        shelf = store(book, clock)
        book.failing = True
        for _ in range(2):
            with pytest.raises(LogError):
                await shelf.prepare("m", 3)
        assert shelf.promised == {} and not book.raws
        book.failing, book.gate = False, asyncio.Event()
        tries = [asyncio.ensure_future(shelf.prepare("m", 3)) for _ in range(2)]
        assert await settled(*tries) == [False, False] and shelf.promised == {}
        book.gate.set()
        assert [out["ok"] for out in await asyncio.gather(*tries)] == [True, True] and len(book.raws) == 1
        assert store(book, clock).promised == {"m": 3}

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
        book, seen = Book(), []
        shelf = store(book, clock)
        book.gate = asyncio.Event()

        async def call(what, term):
            if what == "put":
                return await shelf.append([rec("L", by=term)])
            out = await shelf.prepare("m", term)
            if out["ok"]:
                seen.append("l" in out["lots"])
            return out["ok"]

        tasks = [asyncio.ensure_future(call(*c)) for c in calls]
        await settled()
        book.gate.set()
        out = await asyncio.gather(*tasks)
        assert out == answers and (heard is None or seen[-1] is heard)

    run(go())


@pytest.mark.parametrize("order", [[SNAPSHOT, UPDATE], [UPDATE, SNAPSHOT], [UPDATE]])
def test_a_delta_that_is_acknowledged_is_kept_also_ahead_of_its_snapshot(run, clock, order):
    async def go():
        book = Book()
        shelf = store(book, clock)
        for record in order:
            assert await shelf.append([record]) == [True]
        kinds = ["S", "U"][2 - len(order) :]
        for one in (shelf, store(book, clock)):
            assert [head["k"] for head, _ in one.told("m")["windows"]] == kinds
        book.raws = list(shelf.snapshot())
        assert told(store(book, clock))[0]["windows"] == shelf.told("m")["windows"]

    run(go())


def real(disk, clock, **more):
    log = WriteAheadLog("/data", "store", files=disk, worker=InlineWorker(), sleep=lambda s: asyncio.sleep(0), **more)
    shelf = RecordStore(log, clock, Counters())
    shelf.load(log.load())
    log.start()
    return shelf


@pytest.mark.parametrize("turns", range(12))
@pytest.mark.parametrize("broken", [False, True])
def test_a_rewrite_amid_writes_loses_nothing_acknowledged(run, clock, turns, broken):
    async def go():
        disk = SimDisk()
        shelf = real(disk, clock)
        await shelf.take_id("s")
        disk.fails = lambda kind, n: broken and kind == "datasync" and n == 3
        tasks = [asyncio.ensure_future(shelf.append([rec("R", by=n + 1, pos=n, term=1, item="i")])) for n in range(4)]
        for _ in range(turns):
            await asyncio.sleep(0)
        tasks += [asyncio.ensure_future(shelf.book.rewrite())]
        tasks += [asyncio.ensure_future(shelf.append([rec("R", by=9, pos=n, term=1, item="i")])) for n in range(4, 6)]
        await asyncio.gather(*tasks, return_exceptions=True)
        while shelf.book.broken:
            await asyncio.sleep(0)
        await shelf.append([END])
        await shelf.book.close()
        disk.power(0)
        again = real(disk, clock)
        assert told(again) == told(shelf) and again.id == "s"
        await again.book.close()

    run(go())


@pytest.mark.parametrize("nth", range(1, 8))
@pytest.mark.parametrize("kind", ["pwrite", "datasync", "sync", "sync_folder"])
def test_an_id_counts_once_the_disk_has_it(run, clock, kind, nth):
    async def go():
        disk = SimDisk()
        try:
            shelf = real(disk, clock)
            shelf.book.snapshot = None  # nothing mends the log by itself
            disk.fails = lambda k, n: k == kind and n >= nth
            for change in (shelf.take_id("one"), shelf.append([LOT]), shelf.start_over("two")):
                before = told(shelf)
                try:
                    await change
                except LogError:
                    assert told(shelf) == before
            told_last = told(shelf)
            await shelf.book.close()
        except LogError:
            return
        disk.power(0)
        again = real(disk, clock)
        assert told(again) == told_last
        await again.book.close()

    run(go())


@pytest.mark.parametrize("limit, size, taken", [(0, 90_000, True), (100_000, 500, True), (100_000, 60_000, None)])
def test_a_new_lot_leaves_the_reserve(run, clock, limit, size, taken):
    async def go():
        shelf = real(SimDisk(), clock, limit_bytes=limit)
        assert await shelf.append([rec("L", body=bytes(size)), RESULT, END]) == [taken, True, True]
        assert await shelf.append([rec("L", body=bytes(size))]) == [taken]
        assert shelf.admits("other", size) is (taken is True)
        assert (await shelf.prepare("m", 4))["ok"]
        await shelf.book.close()

    run(go())
