import pytest

from archhatch.health import ReplicaHealth, PeerStatistics
from archhatch.membership import PeerSet, ReplicaRegistry, choose, rank
from archhatch.health.outlier_detection import STATES


def entry(state="up", seq=1, **kwargs):
    return {"id": "r", "seq": seq, "state": state, "models": {}, **kwargs}


@pytest.mark.parametrize(
    "beats, taken, state",
    [
        ([("up", 1), ("up", 2)], [True, True], "up"),
        ([("up", 2), ("up", 1)], [True, False], "up"),  # late
        ([("up", 2), ("up", 2)], [True, False], "up"),  # twice
        ([("up", 1), ("draining", 2), ("up", 3)], [True, True, False], "draining"),
        ([("draining", 5), ("up", 9)], [True, False], "draining"),  # draining outlives beats that overtook it
        ([("up", 4), ("gone", 1), ("up", 5)], [True, True, False], "gone"),
        ([("gone", 1), ("draining", 9)], [True, False], "gone"),
    ],
)
def test_roll_order_of_beats(beats, taken, state):
    registry = ReplicaRegistry()
    assert [registry.record_heartbeat(entry(s, q), 1.0) for s, q in beats] == taken
    assert registry.replicas["r"]["state"] == state


def test_roll_turn_moves_only_for_what_matters():
    registry = ReplicaRegistry()
    registry.record_heartbeat(entry(seq=1), 0.0)
    turn = registry.version
    registry.record_heartbeat(entry(seq=2), 1.0)
    assert registry.version == turn and registry.changes_since(turn) == []
    assert [e["age"] for e in registry.heartbeats_since(1, 3.0)] == [2.0]
    registry.record_heartbeat(entry(seq=3, models={"m": 2}), 2.0)
    assert registry.changes_since(turn) == [registry.replicas["r"]]


@pytest.mark.parametrize("now, silent, turned", [(2.0, False, False), (4.0, True, True)])
def test_sweep_marks_silence(now, silent, turned):
    registry = ReplicaRegistry()
    registry.record_heartbeat(entry(seq=1), 0.0)
    assert registry.sweep(now, 3.0) is turned
    assert registry.replicas["r"].get("silent", False) is silent
    if silent:
        registry.record_heartbeat(entry(seq=2), 5.0)
        registry.sweep(5.1, 3.0)
        assert not registry.replicas["r"].get("silent", False)


def test_sweep_drops_what_is_long_gone():
    registry = ReplicaRegistry()
    registry.record_heartbeat(entry("gone", 1), 0.0)
    registry.sweep(1000.0, 3.0)
    assert registry.replicas == {}


def test_rank_moves_only_what_it_must():
    names = [f"n{i}" for i in range(6)]
    keys = [f"k{i}" for i in range(200)]
    before = {k: choose(k, names)[0] for k in keys}
    after = {k: choose(k, names[:-1])[0] for k in keys}
    assert all(before[k] == after[k] or before[k] == "n5" for k in keys)
    assert len(set(before.values())) == 6 and rank("k", names) != rank("j", names)


def test_neighbours():
    n = PeerSet()
    n.update_card({"id": "a"})
    assert n.silence_s("a", 1e9) == float("inf")
    n.record_contact({"id": "a"}, 5.0)
    n.record_contact({"id": "a"}, 4.0)
    assert n.silence_s("a", 7.0) == 2.0


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


def test_sightings_are_told_once_and_two_that_tell_each_other_come_to_rest():
    one, two = PeerSet(step_s=0.2), PeerSet(step_s=0.2)
    one.record_contact({"id": "s", "ip": "1"}, 10.0)
    turns = [0, 0]
    for step in range(20):  # each tells the other what it was not told yet; on the way it grows a little younger
        for k, (a, b) in enumerate([(one, two), (two, one)]):
            for word, age in a.changes_since(turns[k], 11.0 + step):
                heard_at = 11.0 + step - age + 0.003
                assert (
                    b.record_contact(word, heard_at) is None
                    if isinstance(word, dict)
                    else b.record_sighting(word, heard_at)
                )
            turns[k] = a.version
    assert one.version == two.version == 2 and two.last_heard["s"] < 10.1
    one.record_contact({"id": "s", "ip": "1"}, 40.0)
    assert one.changes_since(turns[0], 40.0) == [["s", 0.0]]
    one.record_contact({"id": "s", "ip": "2"}, 40.1)  # another card is told whole, however soon
    assert one.changes_since(turns[0], 40.1)[0][0] == {"id": "s", "ip": "2"}
    assert two.record_sighting("unknown", 40.0) is False
    one.forget("s")
    assert one.changes_since(0, 40.0) == [] and one.silence_s("s", 40.0) == float("inf")
