"""The registry: heartbeats in any order, what readers and control nodes are told, and replicas that fall silent."""

import pytest

from archhatch.membership import ReplicaRegistry


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
