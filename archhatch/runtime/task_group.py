"""A crew: the long tasks of a process. One that ends by a fault is logged and started again."""

from __future__ import annotations

import asyncio


class TaskGroup:
    """Holds tasks so that none is lost, and ends them together.

    >>> # task_group = TaskGroup(log); task_group.run_forever("pings", self._ping_loop); await task_group.cancel_all()
    """

    def __init__(self, log, counters):
        self.log, self.counters = log, counters
        self.tasks: set = set()

    def run_forever(self, name: str, function, *args) -> asyncio.Task:
        """Run fn(*args) for good: after a fault it is run again, a little later."""
        return self.spawn(name, self._again, name, function, args)

    def spawn(self, name: str, function, *args) -> asyncio.Task:
        """Run fn(*args) once; a fault is counted and logged."""
        task = asyncio.get_running_loop().create_task(self._guard(name, function, args))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _guard(self, name, function, args):
        try:
            return await function(*args)
        except asyncio.CancelledError:
            raise
        except Exception as e:  # the last stop of a task: say so, never die silently
            self.counters.add("fault." + name)
            self.log.opt(exception=e).error("task {} ended by a fault", name)

    async def _again(self, name, function, args):
        pause = 0.05
        while True:
            try:
                await function(*args)
                return
            except asyncio.CancelledError:
                raise
            except Exception as e:
                self.counters.add("fault." + name)
                self.log.opt(exception=e).error("task {} failed; again in {}s", name, pause)
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 2)

    async def cancel_all(self) -> None:
        """Cancel all tasks and wait for them; one that missed its cancellation is told again."""
        left = {t for t in self.tasks if t is not asyncio.current_task()}
        while left:
            for t in left:
                t.cancel()
            _, left = await asyncio.wait(left, timeout=0.05)
