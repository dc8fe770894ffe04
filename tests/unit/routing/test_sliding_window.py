"""Events expire after the length of the window, both when events are added and when they are counted."""

import pytest

from wallwell.routing.sliding_window import SlidingWindow


@pytest.mark.parametrize(
    ("now_s", "count", "total"), [(2.0, 3, 6.0), (2.99, 3, 6.0), (3.0, 2, 5.0), (4.5, 1, 3.0), (9.0, 0, 0.0)]
)
def test_events_expire_in_order(now_s, count, total):
    window = SlidingWindow(3.0)
    for at_s, value in ((0.0, 1.0), (1.0, 2.0), (2.0, 3.0)):
        window.add(at_s, value)
    assert (window.count(now_s), window.total(now_s)) == (count, total)


def test_old_events_are_removed_without_a_query():
    window = SlidingWindow(1.0)
    for number in range(1000):
        window.add(number * 0.1)
    assert len(window._entries) <= 10
