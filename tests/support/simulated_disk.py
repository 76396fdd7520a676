"""A disk in memory for the write-ahead log: calls that fail, and losses of power that keep or lose each thing alone."""

import asyncio
import errno
import itertools
import os
import random
from collections import Counter


class File:
    def __init__(self):
        self.data = bytearray()  # what calls see
        self.durable = bytearray()  # what a loss of power leaves
        self.unsynced = []  # changes since the last sync
        self.doomed = []  # changes that a failed sync left in doubt for good


def apply_change(data, op):
    """Applies a write (offset, bytes) or a truncation (size, None)."""
    at, raw = op
    if raw is None:
        del data[at:]
        data.extend(bytes(at - len(data)))
    else:
        data.extend(bytes(max(0, at + len(raw) - len(data))))
        data[at : at + len(raw)] = raw


class InMemoryDisk:
    """The file calls of a log (LogFiles), with faults.

    Attributes:
        fails: Returns whether the n-th call of a kind fails.
        dies_at_call: From this call on, of all kinds, the process is dead and nothing has an effect; None for never.
        capacity_bytes: Bounds the bytes of all files; None for no bound.
        max_write_bytes: Bounds one write; None for no bound.
    """

    def __init__(self):
        self.names, self.durable, self.unsynced_names, self.handles = {}, {}, [], {}
        self.counts, self.fails = Counter(), lambda kind, n: False
        self.capacity_bytes = self.max_write_bytes = self.dies_at_call = None
        self._next = itertools.count(3)

    @property
    def is_dead(self):
        return self.dies_at_call is not None and self.counts.total() >= self.dies_at_call

    def call(self, kind):
        self.counts[kind] += 1
        if self.is_dead:
            raise OSError(errno.EIO, "this process is dead")
        if self.fails(kind, self.counts[kind]):
            raise OSError(errno.EIO, f"{kind} failed")

    # -- the calls of a log

    def makedirs(self, folder):
        self.call("makedirs")

    def exists(self, path):
        return path in self.names or path == "/data"

    def listdir(self, folder):
        return sorted(os.path.basename(p) for p in self.names)

    def open(self, path, create):
        self.call("open")
        if create:
            self.names[path] = File()
            self.unsynced_names.append((path, self.names[path]))
        handle = next(self._next)
        self.handles[handle] = self.names[path]
        return handle

    def size(self, handle):
        return len(self.handles[handle].data)

    def pread(self, handle, count, at):
        return bytes(self.handles[handle].data[at : at + count])

    def pwrite(self, handle, data, at):
        if self.is_dead:
            raise OSError(errno.EIO, "this process is dead")
        node, data = self.handles[handle], bytes(data)[: self.max_write_bytes]
        old = max(0, len(node.data) - at)  # bytes that are written over need no room
        if self.capacity_bytes is not None and len(data) > old:
            data = data[: old + max(0, self.capacity_bytes - sum(len(n.data) for n in self.names.values()))]
            if not data:
                raise OSError(errno.ENOSPC, "no space left on device")
        half = len(data) // 2  # a loss of power may tear it
        for op in ((at, data[:half]), (at + half, data[half:])):
            apply_change(node.data, op)
            node.unsynced.append(op)
        self.call("pwrite")  # one that fails, or in which the process dies, has written all the same
        return len(data)

    def truncate(self, handle, size):
        self.call("truncate")
        node = self.handles[handle]
        apply_change(node.data, (size, None))
        node.unsynced.append((size, None))

    def datasync(self, handle, kind="datasync"):
        node = self.handles[handle]
        try:
            self.call(kind)
        except OSError:
            if not self.is_dead:
                node.doomed, node.unsynced = node.doomed + node.unsynced, []  # no later sync covers these
            raise
        ops, node.unsynced = node.unsynced, []
        for op in ops:
            apply_change(node.durable, op)

    def sync(self, handle):
        self.datasync(handle, "sync")

    def close(self, handle):
        del self.handles[handle]
        self.call("close")

    def remove(self, path):
        self.call("remove")
        del self.names[path]
        self.unsynced_names.append((path, None))

    def sync_folder(self, folder):
        self.call("sync_folder")
        self._apply_names(lambda: True)

    # -- ends of a process

    def _apply_names(self, keep):
        for path, node in self.unsynced_names:
            if keep() and node is not None:
                self.durable[path] = node
            elif node is None and keep():
                self.durable.pop(path, None)
        self.unsynced_names = []

    def kill(self):
        """The process dies; the system keeps what it wrote."""
        self.handles.clear()
        self.fails, self.dies_at_call = lambda kind, n: False, None

    def lose_power(self, seed):
        """Power is lost.

        Args:
            seed: 0 loses all that was not synced, 1 keeps it, "names" keeps only names and "bytes" only bytes; any
                other seed decides at random for each change.
        """
        self.kill()
        rng = random.Random(seed)
        keep = {0: lambda: False, 1: lambda: True, "names": lambda: False, "bytes": lambda: True}.get(
            seed, lambda: rng.random() < 0.5
        )
        self._apply_names({"names": lambda: True, "bytes": lambda: False}.get(seed, keep))
        self.names = dict(self.durable)
        for node in {id(n): n for n in self.names.values()}.values():
            for op in node.doomed + node.unsynced:
                if keep():
                    apply_change(node.durable, op)
            node.data, node.unsynced, node.doomed = bytearray(node.durable), [], []


class InlineWorker:
    """Does what a thread would, in the loop's next turn; while `gate` is set, a call waits for it (a stalled disk)."""

    gate = None

    async def run(self, call, *args):
        if self.gate is not None:
            await self.gate.wait()
        await asyncio.sleep(0)  # others come between
        return call(*args)

    async def close(self):
        pass
