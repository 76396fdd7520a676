"""How many replicas a service should have."""

import pytest

from archhatch.autoscaler.policy import ScaleLimits, ServiceScaler

LIMITS = ScaleLimits(1, 9, 4.0)
PRESSURES = [  # what is seen each second, what is wanted of 6 replicas at the end
    ([0.75] * 20, 6),
    ([0.3] * 5, 6),  # not calm for long enough
    ([0.3] * 8, 3),
    ([0.3, 0.7, 0.3, 0.3, 0.3, 0.3], 6),
    ([0.0] * 8, 0),  # the bounds of each zone come after
    ([1.5], 6),  # a moment
    ([1.5] * 3, 12),
    ([1.5, 1.0, 1.5, 1.0], 6),
]


@pytest.mark.parametrize("seen, wanted", PRESSURES)
def test_how_many_replicas_are_wanted(seen, wanted):
    scaler = ServiceScaler()
    got = [scaler.desired_count(float(at), 6, pressure, LIMITS) for at, pressure in enumerate(seen)]
    assert got[-1] == wanted


def test_a_change_is_given_time_to_show():
    scaler = ServiceScaler(changed_at=0.0)
    assert [scaler.desired_count(float(at), 6, 1.5, LIMITS) for at in range(8)] == [6] * 6 + [12] * 2
