"""Share-group state on disk (KIP-932's ShareSnapshot and ShareUpdate): full snapshots plus deltas, fenced by epochs."""

from __future__ import annotations

import orjson

from ..jobs import Record
from ..runtime import encode_kept
from .window import EntryState, SharePartition

UPDATES_PER_SNAPSHOT = 32  # deltas after which a new snapshot is written


def state_batches(marks: dict) -> list:
    """Runs of offsets with the same state and count: [[first, last, state, delivery_count], ...].

    >>> state_batches({0: (2, 1), 1: (2, 1), 3: (0, 2)})
    [[0, 1, 2, 1], [3, 3, 0, 2]]
    """
    out: list = []
    for off in sorted(marks):
        state, count = marks[off]
        if out and out[-1][1] == off - 1 and out[-1][2:] == [state, count]:
            out[-1][1] = off
        else:
            out.append([off, off, state, count])
    return out


class WindowJournal:
    """Makes the records of one window and reads them back.

    >>> # record = journal.next_record(window); await replicator.replicate(run, epoch, [record])
    """

    def __init__(self, run: str, partition: str):
        self.run, self.partition = run, partition
        self.snapshot_epoch = 0
        self.number = 0  # of the last delta behind the snapshot

    def _rec(self, kind: str, epoch: int, doc: dict) -> Record:
        head = {
            "k": kind,
            "lot": f"window|{self.partition}",
            "run": self.run,
            "part": self.partition,
            "term": epoch,
            "se": self.snapshot_epoch,
            "n": self.number,
        }
        return Record(head, encode_kept(doc))

    def next_record(self, win: SharePartition) -> Record | None:
        """A snapshot when one is due, else a delta of what changed; None if nothing did."""
        if not win.unsaved and self.snapshot_epoch:
            return None
        if not self.snapshot_epoch or self.number >= UPDATES_PER_SNAPSHOT:
            self.snapshot_epoch += 1
            self.number = 0
            marks = {
                o: (int(EntryState.AVAILABLE), e.delivery_count) for o, e in win.entries.items() if e.delivery_count
            }
            win.unsaved = {}
            return self._rec(
                "S", win.epoch, {"start": win.start_offset, "next": win.next_offset, "batches": state_batches(marks)}
            )
        self.number += 1
        marks, win.unsaved = win.unsaved, {}
        return self._rec(
            "U", win.epoch, {"start": win.start_offset, "next": win.next_offset, "batches": state_batches(marks)}
        )

    def restore(self, win: SharePartition, found: list, counters) -> None:
        """Load the newest snapshot among the records that stores told, then its deltas in order up to the first gap.

        found: [(head, body), ...] from several stores, in any order, doubles included.
        """
        snaps = [(h["term"], h["se"], h, b) for h, b in found if h["k"] == "S"]
        if not snaps:
            return
        epoch, serial, head, body = max(snaps, key=lambda x: x[:2])
        ups = {h["n"]: b for h, b in found if h["k"] == "U" and (h["term"], h["se"]) == (epoch, serial)}
        docs = [body]
        while len(docs) in ups:
            docs.append(ups[len(docs)])
        if len(docs) - 1 != len(ups):
            counters.add("share.delta_missing")
        for n, raw in enumerate(docs):
            try:
                doc = orjson.loads(raw)
                marks = [(int(a), int(b), int(s), int(c)) for a, b, s, c in doc["batches"]]
                win.start_offset, win.next_offset = int(doc["start"]), max(win.next_offset, int(doc["next"]))
            except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
                counters.add("share.delta_damaged" if n else "share.snapshot_damaged")
                break
            for first, last, _, count in marks:
                for off in range(first, last + 1):
                    win.restored_counts[off] = count
        win.end_offset = win.start_offset
        win.restored_counts = {o: c for o, c in win.restored_counts.items() if o >= win.start_offset}
        self.snapshot_epoch = serial
