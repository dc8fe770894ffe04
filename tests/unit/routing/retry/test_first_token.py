"""Whether the fleet is behind, from the number of answers that begin late at all nodes."""

import pytest

from wallwell.routing.retry.first_token import (
    DELAY_WINDOW_S,
    MIN_ANSWERS,
    DelayCounts,
    FirstTokenDelays,
    sum_delay_counts,
)


def delays_of(*delays_s):
    delays = FirstTokenDelays()
    for delay_s in delays_s:
        delays.observe(delay_s, 0.8, 10.0)
    return delays


@pytest.mark.parametrize(
    ("delays_s", "peer_counts", "expected"),
    [
        ([0.2] * 10, DelayCounts(), False),
        ([0.9] * 10, DelayCounts(), True),
        ([0.9] * (MIN_ANSWERS - 1), DelayCounts(), False),
        ([0.9] * 10, DelayCounts(100, 20), False),
        ([0.1], DelayCounts(100, 60), True),
        ([5.0] * 15 + [0.2] * 30, DelayCounts(), False),
    ],
    ids=["in time", "late", "too few answers", "late here only", "late at peers", "half of engines unresponsive"],
)
def test_fleet_is_behind_if_enough_answers_of_all_nodes_begin_late(delays_s, peer_counts, expected):
    delays = delays_of(*delays_s)
    delays.peer_counts = peer_counts
    assert delays.is_fleet_behind(10.0) is expected


def test_delays_expire_after_the_window():
    delays = delays_of(*[2.0] * 10)
    assert delays.is_fleet_behind(10.0 + DELAY_WINDOW_S / 2)
    assert not delays.is_fleet_behind(10.0 + DELAY_WINDOW_S)


def test_answers_after_the_objective_count_as_late():
    assert delays_of(0.4, 0.8, 0.81, 9.0).own_counts(10.0) == DelayCounts(4, 2)
    assert sum_delay_counts([DelayCounts(4, 2), DelayCounts(1, 1)]) == DelayCounts(5, 3)
