"""The share partition's window, its queue and its state on disk: case tables, no clock but the one that is given."""

import random

import pytest

from archhatch.share_group import InvalidTransitionError, JobQueue, EntryState, SharePartition, WindowJournal
from archhatch.share_group.window_journal import UPDATES_PER_SNAPSHOT, state_batches
from archhatch.share_group.window import TRANSITIONS
from archhatch.runtime import Counters
from archhatch.jobs import Record, RecordStore


def window(n=5, locks=200):
    w = SharePartition("m", 3, lock_s=30.0, max_locks=locks)
    return w, [w.append(None, None, 0) for _ in range(n)]


MOVES = [  # state, trigger, what it becomes (None: refused)
    ("AVAILABLE", "acquire", "ACQUIRED"),
    ("AVAILABLE", "release", None),
    ("AVAILABLE", "accept", None),
    ("AVAILABLE", "reject", None),
    ("AVAILABLE", "archive", "ARCHIVED"),
    ("AVAILABLE", "found", "ACKNOWLEDGED"),
    ("ACQUIRED", "acquire", None),
    ("ACQUIRED", "release", "AVAILABLE"),
    ("ACQUIRED", "accept", "ACKNOWLEDGED"),
    ("ACQUIRED", "reject", "ARCHIVED"),
    ("ACQUIRED", "archive", "ARCHIVED"),
    ("ACQUIRED", "found", "ACKNOWLEDGED"),
    *[
        (s, t, None)
        for s in ("ACKNOWLEDGED", "ARCHIVED")
        for t in ("acquire", "release", "accept", "reject", "archive", "found")
    ],
]


@pytest.mark.parametrize("state, trigger, after", MOVES)
def test_moves(state, trigger, after):
    assert TRANSITIONS.get((EntryState[state], trigger)) == (EntryState[after] if after else None)


SETTLEMENTS = [  # who settles, with which delivery, at which offset, whether it counts
    ("w1", 1, 0, True),
    ("w2", 1, 0, False),
    ("w1", 2, 0, False),
    ("w1", 0, 0, False),
    ("w1", 1, 1, False),
    ("w1", 1, 99, False),
    ("w1", 1, -1, False),
]


@pytest.mark.parametrize("kind", ["accept", "release", "reject"])
@pytest.mark.parametrize("worker, delivery, offset, counts", SETTLEMENTS)
def test_only_the_holder_of_an_acquisition_settles_it(kind, worker, delivery, offset, counts):
    w, es = window()
    w.acquire(es[0], "w1", 0.0)
    if counts:
        assert w.acknowledge(offset, worker, delivery, kind) is es[0]
    else:
        with pytest.raises(InvalidTransitionError):
            w.acknowledge(offset, worker, delivery, kind)
        assert es[0].state is EntryState.ACQUIRED and w.free_locks() == 199


@pytest.mark.parametrize(
    "final, start", [((0,), 1), ((1,), 0), ((0, 1), 2), ((1, 0), 2), ((0, 2), 1), ((0, 2, 1), 3), ((4, 3, 2, 1, 0), 5)]
)
def test_start_moves_over_final_entries_only(final, start):
    w, es = window()
    for n in final:
        w.acquire(es[n], "w", 0.0)
        w.acknowledge(n, "w", 1, "accept" if n % 2 else "reject")
    assert w.start_offset == start and w.end_offset >= max(final) + 1


@pytest.mark.parametrize("now, out", [(0.0, []), (29.9, []), (30.0, [0]), (34.9, [0]), (35.0, [0, 1])])
def test_locks_run_out_on_the_steady_clock(now, out):
    w, es = window()
    w.acquire(es[0], "w", 0.0)
    w.acquire(es[1], "w", 5.0)
    w.acquire(es[2], "w", 5.0)
    es[2].is_acknowledging = True  # a settlement on its way to the disks keeps its lock
    assert [e.offset for e in w.expired(now)] == out


