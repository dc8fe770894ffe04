"""Waits of refused callers: by the cause, with jitter, and never longer than callers honour."""

import random

import pytest

from wallwell.routing.admission.overload import Occupancy
from wallwell.routing.retry.retry_after import (
    CAPPED_WAIT_JITTER,
    HONOURED_WAIT_FRACTION,
    MAX_STORE_WAIT_S,
    MIN_RETRY_AFTER_S,
    NO_BACKEND_WAIT_S,
    OTHER_NODE_WAIT_S,
    SLOT_RELEASE_FRACTION,
    SUSPENSION_MARGIN_S,
    WAIT_JITTER,
    RefusalCause,
    RefusalCircumstances,
    overload_retry_after_s,
    retry_after_s,
)

LONG_REMAINING_S = 30.0
"""Remaining time of a caller so long that no wait is cut to what the caller honours."""


def draw_waits(cause, draws=400, **circumstances):
    rng = random.Random(3)
    drawn_for = RefusalCircumstances(circumstances.pop("remaining_s", LONG_REMAINING_S), **circumstances)
    return [retry_after_s(cause, drawn_for, rng) for _ in range(draws)]


def jitter_range(expected_s):
    return expected_s * WAIT_JITTER[0], expected_s * WAIT_JITTER[1]


C = RefusalCause


@pytest.mark.parametrize(
    ("cause", "circumstances", "expected"),
    [
        # Only this node lacks a configuration: another node serves the request.
        (C.NO_CONFIGURATION, {"store_silence_s": 0.3}, jitter_range(OTHER_NODE_WAIT_S)),
        (C.STALE_CONFIGURATION, {"store_silence_s": 5.0}, jitter_range(OTHER_NODE_WAIT_S)),
        # The store may be silent for all nodes: the longer its silence so far, the longer it is expected to last.
        (
            C.NO_CONFIGURATION,
            {"store_silence_s": 0.02, "receives_peer_loads": True},
            jitter_range(OTHER_NODE_WAIT_S),
        ),
        (C.NO_CONFIGURATION, {"store_silence_s": 1.0, "receives_peer_loads": True}, jitter_range(0.5)),
        (C.STALE_CONFIGURATION, {"store_silence_s": 3.0, "receives_peer_loads": True}, jitter_range(1.5)),
        (
            C.STALE_CONFIGURATION,
            {"store_silence_s": 60.0, "receives_peer_loads": True},
            jitter_range(MAX_STORE_WAIT_S),
        ),
        (C.NO_BACKEND_LISTED, {}, jitter_range(NO_BACKEND_WAIT_S)),
        (C.WEIGHTS_TOO_OLD, {}, jitter_range(NO_BACKEND_WAIT_S)),
        (
            C.ALL_SUSPENDED,
            {"suspension_ends_in_s": 0.4},
            (0.4 + SUSPENSION_MARGIN_S, 0.4 + SUSPENSION_MARGIN_S + OTHER_NODE_WAIT_S),
        ),
        (
            C.ALL_SUSPENDED,
            {"suspension_ends_in_s": 0.0},
            (MIN_RETRY_AFTER_S, SUSPENSION_MARGIN_S + OTHER_NODE_WAIT_S),
        ),
        (C.ALL_BACKING_OFF, {"backoff_ends_in_s": 0.8, "suspension_ends_in_s": 0.1}, (0.8, 1.0)),
        (C.REFUSED_BY_BACKENDS, {"usual_duration_s": 1.2}, jitter_range(SLOT_RELEASE_FRACTION * 1.2)),
        (C.REFUSED_BY_BACKENDS, {"usual_duration_s": 0.02}, jitter_range(OTHER_NODE_WAIT_S)),
        (
            C.RETRY_BUDGET_EXHAUSTED,
            {"usual_duration_s": 9.0, "suspension_ends_in_s": 9.0},
            jitter_range(OTHER_NODE_WAIT_S),
        ),
    ],
)
def test_waits_vary_around_the_expected_time(cause, circumstances, expected):
    waits_s = draw_waits(cause, **circumstances)
    low_s, high_s = expected
    assert low_s <= min(waits_s) and max(waits_s) <= high_s
    assert max(waits_s) - min(waits_s) > 0.8 * (high_s - low_s)


def test_the_wait_for_a_limit_is_unchanged_since_it_includes_jitter_already():
    assert set(draw_waits(C.ALL_LIMITED, limit_wait_s=0.7, suspension_ends_in_s=0.1)) == {0.7}


@pytest.mark.parametrize("remaining_s", [0.06, 0.663, 4.47])
@pytest.mark.parametrize("cause", [each for each in RefusalCause if each is not RefusalCause.TOO_LITTLE_TIME])
def test_no_wait_is_longer_than_callers_honour_and_cut_waits_still_vary(cause, remaining_s):
    """Otherwise all callers with a longer wait would retry after the same fraction of their remaining time."""
    circumstances = {
        "store_silence_s": 60.0,
        "receives_peer_loads": True,
        "suspension_ends_in_s": 60.0,
        "backoff_ends_in_s": 60.0,
        "limit_wait_s": 60.0,
        "usual_duration_s": 60.0,
    }
    waits_s = draw_waits(cause, remaining_s=remaining_s, **circumstances)
    longest_s = remaining_s * HONOURED_WAIT_FRACTION
    assert min(waits_s) >= MIN_RETRY_AFTER_S
    assert max(waits_s) <= longest_s + 1e-9
    uncut_s = (WAIT_JITTER[1] - WAIT_JITTER[0]) * NO_BACKEND_WAIT_S
    if cause is not RefusalCause.RETRY_BUDGET_EXHAUSTED:
        assert max(waits_s) - min(waits_s) > 0.8 * min(
            CAPPED_WAIT_JITTER * longest_s, longest_s - MIN_RETRY_AFTER_S, uncut_s
        )


def test_no_retry_is_offered_if_too_little_time_is_left():
    assert set(draw_waits(RefusalCause.TOO_LITTLE_TIME, usual_duration_s=1.0, suspension_ends_in_s=1.0)) == {0.0}


def draw_overload_waits(rank, load_per_slot, generation_s=2.0):
    rng = random.Random(1)
    occupancy = Occupancy(round(load_per_slot * 1_000), 1_000)
    return sorted(overload_retry_after_s(occupancy, rank, generation_s, rng) for _ in range(200))


def test_overload_waits_grow_with_the_load_and_vary():
    lower_load, higher_load = draw_overload_waits(0, 1.5), draw_overload_waits(0, 2.5)
    assert sum(lower_load) < sum(higher_load)
    assert lower_load[-1] > 1.5 * lower_load[0]


def test_overload_waits_are_shorter_for_urgent_ranks():
    assert sum(draw_overload_waits(0, 1.5)) < sum(draw_overload_waits(1, 1.5))


def test_overload_waits_are_proportional_to_the_duration_of_generations():
    assert sum(draw_overload_waits(0, 1.5, generation_s=4.0)) == pytest.approx(2 * sum(draw_overload_waits(0, 1.5)))
