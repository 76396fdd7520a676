"""Runs the blocking file calls of a log off the event loop, one at a time and in order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol, TypeVar

T = TypeVar("T")


class Worker(Protocol):
    """Runs blocking calls. A simulator brings its own, without a thread."""

    async def run(self, call: Callable[..., T], *args: object) -> T:
        """Runs a call and returns or raises what it does."""

    async def close(self) -> None:
        """Returns once the last call has ended."""


class ThreadWorker:
    """A worker with one thread.

    >>> async def length_in_thread():
    ...     worker = ThreadWorker()
    ...     length = await worker.run(len, b"abc")
    ...     await worker.close()
    ...     return length
    >>> asyncio.run(length_in_thread())
    3
    """

    def __init__(self) -> None:
        self._pool = ThreadPoolExecutor(1, thread_name_prefix="wal")

    async def run(self, call: Callable[..., T], *args: object) -> T:
        """Runs a call in the thread.

        Args:
            call: A blocking function.
            *args: Its arguments.

        Returns:
            What the call returns. If the waiting task is cancelled, the call still runs to its end.
        """
        return await asyncio.get_running_loop().run_in_executor(self._pool, call, *args)

    async def close(self) -> None:
        """Returns once the last call has ended; the event loop is not blocked, also if the disk stalls."""
        await asyncio.to_thread(self._pool.shutdown)
