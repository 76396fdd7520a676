"""A simulated disk with the file calls of a write-ahead log (archhatch/wal/files.py).

A call made in an executor takes effect at its own moment: calls whose moment had not come when the process died never
happened. What was written but not synced outlives the process; of what was not synced a loss of power keeps, loses or
tears each piece by itself, names that were made or removed without a sync of their folder included. A sync that failed
makes nothing last, and neither does a later one of the same bytes, although that one reports success.
"""

from __future__ import annotations

import errno
import os
import random
from dataclasses import dataclass, field

WRITE_S = (0.00005, 0.0004)
LEAST_SYNC_S = 0.0004
MOST_SYNC_S = (0.004, 0.01, 0.04, 0.15)  # disks differ
TORN_PIECES = 3
ALL_LOST = 0.2  # of the losses of power lose all that was not synced


@dataclass(eq=False)
class _File:
    """A file: what calls see, what lasts, and the changes in between, in their order."""

    data: bytearray = field(default_factory=bytearray)
    durable: bytearray = field(default_factory=bytearray)
    unsynced: list = field(default_factory=list)
    doomed: list = field(default_factory=list)  # a sync of these failed: no later one makes them last


@dataclass(frozen=True)
class _Write:
    file: _File
    at: int
    data: bytes

    def apply(self, content: bytearray) -> None:
        if len(content) < self.at:
            content.extend(bytes(self.at - len(content)))
        content[self.at : self.at + len(self.data)] = self.data

    def torn(self, rng: random.Random) -> list:
        """Some pieces of it."""
        cuts = sorted(rng.randrange(len(self.data) + 1) for _ in range(TORN_PIECES - 1))
        bounds = [0, *cuts, len(self.data)]
        pieces = [(a, b) for a, b in zip(bounds, bounds[1:]) if a < b and rng.random() < 0.5]
        return [_Write(self.file, self.at + a, self.data[a:b]) for a, b in pieces]


@dataclass(frozen=True)
class _Truncate:
    file: _File
    size: int

    def apply(self, content: bytearray) -> None:
        del content[self.size :]
        content.extend(bytes(self.size - len(content)))

    def torn(self, rng: random.Random) -> list:
        return [self]


@dataclass(frozen=True)
class _Sync:
    file: _File
    failed: bool


@dataclass(frozen=True)
class _Name:
    """A name that was made, or removed (no file)."""

    path: str
    file: _File | None


@dataclass(frozen=True)
class _SyncFolder:
    folder: str


