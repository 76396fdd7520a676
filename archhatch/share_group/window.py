"""The share partition's window (KIP-932): which entries of a partition of the step log are in flight, and with whom."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from transitions import Machine


class EntryState(enum.IntEnum):
    """The states of an entry; the numbers are those of KIP-932's delivery states."""

    AVAILABLE = 0
    ACQUIRED = 1
    ACKNOWLEDGED = 2
    ARCHIVED = 4


TRANSITION_RULES = [
    {"trigger": "acquire", "source": "AVAILABLE", "dest": "ACQUIRED"},
    {"trigger": "release", "source": "ACQUIRED", "dest": "AVAILABLE"},
    {"trigger": "accept", "source": "ACQUIRED", "dest": "ACKNOWLEDGED"},
    {"trigger": "reject", "source": "ACQUIRED", "dest": "ARCHIVED"},
    {"trigger": "archive", "source": ["AVAILABLE", "ACQUIRED"], "dest": "ARCHIVED"},
    {"trigger": "found", "source": ["AVAILABLE", "ACQUIRED"], "dest": "ACKNOWLEDGED"},
]
FINAL = (EntryState.ACKNOWLEDGED, EntryState.ARCHIVED)


def _table() -> dict:
    """The machine's moves as a look-up: entries come by the ten thousand, one machine serves them all."""
    Machine(
        model=None,
        states=[s.name for s in EntryState],
        initial="AVAILABLE",
        transitions=TRANSITION_RULES,
        auto_transitions=False,
    )
    out = {}
    for m in TRANSITION_RULES:
        for src in [m["source"]] if isinstance(m["source"], str) else m["source"]:
            out[EntryState[src], m["trigger"]] = EntryState[m["dest"]]
    return out


TRANSITIONS = _table()


class InvalidTransitionError(Exception):
    """A settlement of an entry that is not the caller's, or of another acquisition: it counts for nothing."""


@dataclass(slots=True, eq=False)
class ShareEntry:
    """One item of an open lot at its offset. partial: what released runs made of its text."""

    offset: int
    batch_job: object
    item: object
    rank: int
    state: EntryState = EntryState.AVAILABLE
    delivery_count: int = 0
    worker: str = ""
    locked_until: float = 0.0
    is_acknowledging: bool = False
    engine: object = None  # where it runs, while its stream takes a place there
    fails: int = 0
    texts: list = field(default_factory=list)
    last_id: str = ""
    versions: set = field(default_factory=set)
    not_before: float = 0.0
    recalled: bool = False

    def drop_text(self) -> None:
        """Start over: what was made does not fit."""
        self.texts, self.last_id, self.versions = [], "", set()

    def fits(self, version: int, single: bool) -> bool:
        """Whether a run under a version may go on with this text: the one place where that is decided.

        >>> ShareEntry(0, type("L", (), {"min_revision": 2})(), None, 0, texts=["a"], versions={3}).fits(4, True)
        False
        """
        if version < self.batch_job.min_revision or any(v < self.batch_job.min_revision for v in self.versions):
            return False
        return not (single and self.versions and self.versions != {version})


class SharePartition:
    """Entries by offset. Before start all are final; from end on none was ever acquired; between them they are in
    flight. Locks are timed on the steady clock and at most max_locks at once.

    >>> w = SharePartition("m", 3, lock_s=30.0, max_locks=200); e = w.append(None, None, 0)
    >>> w.acquire(e, "w1", 0.0); w.acknowledge(e.offset, "w1", 1, "accept").state.name, w.start_offset
    ('ACKNOWLEDGED', 1)
    """

    def __init__(self, partition: str, epoch: int, lock_s: float, max_locks: int):
        self.partition, self.epoch = partition, epoch
        self.lock_s, self.max_locks = lock_s, max_locks
        self.start_offset = self.end_offset = 0
        self.next_offset = 0  # the offset of the next entry that is appended
        self.entries: dict[int, ShareEntry] = {}  # those that are not final
        self.locked: dict[int, ShareEntry] = {}
        self.restored_counts: dict[
            int, int
        ] = {}  # delivery counts read from a snapshot, until their entries are appended
        self.unsaved: dict[int, tuple] = {}  # offset -> (state, delivery_count) since the last delta

    def _move(self, e: ShareEntry, trigger: str) -> None:
        to = TRANSITIONS.get((e.state, trigger))
        if to is None:
            raise InvalidTransitionError(f"{self.partition}@{e.offset}: {e.state.name} knows no {trigger}")
        e.state = to
        if to is not EntryState.ACQUIRED:
            self.locked.pop(e.offset, None)
            e.is_acknowledging = False
            # acquisitions are not written down, as in KIP-932: a new leader presents them again
            self.unsaved[e.offset] = (int(to), e.delivery_count)
        if to in FINAL:
            self.entries.pop(e.offset, None)
            self._advance()

    def _advance(self) -> None:
        while self.start_offset < self.next_offset and self.start_offset not in self.entries:
            self.start_offset += 1
        self.end_offset = max(self.end_offset, self.start_offset)

    def append(self, batch_job, item, rank: int, offset: int | None = None) -> ShareEntry:
        """A new entry behind all others, or at the offset that it had under an earlier leader."""
        at = self.next_offset if offset is None or offset in self.entries or offset < self.start_offset else offset
        e = self.entries[at] = ShareEntry(at, batch_job, item, rank)
        e.delivery_count = self.restored_counts.pop(at, 0)
        self.next_offset = max(self.next_offset, at + 1)
        return e

    def skip_final(self, offset: int) -> None:
        """An offset whose entry was final before this leader came."""
        self.next_offset = max(self.next_offset, offset + 1)
        self.restored_counts.pop(offset, None)
        self._advance()

    def free_locks(self) -> int:
        """Locks that are left."""
        return self.max_locks - len(self.locked)

    def acquire(self, e: ShareEntry, worker: str, now: float) -> None:
        """Lock an Available entry for a worker; raises the delivery count."""
        if self.free_locks() <= 0:
            raise InvalidTransitionError(f"{self.partition}: all {self.max_locks} locks are taken")
        self._move(e, "acquire")
        e.delivery_count += 1
        e.worker, e.locked_until, e.recalled = worker, now + self.lock_s, False
        self.locked[e.offset] = e
        self.end_offset = max(self.end_offset, e.offset + 1)

    def held(self, offset: int, worker: str, delivery: int) -> ShareEntry:
        """The entry of a settlement; InvalidTransitionError unless this worker holds this very acquisition."""
        e = self.locked.get(offset)
        if e is None or e.worker != worker or e.delivery_count != delivery:
            raise InvalidTransitionError(f"{self.partition}@{offset}: not held by {worker} with delivery {delivery}")
        return e

    def acknowledge(self, offset: int, worker: str, delivery: int, kind: str) -> ShareEntry:
        """accept, release or reject an entry."""
        e = self.held(offset, worker, delivery)
        self._move(e, kind)
        return e

    def release_lock(self, e: ShareEntry) -> None:
        """Take a lock back: it ran out, or its worker is gone."""
        self._move(e, "release")

    def archive(self, e: ShareEntry, found: bool = False) -> None:
        """No more runs of this entry: its lot ended, or it was found settled."""
        if e.state not in FINAL:
            self._move(e, "found" if found else "archive")

    def expired(self, now: float) -> list[ShareEntry]:
        """Entries whose lock ran out. One that is being settled keeps it."""
        return [e for e in self.locked.values() if now >= e.locked_until and not e.is_acknowledging]
