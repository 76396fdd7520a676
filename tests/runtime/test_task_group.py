"""Background tasks: a failure is counted and logged, a loop is run again, and all end together."""

import asyncio

import pytest

from archhatch.runtime import Counters, TaskGroup, task_group as task_group_module


class Log:
    """Keeps the lines of errors."""

    def __init__(self):
        self.lines = []

    def opt(self, exception):
        assert isinstance(exception, Exception)
        return self

    def error(self, text, *values):
        self.lines.append(text.format(*values))


@pytest.fixture
def group(monkeypatch):
    monkeypatch.setattr(task_group_module, "FIRST_RESTART_DELAY_S", 0)
    return TaskGroup(Log(), Counters())


def failing(times):
    """A function that fails so many times, and then returns; and its calls."""
    calls = []

    async def function(value):
        calls.append(value)
        if len(calls) <= times:
            raise ValueError("planted")
        return value

    return function, calls


def test_a_task_that_is_spawned_runs_once_and_gives_its_result(group):
    async def scenario():
        function, calls = failing(0)
        assert await group.spawn("x", function, 7) == 7 and calls == [7]

    asyncio.run(scenario())
    assert not group.tasks and not group._counters.counts


def test_a_spawned_task_that_fails_is_counted_and_logged_and_not_run_again(group):
    async def scenario():
        function, calls = failing(1)
        assert await group.spawn("x", function, 7) is None and calls == [7]

    asyncio.run(scenario())
    assert group._counters.counts == {"fault.x": 1} and group._log.lines == ["task failed: name=x"]


@pytest.mark.parametrize("failures", [0, 1, 3])
def test_a_loop_is_run_again_after_each_failure_until_it_returns(group, failures):
    async def scenario():
        function, calls = failing(failures)
        await group.run_forever("x", function, 7)
        assert len(calls) == failures + 1

    asyncio.run(scenario())
    assert group._counters.counts["fault.x"] == failures == len(group._log.lines)


def test_all_tasks_end_also_one_that_swallowed_its_cancellation(group, monkeypatch):
    monkeypatch.setattr(task_group_module, "CANCEL_RETRY_S", 0.001)
    swallowed = []

    async def stubborn():
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            swallowed.append(1)
        await asyncio.Event().wait()

    async def scenario():
        group.spawn("stubborn", stubborn)
        group.run_forever("plain", asyncio.Event().wait)
        await asyncio.sleep(0)
        await group.cancel_all()

    asyncio.run(scenario())
    assert swallowed == [1] and not group.tasks and not group._counters.counts
