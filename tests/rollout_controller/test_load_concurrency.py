"""How many replicas load weights at once: learnt, never forgotten for one odd sample."""

import pytest

from archhatch.rollout_controller.load_concurrency import LoadConcurrencyLimit


def learnt(engines, samples):
    r = LoadConcurrencyLimit(0.3)
    r.resize(engines)
    for took, at_once in samples:
        r.record_load(took, at_once)
    return r


LOADS = [  # engines, loads as (seconds, at once), least and most room after them
    (24, [], 4, 4),
    (5, [], 2, 2),
    (1, [], 2, 2),
    (24, [(0.6, 4)] * 12, 7, 9),
    (24, [(0.6, 4)] * 200, 24, 24),
    (5, [(0.6, 2)] * 200, 5, 5),
    (24, [(0.6, 4)] * 12 + [(1.4, 8)] * 15, 4, 5),  # crowded: down to what is always allowed, no further
    (24, [(0.6, 4)] * 12 + [(1.4, 3)] * 9, 7, 9),  # slow, but not because of many
    (24, [(0.1, 1)] + [(0.6, 4)] * 120, 8, 24),  # one that was odd does not hold all down for good
    (5, [(0.1, 1)] + [(0.6, 2)] * 8, 2, 2),
]


@pytest.mark.parametrize("engines, samples, least, most", LOADS)
def test_limit(engines, samples, least, most):
    assert least <= int(learnt(engines, samples).limit) <= most


def test_limit_follows_the_engines():
    r = learnt(5, [])
    assert r.allows_another(1) and not r.allows_another(2)
    r.resize(60)
    assert r.allows_another(9) and not r.allows_another(10)
