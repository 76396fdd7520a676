"""A write-ahead log: appends are grouped, written and synced together, off the event loop."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable, Iterator
from typing import TYPE_CHECKING

from ..runtime import Clock, Counters
from .errors import LogBrokenError, LogClosedError, LogError
from .files import LogFiles, OsFiles
from .generations import Generations
from .records import LogRecord
from .requests import LogRequest, RequestQueue, Snapshot
from .worker import ThreadWorker, Worker

if TYPE_CHECKING:
    from loguru import Logger

FIRST_RETRY_DELAY_S = 0.05  # before a log that fails tries its disk again; each further delay is twice as long
MAX_RETRY_DELAY_S = 1.0  # keeps the time short in which a disk works again and its log still refuses
DATA_ERROR_CODE = 5001  # the result code for an error in this node (docs/codes.md)


class WriteAheadLog:
    """An append-only file in a directory; rewritten, as a new generation, when it gets long.

    The owner applies a record to its own state in the same step in which `append` returns (it awaits `append`
    directly, not through another task), and sets `snapshot` to a callable that gives the records of exactly that
    state. The log calls it only when every acknowledged record has been applied and none is on its way, so a rewrite
    loses nothing. What it gives is read in another thread: it must not change any more.

    >>> import tempfile
    >>> async def append_and_load():
    ...     folder = tempfile.mkdtemp()
    ...     wal = WriteAheadLog(folder, "core")
    ...     records = list(wal.load())
    ...     wal.snapshot = lambda: records
    ...     wal.start()
    ...     await wal.append(b"a", b"b")
    ...     await wal.close()
    ...     return list(WriteAheadLog(folder, "core").load())
    >>> asyncio.run(append_and_load())
    [b'a', b'b']

    Attributes:
        log: Takes log lines, or None.
        counters: Counts failures.
        clock: Tells the ages of waiting calls and of the last sync.
        limit_bytes: How long the file should get; 0 for no limit. The owner enforces it.
        snapshot: Gives the records of a rewrite; without it the log cannot recover from a failed sync by itself.
        is_damaged: Whether opening found invalid bytes before valid records.
    """

    def __init__(  # noqa: PLR0913 - each collaborator is a keyword of its own
        self,
        folder: str,
        name: str = "tolls",
        log: Logger | None = None,
        files: LogFiles | None = None,
        *,
        clock: Clock | None = None,
        counters: Counters | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        worker: Worker | None = None,
        limit_bytes: int = 0,
    ) -> None:
        self.log = log
        self.counters = counters or Counters()
        self.clock = clock or Clock()
        self.limit_bytes = limit_bytes
        self.snapshot: Snapshot | None = None
        self.is_damaged = False
        self._sleep = sleep
        self._generations = Generations(files or OsFiles(), folder, name)
        self._worker: Worker = worker or ThreadWorker()
        self._queue = RequestQueue()
        # made by start(), in the event loop
        self._submitted: asyncio.Event
        self._applied: asyncio.Event
        self._health_changed: asyncio.Event
        self._tasks: list[asyncio.Task] = []
        self._unapplied = 0  # calls that have their result and have not returned yet
        self._is_failing = False
        self._is_broken = False
        self._is_closed = False
        self._synced_at = self.clock.now()

    # -- state

    @property
    def path(self) -> str:
        """The file that counts."""
        return self._generations.current_path

    @property
    def size(self) -> int:
        """The synced bytes of the file that counts."""
        return self._generations.current_size

    @property
    def is_broken(self) -> bool:
        """Whether the generation was abandoned, so that all appends are refused."""
        return self._is_broken

    @property
    def is_healthy(self) -> bool:
        """Whether the last call to the disk succeeded."""
        return not self._is_broken and not self._is_failing

    def last_sync_age_s(self, now: float) -> float:
        """Returns the seconds since the last successful sync, or since the log was made."""
        return max(0.0, now - self._synced_at)

    def oldest_write_age_s(self, now: float) -> float:
        """Returns how long the oldest unfinished call has waited; 0 if there is none. A stalled disk shows here."""
        return max((now - request.submitted_at for request in self._queue.all()), default=0.0)

    def free_bytes(self) -> int:
        """Returns by how much the file may still grow; `sys.maxsize` without a limit."""
        return max(0, self.limit_bytes - self.size) if self.limit_bytes else sys.maxsize

    # -- calls

    def load(self) -> Iterator[bytes]:
        """Opens the log.

        Returns:
            Its records, which are read as they are taken; take them all before `start`.

        Raises:
            LogError: The disk failed.
        """
        opened = self._generations.open()
        self.is_damaged = opened.is_damaged
        if opened.is_damaged:
            self.counters.add("wal.damaged")
            self._log_event(
                "error",
                "code {} log {}: damaged before valid records, copy={}",
                DATA_ERROR_CODE,
                self.path,
                self._generations.damaged_path,
            )
        if opened.truncated_bytes:
            self._log_event("warning", "log {}: invalid tail truncated, bytes={}", self.path, opened.truncated_bytes)
        return self._generations.records()

    def start(self) -> None:
        """Begins to take appends; needs a running event loop."""
        self._submitted = asyncio.Event()
        self._applied = asyncio.Event()
        self._health_changed = asyncio.Event()
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._process_requests()), loop.create_task(self._recover())]

    async def append(self, *records: LogRecord) -> None:
        """Appends records; returns when they are synced.

        Raises:
            LogError: None of the records is acknowledged.
        """
        if self._is_broken:
            self.counters.add(LogBrokenError.counter)
            raise LogBrokenError(f"{self.path}: abandoned, and no new generation is complete")
        await self._submit(self._queue.appends, records=records)

    async def rewrite(self, snapshot: Snapshot | None = None) -> None:
        """Writes a new generation; waiting appends go behind it.

        Args:
            snapshot: Gives its records; the owner's `snapshot` by default.

        Raises:
            LogError: The new generation does not count.
            TypeError: There is no snapshot to call.
        """
        snapshot = snapshot or self.snapshot
        if not callable(snapshot):
            raise TypeError("rewrite() needs a callable: records gathered earlier may lack what was synced since")
        await self._submit(self._queue.others, snapshot=snapshot)

    async def close(self) -> None:
        """Ends; what still waits gets a LogClosedError, and a call that is at the disk runs to its end first."""
        self._is_closed = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._finish(self._queue.all(), LogClosedError(f"{self.path}: closed"))
        self._queue = RequestQueue()
        await self._worker.close()
        self._generations.close()

    # -- requests

    async def _submit(
        self, queue: list[LogRequest], records: tuple[LogRecord, ...] = (), snapshot: Snapshot | None = None
    ) -> None:
        if self._is_closed:
            raise LogClosedError(f"{self.path}: closed")
        request = LogRequest(self.clock.now(), asyncio.get_running_loop().create_future(), records, snapshot)
        queue.append(request)
        self._submitted.set()
        try:
            await request.done
        finally:
            if request.has_result:
                self._unapplied -= 1
                self._applied.set()

    def _finish(self, requests: list[LogRequest], error: Exception | None = None) -> None:
        for request in requests:
            if request.done.done():
                continue  # its caller was cancelled
            request.has_result = True
            self._unapplied += 1
            if error is None:
                request.done.set_result(None)
            else:
                request.done.set_exception(error)

    async def _process_requests(self) -> None:
        while True:
            await self._submitted.wait()
            self._submitted.clear()
            while self._queue.others or self._queue.appends:
                if self._queue.others:
                    await self._run_other(self._queue.others.pop(0))
                if self._queue.appends:
                    await self._append_all()

    async def _append_all(self) -> None:
        """Writes all waiting appends with one sync."""
        requests = self._queue.appends
        self._queue.appends = []
        if self._is_broken:
            self.counters.add(LogBrokenError.counter, len(requests))
            self._finish(requests, LogBrokenError(f"{self.path}: abandoned, and no new generation is complete"))
            return
        records = [record for request in requests for record in request.records]
        if not records:
            self._finish(requests)  # nothing to write, and all earlier appends are synced
            return
        await self._run_at_disk(requests, self._generations.append, records)

    async def _run_other(self, request: LogRequest) -> None:
        """Runs a rewrite or a probe."""
        self._queue.at_disk = [request]
        if request.snapshot is None:
            await self._run_at_disk([request], self._generations.probe)
            return
        while self._unapplied:  # a snapshot taken now would lack acknowledged records
            self._applied.clear()
            await self._applied.wait()
        try:
            records = request.snapshot()
        except Exception as error:  # noqa: BLE001 - the owner's code may raise anything; its caller gets it
            self._queue.at_disk = []
            self._finish([request], error)
            return
        await self._run_at_disk([request], self._generations.rewrite, records)

    async def _run_at_disk(self, requests: list[LogRequest], call: Callable[..., None], *args: object) -> None:
        """Runs one blocking call; its outcome is that of all these requests."""
        self._queue.at_disk = requests
        error: Exception | None = None
        try:
            await self._worker.run(call, *args)
        except Exception as raised:  # noqa: BLE001 - a snapshot is read here and may raise anything; the log goes on
            error = raised
        self._queue.at_disk = []
        self._note_outcome(error)
        self._finish(requests, error)

    # -- health

    def _note_outcome(self, error: Exception | None) -> None:
        """Updates the log's health after a call to the disk, and logs a change of it."""
        was_healthy = self.is_healthy
        was_broken = self._is_broken
        self._is_broken = self._generations.current.is_abandoned
        if error is None:
            self._synced_at = self.clock.now()
            self._is_failing = False
        else:
            self._is_failing = self._is_failing or isinstance(error, LogError)
            self.counters.add(getattr(error, "counter", LogError.counter))
        if self._is_broken and not was_broken:
            self.counters.add("wal.generation_abandoned")
        if self.is_healthy == was_healthy:
            return
        self._health_changed.set()
        if self.is_healthy:
            self.counters.add("wal.recovered")
            self._log_event("info", "log {}: recovered, the disk takes records again", self.path)
        else:
            outcome = "generation abandoned" if self._is_broken else "disk failed"
            self._log_event("error", "log {}: {}, error={}", self.path, outcome, error)

    async def _recover(self) -> None:
        """While the disk fails, tries it again with backoff: with a new generation if this one was abandoned."""
        delay_s = FIRST_RETRY_DELAY_S
        while True:
            must_owner_rewrite = self._is_broken and self.snapshot is None
            if self.is_healthy or must_owner_rewrite:
                delay_s = FIRST_RETRY_DELAY_S
                self._health_changed.clear()
                await self._health_changed.wait()
                continue
            await self._sleep(delay_s)
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
            try:
                await self._submit(self._queue.others, snapshot=self.snapshot if self._is_broken else None)
            except Exception:  # noqa: BLE001 - the top of a task; counted where it failed, and tried again
                continue

    def _log_event(self, level: str, message: str, *args: object) -> None:
        if self.log is not None:
            getattr(self.log, level)(message, *args)
