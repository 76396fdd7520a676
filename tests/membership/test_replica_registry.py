"""The registry: heartbeats in any order, what readers and control nodes are told, and replicas that fall silent."""

import itertools

import pytest

from archhatch.membership import ReplicaRegistry, marks_of


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


def life(name, seq=1, **kwargs):
    return {"id": name, "seq": seq, "state": "up", "addr": "x:1", "service": "s", "models": {"m": 1}, **kwargs}


def told(registry, version=0):
    """What a reader that has a version is told: ids in the order of the feed, with their marks."""
    return [(e["id"], *marks_of(e)) for e in registry.changes_since(version)]


# A replica that crashed and was back within the time until silence was dropped for good (review/1): the silent mark of
# its dead incarnation was told after its successor.
def test_nothing_is_told_of_a_dead_incarnation_after_its_successor():
    registry = ReplicaRegistry()
    registry.record_heartbeat(life("old"), 0.0)
    registry.record_heartbeat(life("new"), 1.0)
    version = registry.version
    assert told(registry) == [("old", False, True), ("new", False, False)]
    registry.record_heartbeat(life("new", 2), 2.2)
    registry.sweep(3.5, 3.0)
    registry.sweep(400.0, 500.0)
    assert told(registry, version) == []


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
def test_the_latest_incarnation_has_the_address_in_whatever_order_another_node_tells_of_them(order):
    news = [
        (life("old", 7), 9.0, 1.0),
        (life("new", 1), 10.0, 10.0),
        (life("old", 8), 10.1, 1.0),
        (life("new", 2), 11.2, 10.0),
    ]
    registry = ReplicaRegistry()
    for n in order:
        registry.record_heartbeat(*news[n])
    assert told(registry)[-1] == ("new", False, False) and ("old", False, True) in told(registry)


def test_a_replica_that_is_still_heard_gets_its_address_back_from_one_that_was_only_heard_late():
    registry = ReplicaRegistry()  # of a node that has just started
    registry.record_heartbeat(life("new", 5), 0.0)
    registry.record_heartbeat(life("old", 9), 0.5)  # delayed on its way; its sender is dead
    assert told(registry) == [("new", False, True), ("old", False, False)]
    registry.record_heartbeat(life("new", 7), 3.4)
    registry.sweep(3.6, 3.0)
    assert told(registry) == [("old", True, True), ("new", False, False)]


def test_a_node_that_starts_hears_which_incarnation_came_first():
    heard, started = ReplicaRegistry(), ReplicaRegistry()
    heard.record_heartbeat(life("old"), 100.0)
    heard.record_heartbeat(life("new"), 102.0)
    started.record_heartbeat(life("old", 2), 3.0)  # a late one comes here first
    for entry in heard.heartbeats_since(0, 103.0):
        age, first_age = entry.pop("age"), entry.pop("first_age")
        assert marks_of(entry) == (False, False)
        started.record_heartbeat(entry, 4.0 - age, 4.0 - first_age)
    assert told(started)[-1] == ("new", False, False)
