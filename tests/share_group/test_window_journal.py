"""A window's state on disk: its records, what is read back from them, and which of them a store keeps."""

import pytest
from tests.share_group.windows import append, restored, window

from archhatch.jobs import Record, RecordStore
from archhatch.runtime import Counters
from archhatch.share_group import WindowJournal
from archhatch.share_group.window_journal import MAX_PROGRESS_BYTES, UPDATES_PER_SNAPSHOT, state_batches


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


def test_snapshot_and_updates_give_the_window_back():
    old, records = history()
    assert [r.head["k"] for r in records[:2]] == ["S", "U"] and sum(r.head["k"] == "S" for r in records) == 2
    for order in (records, records[::-1], records + records):  # doubles and any order, as stores tell them
        w, j = restored(order)
        assert (w.start_offset, w.next_offset, j.snapshot_epoch) == (old.start_offset, old.next_offset, 2)
        assert {o: c for o, c in w.restored_counts.items() if o in old.entries} == {o: 1 for o in old.entries}


def test_a_handover_keeps_the_texts_of_entries_that_nobody_runs():
    w, es = window(4)
    j = WindowJournal("run", "m")
    assert j.handover_record(w) is None
    for e in es[:3]:
        e.texts, e.last_event_id, e.versions, e.failures = ["a", "b"], "2", {3}, 1
    w.acquire(es[1], "w", 0.0)  # its worker has the text
    es[2].texts = ["x" * MAX_PROGRESS_BYTES]
    record = j.handover_record(w)
    es[0].drop_text()
    again, _ = restored([record])
    entries = [append(again, offset, offset=offset) for offset in range(4)]
    assert [entry.texts for entry in entries] == [["a", "b"], [], [], []]
    assert (entries[0].last_event_id, entries[0].versions, entries[0].failures) == ("2", {3}, 1)
    assert not again.restored_progress


DAMAGE = [  # which records are spoilt or missing, how many updates are still applied, what is counted
    (lambda rs: rs, 6, None),
    (lambda rs: rs[:-1], 5, None),
    (lambda rs: [r for r in rs if r.head["n"] != 3], 2, "share.update_missing"),
    (lambda rs: [spoil(r) if r.head["n"] == 4 else r for r in rs], 3, "share.update_damaged"),
    (lambda rs: [spoil(r) if r.head["k"] == "S" else r for r in rs], 0, "share.snapshot_damaged"),
    (lambda rs: [r for r in rs if r.head["k"] != "S"], 0, None),
]


def spoil(record):
    return Record(record.head, record.body[:-3])


@pytest.mark.parametrize("harm, updates, counted", DAMAGE)
def test_damaged_or_missing_updates_end_the_reading_there(harm, updates, counted):
    _, records = history(7)
    counters = Counters()
    w, _ = restored(harm(records), counters)
    assert len([k for k in w.restored_counts]) <= 7 and (counted is None or counters.counts[counted] == 1)
    assert sum(1 for c in counters.counts.values()) == (1 if counted else 0)
    base = 1 if any(r.head["k"] == "S" for r in records) and counted != "share.snapshot_damaged" else 0
    known = {o for o in range(7)} if updates == 6 else {o for o in range(updates + base)}
    if updates:
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
def test_a_store_keeps_the_newest_snapshot_and_its_updates(run, clock, writes, kept):
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
        again.load(map(b"".join, record_store.snapshot()))
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


def test_every_so_many_updates_a_snapshot():
    w, es = window(3 * UPDATES_PER_SNAPSHOT)
    j, kinds = WindowJournal("run", "m"), []
    for e in es:
        w.acquire(e, "w", 0.0)
        w.acknowledge(e.offset, "w", 1, "release")
        kinds.append(j.next_record(w).head["k"])
    assert kinds[0] == "S" and kinds[1 : UPDATES_PER_SNAPSHOT + 2] == ["U"] * UPDATES_PER_SNAPSHOT + ["S"]
