"""Picking replicas: by load, pace, zone, fitness; those that leave never."""

import pytest

from archhatch.rollout_controller.engines import Engines
from archhatch.upstream import LoadBalancer


def load_balancer(**changes):
    p = LoadBalancer("z1", "me", rest_s=1.0)
    p.apply_updates(
        [{"id": i, "addr": f"{i}:1", "service": "s", "zone": "z1", "slots": 6, "state": "up"} for i in ("a", "b")]
    )
    for name, value in changes.items():
        setattr(p.replicas["a"], name, value)
    return p


@pytest.mark.parametrize(
    "change",
    [
        {"in_flight": 3},
        {"is_draining": True},
        {"is_silent": True},
        {"zone": "z2"},
        {"reported_load": 4.0, "reported_load_at": 10.0},
    ],
)
def test_the_better_one_is_picked(change):
    assert load_balancer(**change).select_replica("s", set(), 10.0).instance_id == "b"


def test_a_slow_replica_is_used_less_not_never():
    p = load_balancer(in_flight=2, relative_latency=9.0)
    p.replicas["b"].in_flight = 3
    assert p.select_replica("s", set(), 0.0).instance_id == "b"  # busier, and yet sooner done
    p.replicas["a"].in_flight = 0
    assert p.select_replica("s", set(), 0.0).instance_id == "a"


@pytest.mark.parametrize("signs, picked", [(["vanished"], "b"), (["faulted"], "b"), (["vanished", "served"], "a")])
def test_fitness_counts(signs, picked):
    p = load_balancer()
    p.replicas["b"].in_flight = 3
    for s in signs:
        p.record_outcome(p.replicas["a"], s, 0.0)
    assert p.select_replica("s", set(), 0.1).instance_id == picked


def test_when_all_rest_one_is_tried_all_the_same():
    p = load_balancer()
    for t in p.replicas.values():
        p.record_outcome(t, "vanished", 0.0)
    assert (
        p.select_replica("s", set(), 0.1) is not None
        and p.select_replica("s", {"a", "b"}, 0.1) is None
        and p.select_replica("t", set(), 0) is None
    )


def test_a_new_life_at_an_address_ends_the_old_one():
    p = load_balancer()
    p.apply_updates([{"id": "c", "addr": "a:1", "service": "other", "zone": "z1", "slots": 2, "state": "up"}])
    assert set(p.replicas) == {"b", "c"} and set(p.by_service["s"]) == {"b"}
    p.apply_updates([{"id": "c", "addr": "a:1", "service": "other", "zone": "z1", "slots": 2, "state": "gone"}])
    assert set(p.replicas) == {"b"}


# Both readers of the registry kept the dead one of two incarnations at an address, and dropped the living (review/1).
@pytest.mark.parametrize(
    "late, kept",
    [
        ({"id": "old", "silent": True}, {"new"}),  # its mark, from a node that does not know the successor
        ({"id": "old", "superseded": True}, {"new"}),
        ({"id": "old", "superseded": True, "silent": True}, {"new"}),
        ({"id": "new", "superseded": True}, set()),
        ({"id": "third"}, {"third"}),
    ],
)
def test_what_is_told_late_of_a_dead_incarnation_does_not_drop_its_successor(late, kept):
    common = {"addr": "a:1", "service": "s", "zone": "z1", "slots": 2, "state": "up", "models": {"m": 1}}
    balancer, engines = LoadBalancer("z1"), Engines()
    for apply in (balancer.apply_updates, engines.apply_entries):
        for entry in ({"id": "old"}, {"id": "new"}, late):
            apply([{**common, **entry}])
    assert set(balancer.replicas) == set(engines.all) == kept
    assert set(balancer.by_service["s"]) == {e.instance_id for e in engines.of_service("s")} == kept


@pytest.mark.parametrize("head, load, slots", [("4,1,8", 4.0, 8), ("bad", 0.0, 6), ("1,2", 0.0, 6)])
def test_a_replicas_own_word_on_its_load(head, load, slots):
    p = load_balancer(in_flight=1)
    p.record_load(p.replicas["a"], head, 5.0)
    assert (p.replicas["a"].reported_load, p.replicas["a"].slots) == (load, slots)
