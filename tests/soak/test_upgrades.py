"""The judgement of a play of upgrades: what is lost counts, unless the player itself stood still."""

from types import SimpleNamespace

import pytest
from tests.soak.upgrades import Client, LoopWatch


def watch_with(stalls, now=100.0):
    loop_watch = LoopWatch(SimpleNamespace(record=SimpleNamespace(now=lambda: now)))
    loop_watch.stalls = stalls
    return loop_watch


@pytest.mark.parametrize(
    "stalls, is_lost",
    [
        ([], True),
        ([(16.9, 19.0)], False),  # it began within the request
        ([(15.0, 16.9)], False),  # it ended within the request
        ([(10.0, 16.7), (18.9, 20.0)], True),  # before it and behind it
    ],
)
def test_a_request_is_lost_unless_the_player_stood_still_meanwhile(stalls, is_lost):
    client = Client(SimpleNamespace(), edge=2)
    client._unanswered.append((16.8, 18.8, 504))
    assert client.lost(watch_with(stalls)) == (["LOST 16.80: edge-2 answered 504"] if is_lost else [])


@pytest.mark.parametrize("stalls, is_void", [([(1.0, 6.0), (20.0, 25.0)], False), ([(1.0, 6.0), (20.0, 25.1)], True)])
def test_a_play_in_which_the_player_stood_still_for_long_does_not_pass(stalls, is_void):
    assert bool(watch_with(stalls).judge()) is is_void
