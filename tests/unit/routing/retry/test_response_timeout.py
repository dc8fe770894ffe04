"""Timeouts after which a silent back end is abandoned."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wallwell.routing.admission.remaining_time import MIN_REMAINING_S
from wallwell.routing.retry.response_timeout import (
    MIN_PREFILL_TOKENS_PER_S,
    OBJECTIVE_TIMEOUT_FRACTION,
    REMAINING_TIMEOUT_FRACTION,
    STALL_TIMEOUT_FACTOR,
    begin_timeout_s,
    response_timeout_s,
    stall_timeout_s,
)


@pytest.mark.parametrize(
    ("objective_s", "remaining_s", "prompt_tokens", "expected_s"),
    [
        # A call leaves time for a second attempt within the objective.
        (0.5, 9.0, None, 0.5 * OBJECTIVE_TIMEOUT_FRACTION),
        # A short prompt may take the whole objective, a long one the time of its prefill besides the fraction.
        (0.5, 9.0, 100, 0.5),
        (0.5, 9.0, 20_000, 0.5 * OBJECTIVE_TIMEOUT_FRACTION + 20_000 / MIN_PREFILL_TOKENS_PER_S),
        # For any objective, part of the caller's remaining time is left for another back end.
        (0.5, 0.2, None, 0.2 * REMAINING_TIMEOUT_FRACTION),
        (0.5, 1.0, 20_000, REMAINING_TIMEOUT_FRACTION),
    ],
)
def test_response_timeout_by_objective_remaining_time_and_prompt(
    objective_s, remaining_s, prompt_tokens, expected_s
):
    assert response_timeout_s(objective_s, remaining_s, prompt_tokens) == pytest.approx(expected_s)


@given(st.floats(0.01, 10.0), st.floats(0.0, 100.0), st.none() | st.integers(1, 300_000))
def test_time_is_always_left_for_another_back_end(objective_s, remaining_s, prompt_tokens):
    assert response_timeout_s(objective_s, remaining_s, prompt_tokens) <= REMAINING_TIMEOUT_FRACTION * remaining_s


@pytest.mark.parametrize(
    ("weights_usable_for_s", "remaining_s", "expected_s"),
    [(0.5, 2.0, 0.5), (2.0, 2.0, None), (9.0, 2.0, None), (-1.0, 2.0, MIN_REMAINING_S)],
)
def test_an_engine_must_begin_while_its_weights_are_new_enough(weights_usable_for_s, remaining_s, expected_s):
    assert begin_timeout_s(weights_usable_for_s, remaining_s) == expected_s


def test_a_stream_stalls_after_a_multiple_of_its_allowed_gap():
    assert stall_timeout_s(0.5) == STALL_TIMEOUT_FACTOR * 0.5
