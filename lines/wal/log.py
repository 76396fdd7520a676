"""A wal: appends are grouped, written and synced together by one thread."""
from __future__ import annotations

import asyncio
import os
from concurrent.futures import ThreadPoolExecutor

from .records import pack_record, read_records


class LogError(Exception):
    """The book cannot be read or written."""


class WriteAheadLog:
    """An append-only file in a folder; rewritten, under a new name, when it gets long.

    >>> # book = WriteAheadLog("/data/x"); recs = book.load(); await book.append(b"...")
    """

    def __init__(self, folder: str, name: str = "tolls", log=None):
        self.folder, self.name, self.log = folder, name, log
        self.path = os.path.join(folder, name)
        self.size = 0
        self.damaged = False
        self._fd = -1
        self._inbox: list = []
        self._wake: asyncio.Event | None = None
        self._task: asyncio.Task | None = None
        self._pool = ThreadPoolExecutor(1, thread_name_prefix="tolls")
        self._rewrite = None

    def load(self) -> list[bytes]:
        """Open the book, cut a torn tail, and give its records."""
        os.makedirs(self.folder, exist_ok=True)
        for left in (self.path + ".new",):
            if os.path.exists(left):
                os.remove(left)
        fresh = not os.path.exists(self.path)
        self._fd = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o644)
        if fresh:
            self._sync_folder()
        size = os.fstat(self._fd).st_size
        data = b""
        while len(data) < size:
            part = os.pread(self._fd, min(1 << 22, size - len(data)), len(data))
            if not part:
                break
            data += part
        recs, end, self.damaged = read_records(data)
        if self.damaged and self.log is not None:
            self.log.error("code 5001 log {}: damage at byte {} before good records; kept as {}.damaged", self.path,
                           end, self.path)
        if self.damaged:
            with open(self.path + ".damaged", "wb") as f:
                f.write(data)
        if end < size:
            os.ftruncate(self._fd, end)
            os.fsync(self._fd)
            if self.log is not None:
                self.log.warning("log {}: cut {} bytes behind the last good record", self.path, size - end)
        self.size = end
        return recs

    def _sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def start(self) -> None:
        """Begin taking appends; needs a running loop."""
        self._wake = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._work())

    async def append(self, *raws: bytes) -> None:
        """Append records; returns when they are synced."""
        fut = asyncio.get_running_loop().create_future()
        self._inbox.append((b"".join(pack_record(r) for r in raws), fut))
        self._wake.set()
        await fut

    async def rewrite(self, raws: list[bytes]) -> None:
        """Replace the whole book by these records. Nothing may be appended that they do not hold."""
        fut = asyncio.get_running_loop().create_future()
        self._rewrite = (b"".join(pack_record(r) for r in raws), fut)
        self._wake.set()
        await fut

    async def _work(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._inbox or self._rewrite:
                batch, self._inbox = self._inbox, []
                redo, self._rewrite = self._rewrite, None
                job = (self._put_new, redo[0]) if redo else (self._put, b"".join(b for b, _ in batch))
                if redo:  # what waits was taken after the records were gathered: it goes behind them
                    job = (self._put_new, redo[0] + b"".join(b for b, _ in batch))
                futs = [f for _, f in batch] + ([redo[1]] if redo else [])
                try:
                    await loop.run_in_executor(self._pool, *job)
                except OSError as e:
                    for f in futs:
                        if not f.done():
                            f.set_exception(LogError(f"{self.path}: {e}"))
                    continue
                for f in futs:
                    if not f.done():
                        f.set_result(None)

    def _put(self, data: bytes) -> None:
        at = self.size
        view = memoryview(data)
        try:
            while view:
                n = os.pwrite(self._fd, view, at)
                view, at = view[n:], at + n
            os.fdatasync(self._fd)
        except OSError:
            os.ftruncate(self._fd, self.size)
            raise
        self.size = at

    def _put_new(self, data: bytes) -> None:
        new = self.path + ".new"
        fd = os.open(new, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
        at, view = 0, memoryview(data)
        while view:
            n = os.pwrite(fd, view, at)
            view, at = view[n:], at + n
        os.fsync(fd)
        os.rename(new, self.path)
        self._sync_folder()
        os.close(self._fd)
        self._fd, self.size = fd, at

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._pool.shutdown(wait=True)
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
