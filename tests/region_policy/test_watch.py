"""Which regions are declared out and back: tables of what was heard when, and what follows; the clock moved by hand."""

import pytest

from archhatch.region_policy import Policy
from archhatch.region_policy.commands import commands
from archhatch.region_policy.watch import RegionWatch

QUIET, RETURN = 3.0, 12.0
TEXT = """version = 1
[[rule]]
name = "quotes"
class = "idempotent"
regions = ["a", "b", "c"]
{more}
"""
ZONES = {"za": "a", "zb": "b", "zc": "c", "zd": "d"}


class Play:
    """A policy's value, a watch, and services heard in regions; run() moves time on and runs what is advised."""

    def __init__(self, more="", services=("q",)):
        self.value, self.services = {}, {"quotes": set(services)}
        code, why, _ = commands.run(
            self.value, "policy.put", {"text": TEXT.format(more=more), "match": 0, "zones": ZONES}
        )
        assert code == 1000, why
        self.policy, self.now, self.done = Policy(self.value["policy"]), 100.0, []
        self.watch = RegionWatch(QUIET, RETURN)
        self.heard: dict = {}

    def run(self, timeout_s, alive, step=0.25):
        """alive: 'a b' means that all services are heard there, 'q@a' that one is."""
        end = self.now + timeout_s
        while self.now < end:
            self.now += step
            for word in alive.split():
                for svc in [word.split("@")[0]] if "@" in word else self.services["quotes"]:
                    self.heard[svc, word.split("@")[-1]] = self.now
            for name, args in self.watch.advise(
                self.policy, self.value.get("regions", {}), self.services, self.heard, self.now
            ):
                code, _, did = commands.run(self.value, name, args)
                assert code == 1000 and did
                self.done.append((name.split(".")[1], args["region"], round(self.now - 100.0, 2)))
        return self.done


@pytest.mark.parametrize(
    "steps, done",
    [
        ([(60, "a b c")], []),
        ([(10, "a b c"), (2.5, "b c")], []),  # shorter than the hysteresis
        ([(10, "a b c"), (2.5, "b c"), (9, "a b c")], []),
        ([(10, "a b c"), (5, "b c")], [("out", "a", 13.0)]),
        ([(10, "a b c"), (5, "")], []),  # nobody could take over
        ([(10, "a b c"), (5, "c")], [("out", "a", 13.0), ("out", "b", 13.0)]),
        ([(5, "b c")], [("out", "a", 3.25)]),  # never heard since the watch began
        ([(10, "a b c"), (5, "b c"), (11, "a b c")], [("out", "a", 13.0)]),  # not well for long enough
        ([(10, "a b c"), (5, "b c"), (13, "a b c")], [("out", "a", 13.0), ("back", "a", 27.25)]),
        (
            [(10, "a b c"), (5, "b c"), (8, "a b c"), (4, "b c"), (13, "a b c")],  # a break: it counts from the start
            [("out", "a", 13.0), ("back", "a", 39.25)],
        ),
        (
            [(10, "a b c"), (5, "b c"), (5, "a")],  # nobody else serves: back sooner
            [("out", "a", 13.0), ("back", "a", 18.25), ("out", "b", 18.5), ("out", "c", 18.5)],
        ),
    ],
)
def test_out_and_back(steps, done):
    play = Play()
    for timeout_s, alive in steps:
        play.run(timeout_s, alive)
    assert play.done == done


@pytest.mark.parametrize(
    "more, out_at, back_at",
    [
        ("hysteresis_s = 6", 16.0, 32.25),
        ("hysteresis_s = 1", 13.0, 32.25),
        ("return_after_s = 5", 13.0, 25.25),
        ("hysteresis_s = 6\nreturn_after_s = 20", 16.0, 40.25),
    ],
)
def test_the_rules_own_times(more, out_at, back_at):
    play = Play(more)
    play.run(10, "a b")
    play.run(10, "b")
    assert play.run(25, "a b") == [("out", "c", out_at - 9.75), ("out", "a", out_at), ("back", "a", back_at)]


def test_each_flap_doubles_the_time_to_return_and_calm_forgets_them():
    play, waits = Play("return_after_s = 2"), []
    for _ in range(7):
        play.run(4, "b c")
        began = play.now
        n = len(play.done)
        while len(play.done) == n:
            play.run(0.25, "a b c")
        waits.append(play.now - began - 0.25)
    assert waits == [2.0, 4.0, 8.0, 16.0, 32.0, 32.0, 32.0]
    play.run(25, "a b c")  # in for over ten return times
    play.run(4, "b c")
    began = play.now
    play.run(3, "a b c")
    assert play.done[-1][:2] == ("back", "a") and play.done[-1][2] == round(began + 2.25 - 100, 2)


@pytest.mark.parametrize(
    "steps, done",
    [
        ([(10, "a b"), (5, "q@a b")], [("out", "a", 13.0)]),  # one service is gone there
        ([(10, "a b"), (5, "q@a q@b")], []),  # it is gone everywhere
        ([(10, "a b"), (5, "q@a b"), (20, "q@a b")], [("out", "a", 13.0)]),  # half well is not well
        ([(10, "a b"), (5, "q@a b"), (13, "a b")], [("out", "a", 13.0), ("back", "a", 27.25)]),
    ],
)
def test_a_region_needs_all_of_a_rules_services(steps, done):
    play = Play(services=("q", "r"))
    for timeout_s, alive in steps:
        play.run(timeout_s, alive)
    assert [d for d in play.done if d[1] != "c"] == done


def test_operators_word_is_never_undone_by_the_watch():
    play = Play()
    commands.run(play.value, "region.out", {"region": "a", "rule": "*", "by": "operator", "reason": "works"})
    assert play.run(60, "a b c") == [] and play.run(20, "b c") == [] and play.run(60, "a b c") == []
    commands.run(play.value, "region.back", {"region": "a", "rule": "*", "by": "operator", "reason": "done"})
    assert play.run(10, "a b c") == []


def test_silence_and_wellness_count_from_when_the_node_is_in_touch_again():
    play = Play()
    play.run(10, "a b c")
    play.now += 60  # it stood still, or was cut off
    play.watch.restart(play.now)
    assert play.run(2.5, "b c") == [] and play.run(1, "b c") == [("out", "a", 73.0)]
    play.run(6, "a b c")
    play.watch.restart(play.now)
    assert play.run(11, "a b c") == [("out", "a", 73.0)] and play.run(2, "a b c")[-1] == ("back", "a", 91.75)
