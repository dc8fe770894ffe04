"""Since when a close may have waited to be read.

Guards against a close that is taken for one read as it came, although the process that closed the connection may
have been followed by another meanwhile.
"""

from __future__ import annotations

import pytest

from wallwell import read_gaps
from wallwell.read_gaps import MIN_RESTART_S, TIMER_INTERVAL_S, LoopProgress, ReadGaps

GAP_S = MIN_RESTART_S
SHORT_S = MIN_RESTART_S / 2


def gaps(*reads_s, paused_s=None, head_s=0.0):
    """``reads_s`` are those after the head, and the last is the close."""
    found = ReadGaps()
    found.on_sent(head_s)
    found.on_read(head_s)
    found.on_head(head_s)
    for at_s in reads_s:
        if paused_s is not None and paused_s < at_s:
            found.on_paused(paused_s)
            paused_s = None
        found.on_read(at_s)
    return found.unread_since_s()


@pytest.mark.parametrize(
    ("reads_s", "since_s"),
    [
        ((SHORT_S, 2 * SHORT_S), None),
        ((GAP_S,), 0.0),
        ((SHORT_S, SHORT_S + GAP_S), SHORT_S),
        # What was held back arrives together, and the close with it.
        ((GAP_S, GAP_S + 0.01, GAP_S + 0.02), 0.0),
        # The answer went on after the gap.
        ((GAP_S, GAP_S + SHORT_S, GAP_S + 2 * SHORT_S), None),
    ],
)
def test_gap_before_the_close(reads_s, since_s):
    assert gaps(*reads_s) == since_s


def test_reading_that_was_paused_may_have_left_the_close_behind():
    reads_s = [each * SHORT_S for each in range(1, 6)]
    assert gaps(*reads_s, paused_s=SHORT_S * 1.5) == SHORT_S * 1.5
    assert gaps(*reads_s, paused_s=reads_s[-1] - SHORT_S / 2) is None


def test_the_time_until_the_head_is_that_of_the_back_end():
    """Guards against whole answers of slow back ends that are called broken off."""
    found = ReadGaps()
    found.on_sent(0.0)
    found.on_read(3 * GAP_S)
    found.on_head(3 * GAP_S)
    found.on_read(3 * GAP_S + 0.001)
    assert found.unread_since_s() is None


@pytest.mark.parametrize(("still_s", "is_late"), [(0.0, False), (2 * GAP_S, True), (10 * GAP_S, True)])
@pytest.mark.parametrize("is_timer_first", [False, True])
def test_an_answer_that_came_while_the_loop_stood_still_is_read_late(still_s, is_late, is_timer_first, monkeypatch):
    progress = LoopProgress()
    monkeypatch.setattr(read_gaps, "loop_progress", progress)
    for tick in range(5):
        progress.on_timer(tick * TIMER_INTERVAL_S)
    awake_s = 4 * TIMER_INTERVAL_S + 0.1 + still_s
    found = ReadGaps()
    found.on_sent(4 * TIMER_INTERVAL_S)
    if is_timer_first and still_s:
        progress.on_timer(awake_s)
    found.on_read(awake_s)
    found.on_head(awake_s)
    found.on_read(awake_s)
    assert (found.unread_since_s() is not None) == is_late


def test_a_new_round_trip_begins_without_gaps():
    found = ReadGaps()
    found.on_sent(0.0)
    found.on_paused(0.0)
    found.on_read(GAP_S)
    found.on_sent(GAP_S)
    found.on_read(GAP_S + SHORT_S)
    assert found.unread_since_s() is None
