"""The health of one replica, step by step: results in, states out."""

import pytest

from archhatch.health import HealthState, PeerStatistics, ReplicaHealth


TABLE = [  # state, result, state after it
    ("healthy", "served", "healthy"),
    ("suspect", "served", "healthy"),
    ("ejected", "served", "suspect"),
    ("healthy", "faulted", "suspect"),
    ("suspect", "faulted", "suspect"),
    ("ejected", "faulted", "ejected"),
    ("healthy", "vanished", "ejected"),
    ("suspect", "vanished", "ejected"),
    ("ejected", "vanished", "ejected"),
    ("healthy", "late", "healthy"),
    ("suspect", "late", "healthy"),
    ("ejected", "late", "ejected"),
    ("healthy", "shed", "healthy"),
    ("ejected", "shed", "ejected"),
]


def test_the_table_names_all_states():
    assert {s for s, _, _ in TABLE} == set(HealthState)


@pytest.mark.parametrize("state, sign, dest", TABLE)
def test_health_moves(state, sign, dest):
    f = ReplicaHealth()
    f.state, f.ejected_until, f.failures = HealthState(state), 5.0, 1.0 if state == "ejected" else 0.0
    f.record(sign, 0.0, 1.0)
    assert f.update(0.0) == dest


SEQUENCES = [  # results one second apart with rests of 1 s, the state behind them
    ("s" * 20 + "f", "healthy"),  # one failure among many successes
    ("f", "suspect"),
    ("ff", "ejected"),
    ("s" * 20 + "fffff", "ejected"),
    ("sfsfsfsf", "ejected"),  # grey
    ("sssfssssssfsssss", "healthy"),
    ("x" * 30, "healthy"),  # full all the time: load
    ("l" * 30, "suspect"),  # slow all the time: used less, not ejected
    ("v", "ejected"),
    ("vs", "suspect"),  # there again, on trial
    ("vssss", "suspect"),
    ("vsssss", "healthy"),
]


@pytest.mark.parametrize("signs, state", SEQUENCES)
def test_results_are_weighed(signs, state):
    f, now = ReplicaHealth(), 100.0
    for sign in signs:
        f.record({"s": "served", "f": "faulted", "v": "vanished", "l": "late", "x": "shed"}[sign], now, 1.0)
        now += 0.1
    assert f.update(now - 0.1) == state


def test_health_rests_longer_each_time_and_comes_back_in_doubt():
    f = ReplicaHealth()
    f.record("vanished", 0.0, 1.0)
    assert f.update(0.5) == "ejected" and f.update(1.0) == "suspect"
    f.record("vanished", 1.0, 1.0)
    assert f.update(2.5) == "ejected" and f.update(3.0) == "suspect"
    f.record("served", 3.0, 1.0)
    f.record("vanished", 3.0, 1.0)
    assert f.update(6.5) == "ejected" and f.update(7.0) == "suspect"  # one success does not prove it well
    for n in range(12):
        f.record("served", 7.0 + n, 1.0)
    assert f.update(19.0) == "healthy"
    f.record("vanished", 19.0, 1.0)
    assert (
        f.update(22.5) == "ejected" and f.update(23.0) == "suspect"
    )  # it was ill by turns; half of what was is forgotten


def test_failures_sent_before_a_rest_do_not_prolong_it():
    f = ReplicaHealth()
    for _ in range(20):
        f.record("faulted", 0.0, 1.0)
    assert f.update(0.9) == "ejected" and f.update(1.0) == "suspect"


@pytest.mark.parametrize(
    "results, beaten, state",
    [
        (["vanished"], True, "suspect"),  # out of reach, and there again
        (["vanished"], False, "ejected"),
        (["faulted"] * 3, True, "ejected"),  # a beat proves nothing against results
        (["vanished", "served", "vanished", "served", "vanished"], True, "ejected"),
    ],
)
def test_a_beat_is_a_hint(results, beaten, state):
    f = ReplicaHealth()
    for r in results:
        f.record(r, 10.0, 1.0)
    if beaten:
        f.hint_recovery()
    assert f.update(10.5) == state


@pytest.mark.parametrize("count, bad, out", [(2, 2, 0), (3, 1, 1), (3, 3, 1), (9, 4, 3), (24, 24, 8)])
def test_no_more_than_a_third_is_ejected_for_results(count, bad, out):
    peers = PeerStatistics()
    all_ = [ReplicaHealth(peers) for _ in range(count)]
    for n, f in enumerate(all_):
        for _ in range(8):
            f.record("faulted" if n < bad else "served", 10.0, 1.0)
    assert sum(f.update(10.1) == "ejected" for f in all_) <= out
    for f in all_[:bad]:
        peers.remove(f)
    assert not peers.ejected and len(peers.members) == count - bad


def test_where_all_fail_alike_none_is_ejected():
    peers = PeerStatistics()
    all_ = [ReplicaHealth(peers) for _ in range(6)]
    for n in range(40):
        for f in all_:
            f.record("faulted" if n % 2 else "served", 10.0 + n, 1.0)
    assert {f.update(50.0) for f in all_} == {"suspect"}


def test_a_few_trials_and_time_bring_it_back():
    f = ReplicaHealth()
    for _ in range(4):
        f.record("faulted", 0.0, 1.0)
    assert f.update(1.0) == "suspect" and f.trials_left == 5
    f.record("served", 1.0, 1.0)
    f.record("served", 1.1, 1.0)
    assert f.trials_left == 3 and f.update(1.2) == "suspect"
    assert f.update(60.0) == "healthy"  # nothing was asked of it: time forgives
