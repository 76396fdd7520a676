"""A crew: the long tasks of a process. One that ends by a fault is logged and started again."""

from __future__ import annotations

import asyncio


class TaskGroup:
    """Holds tasks so that none is lost, and ends them together.

    >>> # crew = TaskGroup(log); crew.keep("pings", self._ping_loop); await crew.end()
    """

    def __init__(self, log, counters):
        self.log, self.ctr = log, counters
        self.tasks: set = set()

    def keep(self, name: str, fn, *args) -> asyncio.Task:
        """Run fn(*args) for good: after a fault it is run again, a little later."""
        return self.once(name, self._again, name, fn, args)

    def once(self, name: str, fn, *args) -> asyncio.Task:
        """Run fn(*args) once; a fault is counted and logged."""
        task = asyncio.get_running_loop().create_task(self._guard(name, fn, args))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _guard(self, name, fn, args):
        try:
            return await fn(*args)
        except asyncio.CancelledError:
            raise
        except Exception as e:  # the last stop of a task: say so, never die silently
            self.ctr.add("fault." + name)
            self.log.opt(exception=e).error("task {} ended by a fault", name)

    async def _again(self, name, fn, args):
        pause = 0.05
        while True:
            try:
                await fn(*args)
                return
            except asyncio.CancelledError:
                raise
            except Exception as e:
                self.ctr.add("fault." + name)
                self.log.opt(exception=e).error("task {} failed; again in {}s", name, pause)
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 2)

    async def end(self) -> None:
        """Cancel all tasks and wait for them; one that missed its cancellation is told again."""
        left = {t for t in self.tasks if t is not asyncio.current_task()}
        while left:
            for t in left:
                t.cancel()
            _, left = await asyncio.wait(left, timeout=0.05)
