"""How long an attempt of a generation may be without its first token."""

from __future__ import annotations

import pytest

from wallwell.standalone.callers.engine_attempt import (
    FIRST_TOKEN_TIMEOUT_FACTOR,
    MIN_DEADLINE_TIMEOUT_S,
    MIN_FIRST_TOKEN_TIMEOUT_S,
    first_token_timeout_s,
)


@pytest.mark.parametrize(
    ("expected_s", "started", "remaining_s", "timeout_s"),
    [
        pytest.param(0.01, False, 60.0, MIN_FIRST_TOKEN_TIMEOUT_S, id="a short prompt gets the least time"),
        pytest.param(1.0, False, 60.0, FIRST_TOKEN_TIMEOUT_FACTOR, id="a long prompt gets a multiple of its time"),
        pytest.param(1.0, False, 3.0, 3.0, id="the deadline bounds a generation that has not begun"),
        pytest.param(1.0, False, -3.0, MIN_DEADLINE_TIMEOUT_S, id="an attempt can succeed at all"),
        pytest.param(1.0, True, 3.0, FIRST_TOKEN_TIMEOUT_FACTOR, id="a stream is continued beyond the deadline"),
    ],
)
def test_the_time_to_the_first_token_is_bounded(expected_s, started, remaining_s, timeout_s):
    assert first_token_timeout_s(expected_s, started, remaining_s) == timeout_s
