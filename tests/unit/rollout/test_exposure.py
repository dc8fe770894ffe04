"""The plan of how many requests a target version may get, and when it may get all of them."""

import pytest

from wallwell.rollout.exposure import (
    LAST_DECISION_FRACTION,
    MAX_CANARY_SHARE,
    OVERDUE_SHARE,
    Traffic,
    TrafficLog,
    plan_exposure,
)
from wallwell.rollout.model import RolloutBounds

BOUNDS = RolloutBounds()


def traffic(rate, since_s, target=0, high=None, low=None):
    return Traffic(int(rate * since_s) - target, target, rate, high or rate, low or rate)


@pytest.mark.parametrize(
    ("rate", "since_s", "left_s", "target", "least", "most"),
    [
        (0.0, 0.0, 30.0, 0, 0.05, 0.05),
        (3_300.0, 3.0, 27.0, 0, 0.025, 0.03),
        (3_300.0, 15.0, 15.0, 1_240, 0.02, 0.03),
        (200.0, 15.0, 15.0, 160, 0.05, 0.06),
        (20.0, 3.0, 9.0, 0, 0.15, 0.25),
        (20.0, 10.0, 2.0, 0, MAX_CANARY_SHARE, MAX_CANARY_SHARE),
        (3_300.0, 25.0, 5.0, 9_500, 0.0, 0.0),
        (20.0, 20.0, -1.0, 300, OVERDUE_SHARE, OVERDUE_SHARE),
    ],
)
def test_the_canary_uses_up_its_fraction_of_the_bound(rate, since_s, left_s, target, least, most):
    exposure = plan_exposure(BOUNDS, traffic(rate, since_s, target), left_s, 0.0)
    assert least <= exposure.share <= most


@pytest.mark.parametrize(
    ("rate", "since_s", "left_s", "target", "fits"),
    [
        (3_300.0, 27.0, 3.0, 4_950, False),
        (3_300.0, 29.6, 0.4, 4_950, True),
        (20.0, 10.0, 2.0, 37, False),
        (20.0, 11.2, 0.8, 30, True),
        (20.0, 11.0, 1.0, 37, False),
        (1_000.0, 9.5, 0.5, 350, False),
        (1_000.0, 9.6, 0.4, 420, True),
        (1_000.0, 9.6, 0.4, 550, False),
        (0.1, 20.0, 40.0, 0, False),
        (0.1, 56.0, 4.0, 0, True),
        (20.0, 20.0, -1.0, 500, True),
    ],
)
def test_the_switch_begins_when_the_unused_bound_covers_the_remaining_requests(rate, since_s, left_s, target, fits):
    exposure = plan_exposure(BOUNDS, traffic(rate, since_s, target), left_s, 0.05)
    assert exposure.switch_fits is fits
    if fits and left_s > 0:
        assert exposure.spent + exposure.expected_requests <= LAST_DECISION_FRACTION * exposure.bound


def test_a_burst_delays_the_switch():
    steady = traffic(1_000.0, 29.0, 1_200)
    assert plan_exposure(BOUNDS, steady, 0.8, 0.05).switch_fits
    assert not plan_exposure(BOUNDS, traffic(1_000.0, 29.0, 1_200, high=2_000.0), 0.8, 0.05).switch_fits


def test_a_share_is_unchanged_until_the_next_one_differs_much():
    assert plan_exposure(BOUNDS, traffic(3_300.0, 15.0, 1_240), 15.0, 0.027).share == 0.027


def test_rates_are_measured_over_windows_of_a_second_and_include_a_past_burst():
    log = TrafficLog()
    total = 0.0
    for tick in range(60):
        at_s = tick * 0.25
        total += 250 if 8.0 <= at_s < 10.0 else 100
        seen = log.observe(at_s, int(total), 0)
    assert 900 <= seen.high_rate <= 1_100
    assert 350 <= seen.low_rate <= 450


def test_counts_that_arrive_late_at_a_new_holder_raise_the_rate_only_up_to_a_cap():
    log = TrafficLog()
    log.observe(20.0, 2_000, 100)
    seen = log.observe(21.0, 20_000, 1_000)
    assert seen.high_rate == pytest.approx(3 * seen.mean_rate)
