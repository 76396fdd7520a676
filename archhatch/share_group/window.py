"""The share partition's in-flight window (KIP-932): which entries of a partition are acquired, and by whom."""

from __future__ import annotations

import enum
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

from transitions import Machine

from ..exceptions import ArchhatchError
from ..runtime.message import Message, wire

if TYPE_CHECKING:
    from ..jobs import BatchJob
    from ..jobs.batch_job import Item
    from ..rollout_controller.engines import Engine


class EntryState(enum.IntEnum):
    """The states of an entry; the numbers are those of KIP-932's delivery states."""

    AVAILABLE = 0
    ACQUIRED = 1
    ACKNOWLEDGED = 2
    ARCHIVED = 4


TRANSITION_RULES: list[dict[str, Any]] = [
    {"trigger": "acquire", "source": "AVAILABLE", "dest": "ACQUIRED"},
    {"trigger": "release", "source": "ACQUIRED", "dest": "AVAILABLE"},
    {"trigger": "accept", "source": "ACQUIRED", "dest": "ACKNOWLEDGED"},
    {"trigger": "reject", "source": "ACQUIRED", "dest": "ARCHIVED"},
    {"trigger": "archive", "source": ["AVAILABLE", "ACQUIRED"], "dest": "ARCHIVED"},
    {"trigger": "found", "source": ["AVAILABLE", "ACQUIRED"], "dest": "ACKNOWLEDGED"},
]
FINAL_STATES = (EntryState.ACKNOWLEDGED, EntryState.ARCHIVED)


def _build_transitions() -> dict[tuple[EntryState, str], EntryState]:
    """Checks the rules with a state machine, and returns them as a table.

    A table, because there are tens of thousands of entries: a machine for each would cost too much memory.
    """
    Machine(
        model=None,
        states=[state.name for state in EntryState],
        initial="AVAILABLE",
        transitions=TRANSITION_RULES,
        auto_transitions=False,
    )
    table = {}
    for rule in TRANSITION_RULES:
        source = rule["source"]
        for name in [source] if isinstance(source, str) else source:
            table[EntryState[name], rule["trigger"]] = EntryState[rule["dest"]]
    return table


TRANSITIONS = _build_transitions()


class InvalidTransitionError(ArchhatchError):
    """A transition that the entry's state, its holder or the limit of locks forbids; it has no effect."""


@dataclass(frozen=True, slots=True)
class EntryProgress(Message):
    """What released runs made of an entry, as a record keeps it.

    Attributes:
        offset: The entry's offset.
        texts: The events that the runs made.
        last_event_id: The last of these events.
        versions: The model versions that made them.
        failures: Answers of 500 so far.
        job_id: The batch job of the entry; empty in records of earlier versions, which nobody takes up.
        item_id: The item of the entry.
    """

    offset: int = wire("at", decode=int)
    texts: list[str] = wire("texts")
    last_event_id: str = wire("last")
    versions: list[int] = wire("versions")
    failures: int = wire("failures", default=0)
    job_id: str = wire("lot", default="")
    item_id: str = wire("item", default="")


class EntryOwner(NamedTuple):
    """The item that an offset stands for.

    Attributes:
        job_id: The batch job.
        at: The item's place in it, from 0.
    """

    job_id: str
    at: int


class EntryChange(NamedTuple):
    """What a record says of one entry.

    Attributes:
        state: The number of its EntryState.
        delivery_count: How often it was acquired.
        owner: The item that it is of.
    """

    state: int
    delivery_count: int
    owner: EntryOwner


