"""Bodies of jobs in memory and on disk."""

import pytest

from archhatch.jobs import BodyCache, Record, pack, unpack
from archhatch.jobs.body_cache import MIN_HELD_BYTES
from archhatch.runtime import Counters

SIZE = 2 * MIN_HELD_BYTES


def test_bodies_beyond_the_bound_are_read_from_disk_and_leave_no_file(tmp_path):
    cache = BodyCache(str(tmp_path), 3 * SIZE, Counters())
    bodies = [bytes([n]) * SIZE for n in range(8)]
    held = [cache.hold(str(n), body) for n, body in enumerate(bodies)]
    assert [body.is_in_memory for body in held] == [False] * 5 + [True] * 3
    assert [bytes(body) for body in held] == bodies and [len(body) for body in held] == [SIZE] * 8
    assert cache.bytes_on_disk() == 5 * SIZE and not list(tmp_path.iterdir())
    assert unpack(pack(Record({"k": "L"}, held[0]))).body == bodies[0]
    del held[0]
    assert cache.bytes_on_disk() == 4 * SIZE


def test_records_of_one_job_share_its_body_and_another_body_is_another(tmp_path):
    cache = BodyCache(str(tmp_path), 0, Counters())
    held = cache.hold("a", b"x" * SIZE)
    assert not held.is_in_memory
    assert cache.hold("a", b"x" * SIZE) is held and cache.hold("a", held) is held
    assert bytes(cache.hold("a", b"y" * SIZE)) == b"y" * SIZE and bytes(held) == b"x" * SIZE
    assert cache.hold("b", b"short") == b"short"


def test_a_disk_that_takes_nothing_leaves_bodies_in_memory():
    cache = BodyCache("/nowhere", 0, counters := Counters())
    held = cache.hold("a", b"x" * SIZE)
    assert held.is_in_memory and bytes(held) == b"x" * SIZE and counters.counts["body_cache.move_failed"] == 1


@pytest.mark.parametrize("memory_mb, open_bytes, admitted", [(100, 0, True), (100, 5e6, False), (0, 1e12, True)])
def test_jobs_are_admitted_while_they_fit_in_memory(memory_mb, open_bytes, admitted):
    from archhatch.memory import StoreShares

    assert StoreShares(memory_mb).admits(open_bytes, 10_000_000) is admitted
