"""When a weights roll begins, given the naming intervals, the demand, and whether all engines serve."""

import pytest

from wallwell.deployment.weights import NamedVersion
from wallwell.placement.weights_roll_timing import (
    MIN_START_DELAY_S,
    NAMING_TOLERANCE_S,
    FleetConditions,
    median_naming_interval_s,
    start_delay_s,
)

MAX_DELAY_S = 5.2


def named(*times, estimated=()):
    return [NamedVersion(index + 2, at_s, index in estimated) for index, at_s in enumerate(times)]


@pytest.mark.parametrize(
    ("versions", "expected"),
    [
        (named(), None),
        (named(1.0), None),
        (named(1.0, 5.0), 4.0),
        (named(1.0, 5.0, 9.0, 20.0), 4.0),
        (named(0.0, 7.0, 10.0, estimated=(0,)), 3.0),
        (named(0.0, 1.0, 20.0, 40.0, 60.0, 80.0), 20.0),
    ],
    ids=["no version", "one", "two", "one long interval", "first age estimated", "interval that has changed"],
)
def test_median_naming_interval(versions, expected):
    assert median_naming_interval_s(versions) == expected


@pytest.mark.parametrize(
    ("versions", "now_s", "demand_per_s", "lacking", "serving", "begins_at_once"),
    [
        (named(0.0), 0.6, 17.0, 5, True, True),
        (named(0.0), 0.6, 17.0, 5, False, False),
        (named(0.0, 4.0), 4.6, 17.0, 5, True, True),
        (named(0.0, 4.0), 4.6, 8.0, 5, True, False),
        (named(0.0, 4.0), 4.6, 17.0, 12, True, False),
        (named(0.0, 2.0), 2.6, 100.0, 5, True, True),
        (named(0.0, 1.4), 2.0, 1000.0, 5, True, False),
        (named(0.0, 4.0), 8.0 + NAMING_TOLERANCE_S + 0.1, 0.0, 5, True, True),
        (named(0.0, 4.0), 8.0, 0.0, 5, True, False),
    ],
    ids=[
        "no known interval",
        "an engine is out of service",
        "many generations on older weights",
        "few generations",
        "many engines to load",
        "short interval, very many generations",
        "next version expected while older weights keep their value",
        "next version is late",
        "next version is due now",
    ],
)
def test_a_weights_roll_begins_at_once_or_waits(versions, now_s, demand_per_s, lacking, serving, begins_at_once):
    conditions = FleetConditions(demand_per_s, lacking, serving)
    delay_s = start_delay_s(versions, versions[-1], conditions, MAX_DELAY_S, now_s)
    assert delay_s == (MIN_START_DELAY_S if begins_at_once else MAX_DELAY_S)


def test_the_maximum_delay_limits_the_minimum_delay():
    assert start_delay_s(named(0.0), named(0.0)[0], FleetConditions(9.0, 5, True), 0.2, 0.1) == 0.2
