"""Background tasks of a process: kept alive, restarted after a failure, and cancelled together at shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from .counters import Counters

if TYPE_CHECKING:
    from loguru import Logger

FIRST_RESTART_DELAY_S = 0.05  # short, since most failures of a loop are over at once
MAX_RESTART_DELAY_S = 1.0  # a loop that fails every time must neither fill the log nor take the processor
CANCEL_RETRY_S = 0.05  # how long a task may take to end before it is cancelled again


class TaskGroup:
    """Keeps references to the background tasks, because the event loop holds only weak ones.

    Unlike asyncio.TaskGroup, a failure of one task does not cancel the others.

    Attributes:
        tasks: The tasks that have not ended.

    >>> async def example():
    ...     task_group = TaskGroup(log=None, counters=Counters())
    ...     task_group.run_forever("sleep", asyncio.sleep, 3600)
    ...     await task_group.cancel_all()
    ...     return len(task_group.tasks)
    >>> asyncio.run(example())
    0
    """

    def __init__(self, log: Logger, counters: Counters) -> None:
        self._log = log
        self._counters = counters
        self.tasks: set[asyncio.Task] = set()

    def run_forever(self, name: str, function: Callable[..., Awaitable[object]], *args: object) -> asyncio.Task:
        """Runs function(*args) in a task; after an exception it is run again, with a growing delay.

        A function that returns has ended and is not run again.
        """
        return self.spawn(name, self._run_until_success, name, function, args)

    def spawn(self, name: str, function: Callable[..., Awaitable[object]], *args: object) -> asyncio.Task:
        """Runs function(*args) once in a task; an exception is counted and logged."""
        task = asyncio.get_running_loop().create_task(self._run_logged(name, function, args))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _run_logged(self, name: str, function: Callable[..., Awaitable[object]], args: tuple) -> Any:  # noqa: ANN401 - the function's result
        try:
            return await function(*args)
        except Exception as error:  # noqa: BLE001 - top of a task: nobody awaits it, so the failure is logged here
            self._counters.add("fault." + name)
            self._log.opt(exception=error).error("task failed: name={}", name)

    async def _run_until_success(self, name: str, function: Callable[..., Awaitable[object]], args: tuple) -> None:
        delay_s = FIRST_RESTART_DELAY_S
        while True:
            try:
                await function(*args)
            except Exception as error:  # noqa: BLE001 - top of a task: any failure is logged and followed by a restart
                self._counters.add("fault." + name)
                self._log.opt(exception=error).error(
                    "task failed, will be restarted: name={} delay_s={}", name, delay_s
                )
            else:
                return
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RESTART_DELAY_S, delay_s * 2)

    async def cancel_all(self) -> None:
        """Cancels all tasks but the calling one, and waits until they have ended.

        A task that swallowed its cancellation, for instance in asyncio.wait_for, is cancelled again.
        """
        remaining = {task for task in self.tasks if task is not asyncio.current_task()}
        while remaining:
            for task in remaining:
                task.cancel()
            _, remaining = await asyncio.wait(remaining, timeout=CANCEL_RETRY_S)
