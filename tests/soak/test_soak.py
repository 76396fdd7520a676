"""A short soak for each run of the tests; long ones are played by hand (tests/soak/soak.py)."""

import asyncio

import pytest

from tests.soak.soak import play

SHORT_S = 10.0


@pytest.mark.parametrize("seed", [1, 2])
def test_no_rule_is_broken_while_processes_end_start_and_stand_still(seed):
    assert asyncio.run(play(seed, troubles_s=SHORT_S)) == []


def test_no_rule_is_broken_beside_clients_that_do_not_behave():
    assert asyncio.run(play(3, troubles_s=SHORT_S, has_crowds=True)) == []
