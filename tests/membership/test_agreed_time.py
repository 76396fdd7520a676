"""The time of day that nodes agree on, by which usage windows are numbered."""

import pytest

from archhatch.membership.agreed_time import AgreedTime


@pytest.mark.parametrize("jumped, by", [(1, 3.0), (1, -3600.0), (2, 9.0)])
def test_clocks_that_jump_do_not_move_the_agreed_time(jumped, by):
    time = AgreedTime()
    for n in range(5):
        time.record_clock(f"n{n}", 1000.0 + n * 0.01 + (by if n < jumped else 0.0), 10.0)
    assert abs(time.at(20.0) - 1010.02) < 0.05
