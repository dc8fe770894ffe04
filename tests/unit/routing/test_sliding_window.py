"""Events count for the window's length, whether they are added or asked for."""

import pytest

from wallwell.routing.sliding_window import SlidingWindow


@pytest.mark.parametrize(
    ("now_s", "count", "total"), [(2.0, 3, 6.0), (2.99, 3, 6.0), (3.0, 2, 5.0), (4.5, 1, 3.0), (9.0, 0, 0.0)]
)
def test_events_leave_the_window_in_order(now_s, count, total):
    window = SlidingWindow(3.0)
    for at_s, value in ((0.0, 1.0), (1.0, 2.0), (2.0, 3.0)):
        window.add(at_s, value)
    assert (window.count(now_s), window.total(now_s)) == (count, total)


def test_events_that_nobody_asks_for_are_not_kept():
    window = SlidingWindow(1.0)
    for number in range(1000):
        window.add(number * 0.1)
    assert len(window._entries) <= 10
