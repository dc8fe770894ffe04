"""For how long a back end is suspended after failures."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wallwell.routing.health.suspension import (
    FIRST_SUSPENSION_S,
    MAX_SUSPENSION_S,
    RECENT_ANSWER_S,
    failure_suspension_end_s,
    has_answered_recently,
)


@pytest.mark.parametrize(
    ("failures", "unreachable", "duration_s"),
    [
        (1, True, 0.6),
        (2, True, 1.2),
        (3, True, 2.4),
        (4, True, 4.0),
        (40, True, 4.0),
        (1, False, None),
        (2, False, 0.6),
        (3, False, 1.2),
        (5, False, 4.0),
    ],
)
def test_suspensions_double_up_to_their_maximum(failures, unreachable, duration_s):
    until_s = failure_suspension_end_s(failures, unreachable, now_s=0.0)
    assert until_s == (None if duration_s is None else pytest.approx(duration_s))


@given(st.integers(1, 10_000), st.booleans(), st.floats(0.0, 1e6))
def test_a_suspension_is_bounded_and_never_shorter_after_more_failures(failures, unreachable, now_s):
    until_s, later_s = (failure_suspension_end_s(count, unreachable, now_s) for count in (failures, failures + 1))
    if until_s is not None:
        assert now_s + FIRST_SUSPENSION_S <= until_s <= later_s <= now_s + MAX_SUSPENSION_S


def test_an_answer_is_recent_for_a_limited_time():
    assert has_answered_recently(10.0, 10.0 + RECENT_ANSWER_S - 0.01)
    assert not has_answered_recently(10.0, 10.0 + RECENT_ANSWER_S)
    assert not has_answered_recently(float("-inf"), 10.0)
