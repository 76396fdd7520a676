"""Runs the blocking file calls of a log beside the event loop, one at a time and in order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor


class ThreadWorker:
    """One thread. A simulator brings its own worker, with the same two methods and no thread.

    >>> # worker = ThreadWorker(); size = await worker.run(os.path.getsize, path); await worker.close()
    """

    def __init__(self):
        self._pool = ThreadPoolExecutor(1, thread_name_prefix="wal")

    async def run(self, call: Callable, *args):
        """What call(*args) returns or raises. If the one that waits is cancelled, the call still runs to its end."""
        return await asyncio.get_running_loop().run_in_executor(self._pool, call, *args)

    async def close(self) -> None:
        """Return once the last call has ended; the loop goes on meanwhile, also if the disk stands still."""
        await asyncio.to_thread(self._pool.shutdown)
