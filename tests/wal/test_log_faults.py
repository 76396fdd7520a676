"""The write-ahead log on disks that fail: what was acknowledged is there at the next start."""

import asyncio

import pytest
from tests.support.simulated_disk import InlineWorker, InMemoryDisk

from archhatch.runtime import Counters
from archhatch.wal import LogError, LogTruncateError, LogSyncError, LogWriteError, WriteAheadLog, generations
from archhatch.wal.records import RecordDigest, pack_record
from archhatch.wal.scan import BytesSource, scan

ENDS = ["kill", 0, 1, "names", "bytes", 2, 3]  # how a process ends: killed, or power lost with this seed
ENDS_AND_SEEDS = [(end_by, seed) for end_by in ENDS for seed in ((0, "names") if end_by == "kill" else (0,))]


class Owner:
    """Applies a record when its append has returned, and rewrites from that."""

    def __init__(self, disk, **more):
        self.acknowledged, self.refused, self.counters, self.worker = [], [], Counters(), InlineWorker()
        self.log = WriteAheadLog(
            "/data",
            "core",
            files=disk,
            counters=self.counters,
            worker=self.worker,
            sleep=lambda timeout_s: asyncio.sleep(0),
            **more,
        )
        self.log.snapshot = lambda: list(self.acknowledged)

    async def put(self, *raws):
        try:
            await self.log.append(*raws)
        except LogError:
            self.refused += raws
        else:
            self.acknowledged += raws

    async def rewrite(self):
        try:
            await self.log.rewrite()
        except LogError:
            pass

    async def run_workload(self):
        """Appends alone and at once, rewrites alone and amid appends."""
        self.acknowledged = list(self.log.load())
        self.log.start()
        base = len(self.acknowledged)
        names = iter([b"%d-%d" % (base, n) * (1 + n * 7) for n in range(14)])
        await self.put(next(names), next(names))
        await asyncio.gather(self.put(next(names)), self.rewrite(), self.put(next(names)), self.put(next(names)))
        for turns in range(4):  # a rewrite is asked for at each moment of an append
            puts = [asyncio.ensure_future(self.put(next(names)))]
            for _ in range(turns):
                await asyncio.sleep(0)
            await asyncio.gather(self.rewrite(), self.put(next(names)), *puts)
        for _ in range(20):  # the log may be at work on itself
            await asyncio.sleep(0)
        await self.put(next(names))


def end(disk, end_by):
    disk.kill() if end_by == "kill" else disk.lose_power(end_by)


def check(disk, acknowledged):
    """All that was acknowledged is read, in order, from a generation that is whole; nothing is left lying about."""
    whole = [
        path for path, node in disk.names.items() if scan(BytesSource(bytes(node.data))).closing_offset is not None
    ]
    assert whole or "/data/core" in disk.names or not disk.names
    log = WriteAheadLog("/data", "core", files=disk, worker=InlineWorker())
    found = list(log.load())
    assert [raw for raw in found if raw in set(acknowledged)] == acknowledged
    assert len(disk.handles) == 1 and set(disk.names) <= {log.path, "/data/core.damaged"}
    return found


async def run_process(disk, end_by):
    owner = Owner(disk)
    try:
        await owner.run_workload()
    except LogError:
        pass  # a start that fails ends the process
    await owner.log.close()
    assert not disk.handles, "a handle leaked"
    unsafe = disk.counts["truncate"] and disk.fails("truncate", disk.counts["truncate"]) or disk.is_dead
    end(disk, end_by)
    if end_by == "kill" and not unsafe:  # no trace of what was refused
        log = WriteAheadLog("/data", "core", files=disk, worker=InlineWorker())
        assert not set(log.load()) & set(owner.refused)
        disk.kill()
    return owner.acknowledged