def test_a_lock_that_ran_out_is_presented_again_and_the_late_settlement_refused():
    w, es = window()
    w.acquire(es[0], "w1", 0.0)
    w.release_lock(es[0])
    with pytest.raises(InvalidTransitionError):
        w.acknowledge(0, "w1", 1, "accept")
    w.acquire(es[0], "w1", 40.0)  # even by the same worker: another acquisition
    with pytest.raises(InvalidTransitionError):
        w.acknowledge(0, "w1", 1, "accept")
    assert es[0].delivery_count == 2 and w.acknowledge(0, "w1", 2, "accept").state is EntryState.ACKNOWLEDGED


def test_locks_are_capped():
    w, es = window(4, locks=2)
    w.acquire(es[0], "w", 0.0)
    w.acquire(es[1], "w", 0.0)
    with pytest.raises(InvalidTransitionError):
        w.acquire(es[2], "w", 0.0)
    assert es[2].state is EntryState.AVAILABLE and es[2].delivery_count == 0
    w.acknowledge(0, "w", 1, "release")
    w.acquire(es[2], "w", 0.0)
    assert w.free_locks() == 0


def test_no_number_of_deliveries_ends_an_entry():
    w, es = window(1)
    for n in range(1, 200):
        w.acquire(es[0], "w", float(n))
        w.acknowledge(0, "w", n, "release")
    assert es[0].state is EntryState.AVAILABLE and es[0].delivery_count == 199


# -- state on disk


@pytest.mark.parametrize(
    "marks, want",
    [
        ({}, []),
        ({5: (0, 1)}, [[5, 5, 0, 1]]),
        ({1: (2, 1), 0: (2, 1)}, [[0, 1, 2, 1]]),
        ({0: (2, 1), 1: (4, 1)}, [[0, 0, 2, 1], [1, 1, 4, 1]]),
        ({0: (0, 1), 2: (0, 1)}, [[0, 0, 0, 1], [2, 2, 0, 1]]),
    ],
)
def test_batches(marks, want):
    assert state_batches(marks) == want


def history(n=40):
    """A window's records as its leader writes them, and the window itself."""
    w, es = window(n)
    j, records = WindowJournal("run", "m"), []
    for e in es:
        w.acquire(e, "w", 0.0)
        w.acknowledge(e.offset, "w", 1, "release" if e.offset % 3 else "accept")
        record = j.next_record(w)
        if record is not None:
            records.append(record)
    return w, records


def restored(records, counters=None):
    w = SharePartition("m", 4, 30.0, 200)
    j = WindowJournal("run", "m")
    j.restore(w, [(r.head, r.body) for r in records], counters or Counters())
    return w, j


def test_snapshot_and_deltas_give_the_window_back():
    old, records = history()
    assert [r.head["k"] for r in records[:2]] == ["S", "U"] and sum(r.head["k"] == "S" for r in records) == 2
    for order in (records, records[::-1], records + records):  # doubles and any order, as stores tell them
        w, j = restored(order)
        assert (w.start_offset, w.next_offset, j.snapshot_epoch) == (old.start_offset, old.next_offset, 2)
        assert {o: c for o, c in w.restored_counts.items() if o in old.entries} == {o: 1 for o in old.entries}


DAMAGE = [  # which records are spoilt or missing, how many deltas are still applied, what is counted
    (lambda rs: rs, 6, None),
    (lambda rs: rs[:-1], 5, None),
    (lambda rs: [r for r in rs if r.head["n"] != 3], 2, "share.update_missing"),
    (lambda rs: [spoil(r) if r.head["n"] == 4 else r for r in rs], 3, "share.update_damaged"),
    (lambda rs: [spoil(r) if r.head["k"] == "S" else r for r in rs], 0, "share.snapshot_damaged"),
    (lambda rs: [r for r in rs if r.head["k"] != "S"], 0, None),
]


def spoil(record):
    return Record(record.head, record.body[:-3])


@pytest.mark.parametrize("harm, deltas, counted", DAMAGE)
def test_damaged_or_missing_deltas_end_the_reading_there(harm, deltas, counted):
    _, records = history(7)
    counters = Counters()
    w, _ = restored(harm(records), counters)
    assert len([k for k in w.restored_counts]) <= 7 and (counted is None or counters.counts[counted] == 1)
    assert sum(1 for c in counters.counts.values()) == (1 if counted else 0)
    base = 1 if any(r.head["k"] == "S" for r in records) and counted != "share.snapshot_damaged" else 0
    known = {o for o in range(7)} if deltas == 6 else {o for o in range(deltas + base)}
    if deltas:
        assert set(w.restored_counts) <= known and max(w.restored_counts) == max(
            o for o in known if o % 3 or o == max(known)
        )


