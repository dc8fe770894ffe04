"""Requests with too little time left are not sent, but a slow first answer does not refuse them forever."""

import pytest

from wallwell.routing.admission.remaining_time import (
    MIN_REMAINING_S,
    REQUESTS_PER_PROBE,
    REQUIRED_ANSWER_FRACTION,
    ShortestAnswerTime,
    has_too_little_time,
)


def test_a_request_needs_a_fraction_of_the_shortest_answer_time():
    shortest = ShortestAnswerTime()
    assert shortest.required_remaining_s(0.02) == 0.02
    for seconds in (0.9, 0.4, 0.6):
        shortest.observe(seconds)
    assert shortest.required_remaining_s(0.02) == pytest.approx(REQUIRED_ANSWER_FRACTION * 0.4)
    assert shortest.required_remaining_s(1.0) == 1.0


def test_a_slow_first_answer_does_not_refuse_short_requests_forever():
    shortest = ShortestAnswerTime()
    shortest.observe(8.0)
    refused = 0
    while shortest.should_refuse(1.0, 0.02):
        refused += 1
    assert refused == REQUESTS_PER_PROBE - 1
    shortest.observe(0.1)
    assert not any(shortest.should_refuse(1.0, 0.02) for _ in range(100))
    assert all(shortest.should_refuse(0.01, 0.02) for _ in range(100))


@pytest.mark.parametrize(
    ("shortest", "remaining_s", "continues_run", "expected"),
    [
        (None, MIN_REMAINING_S / 2, False, True),
        (None, MIN_REMAINING_S, False, False),
        (ShortestAnswerTime(4.0), 1.0, False, True),
        (ShortestAnswerTime(4.0), REQUIRED_ANSWER_FRACTION * 4.0, False, False),
        # The rest of a continued run takes an unknown time, shorter than a whole answer.
        (ShortestAnswerTime(4.0), 1.0, True, False),
        (ShortestAnswerTime(4.0), MIN_REMAINING_S / 2, True, True),
    ],
)
def test_too_little_time_left(shortest, remaining_s, continues_run, expected):
    assert has_too_little_time(shortest, remaining_s, continues_run) == expected
