"""The health of one replica, step by step: results in, states out."""

import pytest

from archhatch.health import PeerStatistics, ReplicaHealth
from archhatch.health.outlier_detection import STATES


TABLE = [  # state, result, state after it
    ("fit", "served", "fit"),
    ("doubtful", "served", "fit"),
    ("resting", "served", "doubtful"),
    ("fit", "faulted", "doubtful"),
    ("doubtful", "faulted", "doubtful"),
    ("resting", "faulted", "resting"),
    ("fit", "vanished", "resting"),
    ("doubtful", "vanished", "resting"),
    ("resting", "vanished", "resting"),
    ("fit", "late", "fit"),
    ("doubtful", "late", "fit"),
    ("resting", "late", "resting"),
    ("fit", "shed", "fit"),
    ("resting", "shed", "resting"),
]


def test_the_table_of_moves_names_all_states():
    assert {s for s, _, _ in TABLE} == set(STATES)


@pytest.mark.parametrize("state, sign, dest", TABLE)
def test_fitness_moves(state, sign, dest):
    f = ReplicaHealth()
    f.state, f.until, f.bad = state, 5.0, 1.0 if state == "resting" else 0.0
    f.note(sign, 0.0, 1.0)
    assert f.look(0.0) == dest


SEQUENCES = [  # results one second apart with rests of 1 s, the state behind them
    ("s" * 20 + "f", "fit"),  # one failure among many successes
    ("f", "doubtful"),
    ("ff", "resting"),
    ("s" * 20 + "fffff", "resting"),
    ("sfsfsfsf", "resting"),  # grey
    ("sssfssssssfsssss", "fit"),
    ("x" * 30, "fit"),  # full all the time: load
    ("l" * 30, "doubtful"),  # slow all the time: used less, not ejected
    ("v", "resting"),
    ("vs", "doubtful"),  # there again, on trial
    ("vssss", "doubtful"),
    ("vsssss", "fit"),
]


@pytest.mark.parametrize("signs, state", SEQUENCES)
def test_results_are_weighed(signs, state):
    f, now = ReplicaHealth(), 100.0
    for sign in signs:
        f.note({"s": "served", "f": "faulted", "v": "vanished", "l": "late", "x": "shed"}[sign], now, 1.0)
        now += 0.1
    assert f.look(now - 0.1) == state


def test_fitness_rests_longer_each_time_and_comes_back_in_doubt():
    f = ReplicaHealth()
    f.note("vanished", 0.0, 1.0)
    assert f.look(0.5) == "resting" and f.look(1.0) == "doubtful"
    f.note("vanished", 1.0, 1.0)
    assert f.look(2.5) == "resting" and f.look(3.0) == "doubtful"
    f.note("served", 3.0, 1.0)
    f.note("vanished", 3.0, 1.0)
    assert f.look(6.5) == "resting" and f.look(7.0) == "doubtful"  # one success does not prove it well
    for n in range(12):
        f.note("served", 7.0 + n, 1.0)
    assert f.look(19.0) == "fit"
    f.note("vanished", 19.0, 1.0)
    assert (
        f.look(22.5) == "resting" and f.look(23.0) == "doubtful"
    )  # it was ill by turns; half of what was is forgotten


def test_failures_sent_before_a_rest_do_not_prolong_it():
    f = ReplicaHealth()
    for _ in range(20):
        f.note("faulted", 0.0, 1.0)
    assert f.look(0.9) == "resting" and f.look(1.0) == "doubtful"


@pytest.mark.parametrize(
    "results, beaten, state",
    [
        (["vanished"], True, "doubtful"),  # out of reach, and there again
        (["vanished"], False, "resting"),
        (["faulted"] * 3, True, "resting"),  # a beat proves nothing against results
        (["vanished", "served", "vanished", "served", "vanished"], True, "resting"),
    ],
)
def test_a_beat_is_a_hint(results, beaten, state):
    f = ReplicaHealth()
    for r in results:
        f.note(r, 10.0, 1.0)
    if beaten:
        f.hint()
    assert f.look(10.5) == state


@pytest.mark.parametrize("count, bad, out", [(2, 2, 0), (3, 1, 1), (3, 3, 1), (9, 4, 3), (24, 24, 8)])
def test_no_more_than_a_third_is_ejected_for_results(count, bad, out):
    peers = PeerStatistics()
    all_ = [ReplicaHealth(peers) for _ in range(count)]
    for n, f in enumerate(all_):
        for _ in range(8):
            f.note("faulted" if n < bad else "served", 10.0, 1.0)
    assert sum(f.look(10.1) == "resting" for f in all_) <= out
    for f in all_[:bad]:
        peers.leave(f)
    assert not peers.out and len(peers.members) == count - bad


def test_where_all_fail_alike_none_is_ejected():
    peers = PeerStatistics()
    all_ = [ReplicaHealth(peers) for _ in range(6)]
    for n in range(40):
        for f in all_:
            f.note("faulted" if n % 2 else "served", 10.0 + n, 1.0)
    assert {f.look(50.0) for f in all_} == {"doubtful"}


def test_a_few_trials_and_time_bring_it_back():
    f = ReplicaHealth()
    for _ in range(4):
        f.note("faulted", 0.0, 1.0)
    assert f.look(1.0) == "doubtful" and f.trials == 5
    f.note("served", 1.0, 1.0)
    f.note("served", 1.1, 1.0)
    assert f.trials == 3 and f.look(1.2) == "doubtful"
    assert f.look(60.0) == "fit"  # nothing was asked of it: time forgives
