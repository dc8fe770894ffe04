"""How long refused callers are told to wait: by the cause, spread, and never longer than they honour."""

import random

import pytest

from wallwell.routing.retry.retry_after import (
    CUT_SPREAD,
    ELSEWHERE_S,
    FREE_FRACTION,
    HONOURED_FRACTION,
    LONGEST_SILENCE_S,
    MARGIN_S,
    NONE_LISTED_S,
    SHORTEST_S,
    SPREAD,
    RefusalCause,
    RefusalCircumstances,
    retry_after_s,
)

LONG_S = 30.0
"""Time of a caller that is never cut to what it honours."""


def waits(cause, draws=400, **known):
    rng = random.Random(3)
    knowledge = RefusalCircumstances(known.pop("remaining_s", LONG_S), **known)
    return [retry_after_s(cause, knowledge, rng) for _ in range(draws)]


def around(expected_s):
    return expected_s * SPREAD[0], expected_s * SPREAD[1]


C = RefusalCause


@pytest.mark.parametrize(
    ("cause", "known", "expected"),
    [
        # This node alone: the next one serves.
        (C.NO_CONFIGURATION, {"store_silence_s": 0.3}, around(ELSEWHERE_S)),
        (C.STALE_CONFIGURATION, {"store_silence_s": 5.0}, around(ELSEWHERE_S)),
        # The whole fleet, as far as is known: the longer it has lasted, the longer it is expected to last.
        (C.NO_CONFIGURATION, {"store_silence_s": 0.02, "hears_fleet": True}, around(ELSEWHERE_S)),
        (C.NO_CONFIGURATION, {"store_silence_s": 1.0, "hears_fleet": True}, around(0.5)),
        (C.STALE_CONFIGURATION, {"store_silence_s": 3.0, "hears_fleet": True}, around(1.5)),
        (C.STALE_CONFIGURATION, {"store_silence_s": 60.0, "hears_fleet": True}, around(LONGEST_SILENCE_S)),
        (C.NONE_LISTED, {}, around(NONE_LISTED_S)),
        (C.WEIGHTS_TOO_OLD, {}, around(NONE_LISTED_S)),
        (C.SUSPENDED, {"open_in_s": 0.4}, (0.4 + MARGIN_S, 0.4 + MARGIN_S + ELSEWHERE_S)),
        (C.SUSPENDED, {"open_in_s": 0.0}, (SHORTEST_S, MARGIN_S + ELSEWHERE_S)),
        (C.REFUSED, {"service_s": 1.2}, around(FREE_FRACTION * 1.2)),
        (C.REFUSED, {"service_s": 0.02}, around(ELSEWHERE_S)),
        (C.BUDGET_USED, {"service_s": 9.0, "open_in_s": 9.0}, around(ELSEWHERE_S)),
    ],
)
def test_waits_lie_around_what_is_expected_and_are_spread(cause, known, expected):
    seen = waits(cause, **known)
    low_s, high_s = expected
    assert low_s <= min(seen) and max(seen) <= high_s
    assert max(seen) - min(seen) > 0.8 * (high_s - low_s)


@pytest.mark.parametrize("remaining_s", [0.06, 0.663, 4.47])
@pytest.mark.parametrize("cause", [each for each in RefusalCause if each is not RefusalCause.OUT_OF_TIME])
def test_no_wait_is_longer_than_callers_honour_and_cut_ones_are_still_spread(cause, remaining_s):
    """All callers that would wait longer would otherwise come back at one part of their time."""
    known = {"store_silence_s": 60.0, "hears_fleet": True, "open_in_s": 60.0, "service_s": 60.0}
    seen = waits(cause, remaining_s=remaining_s, **known)
    longest_s = remaining_s * HONOURED_FRACTION
    assert min(seen) >= SHORTEST_S
    assert max(seen) <= longest_s + 1e-9
    uncut_s = (SPREAD[1] - SPREAD[0]) * NONE_LISTED_S
    if cause is not RefusalCause.BUDGET_USED:
        assert max(seen) - min(seen) > 0.8 * min(CUT_SPREAD * longest_s, longest_s - SHORTEST_S, uncut_s)


def test_there_is_nothing_to_come_back_for_without_time():
    assert set(waits(RefusalCause.OUT_OF_TIME, service_s=1.0, open_in_s=1.0)) == {0.0}
