"""The timeline of a planned stop: what it promises to whom."""

from __future__ import annotations

import pytest

from wallwell.routing.admission.stop_times import is_read_too_late, plan_stop

LOAD_BALANCER_S = 2.0
"""Seconds after the signal until which a load balancer may still send callers: two failed checks, one a second."""
OWED_FROM_S = 3.0
"""Seconds after the signal from which on a request that is passed on must not be cut."""
EXCUSED_FRACTION = 5 / 6
"""Fraction of the grace period after which a request that was sent before may be cut."""


@pytest.mark.parametrize("grace_s", [8.0, 10.0, 30.0])
def test_the_steps_keep_what_operators_are_promised(grace_s):
    stop = plan_stop(100.0, grace_s)
    assert stop.closing_s - 100.0 > LOAD_BALANCER_S
    assert stop.closing_s < stop.last_request_s < 100.0 + OWED_FROM_S
    assert 100.0 + EXCUSED_FRACTION * grace_s <= stop.cut_s < 100.0 + grace_s


@pytest.mark.parametrize("grace_s", [0.5, 1.2, 3.0])
def test_a_short_grace_period_leaves_half_of_it_for_open_requests(grace_s):
    stop = plan_stop(100.0, grace_s)
    assert stop.closing_s == 100.0 + grace_s / 2
    assert stop.closing_s < stop.last_request_s < stop.cut_s < 100.0 + grace_s


def test_a_request_is_judged_by_when_it_was_read_whole():
    stop = plan_stop(100.0, 8.0)
    assert not is_read_too_late(None, 1e9)
    assert not is_read_too_late(stop, stop.last_request_s)
    assert is_read_too_late(stop, stop.last_request_s + 0.001)
