"""When a node takes a service for unreachable, which back ends it probes to learn so, and when that ends."""

from __future__ import annotations

import random

import pytest

from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health.backend import Backend
from wallwell.routing.health.reachability import (
    DECISION_PROBE_INTERVAL_S,
    FAILURE_WINDOW_S,
    RETURN_PROBE_INTERVAL_S,
    ServiceReachability,
)


def backends(*zones):
    return [
        Backend(BackendRecord(f"b{index}", "svc", f"10.0.0.1:{index}", zone, 8)) for index, zone in enumerate(zones)
    ]


def reachability():
    return ServiceReachability(random.Random(1))


def fail(tested, listed, indices, now_s=1.0):
    return [tested.on_connect_failed(listed[index], listed, now_s) for index in indices]


@pytest.mark.parametrize(
    ("zones", "failed", "becomes_unreachable"),
    [
        ("a", [0], True),
        ("ab", [0], False),
        ("ab", [0, 1], True),
        ("abc", [0, 1], False),
        ("abcabcabc", [0, 1, 2], False),
        ("abcabcabc", [0, 1, 2, 3], True),
        ("aaaaabb", [0, 1, 2, 3], False),
        ("aaaaabb", [0, 1, 2, 3, 5], True),
        ("aabbccdd", [0, 1, 2, 3, 4], False),
        ("aabbccdd", [0, 2, 4, 6], True),
        ("ab", [0, 0, 0], False),
    ],
)
def test_a_few_back_ends_in_different_zones_decide(zones, failed, becomes_unreachable):
    tested, listed = reachability(), backends(*zones)
    reported = fail(tested, listed, failed)
    assert reported == [False] * (len(failed) - 1) + [becomes_unreachable]
    assert tested.unreachable_services() == (["svc"] if becomes_unreachable else [])
    assert tested.is_unreachable("svc") == becomes_unreachable


def test_a_back_end_that_is_reached_in_between_makes_earlier_failures_void():
    tested, listed = reachability(), backends("a", "b")
    fail(tested, listed, [0])
    assert not tested.on_reached(listed[1])
    assert fail(tested, listed, [1]) == [False]
    assert fail(tested, listed, [0]) == [True]


def test_failures_that_are_long_past_do_not_count():
    tested, listed = reachability(), backends("a", "b")
    fail(tested, listed, [0])
    assert fail(tested, listed, [1], now_s=1.0 + FAILURE_WINDOW_S) == [False]


def test_leaving_back_ends_do_not_count():
    tested, listed = reachability(), backends("a", "b")
    listed[1].leaving_since_s = 0.5
    assert fail(tested, listed, [0]) == [True]


def test_two_failures_cause_probes_of_back_ends_in_other_zones_first():
    tested, listed = reachability(), backends("a", "a", "a", "b", "c")
    fail(tested, listed, [0])
    assert not tested.begin_probes(lambda service: listed, 1.0)
    fail(tested, listed, [1])
    probed = tested.begin_probes(lambda service: listed, 1.0)
    assert {each.record.zone for each in probed} == {"b", "c"}
    assert not tested.begin_probes(lambda service: listed, 1.0 + DECISION_PROBE_INTERVAL_S / 2)
    tested.on_reached(probed[0])
    assert not tested.begin_probes(lambda service: listed, 2.0)


def test_unreachable_service_is_probed_at_intervals_and_returns_after_two_successes_in_a_row():
    """One success of an unstable link must not send requests there again."""
    tested, listed = reachability(), backends("a", "b")
    fail(tested, listed, [0, 1])
    now_s = 1.0
    for succeeds in (True, False, True):
        assert not tested.begin_probes(lambda service: listed, now_s + RETURN_PROBE_INTERVAL_S / 2)
        now_s += RETURN_PROBE_INTERVAL_S
        (probed,) = tested.begin_probes(lambda service: listed, now_s)
        if succeeds:
            assert not tested.on_reached(probed)
        else:
            assert not tested.on_connect_failed(probed, listed, now_s)
        assert tested.is_unreachable("svc")
    assert tested.on_reached(listed[0])
    assert not tested.is_unreachable("svc")
    assert not tested.begin_probes(lambda service: listed, now_s + 10.0)
