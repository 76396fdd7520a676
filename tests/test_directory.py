import pytest

from lines.directory import Fitness, Neighbours, Roll, pick, rank
from lines.directory.fitness import STATES


def ent(state="up", seq=1, **kw):
    return {"id": "r", "seq": seq, "state": state, "models": {}, **kw}


@pytest.mark.parametrize("beats, taken, state", [
    ([("up", 1), ("up", 2)], [True, True], "up"),
    ([("up", 2), ("up", 1)], [True, False], "up"),                     # late
    ([("up", 2), ("up", 2)], [True, False], "up"),                     # twice
    ([("up", 1), ("draining", 2), ("up", 3)], [True, True, False], "draining"),
    ([("draining", 5), ("up", 9)], [True, False], "draining"),         # draining outlives beats that overtook it
    ([("up", 4), ("gone", 1), ("up", 5)], [True, True, False], "gone"),
    ([("gone", 1), ("draining", 9)], [True, False], "gone")])
def test_roll_order_of_beats(beats, taken, state):
    roll = Roll()
    assert [roll.beat(ent(s, q), 1.0) for s, q in beats] == taken
    assert roll.all["r"]["state"] == state


def test_roll_turn_moves_only_for_what_matters():
    roll = Roll()
    roll.beat(ent(seq=1), 0.0)
    turn = roll.turn
    roll.beat(ent(seq=2), 1.0)
    assert roll.turn == turn and roll.since(turn) == []
    assert [e["age"] for e in roll.beats_since(1, 3.0)] == [2.0]
    roll.beat(ent(seq=3, models={"m": 2}), 2.0)
    assert roll.since(turn) == [roll.all["r"]]


@pytest.mark.parametrize("now, silent, turned", [(2.0, False, False), (4.0, True, True)])
def test_sweep_marks_silence(now, silent, turned):
    roll = Roll()
    roll.beat(ent(seq=1), 0.0)
    assert roll.sweep(now, 3.0) is turned
    assert roll.all["r"].get("silent", False) is silent
    if silent:
        roll.beat(ent(seq=2), 5.0)
        roll.sweep(5.1, 3.0)
        assert not roll.all["r"].get("silent", False)


def test_sweep_drops_what_is_long_gone():
    roll = Roll()
    roll.beat(ent("gone", 1), 0.0)
    roll.sweep(1000.0, 3.0)
    assert roll.all == {}


def test_rank_moves_only_what_it_must():
    names = [f"n{i}" for i in range(6)]
    keys = [f"k{i}" for i in range(200)]
    before = {k: pick(k, names)[0] for k in keys}
    after = {k: pick(k, names[:-1])[0] for k in keys}
    assert all(before[k] == after[k] or before[k] == "n5" for k in keys)
    assert len(set(before.values())) == 6 and rank("k", names) != rank("j", names)


def test_neighbours():
    n = Neighbours()
    n.learn({"id": "a"})
    assert n.silent("a", 1e9) == float("inf")
    n.hear({"id": "a"}, 5.0)
    n.hear({"id": "a"}, 4.0)
    assert n.silent("a", 7.0) == 2.0


TABLE = [(s, t, d) for s in STATES for t, d in (("served", "fit"), ("vanished", "resting"), ("faulted", None))]


@pytest.mark.parametrize("state, sign, dest", TABLE)
def test_fitness_moves(state, sign, dest):
    f = Fitness()
    f.state = state
    want = dest or {"fit": "doubtful", "doubtful": "resting", "resting": "resting"}[state]
    assert f.note(sign, 0.0, 1.0) == want


def test_fitness_rests_longer_each_time_and_comes_back_in_doubt():
    f = Fitness()
    f.note("vanished", 0.0, 1.0)
    assert f.look(0.5) == "resting" and f.look(1.0) == "doubtful"
    f.note("vanished", 1.0, 1.0)
    assert f.look(2.5) == "resting" and f.look(3.0) == "doubtful"
    f.note("served", 3.0, 1.0)
    f.note("vanished", 3.0, 1.0)
    assert f.look(4.0) == "doubtful"
