"""Share-group state on disk: KIP-932's ShareSnapshot and ShareUpdate records, fenced by epochs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from ..jobs import Record
from ..runtime import encode_kept
from ..runtime.message import Message, wire
from .window import EntryChange, EntryOwner, EntryProgress, EntryState, SharePartition

if TYPE_CHECKING:
    from ..runtime import Counters

UPDATES_PER_SNAPSHOT = 32  # bounds the records that a new leader reads; a snapshot costs as much as a few updates
MAX_PROGRESS_BYTES = 1 << 20  # of texts in a snapshot: every store keeps it, and reports it to the next leader
SNAPSHOT_KIND = "S"
UPDATE_KIND = "U"


@dataclass(frozen=True, slots=True)
class WindowState(Message):
    """The body of a snapshot or update record.

    Attributes:
        start_offset: The window's start offset.
        next_offset: The offset of the next entry.
        batches: KIP-932's state batches: first offset, last offset, state, delivery count.
        owners: Beside KIP-932, whose offsets are those of a log: first offset, last offset, the batch job whose items
            these offsets stand for, and the place of the first of them in it. Records of earlier versions have none.
        progress: What was made of entries that are to be run again, in the snapshot that a leader hands on; beside
            KIP-932, whose records have no such part.
    """

    start_offset: int = wire("start", decode=int)
    next_offset: int = wire("next", decode=int)
    batches: list[list[int]] = wire("batches")
    owners: list[list] = wire("owners", default_factory=list, optional=True)
    progress: list[EntryProgress] = wire(
        "progress",
        default_factory=list,
        optional=True,
        encode=lambda rows: [row.to_document() for row in rows],
        decode=lambda rows: [EntryProgress.from_document(row) for row in rows],
    )


@dataclass(frozen=True, slots=True)
class WindowRecordHead(Message):
    """The head of a snapshot or update record.

    Attributes:
        kind: SNAPSHOT_KIND or UPDATE_KIND.
        job_id: Stands for the job id that other records have.
        run: The run.
        partition: The share partition.
        leader_epoch: The term of the leader that wrote it.
        snapshot_epoch: The number of the snapshot.
        update_number: The number of the update behind its snapshot; 0 for the snapshot itself.
    """

    kind: str = wire("k")
    job_id: str = wire("lot")
    run: str = wire("run")
    partition: str = wire("part")
    leader_epoch: int = wire("term")
    snapshot_epoch: int = wire("se")
    update_number: int = wire("n")


def state_batches(states: dict[int, tuple[int, int]]) -> list[list[int]]:
    """Groups neighbouring offsets of the same state and delivery count.

    Args:
        states: State and delivery count by offset.

    Returns:
        First offset, last offset, state and delivery count of each batch.

    >>> state_batches({0: (2, 1), 1: (2, 1), 3: (0, 2)})
    [[0, 1, 2, 1], [3, 3, 0, 2]]
    """
    batches: list[list[int]] = []
    for offset in sorted(states):
        state, delivery_count = states[offset]
        if batches and batches[-1][1] == offset - 1 and batches[-1][2:] == [state, delivery_count]:
            batches[-1][1] = offset
        else:
            batches.append([offset, offset, state, delivery_count])
    return batches


def owner_ranges(changes: dict[int, EntryChange]) -> list[list]:
    """Groups offsets that follow the items of one batch job; what lies between them would be the job's as well.

    Args:
        changes: What is written of each offset.

    Returns:
        First offset, last offset, batch job and place of the first item of each range.

    >>> a, b = EntryOwner("a", 2), EntryOwner("a", 4)
    >>> owner_ranges({7: EntryChange(0, 1, a), 9: EntryChange(0, 1, b), 10: EntryChange(0, 1, EntryOwner("b", 0))})
    [[7, 9, 'a', 2], [10, 10, 'b', 0]]
    """
    ranges: list[list] = []
    for offset in sorted(changes):
        owner = changes[offset].owner
        if ranges:
            first, _, job_id, first_at = ranges[-1]
            if job_id == owner.job_id and offset - first == owner.at - first_at:
                ranges[-1][1] = offset
                continue
        ranges.append([offset, offset, owner.job_id, owner.at])
    return ranges


def _owners_of(ranges: Iterable[list], offsets: Iterable[int]) -> dict[int, EntryOwner]:
    """Returns the owners of these offsets, as far as the ranges name them."""
    wanted = set(offsets)
    owners: dict[int, EntryOwner] = {}
    for first, last, job_id, first_at in ranges:
        for offset in range(int(first), int(last) + 1):
            if offset in wanted:
                owners[offset] = EntryOwner(str(job_id), int(first_at) + offset - int(first))
    return owners


def _latest_state(found: Iterable[tuple[dict, bytes]]) -> tuple[int, list[bytes], bool] | None:
    """Chooses the newest snapshot and the updates that follow it without a gap.

    Args:
        found: Head and body of records from several stores, in any order, duplicates included.

    Returns:
        The snapshot epoch, the bodies in their order, and whether updates behind a gap were left out; None without a
        snapshot.
    """
    heads = [(WindowRecordHead.from_document(head), body) for head, body in found]
    snapshots = [(head, body) for head, body in heads if head.kind == SNAPSHOT_KIND]
    if not snapshots:
        return None
    newest, snapshot = max(snapshots, key=lambda pair: (pair[0].leader_epoch, pair[0].snapshot_epoch))
    epochs = (newest.leader_epoch, newest.snapshot_epoch)
    updates = {
        head.update_number: body
        for head, body in heads
        if head.kind == UPDATE_KIND and (head.leader_epoch, head.snapshot_epoch) == epochs
    }
    bodies = [snapshot]
    while len(bodies) in updates:
        bodies.append(updates[len(bodies)])
    return newest.snapshot_epoch, bodies, len(bodies) - 1 != len(updates)


class WindowJournal:
    """Writes the records of one share partition and reads them back.

    >>> window, journal = SharePartition("m", 3, lock_s=30.0, max_locks=200), WindowJournal("r", "m")
    >>> record = journal.next_record(window); record.head["k"], record.body
    ('S', b'{"start":0,"next":0,"batches":[]}')
    >>> journal.next_record(window) is None
    True

    Attributes:
        run: The run.
        partition: The share partition.
        snapshot_epoch: The number of the last snapshot; 0 before the first.
        update_number: The number of the last update behind that snapshot.
    """

    def __init__(self, run: str, partition: str) -> None:
        self.run = run
        self.partition = partition
        self.snapshot_epoch = 0
        self.update_number = 0

    def _record(
        self,
        kind: str,
        window: SharePartition,
        changes: dict[int, EntryChange],
        progress: Iterable[EntryProgress] = (),
    ) -> Record:
        head = WindowRecordHead(
            kind=kind,
            job_id=f"window|{self.partition}",
            run=self.run,
            partition=self.partition,
            leader_epoch=window.epoch,
            snapshot_epoch=self.snapshot_epoch,
            update_number=self.update_number,
        )
        batches = state_batches({offset: (row.state, row.delivery_count) for offset, row in changes.items()})
        state = WindowState(window.start_offset, window.next_offset, batches, owner_ranges(changes), list(progress))
        return Record(head.to_document(), encode_kept(state.to_document()))

    def next_record(self, window: SharePartition) -> Record | None:
        """Returns a snapshot when one is due, else an update; None if nothing changed since the last record."""
        if not window.unsaved and self.snapshot_epoch:
            return None
        if not self.snapshot_epoch or self.update_number >= UPDATES_PER_SNAPSHOT:
            return self._snapshot(window)
        self.update_number += 1
        changes = window.unsaved
        window.unsaved = {}
        return self._record(UPDATE_KIND, window, changes)

    def handover_record(self, window: SharePartition) -> Record | None:
        """Returns a snapshot with what was made of the entries that nobody runs; None if nothing was made of any.

        Workers that run an entry have its text themselves and present it to the next leader. The texts that were made
        most of come first, up to MAX_PROGRESS_BYTES.
        """
        idle = [entry for entry in window.entries.values() if entry.state is EntryState.AVAILABLE and entry.texts]
        kept: list[EntryProgress] = []
        size = 0
        for entry in sorted(idle, key=lambda entry: -len(entry.texts)):
            size += sum(len(text.encode()) for text in entry.texts)
            if size > MAX_PROGRESS_BYTES:
                break
            kept.append(entry.progress())
        return self._snapshot(window, kept) if kept else None

    def _snapshot(self, window: SharePartition, progress: Iterable[EntryProgress] = ()) -> Record:
        self.snapshot_epoch += 1
        self.update_number = 0
        window.unsaved = {}
        changes = {
            offset: EntryChange(int(EntryState.AVAILABLE), entry.delivery_count, entry.owner())
            for offset, entry in window.entries.items()
            if entry.delivery_count
        }
        return self._record(SNAPSHOT_KIND, window, changes, progress)

    def restore(self, window: SharePartition, found: Iterable[tuple[dict, bytes]], counters: Counters) -> None:
        """Loads the newest snapshot and its updates up to the first gap or damaged record.

        Args:
            window: The window to load; it has no entries yet.
            found: Head and body of records from several stores, in any order, duplicates included.
            counters: Counts missing and damaged records.
        """
        latest = _latest_state(found)
        if latest is None:
            return
        snapshot_epoch, bodies, has_gap = latest
        if has_gap:
            counters.add("share.update_missing")
        for number, body in enumerate(bodies):
            try:
                state = WindowState.from_document(orjson.loads(body))
                batches = [(int(a), int(b), int(s), int(c)) for a, b, s, c in state.batches]
                changed = [offset for first, last, _, _ in batches for offset in range(first, last + 1)]
                owners = _owners_of(state.owners, changed)
            except (KeyError, TypeError, ValueError):  # ValueError: of the JSON, the message or a number
                counters.add("share.update_damaged" if number else "share.snapshot_damaged")
                break
            window.start_offset = state.start_offset
            window.next_offset = max(window.next_offset, state.next_offset)
            for first, last, _, delivery_count in batches:
                for offset in range(first, last + 1):
                    window.restored_counts[offset] = delivery_count
            window.restored_owners.update(owners)
            window.restored_progress.update({made.offset: made for made in state.progress})
        window.end_offset = window.start_offset
        window.restored_counts = {
            offset: count for offset, count in window.restored_counts.items() if offset >= window.start_offset
        }
        self.snapshot_epoch = snapshot_epoch
