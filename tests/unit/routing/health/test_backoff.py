"""A back end that asked for back-off gets nothing until it ends, then one trial request, then all."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wallwell.routing.health.backoff import MAX_BACKOFF_S, TRIAL_TIMEOUT_S, RequestedBackoff


def allowed(backoff, *times_s):
    return [backoff.allows_request(now_s) for now_s in times_s]


def test_nothing_is_sent_until_the_back_off_ends():
    backoff = RequestedBackoff()
    assert allowed(backoff, 0.0) == [True]
    assert backoff.on_requested(3.0, 10.0)
    assert allowed(backoff, 10.0, 12.9, 13.0) == [False, False, True]


@pytest.mark.parametrize(("second_s", "end_s"), [(0.5, 13.0), (4.0, 15.0)], ids=["shorter", "longer"])
def test_the_longest_of_several_back_offs_is_in_force(second_s, end_s):
    backoff = RequestedBackoff()
    backoff.on_requested(3.0, 10.0)
    assert not backoff.on_requested(second_s, 11.0)
    assert allowed(backoff, end_s - 0.1, end_s) == [False, True]


def test_an_answer_to_an_older_request_does_not_end_a_back_off():
    backoff = RequestedBackoff()
    backoff.on_requested(3.0, 10.0)
    assert backoff.on_accepted(10.1) is None
    assert allowed(backoff, 12.9) == [False]


def test_after_a_back_off_one_trial_request_is_sent_and_the_others_once_it_is_accepted():
    backoff = RequestedBackoff()
    backoff.on_requested(3.0, 10.0)
    backoff.on_sent(13.0)
    assert allowed(backoff, 13.01) == [False]
    assert backoff.on_accepted(13.05) == pytest.approx(3.05)
    assert allowed(backoff, 13.05) == [True]
    backoff.on_sent(13.06)
    assert allowed(backoff, 13.07) == [True]
    assert backoff.on_accepted(13.08) is None


def test_a_refused_trial_request_begins_another_back_off():
    backoff = RequestedBackoff()
    backoff.on_requested(3.0, 10.0)
    backoff.on_sent(13.0)
    assert backoff.on_requested(3.0, 13.01)
    assert allowed(backoff, 13.6, 16.0, 16.02) == [False, False, True]
    backoff.on_sent(16.1)
    assert backoff.on_accepted(16.2) == pytest.approx(6.2)


def test_a_trial_request_without_an_answer_is_followed_by_another_one():
    backoff = RequestedBackoff()
    backoff.on_requested(3.0, 10.0)
    backoff.on_sent(13.0)
    assert allowed(backoff, 13.0 + TRIAL_TIMEOUT_S) == [True]
    backoff.on_sent(13.0 + TRIAL_TIMEOUT_S)
    assert allowed(backoff, 13.1 + TRIAL_TIMEOUT_S) == [False]


@pytest.mark.parametrize("seconds", [1e9, math.inf])
def test_no_requested_duration_excludes_a_back_end_for_good(seconds):
    backoff = RequestedBackoff()
    backoff.on_requested(seconds, 10.0)
    assert allowed(backoff, 9.0 + MAX_BACKOFF_S, 10.0 + MAX_BACKOFF_S) == [False, True]


EVENTS = st.tuples(st.sampled_from(["requested", "sent", "accepted"]), st.floats(0.0, 2.0), st.floats(0.0, 5.0))


@given(st.lists(EVENTS, max_size=30))
def test_for_any_events_nothing_is_sent_before_every_back_off_ends_and_a_request_soon_after(events):
    backoff, now_s, end_s = RequestedBackoff(), 0.0, 0.0
    for kind, pause_s, seconds in events:
        now_s += pause_s
        if kind == "requested":
            backoff.on_requested(seconds, now_s)
            end_s = max(end_s, now_s + seconds)
        elif kind == "sent" and backoff.allows_request(now_s):
            backoff.on_sent(now_s)
        elif kind == "accepted":
            backoff.on_accepted(now_s)
        assert not (now_s < end_s and backoff.allows_request(now_s))
    assert backoff.allows_request(max(now_s, end_s) + TRIAL_TIMEOUT_S)
