"""A node counts as starved after two late timers in a row, until a second after the last one."""

import pytest

from wallwell.node.loop_lag import LATE_TIMER_S, STARVATION_HOLD_S, LoopLag


@pytest.mark.parametrize(
    ("delays", "starved"),
    [
        ((0.0, 0.01, 0.2), False),
        ((9.0,), False),
        ((9.0, 0.0, 9.0), False),
        ((LATE_TIMER_S, LATE_TIMER_S), True),
        ((0.0, 0.6, 0.7, 0.8), True),
        ((0.6, 0.6, 0.0), True),
    ],
    ids=["on time", "suspended once", "suspended twice", "starved", "starved longer", "recovering"],
)
def test_two_late_timers_in_a_row_are_starvation(delays, starved):
    lag = LoopLag()
    for delay_s in delays:
        lag.observe(delay_s, 10.0)
    assert lag.is_starved(10.0) is starved
    assert not lag.is_starved(10.0 + STARVATION_HOLD_S)