@dataclass(slots=True, eq=False)
class ShareEntry:
    """One item of an open batch job, at its offset in the share partition.

    Attributes:
        offset: The offset.
        batch_job: The batch job that the item belongs to.
        item: The item.
        rank: The rank of the item's group in its batch job, from 0.
        state: The delivery state.
        delivery_count: How often the entry was acquired.
        worker: The worker of the last acquisition.
        locked_until: End of the acquisition lock, by the steady clock.
        is_acknowledging: Whether an acknowledgement is being committed; the lock does not expire meanwhile.
        engine: The replica where the entry takes a slot, or None.
        failures: Answers of 500 so far.
        texts: The events that released runs made.
        last_event_id: The last of these events.
        versions: The model versions that made them.
        not_before: Earliest time of the next acquisition, by the steady clock; 0 if at once.
        is_recalled: Whether the worker was told to release the entry.
    """

    offset: int
    batch_job: BatchJob
    item: Item
    rank: int
    state: EntryState = EntryState.AVAILABLE
    delivery_count: int = 0
    worker: str = ""
    locked_until: float = 0.0
    is_acknowledging: bool = False
    engine: Engine | None = None
    failures: int = 0
    texts: list[str] = field(default_factory=list)
    last_event_id: str = ""
    versions: set[int] = field(default_factory=set)
    not_before: float = 0.0
    is_recalled: bool = False

    def drop_text(self) -> None:
        """Discards the text of earlier runs: the item starts over."""
        self.texts = []
        self.last_event_id = ""
        self.versions = set()

    def progress(self) -> EntryProgress:
        """Returns what released runs made of the item."""
        return EntryProgress(
            self.offset,
            self.texts,
            self.last_event_id,
            sorted(self.versions),
            self.failures,
            self.batch_job.job_id,
            self.item.item_id,
        )

    def owner(self) -> EntryOwner:
        """Returns the item that the entry is of."""
        return EntryOwner(self.batch_job.job_id, self.item.at)

    def is_of(self, progress: EntryProgress) -> bool:
        """Returns whether a record's progress was made of this entry's item."""
        return (progress.job_id, progress.item_id) == (self.batch_job.job_id, self.item.item_id)

    def adopt(self, progress: EntryProgress) -> None:
        """Takes over what runs under an earlier leader made of the item."""
        self.texts = list(progress.texts)
        self.last_event_id = progress.last_event_id
        self.versions = set(progress.versions)
        self.failures = progress.failures

    def take_slot(self, engine: Engine) -> None:
        """Notes that the entry takes a slot of an engine."""
        model = self.batch_job.model
        engine.running_items[model] = engine.running_items.get(model, 0) + 1
        self.engine = engine

    def free_slot(self) -> None:
        """Frees the entry's slot, if it takes one."""
        if self.engine is not None:
            self.engine.running_items[self.batch_job.model] -= 1
            self.engine = None

    def fits(self, version: int, is_single_version: bool) -> bool:
        """Returns whether a run under a model version may go on with the text so far.

        >>> ShareEntry(0, type("L", (), {"min_revision": 2})(), None, 0, texts=["a"], versions={3}).fits(4, True)
        False
        """
        min_version = self.batch_job.min_revision
        if version < min_version or any(made_by < min_version for made_by in self.versions):
            return False
        return not (is_single_version and self.versions and self.versions != {version})

    def is_acquired_by(self, worker: str, delivery_count: int) -> bool:
        """Returns whether this very acquisition of a worker stands."""
        return self.state is EntryState.ACQUIRED and self.worker == worker and self.delivery_count == delivery_count