class SimulatedDisk:
    """One machine's disk. Faults are set from outside: stalled_until, full, and the chances of failing calls.

    >>> disk = SimulatedDisk(random.Random(1), lambda: 0.0); handle = disk.open("/d/a", create=True)
    >>> disk.pwrite(handle, b"abc", 0), disk.lose_power(), disk.exists("/d/a")
    (3, None, False)
    """

    def __init__(self, rng: random.Random, now):
        self._rng, self._now = rng, now
        self._sync_s = (LEAST_SYNC_S, rng.choice(MOST_SYNC_S))
        self.stalled_until = 0.0
        self.full = False
        self.failing_writes = self.short_writes = self.failing_syncs = 0.0
        self._cursor: float | None = None  # the moment of the next call, while one in an executor is under way
        self._busy_until = 0.0
        self._effects: list = []  # (moment, change), not yet taken into what a crash would leave
        self._names: dict[str, _File] = {}
        self._durable_names: dict[str, _File] = {}
        self._unsynced_names: list[_Name] = []
        self._folders: set[str] = set()
        self._handles: dict[int, _File] = {}
        self._next_handle = 3

    # -- time

    def begin(self, now: float) -> None:
        """A call in an executor begins, once the one before it has ended."""
        self._settle(now)
        self._cursor = max(now, self._busy_until)

    def finish(self) -> float:
        """It ended: at which moment."""
        self._busy_until, self._cursor = self._cursor, None
        return self._busy_until

    def _spend(self, bounds: tuple) -> float:
        """The moment at which the next call takes effect."""
        if self._cursor is None:
            return self._now()
        self._cursor = max(self._cursor, self.stalled_until) + self._rng.uniform(*bounds)
        return self._cursor

    def _put(self, moment: float, change) -> None:
        self._effects.append((moment, change))

    def _settle(self, now: float) -> None:
        """Take changes whose moment has come into what a crash leaves."""
        while self._effects and self._effects[0][0] <= now:
            self._fold(self._effects.pop(0)[1])

    def _fold(self, change) -> None:
        if isinstance(change, _Name):
            self._unsynced_names.append(change)
        elif isinstance(change, _SyncFolder):
            inside = [n for n in self._unsynced_names if os.path.dirname(n.path) == change.folder]
            self._unsynced_names = [n for n in self._unsynced_names if n not in inside]
            for name in inside:
                _rename(self._durable_names, name)
        elif isinstance(change, _Sync):
            _fold_sync(change)
        else:
            change.file.unsynced.append(change)

    # -- ends of a process and of power

    def kill(self) -> None:
        """The process died: calls that were under way end here; what reached the page cache stays."""
        self._drop_unborn()
        self._names = dict(self._durable_names)
        for name in self._unsynced_names:
            _rename(self._names, name)
        for file in self._all_files():
            file.data = bytearray(file.durable)
            for change in file.unsynced:
                change.apply(file.data)

    def lose_power(self) -> None:
        """The machine lost power: what was not synced is there, missing or torn, piece by piece."""
        self._drop_unborn()
        all_lost = self._rng.random() < ALL_LOST
        for name in self._unsynced_names:
            if not all_lost and self._rng.random() < 0.5:
                _rename(self._durable_names, name)
        self._unsynced_names = []
        self._names = dict(self._durable_names)
        for file in self._names.values():
            for change in file.unsynced:
                for piece in [] if all_lost else self._remains(change):
                    piece.apply(file.durable)
            file.unsynced, file.doomed = [], []
            file.data = bytearray(file.durable)

    def wipe(self) -> None:
        """The machine lost its disk."""
        self._drop_unborn()
        self._names, self._durable_names, self._unsynced_names, self._folders = {}, {}, [], set()

    def _drop_unborn(self) -> None:
        self._settle(self._now())
        self._effects = []
        self._handles = {}
        self._cursor, self._busy_until = None, 0.0

    def _remains(self, change) -> list:
        fate = self._rng.random()
        return [change] if fate < 0.4 else change.torn(self._rng) if fate < 0.6 else []

    def _all_files(self) -> list:
        return list({id(f): f for f in [*self._names.values(), *self._durable_names.values()]}.values())

    # -- the calls of a log

    def makedirs(self, folder: str) -> None:
        """Make a folder; folders themselves are never lost here."""
        self._folders.add(folder)

    def exists(self, path: str) -> bool:
        """Whether a file or folder is there."""
        return path in self._names or path in self._folders

    def listdir(self, folder: str) -> list[str]:
        """The names in a folder."""
        return sorted(os.path.basename(p) for p in self._names if os.path.dirname(p) == folder)

    def open(self, path: str, create: bool) -> int:
        """Open a file; with create it is made, or emptied."""
        file = self._names.get(path)
        if file is None and not create:
            raise OSError(errno.ENOENT, "no such file", path)
        if file is None:
            self._refuse_if_full()
            file = self._names[path] = _File()
            self._put(self._spend(WRITE_S), _Name(path, file))
        elif create:
            self._change(_Truncate(file, 0))
        handle, self._next_handle = self._next_handle, self._next_handle + 1
        self._handles[handle] = file
        return handle

    def size(self, handle: int) -> int:
        """The length of a file."""
        return len(self._handles[handle].data)

    def pread(self, handle: int, count: int, at: int) -> bytes:
        """At most count bytes from a position."""
        return bytes(self._handles[handle].data[at : at + count])

    def pwrite(self, handle: int, data, at: int) -> int:
        """Write at a position; how many bytes were taken."""
        self._refuse_if_full()
        if self._rng.random() < self.failing_writes:
            raise OSError(errno.EIO, "write failed")
        raw = bytes(data)
        if self._rng.random() < self.short_writes:
            raw = raw[: self._rng.randrange(1, len(raw) + 1)]
        self._change(_Write(self._handles[handle], at, raw))
        return len(raw)

    def truncate(self, handle: int, size: int) -> None:
        """Set the length of a file."""
        if self._rng.random() < self.failing_writes:
            raise OSError(errno.EIO, "truncate failed")
        self._change(_Truncate(self._handles[handle], size))

    def datasync(self, handle: int) -> None:
        """Have the bytes and the length of a file last."""
        failed = self._rng.random() < self.failing_syncs
        self._put(self._spend(self._sync_s), _Sync(self._handles[handle], failed))
        if failed:
            raise OSError(errno.EIO, "sync failed")

    sync = datasync

    def close(self, handle: int) -> None:
        """Give a handle back."""
        del self._handles[handle]

    def remove(self, path: str) -> None:
        """Remove a name; lasts once its folder is synced."""
        if self._names.pop(path, None) is None:
            raise OSError(errno.ENOENT, "no such file", path)
        self._put(self._spend(WRITE_S), _Name(path, None))

    def sync_folder(self, folder: str) -> None:
        """Have the names in a folder last."""
        if self._rng.random() < self.failing_syncs:
            raise OSError(errno.EIO, "sync of a folder failed")
        self._put(self._spend(self._sync_s), _SyncFolder(folder))

    def _change(self, change) -> None:
        change.apply(change.file.data)
        self._put(self._spend(WRITE_S), change)

    def _refuse_if_full(self) -> None:
        if self.full:
            raise OSError(errno.ENOSPC, "no space left on device")


def _rename(names: dict, change: _Name) -> None:
    if change.file is None:
        names.pop(change.path, None)
    else:
        names[change.path] = change.file


def _fold_sync(change: _Sync) -> None:
    file = change.file
    if change.failed:
        file.doomed.extend(file.unsynced)
        return
    kept = []
    for old in file.unsynced:
        if any(old is lost for lost in file.doomed):
            kept.append(old)
        else:
            old.apply(file.durable)
    file.unsynced = kept
