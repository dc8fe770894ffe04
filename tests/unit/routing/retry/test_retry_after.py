"""How long refused callers wait: by the cause, spread, and never longer than they honour."""

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

LONG_S = 30.0
"""Time of a caller that is never cut to what it honours."""


def waits(cause, draws=400, **known):
    rng = random.Random(3)
    knowledge = RefusalCircumstances(known.pop("remaining_s", LONG_S), **known)
    return [retry_after_s(cause, knowledge, rng) for _ in range(draws)]


def around(expected_s):
    return expected_s * WAIT_JITTER[0], expected_s * WAIT_JITTER[1]


C = RefusalCause


@pytest.mark.parametrize(
    ("cause", "known", "expected"),
    [
        # This node alone: the next one serves.
        (C.NO_CONFIGURATION, {"store_silence_s": 0.3}, around(OTHER_NODE_WAIT_S)),
        (C.STALE_CONFIGURATION, {"store_silence_s": 5.0}, around(OTHER_NODE_WAIT_S)),
        # The whole fleet, as far as is known: the longer it has lasted, the longer it is expected to last.
        (C.NO_CONFIGURATION, {"store_silence_s": 0.02, "receives_peer_loads": True}, around(OTHER_NODE_WAIT_S)),
        (C.NO_CONFIGURATION, {"store_silence_s": 1.0, "receives_peer_loads": True}, around(0.5)),
        (C.STALE_CONFIGURATION, {"store_silence_s": 3.0, "receives_peer_loads": True}, around(1.5)),
        (
            C.STALE_CONFIGURATION,
            {"store_silence_s": 60.0, "receives_peer_loads": True},
            around(MAX_STORE_WAIT_S),
        ),
        (C.NO_BACKEND_LISTED, {}, around(NO_BACKEND_WAIT_S)),
        (C.WEIGHTS_TOO_OLD, {}, around(NO_BACKEND_WAIT_S)),
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
        (C.REFUSED_BY_BACKENDS, {"usual_duration_s": 1.2}, around(SLOT_RELEASE_FRACTION * 1.2)),
        (C.REFUSED_BY_BACKENDS, {"usual_duration_s": 0.02}, around(OTHER_NODE_WAIT_S)),
        (
            C.RETRY_BUDGET_EXHAUSTED,
            {"usual_duration_s": 9.0, "suspension_ends_in_s": 9.0},
            around(OTHER_NODE_WAIT_S),
        ),
    ],
)
def test_waits_lie_around_what_is_expected_and_are_spread(cause, known, expected):
    seen = waits(cause, **known)
    low_s, high_s = expected
    assert low_s <= min(seen) and max(seen) <= high_s
    assert max(seen) - min(seen) > 0.8 * (high_s - low_s)


def test_the_wait_for_a_limit_is_sent_as_it_is_since_it_is_spread_where_it_is_decided():
    assert set(waits(C.ALL_LIMITED, limit_wait_s=0.7, suspension_ends_in_s=0.1)) == {0.7}


@pytest.mark.parametrize("remaining_s", [0.06, 0.663, 4.47])
@pytest.mark.parametrize("cause", [each for each in RefusalCause if each is not RefusalCause.TOO_LITTLE_TIME])
def test_no_wait_is_longer_than_callers_honour_and_cut_ones_are_still_spread(cause, remaining_s):
    """All callers that would wait longer would otherwise retry at the same fraction of their time."""
    known = {
        "store_silence_s": 60.0,
        "receives_peer_loads": True,
        "suspension_ends_in_s": 60.0,
        "backoff_ends_in_s": 60.0,
        "limit_wait_s": 60.0,
        "usual_duration_s": 60.0,
    }
    seen = waits(cause, remaining_s=remaining_s, **known)
    longest_s = remaining_s * HONOURED_WAIT_FRACTION
    assert min(seen) >= MIN_RETRY_AFTER_S
    assert max(seen) <= longest_s + 1e-9
    uncut_s = (WAIT_JITTER[1] - WAIT_JITTER[0]) * NO_BACKEND_WAIT_S
    if cause is not RefusalCause.RETRY_BUDGET_EXHAUSTED:
        assert max(seen) - min(seen) > 0.8 * min(
            CAPPED_WAIT_JITTER * longest_s, longest_s - MIN_RETRY_AFTER_S, uncut_s
        )


def test_there_is_nothing_to_come_back_for_without_time():
    assert set(waits(RefusalCause.TOO_LITTLE_TIME, usual_duration_s=1.0, suspension_ends_in_s=1.0)) == {0.0}


def returns(rank, per_slot, generation_s=2.0):
    rng = random.Random(1)
    occupancy = Occupancy(round(per_slot * 1_000), 1_000)
    return sorted(overload_retry_after_s(occupancy, rank, generation_s, rng) for _ in range(200))


def test_callers_refused_in_an_overload_return_later_the_more_is_under_way_and_not_all_at_once():
    some, more = returns(0, 1.5), returns(0, 2.5)
    assert sum(some) < sum(more)
    assert some[-1] > 1.5 * some[0]


def test_after_an_overload_the_urgent_return_first():
    assert sum(returns(0, 1.5)) < sum(returns(1, 1.5))


def test_waits_after_an_overload_are_in_generations_time():
    assert sum(returns(0, 1.5, generation_s=4.0)) == pytest.approx(2 * sum(returns(0, 1.5)))
