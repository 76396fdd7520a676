"""Which control node a reader of the feed asks next."""

import pytest

from archhatch.membership.config_sources import ConfigSources, Verdict

ADDRESSES = ["a", "b", "c"]


@pytest.mark.parametrize(
    "held, newest_before, newest, verdict",
    [
        ({"plan": 5}, {}, {"plan": 5}, Verdict.CURRENT),
        ({"plan": 5}, {}, {"plan": 6}, Verdict.CURRENT),  # it told of a newer one itself, and may give it next time
        ({"plan": 5}, {}, {"plan": 4}, Verdict.BEHIND),
        ({"plan": 5}, {"plan": 6}, {"plan": 5}, Verdict.LAGGING),
        ({"plan": 6}, {"plan": 6}, {"plan": 6}, Verdict.CURRENT),
        ({}, {"p0": 1}, {}, Verdict.LAGGING),
    ],
)
def test_what_an_answer_shows_of_its_source(held, newest_before, newest, verdict):
    assert ConfigSources(1.0).judge(held, newest_before, newest) is verdict


def test_answers_of_an_incarnation_that_ended_are_refused_for_ever():
    sources = ConfigSources(1.0)
    incarnations = ["x", "x", "y", "x", "z", "y", "z"]
    assert [sources.record_answer("a", i, "n") for i in incarnations] == [True, True, True, False, True, False, True]
    assert sources.record_answer("b", "x", "m") and sources.node_id("a") == "n" and sources.node_id("b") == "m"


def test_a_node_is_forgotten_and_learnt_again():
    sources = ConfigSources(1.0)
    sources.forget_node("a")
    sources.record_answer("a", "x", "n")
    sources.forget_node("a")
    assert sources.node_id("a") == "" == sources.node_id("nowhere")
    assert sources.record_answer("a", "x", "m") and sources.node_id("a") == "m"


def test_each_source_is_left_once_and_then_one_is_kept_for_a_pause_that_doubles():
    sources, now, address, pauses = ConfigSources(1.0), 0.0, "a", []
    for _ in range(6):
        for following in ("b", "c"):
            address = sources.choose_next(Verdict.LAGGING, ADDRESSES, address, now)
            assert address == following
        assert sources.choose_next(Verdict.LAGGING, ADDRESSES, "c", now) == "c"
        pauses.append(sources._stay_until - now)
        now, address = sources._stay_until, "a"
    assert pauses == [1, 2, 4, 8, 8, 8]


def test_a_reader_hurries_while_a_newer_version_exists_and_not_while_it_stays():
    sources = ConfigSources(1.0)
    assert not sources.should_hurry({"plan": 5}, 0.0)
    sources.judge({"plan": 5}, {}, {"plan": 6})
    assert sources.should_hurry({"plan": 5}, 0.0) and not sources.should_hurry({"plan": 6}, 0.0)
    for address in ADDRESSES:
        sources.choose_next(Verdict.LAGGING, ADDRESSES, address, 0.0)
    assert not sources.should_hurry({"plan": 5}, 0.9) and sources.should_hurry({"plan": 5}, 1.0)
    sources.judge({"plan": 5}, {"plan": 6}, {"plan": 7})  # news of a newer version ends the pause
    assert sources.should_hurry({"plan": 5}, 0.5)
