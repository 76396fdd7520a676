"""A write-ahead log: appends are grouped, written and synced together, beside the event loop."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from ..runtime import Clock, Counters
from .errors import LogBrokenError, LogClosedError, LogError
from .files import OsFiles
from .generations import Generations
from .worker import ThreadWorker

FIRST_PAUSE_S = 0.05  # before a log that fails tries its disk again; each further pause is twice as long
LONGEST_PAUSE_S = 1.0

Snapshot = Callable[[], Iterable[bytes]]


@dataclass(slots=True, eq=False)
class _Job:
    """One call that waits for the disk: records to append, a snapshot to rewrite from, or neither to probe the disk."""

    since: float
    done: asyncio.Future
    raws: tuple = ()
    snapshot: Snapshot | None = None
    told: bool = False  # the future has its result; its waiter may not have run yet


@dataclass(slots=True)
class _Queue:
    appends: list[_Job] = field(default_factory=list)
    others: list[_Job] = field(default_factory=list)  # rewrites and probes, which come first
    at_disk: list[_Job] = field(default_factory=list)

    def all(self) -> list[_Job]:
        return self.at_disk + self.others + self.appends


class WriteAheadLog:
    """An append-only file in a folder; rewritten, as a new generation, when it gets long.

    The owner applies a record to its own state in the very step in which `append` returns (it awaits `append`
    directly, not through another task), and sets `snapshot` to a callable that gives the records of exactly that
    state. The log calls it only when every acknowledged record has been applied and none is on its way, so a rewrite
    loses nothing. What it gives is read in another thread: it must not change any more.

    >>> # log = WriteAheadLog("/data/x"); state.load(log.load()); log.snapshot = state.snapshot; log.start()
    """

    def __init__(
        self,
        folder: str,
        name: str = "tolls",
        log=None,
        files=None,
        *,
        clock=None,
        counters=None,
        sleep=asyncio.sleep,
        worker=None,
        limit_bytes: int = 0,
    ):
        self.log, self.counters, self.clock = log, counters or Counters(), clock or Clock()
        self.limit_bytes = limit_bytes
        self.snapshot: Snapshot | None = None
        self.damaged = False
        self._sleep = sleep
        self._generations = Generations(files or OsFiles(), folder, name)
        self._worker = worker or ThreadWorker()
        self._queue = _Queue()
        self._wake: asyncio.Event | None = None
        self._settled: asyncio.Event | None = None
        self._turned: asyncio.Event | None = None  # the log's health changed
        self._tasks: list[asyncio.Task] = []
        self._unsettled = 0  # calls that have their result and have not returned yet
        self._failing = self._broken = self._closed = False
        self._synced_at = self.clock.now()

    # -- what others may know

    @property
    def path(self) -> str:
        """The file that counts."""
        current = self._generations.current
        return current.path if current is not None else self._generations.path_of(0)

    @property
    def size(self) -> int:
        """The synced bytes of the file that counts."""
        current = self._generations.current
        return current.size if current is not None else 0

    @property
    def broken(self) -> bool:
        """Whether the generation was given up, so that all appends are refused."""
        return self._broken

    @property
    def healthy(self) -> bool:
        """Whether the last that was tried at the disk went through."""
        return not self._broken and not self._failing

    def last_sync_age_s(self, now: float) -> float:
        """Seconds since a sync went through (or since the log was made)."""
        return max(0.0, now - self._synced_at)

    def oldest_write_age_s(self, now: float) -> float:
        """Seconds that the oldest unfinished call has waited; 0 if there is none. A stalled disk shows here."""
        return max((now - job.since for job in self._queue.all()), default=0.0)

    def free_bytes(self) -> int:
        """Bytes that the file may still grow by; as good as endless without a limit."""
        return max(0, self.limit_bytes - self.size) if self.limit_bytes else sys.maxsize

    # -- life

    def load(self) -> Iterator[bytes]:
        """Open the log and give its records, which are read as they are taken; take them all before start()."""
        opened = self._generations.open()
        self.damaged = opened.damaged
        if opened.damaged:
            self.counters.add("wal.damaged")
            self._say(
                "error",
                "code 5001 log {}: damage before good records; kept as {}",
                self.path,
                self._generations.damaged_path,
            )
        if opened.cut:
            self._say("warning", "log {}: cut {} bytes behind the last good record", self.path, opened.cut)
        return self._generations.records()

    def start(self) -> None:
        """Begin taking appends; needs a running loop."""
        self._wake, self._settled, self._turned = asyncio.Event(), asyncio.Event(), asyncio.Event()
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._work()), loop.create_task(self._recover())]

    async def append(self, *raws: bytes) -> None:
        """Append records; returns when they are synced. After a LogError none of them is acknowledged."""
        if self._broken:
            self.counters.add(LogBrokenError.counter)
            raise LogBrokenError(f"{self.path}: given up until a new generation stands")
        await self._wait(self._queue.appends, raws=raws)

    async def rewrite(self, snapshot: Snapshot | None = None) -> None:
        """Write a new generation from a snapshot, the owner's own by default; what waits goes behind it."""
        snapshot = snapshot or self.snapshot
        if not callable(snapshot):
            raise TypeError("rewrite() needs a callable: records gathered earlier may lack what was synced since")
        await self._wait(self._queue.others, snapshot=snapshot)

    async def close(self) -> None:
        """End; what still waits gets a LogClosedError, and a call that is at the disk runs to its end first."""
        self._closed = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._finish(self._queue.all(), LogClosedError(f"{self.path}: closed"))
        self._queue = _Queue()
        await self._worker.close()
        self._generations.close()

    # -- the queue

    async def _wait(self, queue: list[_Job], **what) -> None:
        if self._closed:
            raise LogClosedError(f"{self.path}: closed")
        job = _Job(self.clock.now(), asyncio.get_running_loop().create_future(), **what)
        queue.append(job)
        self._wake.set()
        try:
            await job.done
        finally:
            if job.told:
                self._unsettled -= 1
                self._settled.set()

    def _finish(self, jobs: list[_Job], fault: Exception | None = None) -> None:
        for job in jobs:
            if job.done.done():
                continue  # whoever waited was cancelled
            job.told = True
            self._unsettled += 1
            if fault is None:
                job.done.set_result(None)
            else:
                job.done.set_exception(fault)

    async def _work(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue.others or self._queue.appends:
                if self._queue.others:
                    await self._run_other(self._queue.others.pop(0))
                if self._queue.appends:
                    await self._append_all()

    async def _append_all(self) -> None:
        jobs, self._queue.appends = self._queue.appends, []
        if self._broken:
            self.counters.add(LogBrokenError.counter, len(jobs))
            self._finish(jobs, LogBrokenError(f"{self.path}: given up until a new generation stands"))
            return
        raws = [raw for job in jobs for raw in job.raws]
        if not raws:
            self._finish(jobs)  # nothing to write, and all that came earlier is synced
            return
        await self._at_disk(jobs, self._generations.append, raws)

    async def _run_other(self, job: _Job) -> None:
        self._queue.at_disk = [job]
        if job.snapshot is None:
            await self._at_disk([job], self._generations.probe)
            return
        while self._unsettled:  # whoever was told has not applied it yet
            self._settled.clear()
            await self._settled.wait()
        try:
            records = job.snapshot()
        except Exception as fault:  # the owner's fault, and its to hear of
            self._queue.at_disk = []
            self._finish([job], fault)
            return
        await self._at_disk([job], self._generations.rewrite, records)

    async def _at_disk(self, jobs: list[_Job], call, *args) -> None:
        """Have the disk do one thing; its outcome is that of all these jobs."""
        self._queue.at_disk = jobs
        fault = None
        try:
            await self._worker.run(call, *args)
        except Exception as error:  # a snapshot may fail in any way; the log goes on
            fault = error
        self._queue.at_disk = []
        self._note(fault)
        self._finish(jobs, fault)

    # -- health

    def _note(self, fault: Exception | None) -> None:
        """Take down what came of a call at the disk; say so if the log's health changed."""
        before, was_broken = self.healthy, self._broken
        self._broken = self._generations.current.lost
        if fault is None:
            self._synced_at = self.clock.now()
            self._failing = False
        else:
            self._failing = self._failing or isinstance(fault, LogError)
            self.counters.add(getattr(fault, "counter", LogError.counter))
        if self._broken and not was_broken:
            self.counters.add("wal.given_up")
        if self.healthy == before:
            return
        self._turned.set()
        if self.healthy:
            self.counters.add("wal.recovered")
            self._say("info", "log {}: the disk takes records again", self.path)
        else:
            self._say("error", "log {}: {}{}", self.path, "given up: " if self._broken else "", fault)

    async def _recover(self) -> None:
        """While the disk fails, try it again by and by: with a new generation if this one was given up."""
        pause = FIRST_PAUSE_S
        while True:
            if self.healthy or (self._broken and self.snapshot is None):  # without a snapshot the owner must rewrite
                pause = FIRST_PAUSE_S
                self._turned.clear()
                await self._turned.wait()
                continue
            await self._sleep(pause)
            pause = min(LONGEST_PAUSE_S, pause * 2)
            try:
                await self._wait(self._queue.others, snapshot=self.snapshot if self._broken else None)
            except Exception:
                continue  # counted where it failed

    def _say(self, level: str, line: str, *args) -> None:
        if self.log is not None:
            getattr(self.log, level)(line, *args)
