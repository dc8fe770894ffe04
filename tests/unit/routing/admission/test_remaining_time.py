"""Requests with too little time left are refused unsent, yet a slow first answer does not decide for ever."""

import pytest

from wallwell.routing.admission.remaining_time import (
    ANSWER_FRACTION,
    MIN_REMAINING_S,
    PROBE_ONE_IN,
    ShortestAnswer,
    is_too_late,
)


def test_a_request_needs_part_of_the_shortest_answer_seen():
    shortest = ShortestAnswer()
    assert shortest.least_remaining_s(0.02) == 0.02
    for seconds in (0.9, 0.4, 0.6):
        shortest.observe(seconds)
    assert shortest.least_remaining_s(0.02) == pytest.approx(ANSWER_FRACTION * 0.4)
    assert shortest.least_remaining_s(1.0) == 1.0


def test_one_slow_first_answer_does_not_refuse_short_requests_for_ever():
    shortest = ShortestAnswer()
    shortest.observe(8.0)
    refused = 0
    while shortest.is_too_late(1.0, 0.02):
        refused += 1
    assert refused == PROBE_ONE_IN - 1
    shortest.observe(0.1)
    assert not any(shortest.is_too_late(1.0, 0.02) for _ in range(100))
    assert all(shortest.is_too_late(0.01, 0.02) for _ in range(100))


@pytest.mark.parametrize(
    ("shortest", "remaining_s", "continues_run", "expected"),
    [
        (None, MIN_REMAINING_S / 2, False, True),
        (None, MIN_REMAINING_S, False, False),
        (ShortestAnswer(4.0), 1.0, False, True),
        (ShortestAnswer(4.0), ANSWER_FRACTION * 4.0, False, False),
        # What is left of a run that goes on is unknown, and less than a whole answer.
        (ShortestAnswer(4.0), 1.0, True, False),
        (ShortestAnswer(4.0), MIN_REMAINING_S / 2, True, True),
    ],
)
def test_too_little_time_left(shortest, remaining_s, continues_run, expected):
    assert is_too_late(shortest, remaining_s, continues_run) == expected
