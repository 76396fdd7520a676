"""Picking replicas: by load, pace, zone, fitness; those that leave never."""

import pytest

from archhatch.upstream import LoadBalancer


def load_balancer(**changes):
    p = LoadBalancer("z1", "me", rest_s=1.0)
    p.fold([{"id": i, "addr": f"{i}:1", "service": "s", "zone": "z1", "slots": 6, "state": "up"} for i in ("a", "b")])
    for name, value in changes.items():
        setattr(p.all["a"], name, value)
    return p


@pytest.mark.parametrize(
    "change", [{"under_way": 3}, {"draining": True}, {"silent": True}, {"zone": "z2"}, {"load": 4.0, "load_at": 10.0}]
)
def test_the_better_one_is_picked(change):
    assert load_balancer(**change).pick("s", set(), 10.0).iid == "b"


def test_a_slow_replica_is_used_less_not_never():
    p = load_balancer(under_way=2, pace=9.0)
    p.all["b"].under_way = 3
    assert p.pick("s", set(), 0.0).iid == "b"  # busier, and yet sooner done
    p.all["a"].under_way = 0
    assert p.pick("s", set(), 0.0).iid == "a"


@pytest.mark.parametrize("signs, picked", [(["vanished"], "b"), (["faulted"], "b"), (["vanished", "served"], "a")])
def test_fitness_counts(signs, picked):
    p = load_balancer()
    p.all["b"].under_way = 3
    for s in signs:
        p.note(p.all["a"], s, 0.0)
    assert p.pick("s", set(), 0.1).iid == picked


def test_when_all_rest_one_is_tried_all_the_same():
    p = load_balancer()
    for t in p.all.values():
        p.note(t, "vanished", 0.0)
    assert (
        p.pick("s", set(), 0.1) is not None and p.pick("s", {"a", "b"}, 0.1) is None and p.pick("t", set(), 0) is None
    )


def test_a_new_life_at_an_address_ends_the_old_one():
    p = load_balancer()
    p.fold([{"id": "c", "addr": "a:1", "service": "other", "zone": "z1", "slots": 2, "state": "up"}])
    assert set(p.all) == {"b", "c"} and set(p.by_service["s"]) == {"b"}
    p.fold([{"id": "c", "addr": "a:1", "service": "other", "zone": "z1", "slots": 2, "state": "gone"}])
    assert set(p.all) == {"b"}


@pytest.mark.parametrize("head, load, slots", [("4,1,8", 4.0, 8), ("bad", 0.0, 6), ("1,2", 0.0, 6)])
def test_a_replicas_own_word_on_its_load(head, load, slots):
    p = load_balancer(under_way=1)
    p.note_load(p.all["a"], head, 5.0)
    assert (p.all["a"].load, p.all["a"].slots) == (load, slots)