async def run_three_processes(fails, dies, end_by, seed):
    """One process meets a fault, one only reads and ends by a loss of power, one meets none: what is read at a start
    counts as acknowledged."""
    disk = InMemoryDisk()
    disk.fails, disk.dies_at_call = lambda kind, n: fails(disk, kind, n), dies
    before = await run_process(disk, end_by)
    seen = disk.counts.copy()
    loaded = check(disk, before)
    disk.lose_power(seed)
    check(disk, loaded)
    disk.kill()
    again = await run_process(disk, end_by)
    assert again[: len(loaded)] == loaded
    check(disk, again)
    return seen


KINDS = ["pwrite", "datasync", "sync", "sync_folder", "truncate", "remove", "open", "close"]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("lasting, too", [(0, ""), (3, "truncate"), (3, "remove"), (40, "")])
def test_each_call_fails_in_turn(run, kind, lasting, too):
    async def go():
        for end_by, seed in ENDS_AND_SEEDS:
            for nth in range(1, 60):

                def fails(disk, k, n, nth=nth):
                    return (k == kind and nth <= n <= nth + lasting) or (k == too and disk.counts[kind] >= nth)

                seen = await run_three_processes(fails, None, end_by, seed)
                if nth > seen[kind]:
                    break

    run(go(), 200)


@pytest.mark.parametrize(
    "kind, renewed", [("", None), ("datasync", None), ("sync", None), ("sync", 0), ("sync_folder", None)]
)
@pytest.mark.parametrize("end_by, seed", ENDS_AND_SEEDS)
def test_the_process_dies_at_each_call(run, monkeypatch, kind, renewed, end_by, seed):
    if renewed is not None:  # a rewrite must not hang on the end of the file being written again
        monkeypatch.setattr(generations, "REWRITTEN_TAIL_BYTES", renewed)

    async def go():
        for dies in range(1, 200):

            def fails(disk, k, n, dies=dies):  # all that is synced shortly before fails, too
                return k == kind and disk.counts.total() >= dies - 2

            seen = await run_three_processes(fails, dies, end_by, seed)
            if dies > seen.total():
                break

    run(go(), 200)


@pytest.mark.parametrize("end_by", ENDS)
def test_a_rewrite_cut_off_at_any_byte_loses_nothing(run, end_by):
    async def go():
        for cut in range(0, 160):
            disk = InMemoryDisk()
            owner = Owner(disk)
            list(owner.log.load())
            owner.log.start()
            await owner.put(b"first", b"second" * 9)
            disk.capacity_bytes = sum(len(n.data) for n in disk.names.values()) + cut
            disk.fails = lambda k, n, cut=cut: cut % 2 and k in ("remove", "truncate")
            await owner.rewrite()
            await owner.put(b"after")
            await owner.log.close()
            end(disk, end_by)
            assert check(disk, owner.acknowledged)[:2] == [b"first", b"second" * 9]

    run(go())


@pytest.mark.parametrize("most", [1, 3, 1000])
def test_short_writes_are_gone_on_with(run, most):
    async def go():
        disk = InMemoryDisk()
        disk.max_write_bytes = most
        acknowledged = await run_process(disk, 0)
        assert len(acknowledged) == 14 and check(disk, acknowledged) == acknowledged

    run(go())


def test_a_full_disk_refuses_and_takes_again_by_itself(run):
    async def go():
        disk, owner = InMemoryDisk(), None
        owner = Owner(disk)
        list(owner.log.load())
        owner.log.start()
        await owner.put(b"a" * 20)
        disk.capacity_bytes = 40
        with pytest.raises(LogWriteError):
            await owner.log.append(b"b" * 20)
        assert not owner.log.is_healthy and not owner.log.is_broken and owner.log.size == 32
        disk.capacity_bytes = None
        while not owner.log.is_healthy:
            await asyncio.sleep(0)
        await owner.put(b"b" * 20)
        await owner.log.close()
        assert check(disk, owner.acknowledged) == [b"a" * 20, b"b" * 20]
        assert owner.counters.counts["wal.write_failed"] and owner.counters.counts["wal.recovered"] == 1

    run(go())