class SharePartition:
    """The entries of one share partition by offset.

    Before start_offset all entries are final; from end_offset on none was ever acquired; between them they are in
    flight. An offset is given out once, and what is read back of an earlier leader's records is taken up by the item
    that they name, or by none.

    >>> from types import SimpleNamespace
    >>> w = SharePartition("m", 3, lock_s=30.0, max_locks=200)
    >>> e = w.append(SimpleNamespace(job_id="j"), SimpleNamespace(item_id="i", at=0), 0)
    >>> w.acquire(e, "w1", 0.0); w.acknowledge(e.offset, "w1", 1, "accept").state.name, w.start_offset
    ('ACKNOWLEDGED', 1)

    Attributes:
        partition: Name of the partition: the model.
        epoch: The leader epoch.
        lock_s: Duration of an acquisition lock.
        max_locks: How many entries may be acquired at a time.
        start_offset: The first offset that is not final.
        end_offset: The first offset from which on no entry was ever acquired.
        next_offset: The offset of the next entry that is appended.
        entries: Entries that are not final.
        locked: The acquired ones of them.
        restored_counts: Delivery counts read from disk, until their entries are appended.
        restored_owners: The items that these offsets stood for.
        restored_progress: Texts read from disk by offset, until their entries are appended.
        unsaved: The entries that changed since the last record on disk, by offset.
    """

    def __init__(
        self,
        partition: str,
        epoch: int,
        lock_s: float,
        max_locks: int,
        allot_offset: Callable[[], int] | None = None,
    ) -> None:
        """Makes an empty window.

        Args:
            partition: Name of the partition.
            epoch: The leader epoch.
            lock_s: Duration of an acquisition lock.
            max_locks: How many entries may be acquired at a time.
            allot_offset: Gives out an offset for an entry without one; the window's own count if it is left out.
        """
        self.partition = partition
        self.epoch = epoch
        self.lock_s = lock_s
        self.max_locks = max_locks
        self.start_offset = 0
        self.end_offset = 0
        self.next_offset = 0
        self.entries: dict[int, ShareEntry] = {}
        self.locked: dict[int, ShareEntry] = {}
        self.restored_counts: dict[int, int] = {}
        self.restored_owners: dict[int, EntryOwner] = {}
        self.restored_progress: dict[int, EntryProgress] = {}
        self.unsaved: dict[int, EntryChange] = {}
        self._allot_offset = allot_offset or (lambda: self.next_offset)
        self._open_offsets: list[int] = []  # a heap: those of all entries, and of some that are final by now

    def _move(self, entry: ShareEntry, trigger: str) -> None:
        state = TRANSITIONS.get((entry.state, trigger))
        if state is None:
            raise InvalidTransitionError(
                f"{self.partition}@{entry.offset}: no transition {trigger} from {entry.state.name}"
            )
        entry.state = state
        if state is not EntryState.ACQUIRED:
            self.locked.pop(entry.offset, None)
            entry.is_acknowledging = False
            # acquisitions are not written down, as in KIP-932: a new leader presents them again
            self.unsaved[entry.offset] = EntryChange(int(state), entry.delivery_count, entry.owner())
        if state in FINAL_STATES:
            self.entries.pop(entry.offset, None)
            self._advance_start()

    def _advance_start(self) -> None:
        while self._open_offsets and self._open_offsets[0] not in self.entries:
            heapq.heappop(self._open_offsets)
        self.start_offset = self._open_offsets[0] if self._open_offsets else self.next_offset
        self.end_offset = max(self.end_offset, self.start_offset)

    def append(self, batch_job: BatchJob, item: Item, rank: int, offset: int | None = None) -> ShareEntry:
        """Adds an entry, at the offset that its batch job gives it or, if that is taken, at a new one.

        Only batch jobs that an earlier version accepted may give one offset to two items.
        """
        if offset is None or offset in self.entries:
            offset = self._allot_offset()
        entry = self.entries[offset] = ShareEntry(offset, batch_job, item, rank)
        heapq.heappush(self._open_offsets, offset)
        self.start_offset = min(self.start_offset, offset)
        self.next_offset = max(self.next_offset, offset + 1)
        self._take_up_restored(entry)
        return entry

    def _take_up_restored(self, entry: ShareEntry) -> None:
        """Gives an entry what was read back of its own item; of an offset that was another item's, nothing."""
        delivery_count = self.restored_counts.pop(entry.offset, 0)
        if delivery_count and self.restored_owners.pop(entry.offset, None) == entry.owner():
            entry.delivery_count = delivery_count
        progress = self.restored_progress.pop(entry.offset, None)
        if progress is not None and entry.is_of(progress):
            entry.adopt(progress)

    def skip_final(self, offset: int) -> None:
        """Passes over an offset whose entry became final under an earlier leader."""
        self.next_offset = max(self.next_offset, offset + 1)
        self.restored_counts.pop(offset, None)
        self.restored_owners.pop(offset, None)
        self.restored_progress.pop(offset, None)
        self._advance_start()

    def free_locks(self) -> int:
        """Returns how many more entries may be acquired now."""
        return self.max_locks - len(self.locked)

    def acquire(self, entry: ShareEntry, worker: str, now: float) -> None:
        """Locks an Available entry for a worker and raises its delivery count.

        Raises:
            InvalidTransitionError: The entry is not Available, or all locks are taken.
        """
        if self.free_locks() <= 0:
            raise InvalidTransitionError(f"{self.partition}: all {self.max_locks} locks are taken")
        self._move(entry, "acquire")
        entry.delivery_count += 1
        entry.worker = worker
        entry.locked_until = now + self.lock_s
        entry.is_recalled = False
        self.locked[entry.offset] = entry
        self.end_offset = max(self.end_offset, entry.offset + 1)

    def acquired_entry(self, offset: int, worker: str, delivery_count: int) -> ShareEntry:
        """Returns the entry that an acknowledgement names.

        Raises:
            InvalidTransitionError: This worker does not hold this acquisition.
        """
        entry = self.locked.get(offset)
        if entry is None or entry.worker != worker or entry.delivery_count != delivery_count:
            raise InvalidTransitionError(
                f"{self.partition}@{offset}: not acquired by {worker} with delivery count {delivery_count}"
            )
        return entry

    def acknowledge(self, offset: int, worker: str, delivery_count: int, kind: str) -> ShareEntry:
        """Accepts, releases or rejects an entry.

        Args:
            offset: The entry's offset.
            worker: The worker that acknowledges.
            delivery_count: The delivery count of its acquisition.
            kind: An AcknowledgeType.

        Returns:
            The entry.

        Raises:
            InvalidTransitionError: The worker does not hold this acquisition.
        """
        entry = self.acquired_entry(offset, worker, delivery_count)
        self._move(entry, kind)
        return entry

    def release_lock(self, entry: ShareEntry) -> None:
        """Makes an acquired entry Available again, without its worker's acknowledgement."""
        self._move(entry, "release")

    def archive(self, entry: ShareEntry, found: bool = False) -> None:
        """Makes an entry final without an acknowledgement: its batch job ended, or its result was found listed."""
        if entry.state not in FINAL_STATES:
            self._move(entry, "found" if found else "archive")

    def expired(self, now: float) -> list[ShareEntry]:
        """Returns the entries whose lock expired and that are not being acknowledged."""
        return [entry for entry in self.locked.values() if now >= entry.locked_until and not entry.is_acknowledging]
