"""A board's values have versions, and a change wakes those that wait for it."""

import asyncio

import pytest

from archhatch.runtime import StateBoard


def test_publishing_and_notifying_each_make_a_new_version():
    board = StateBoard()
    assert board.version("plan") == 0 and board.read("plan") is None and board.read("plan", 5) == 5
    board.publish("plan", {"a": 1})
    board.notify("plan")
    assert board.version("plan") == 2 and board.read("plan") == {"a": 1} and board.version("other") == 0


def test_a_wait_on_an_outdated_version_returns_at_once():
    board = StateBoard()
    board.notify(("lot", "x"))
    assert asyncio.run(board.wait_for_change(("lot", "x"), 0)) == 1


def test_a_change_wakes_all_that_wait_for_the_name():
    async def scenario():
        board = StateBoard()
        waits = [asyncio.ensure_future(board.wait_for_change("plan", 0)) for _ in range(3)]
        other = asyncio.ensure_future(board.wait_for_change("other", 0))
        await asyncio.sleep(0)
        board.publish("plan", 1)
        assert await asyncio.gather(*waits) == [1, 1, 1] and not other.done()
        other.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize("timeout_s", [0, 0.001])
def test_a_wait_that_runs_out_gives_the_same_version_and_leaves_nothing_behind(timeout_s):
    board = StateBoard()
    assert asyncio.run(board.wait_for_change("plan", 0, timeout_s)) == 0
    board.notify("plan")
    assert board.version("plan") == 1
