"""Whether the fleet is behind, from how soon answers begin at all nodes."""

import pytest

from wallwell.routing.retry.first_token import (
    DELAY_WINDOW_S,
    MIN_ANSWERS,
    DelayCounts,
    FirstTokenDelays,
    sum_delay_counts,
)


def observed(*delays_s):
    delays = FirstTokenDelays()
    for delay_s in delays_s:
        delays.observe(delay_s, 0.8, 10.0)
    return delays


@pytest.mark.parametrize(
    ("delays_s", "peers", "expected"),
    [
        ([0.2] * 10, DelayCounts(), False),
        ([0.9] * 10, DelayCounts(), True),
        ([0.9] * (MIN_ANSWERS - 1), DelayCounts(), False),
        ([0.9] * 10, DelayCounts(100, 20), False),
        ([0.1], DelayCounts(100, 60), True),
        ([5.0] * 15 + [0.2] * 30, DelayCounts(), False),
    ],
    ids=["in time", "late", "too few", "late here only", "late elsewhere", "half of the engines unresponsive"],
)
def test_the_fleet_is_behind_if_answers_begin_late_everywhere(delays_s, peers, expected):
    delays = observed(*delays_s)
    delays.peer_counts = peers
    assert delays.is_fleet_behind(10.0) is expected


def test_delays_are_forgotten():
    delays = observed(*[2.0] * 10)
    assert delays.is_fleet_behind(10.0 + DELAY_WINDOW_S / 2)
    assert not delays.is_fleet_behind(10.0 + DELAY_WINDOW_S)


def test_an_answer_is_late_beyond_its_own_objective():
    assert observed(0.4, 0.8, 0.81, 9.0).own_counts(10.0) == DelayCounts(4, 2)
    assert sum_delay_counts([DelayCounts(4, 2), DelayCounts(1, 1)]) == DelayCounts(5, 3)
