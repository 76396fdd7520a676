"""When a store's disk counts as taking records: failed and stalled writes, rests, probes."""

import asyncio

import pytest

from archhatch.runtime import Counters
from archhatch.store.disk import DiskState
from archhatch.wal import LogError

CONTACT_S = 3.0


async def fail():
    raise LogError("full")


async def fine():
    return 7


@pytest.mark.parametrize("write, takes, count", [(fine, True, 0), (fail, False, 1)])
def test_a_failed_write_tells(run, clock, write, takes, count):
    async def go():
        disk = DiskState(clock, CONTACT_S, Counters())
        if takes:
            assert await disk.watch(write()) == 7
        else:
            with pytest.raises(LogError):
                await disk.watch(write())
        assert disk.takes is takes and disk.counters.counts["disk.failed"] == count and disk.oldest_write_s() == 0.0

    run(go())


@pytest.mark.parametrize(
    "age, neighbours, takes",
    [
        (0.4, [], True),
        (0.6, [], False),
        (0.6, [0.0, 0.0], False),
        (0.6, [0.5, 0.5], True),  # all are slow: none is worse than its neighbours
        (0.6, [0.0, 0.0, 9.0], False),
    ],
)
def test_a_stall_is_judged_by_the_oldest_write_against_the_neighbours(run, clock, age, neighbours, takes):
    async def go():
        disk, gate = DiskState(clock, CONTACT_S, Counters()), asyncio.Event()
        write = asyncio.ensure_future(disk.watch(gate.wait()))
        await asyncio.sleep(0)
        clock.at += age
        assert disk.oldest_write_s() == pytest.approx(age)
        assert disk.check_for_stall(neighbours) is takes and not disk.should_probe()  # it still waits for that write
        gate.set()
        await write
        clock.at += CONTACT_S
        assert disk.should_probe() is not takes

    run(go())


def test_rests_grow_while_failures_follow_each_other(run, clock):
    async def go():
        disk, rests = DiskState(clock, CONTACT_S, Counters()), []
        for _ in range(6):
            with pytest.raises(LogError):
                await disk.watch(fail())
            at = clock.at
            while not disk.should_probe():
                clock.at += 0.125
            rests.append(clock.at - at)
            disk.note_recovery()
        assert rests == sorted(rests) and rests[0] == 0.5 and rests[-1] == 4.0
        clock.at += 60
        with pytest.raises(LogError):
            await disk.watch(fail())
        clock.at += 0.5
        assert disk.should_probe()  # after a long good time it rests shortly again

    run(go())