class MemBook:
    async def append(self, *raws):
        pass


WRITES = [  # (kind, leader epoch, snapshot epoch, number) in order, what is kept
    ([("S", 1, 1, 0), ("U", 1, 1, 1)], [("S", 1, 1, 0), ("U", 1, 1, 1)]),
    ([("S", 1, 1, 0), ("U", 1, 1, 1), ("S", 1, 2, 0)], [("S", 1, 2, 0)]),  # older ones are deleted
    ([("S", 2, 1, 0), ("U", 1, 1, 1)], [("S", 2, 1, 0)]),  # a zombie's delta
    ([("S", 2, 1, 0), ("S", 1, 9, 0)], [("S", 2, 1, 0)]),  # a zombie's snapshot
    ([("S", 1, 1, 0), ("U", 1, 1, 1), ("U", 1, 1, 1)], [("S", 1, 1, 0), ("U", 1, 1, 1)]),
    ([("U", 1, 1, 1)], []),  # a delta behind nothing
    ([("S", 1, 1, 0), ("S", 2, 1, 0), ("U", 2, 1, 1)], [("S", 2, 1, 0), ("U", 2, 1, 1)]),
]


@pytest.mark.parametrize("writes, kept", WRITES)
def test_a_store_keeps_the_newest_snapshot_and_its_deltas(run, clock, writes, kept):
    async def go():
        record_store = RecordStore(MemBook(), clock, Counters())
        for k, term, se, n in writes:
            await record_store.append(
                [
                    Record(
                        {"k": k, "lot": "window|m", "run": "r", "part": "m", "term": term, "se": se, "n": n, "by": 2},
                        b"{}",
                    )
                ]
            )
        have = [
            (r.head["k"], r.head["term"], r.head["se"], r.head["n"]) for r in record_store.windows.get(("r", "m"), [])
        ]
        assert have == kept
        again = RecordStore(MemBook(), clock, Counters())
        again.load(record_store.snapshot())
        assert [(r.head["k"], r.head["se"], r.head["n"]) for r in again.windows.get(("r", "m"), [])] == [
            (k, se, n) for k, _, se, n in kept
        ]

    run(go())


def test_a_leader_of_an_older_epoch_writes_nothing(run, clock):
    async def go():
        counters = Counters()
        record_store = RecordStore(MemBook(), clock, counters)
        await record_store.prepare("r", 5)
        record = Record(
            {"k": "S", "lot": "window|m", "run": "r", "part": "m", "term": 4, "se": 1, "n": 0, "by": 4}, b"{}"
        )
        assert (
            await record_store.append([record]) == [False]
            and not record_store.windows
            and counters.counts["record_store.stale_term"] == 1
        )

    run(go())


def test_every_so_many_deltas_a_snapshot():
    w, es = window(3 * UPDATES_PER_SNAPSHOT)
    j, kinds = WindowJournal("run", "m"), []
    for e in es:
        w.acquire(e, "w", 0.0)
        w.acknowledge(e.offset, "w", 1, "release")
        kinds.append(j.next_record(w).head["k"])
    assert kinds[0] == "S" and kinds[1 : UPDATES_PER_SNAPSHOT + 2] == ["U"] * UPDATES_PER_SNAPSHOT + ["S"]


# -- the queue of a lot


class Item:
    def __init__(self, group):
        self.group = group


def queue(groups, want):
    w, q = SharePartition("m", 1, 30.0, 200), JobQueue(want)
    for rank, size in enumerate(groups):
        for _ in range(size):
            q.put(w.append(None, Item(f"g{rank}"), rank))
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
    """Random acquisitions, settlements, expiries, and a new leader that reads the state back in between."""
    rng = random.Random(seed)
    w, es = window(30)
    q, j, records, done, held = JobQueue(4), WindowJournal("run", "m"), [], set(), []
    for n, e in enumerate(es):
        e.item, e.rank = Item(f"g{n // 4}"), n // 4
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
