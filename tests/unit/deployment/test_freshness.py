"""The store's clock never makes data appear more recent than it is."""

from hypothesis import given
from hypothesis import strategies as st

from wallwell.deployment.freshness import ConfigurationFreshness, StoreClock

CALLS = st.lists(
    st.tuples(st.floats(0.0, 5.0), st.floats(0.0, 40.0), st.floats(0.0, 40.0)), min_size=1, max_size=30
)


@given(calls=CALLS, offset_s=st.floats(-1000.0, 1000.0))
def test_the_confirmed_time_is_never_later_than_the_answer(calls, offset_s):
    """Each call has a pause before it, a time until the store answers, and a time until the answer arrives."""
    clock = StoreClock()
    now_s = 5000.0
    for pause_s, until_made_s, until_arrival_s in calls:
        sent_s = now_s + pause_s
        made_s = sent_s + until_made_s
        confirmed_s = clock.confirmed_s(sent_s, made_s + offset_s)
        assert sent_s <= confirmed_s <= made_s + 1e-6
        now_s = made_s + until_arrival_s


def test_a_quick_call_makes_later_long_polls_exact():
    clock = StoreClock()
    clock.confirmed_s(100.0, 7.001)
    # The long poll waited 10 s and its answer took another 3 s to arrive; the answer was made at 110.0.
    assert abs(clock.confirmed_s(100.0, 17.0) - 110.0) < 0.02


def test_the_bound_applies_to_the_arrival_time_of_a_request():
    freshness = ConfigurationFreshness()
    assert not freshness.is_within_bound(10.0, 4.6)
    freshness.confirm(10.0)
    freshness.confirm(8.0)
    assert freshness.is_within_bound(14.6, 4.6)
    assert not freshness.is_within_bound(14.7, 4.6)


@given(calls=CALLS, offset_s=st.floats(-1000.0, 1000.0), age_s=st.floats(0.0, 100.0))
def test_an_answer_forwarded_by_a_peer_never_appears_more_recent_than_it_is(calls, offset_s, age_s):
    """``age_s`` is how long the peer held the answer."""
    clock = StoreClock()
    now_s = 5000.0
    assert clock.confirmed_by_relay_s(now_s, now_s + offset_s) == float("-inf")
    for pause_s, until_made_s, until_arrival_s in calls:
        sent_s = now_s + pause_s
        made_s = sent_s + until_made_s
        clock.confirmed_s(sent_s, made_s + offset_s)
        now_s = made_s + until_arrival_s
        answered_s = now_s - age_s
        assert clock.confirmed_by_relay_s(now_s, answered_s + offset_s) <= answered_s + 1e-6


def test_a_restored_store_may_have_another_clock():
    """With the offset of the old era, an answer of a clock that is ahead would appear to be from the future."""
    clock = StoreClock()
    clock.confirmed_s(100.0, 50.0, 1)
    assert clock.is_for_other_era(2)
    assert clock.confirmed_by_relay_s(100.5, 90.0, 2) == float("-inf")
    assert clock.confirmed_s(101.0, 90.0, 2) == 101.0
    assert clock.confirmed_by_relay_s(101.5, 90.4, 2) <= 101.4
    assert clock.confirmed_s(101.5, 51.5, 1) == float("-inf")
    assert clock.confirmed_by_relay_s(101.5, 51.5, 1) == float("-inf")
