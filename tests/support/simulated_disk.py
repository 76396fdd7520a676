"""A disk in memory for the write-ahead log: calls that fail, and losses of power that keep or lose each thing alone."""

import asyncio
import errno
import itertools
import os
import random
from collections import Counter


class Inode:
    def __init__(self):
        self.data, self.safe = bytearray(), bytearray()
        self.ops, self.limbo = [], []  # since the last sync; what a failed sync left in doubt for good


def play(data, op):
    at, raw = op
    if raw is None:
        del data[at:]
        data.extend(bytes(at - len(data)))
    else:
        data.extend(bytes(max(0, at + len(raw) - len(data))))
        data[at : at + len(raw)] = raw


class SimDisk:
    """The calls of OsFiles. `fails(kind, count)` says whether the count-th call of a kind fails; from the `dies`-th
    call on (of all kinds) the process is dead, and nothing has an effect; `room` bounds all bytes, `most` one write."""

    def __init__(self):
        self.names, self.safe, self.name_ops, self.handles = {}, {}, [], {}
        self.counts, self.fails, self.room, self.most, self.dies = Counter(), lambda kind, n: False, None, None, None
        self._next = itertools.count(3)

    @property
    def dead(self):
        return self.dies is not None and self.counts.total() >= self.dies

    def call(self, kind):
        self.counts[kind] += 1
        if self.dead:
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
            self.names[path] = Inode()
            self.name_ops.append((path, self.names[path]))
        handle = next(self._next)
        self.handles[handle] = self.names[path]
        return handle

    def size(self, handle):
        return len(self.handles[handle].data)

    def pread(self, handle, count, at):
        return bytes(self.handles[handle].data[at : at + count])

    def pwrite(self, handle, data, at):
        if self.dead:
            raise OSError(errno.EIO, "this process is dead")
        node, data = self.handles[handle], bytes(data)[: self.most]
        old = max(0, len(node.data) - at)  # bytes that are written over need no room
        if self.room is not None and len(data) > old:
            data = data[: old + max(0, self.room - sum(len(n.data) for n in self.names.values()))]
            if not data:
                raise OSError(errno.ENOSPC, "no space left on device")
        half = len(data) // 2  # a loss of power may tear it
        for op in ((at, data[:half]), (at + half, data[half:])):
            play(node.data, op)
            node.ops.append(op)
        self.call("pwrite")  # one that fails, or in which the process dies, has written all the same
        return len(data)

    def truncate(self, handle, size):
        self.call("truncate")
        node = self.handles[handle]
        play(node.data, (size, None))
        node.ops.append((size, None))

    def datasync(self, handle, kind="datasync"):
        node = self.handles[handle]
        try:
            self.call(kind)
        except OSError:
            if not self.dead:
                node.limbo, node.ops = node.limbo + node.ops, []  # no later sync covers these
            raise
        ops, node.ops = node.ops, []
        for op in ops:
            play(node.safe, op)

    def sync(self, handle):
        self.datasync(handle, "sync")

    def close(self, handle):
        del self.handles[handle]
        self.call("close")

    def remove(self, path):
        self.call("remove")
        del self.names[path]
        self.name_ops.append((path, None))

    def sync_folder(self, folder):
        self.call("sync_folder")
        self._play_names(lambda: True)

    # -- ends of a process

    def _play_names(self, keep):
        for path, node in self.name_ops:
            if keep() and node is not None:
                self.safe[path] = node
            elif node is None and keep():
                self.safe.pop(path, None)
        self.name_ops = []

    def kill(self):
        """The process dies; the system keeps what it wrote."""
        self.handles.clear()
        self.fails, self.dies = lambda kind, n: False, None

    def power(self, seed):
        """Power is lost: 0 loses all that was not synced, 1 keeps it, "names" keeps only names and "bytes" only bytes;
        other seeds toss a coin for each thing."""
        self.kill()
        rng = random.Random(seed)
        keep = {0: lambda: False, 1: lambda: True, "names": lambda: False, "bytes": lambda: True}.get(
            seed, lambda: rng.random() < 0.5
        )
        self._play_names({"names": lambda: True, "bytes": lambda: False}.get(seed, keep))
        self.names = dict(self.safe)
        for node in {id(n): n for n in self.names.values()}.values():
            for op in node.limbo + node.ops:
                if keep():
                    play(node.safe, op)
            node.data, node.ops, node.limbo = bytearray(node.safe), [], []


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
