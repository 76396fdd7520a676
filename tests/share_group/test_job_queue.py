"""The queue of a batch job: which entry an engine gets next, alone and together with a window and its records."""

import random

import pytest
from tests.share_group.windows import Item, append, restored, window

from archhatch.share_group import EntryState, InvalidTransitionError, JobQueue, SharePartition, WindowJournal


def queue(groups, want):
    w, q = SharePartition("m", 1, 30.0, 200), JobQueue(want)
    for rank, size in enumerate(groups):
        for _ in range(size):
            q.put(append(w, len(w.entries), rank, f"g{rank}"))
    return q


TAKES = [  # groups, wanted, engines that take in turn, offsets that they get
    ([2, 2], 2, "aaaa", [0, 1, 2, 3]),  # one engine: group after group
    ([2, 2], 2, "abab", [0, 2, 1, 3]),  # two: each keeps its group
    ([3, 1], 2, "abb", [0, 3, 1]),  # a second engine helps once nothing else is there
    ([2, 2], 1, "ab", [0, 1]),  # what the trainer doesn't wait for comes last
    ([1], 1, "aa", [0, None]),
]


@pytest.mark.parametrize("groups, want, engines, offsets", TAKES)
def test_a_group_stays_at_its_engine(groups, want, engines, offsets):
    q = queue(groups, want)
    got = [q.take(x, False, 0.0) for x in engines]
    assert [e.offset if e else None for e in got] == offsets


def test_surplus_groups_come_on_their_own_call():
    q = queue([1, 2], 1)
    assert [q.take("a", True, 0.0).offset for _ in range(2)] == [1, 2] and q.take("a", True, 0.0) is None
    assert q.take("a", False, 0.0).offset == 0


def test_a_pause_is_kept_and_a_home_forgotten():
    q = queue([2], 1)
    e = q.take("a", False, 0.0)
    e.not_before = 5.0
    q.put(e, front=True)
    q.forget_home("g0")
    assert q.take("b", False, 1.0).offset == 1 and q.take("b", False, 4.9) is None
    assert q.take("b", False, 5.0) is e and q.homes["g0"] == "b"
    q.promote_delayed(9.0)
    assert q.wanted_count == 0


@pytest.mark.parametrize("seed", range(20))
def test_any_order_of_calls_loses_and_doubles_nothing(seed):
    """Random acquisitions, acknowledgements, expiries, and a new leader that reads the state back in between."""
    rng = random.Random(seed)
    w, es = window(30)
    q, j, records, done, held = JobQueue(4), WindowJournal("run", "m"), [], set(), []
    for n, e in enumerate(es):
        e.item, e.rank = Item(f"g{n // 4}", n), n // 4
        q.put(e)
    now = 0.0
    for _ in range(600):
        now += rng.random()
        what = rng.choice(["take", "take", "accept", "release", "expire", "late", "write"])
        if what == "take":
            e = q.take(rng.choice("abc"), rng.random() < 0.5, now)
            if e is not None:
                w.acquire(e, rng.choice("xyz"), now)
                held.append((e, e.worker, e.delivery_count))
        elif what in ("accept", "release") and held:
            e, worker, delivery = held.pop(rng.randrange(len(held)))
            fresh = e.state is EntryState.ACQUIRED and (e.worker, e.delivery_count) == (worker, delivery)
            try:
                w.acknowledge(e.offset, worker, delivery, what)
                assert fresh
                if what == "accept":
                    assert e.offset not in done
                    done.add(e.offset)
                else:
                    e.not_before = now + rng.choice([0, 0.5]) if rng.random() < 0.5 else 0.0
                    q.put(e, front=True)
            except InvalidTransitionError:
                assert not fresh
        elif what == "expire":
            for e in w.expired(now):
                w.release_lock(e)
                q.put(e, front=True)
        elif what == "write" and (record := j.next_record(w)) is not None:
            records.append(record)
        waiting = sum(len(r) for r in q.groups.values()) + len(q.delayed)
        assert waiting + len(w.locked) + len(done) == 30 and q.wanted_count + q.surplus_count == waiting - len(
            q.delayed
        )
        assert all(o in done for o in range(w.start_offset)) and w.start_offset not in done
    last = j.next_record(w)
    back, _ = restored(records + ([last] if last else []))
    assert back.start_offset == w.start_offset and back.next_offset == 30