@pytest.mark.parametrize(
    "failing, fault", [({"datasync", "sync"}, LogSyncError), ({"pwrite", "truncate"}, LogTruncateError)]
)
def test_a_generation_that_was_given_up_takes_nothing_until_a_new_one_stands(run, failing, fault):
    async def go():
        disk, owner = InMemoryDisk(), None
        owner = Owner(disk)
        list(owner.log.load())
        owner.log.start()
        await owner.put(b"a")
        disk.fails = lambda kind, n: kind in failing
        with pytest.raises(fault):
            await owner.log.append(b"b")
        await asyncio.gather(owner.put(b"c"), owner.put(b"d"))
        assert owner.log.is_broken and owner.refused == [b"c", b"d"] and owner.counters.counts["wal.refused"] == 2
        disk.fails = lambda kind, n: False
        while owner.log.is_broken:
            await asyncio.sleep(0)
        await owner.put(b"e")
        await owner.log.close()
        disk.lose_power(0)
        assert check(disk, owner.acknowledged) == [b"a", b"e"]

    run(go())


def test_a_stall_shows_and_ends(run, clock):
    async def go():
        disk = InMemoryDisk()
        owner = Owner(disk, clock=clock)
        list(owner.log.load())
        owner.log.start()
        await owner.put(b"a")
        owner.worker.gate = asyncio.Event()
        waiting = asyncio.ensure_future(owner.put(b"b"))
        await asyncio.sleep(0)
        clock.at += 3.0
        assert owner.log.oldest_write_age_s(clock.now()) == owner.log.last_sync_age_s(clock.now()) == 3.0
        owner.worker.gate.set()
        await waiting
        assert owner.log.oldest_write_age_s(clock.now()) == owner.log.last_sync_age_s(clock.now()) == 0.0
        await owner.log.close()

    run(go())


DIGEST = RecordDigest()
DIGEST.add(pack_record(b"new")[:12])
COMPLETE_REWRITE = pack_record(b"new") + DIGEST.closing_frame()


@pytest.mark.parametrize(
    "files, found, damaged",
    [
        ({"core": pack_record(b"old"), "core.1": COMPLETE_REWRITE}, [b"new"], False),  # the newest complete one
        ({"core": pack_record(b"old"), "core.1": COMPLETE_REWRITE[:-1]}, [b"old"], False),  # cut in its closing frame
        ({"core": pack_record(b"old"), "core.1": pack_record(b"new")}, [b"old"], False),  # no closing frame
        (
            {"core": pack_record(b"old"), "core.2": COMPLETE_REWRITE + pack_record(b"x"), "core.9": b""},
            [b"new", b"x"],
            False,
        ),
        (
            {"core.2": COMPLETE_REWRITE, "core.1": COMPLETE_REWRITE + pack_record(b"older")},
            [b"new"],
            False,
        ),  # the older one came back
        ({"core.2": COMPLETE_REWRITE + pack_record(b"x")[:-1]}, [b"new"], False),  # a torn append
        ({"core": pack_record(b"old"), "core.1": pack_record(b"other") + DIGEST.closing_frame()}, [b"old"], False),
        ({"core.2": pack_record(b"new") + b"rot" + pack_record(b"x")}, [b"new"], True),
    ],
)  # nothing complete: salvaged
def test_the_generation_that_counts(files, found, damaged, tmp_path):
    for name, data in files.items():
        (tmp_path / name).write_bytes(data)
    log = WriteAheadLog(str(tmp_path), "core")
    assert list(log.load()) == found and log.is_damaged is damaged
    left = {log.path.rsplit("/", 1)[1]} | ({"core.damaged"} if damaged else set())
    assert {p.name for p in tmp_path.iterdir()} == left
    assert list(WriteAheadLog(str(tmp_path), "core").load()) == found
