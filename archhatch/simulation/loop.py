"""An event loop with virtual time, whose handles belong to lives of simulated processes.

Time jumps to the next timer, so that a day passes in milliseconds. A handle belongs to the life that is set in its
context, which tasks and callbacks inherit. A frozen life's handles wait until its thaw while its steady clock goes on;
those of a life that ended are dropped for good. Handles of different lives that are ready together run in an order
drawn by the seed; those of one life keep theirs.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import heapq
import itertools
import random
from collections import deque

from .disk import SimulatedDisk

MOST_STEPS = 5_000_000  # handles in one run; beyond it something spins


WALL_AT_START = 1_780_000_000.0  # the time of day when virtual time begins


class SimulationStuckError(Exception):
    """Nothing is left that could happen, or the same moment never ends."""


class Incarnation:
    """One life of a simulated process."""

    def __init__(self, name: str):
        self.name = name
        self.alive = True
        self.frozen = False
        self.held: list = []  # handles that wait for the thaw
        self.tasks: list = []  # kept, so that no task of a dead life is collected, and unwound, during the run
        self.disk: SimulatedDisk | None = None  # where the calls that it hands to an executor take their time
        self.context = contextvars.Context()
        self.context.run(CURRENT_INCARNATION.set, self)

    def __repr__(self) -> str:
        return f"Incarnation({self.name})"


CURRENT_INCARNATION: contextvars.ContextVar[Incarnation | None] = contextvars.ContextVar(
    "current_incarnation", default=None
)
_serials = itertools.count(1)


class _Numbered:
    """Hashed by a serial number: sets of tasks are walked in the same order in each run of a seed."""

    def __hash__(self) -> int:
        return self.serial


class _Task(_Numbered, asyncio.Task):
    def __init__(self, coro, **options):
        self.serial = next(_serials)
        super().__init__(coro, **options)


class _Future(_Numbered, asyncio.Future):
    def __init__(self, **options):
        self.serial = next(_serials)
        super().__init__(**options)


class VirtualLoop(asyncio.BaseEventLoop):
    """The scheduler of a simulation; a seeded random.Random draws what may happen in several orders.

    >>> loop = VirtualLoop(random.Random(1)); loop.run_until_complete(asyncio.sleep(3600)); loop.time()
    3600.0
    """

    def __init__(self, rng: random.Random):
        super().__init__()
        self._rng = rng
        self._now = 0.0
        self._ended = False
        self._pending: list = []
        self.steps = 0
        self.faults: list = []  # exceptions that no task took, by life
        self.set_task_factory(self._make_task)
        self.set_exception_handler(self._note_exception)

    def time(self) -> float:
        """Virtual seconds since the start; the steady clock of all lives."""
        return self._now

    def create_future(self) -> asyncio.Future:
        return _Future(loop=self)

    def _make_task(self, loop, coro, context=None) -> asyncio.Task:
        task = _Task(coro, loop=loop, context=context)
        incarnation = context.get(CURRENT_INCARNATION) if context is not None else CURRENT_INCARNATION.get()
        (self._pending if incarnation is None else incarnation.tasks).append(task)
        return task

    def spawn(self, incarnation: Incarnation, coro) -> asyncio.Task:
        """Run a coroutine as a task of a life."""
        return self.create_task(coro, context=incarnation.context.copy())

    def call_outside(self, delay: float, callback, *args) -> asyncio.TimerHandle:
        """Call back after a delay as no life's doing: what is under way in the world does not die with a process."""
        return self.call_at(self._now + delay, callback, *args, context=contextvars.Context())

    # -- lives

    def end(self, incarnation: Incarnation) -> None:
        """Drop all that a life would still do."""
        incarnation.alive = False
        incarnation.frozen = False
        incarnation.held.clear()

    def freeze(self, incarnation: Incarnation) -> None:
        """Hold a life's handles back."""
        incarnation.frozen = incarnation.alive

    def thaw(self, incarnation: Incarnation) -> None:
        """Let a frozen life go on with all that came due meanwhile."""
        incarnation.frozen = False
        self._ready.extend(incarnation.held)
        incarnation.held.clear()

    # -- the scheduler

    def _run_once(self) -> None:
        self._take_due()
        batch, self._ready = self._ready, deque()
        for handle in batch if len(batch) == 1 else self._interleave(batch):
            if not handle._cancelled:
                self._run_handle(handle)
        self.steps += len(batch)
        if self.steps > MOST_STEPS:
            raise SimulationStuckError(f"{MOST_STEPS} steps until {self._now:.3f} s")

    def _run_handle(self, handle) -> None:
        incarnation = handle._context.get(CURRENT_INCARNATION)
        if incarnation is None:
            handle._run()
        elif incarnation.frozen:
            incarnation.held.append(handle)
        elif incarnation.alive:
            handle._run()

    def _take_due(self) -> None:
        scheduled = self._scheduled
        while scheduled and scheduled[0]._cancelled:
            heapq.heappop(scheduled)._scheduled = False
        if not self._ready and not self._stopping:
            if not scheduled:
                raise SimulationStuckError(f"nothing is left to happen at {self._now:.3f} s")
            self._now = max(self._now, scheduled[0]._when)
        while scheduled and scheduled[0]._when <= self._now:
            handle = heapq.heappop(scheduled)
            handle._scheduled = False
            self._ready.append(handle)

    def _interleave(self, batch: deque):
        """The handles of a batch: those of one life in their order, the lives mixed by the seed."""
        queues: dict = {}
        for handle in batch:
            queues.setdefault(handle._context.get(CURRENT_INCARNATION), deque()).append(handle)
        lines = list(queues.values())
        while len(lines) > 1:
            at = self._rng.randrange(len(lines))
            yield lines[at].popleft()
            if not lines[at]:
                lines.pop(at)
        if lines:
            yield from lines[0]

    # -- what a real loop does with threads and the outside

    def run_in_executor(self, executor, func, *args) -> asyncio.Future:
        """Run a blocking call in virtual time: its effects on the disk come at their moments, its end at the last."""
        incarnation, future = CURRENT_INCARNATION.get(), self.create_future()
        disk = incarnation.disk if incarnation is not None else None
        result, fault, took = None, None, 0.0
        if disk is not None:
            disk.begin(self._now)
        try:
            result = func(*args)
        except Exception as raised:
            fault = raised
        if disk is not None:
            took = disk.finish() - self._now
        self.call_later(took, _settle, future, result, fault)
        return future

    def call_soon_threadsafe(self, callback, *args, context=None):
        return self.call_soon(callback, *args, context=context)

    def _note_exception(self, loop, context: dict) -> None:
        fault = context.get("exception")
        if fault is not None and not self._ended:
            self.faults.append(fault)

    def _process_events(self, event_list) -> None:
        """There is no selector."""

    def _write_to_self(self) -> None:
        """There is no other thread."""

    def shut(self, lives: list) -> None:
        """End the simulation quietly: what was under way is forgotten, not unwound in public."""
        self._ended = True
        for task in [task for incarnation in lives for task in incarnation.tasks] + self._pending:
            task._log_destroy_pending = False
            with contextlib.suppress(RuntimeError, ValueError):
                task.get_coro().close()
        self._ready.clear()
        self._scheduled.clear()
        self.close()

    def call_soon(self, callback, *args, context=None):
        if self._ended:
            return asyncio.Handle(callback, args, self, context)  # a task is being unwound: nothing comes of it
        return super().call_soon(callback, *args, context=context)


def _settle(future: asyncio.Future, result, fault: Exception | None) -> None:
    if future.done():
        return
    if fault is None:
        future.set_result(result)
    else:
        future.set_exception(fault)


class VirtualClock:
    """The steady clock of a node: the loop's virtual time."""

    def __init__(self, loop: VirtualLoop):
        self._loop = loop

    def now(self) -> float:
        """Seconds of virtual time."""
        return self._loop.time()

    def wall_time(self) -> float:
        """Seconds since the start of 1970, the same for all nodes."""
        return WALL_AT_START + self._loop.time()
