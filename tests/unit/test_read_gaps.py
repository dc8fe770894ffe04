"""Since when a close may have waited to be read.

Guards against a close that is taken for one read as it came, although the process that closed the connection may
have been followed by another meanwhile.
"""

from __future__ import annotations

import pytest

from wallwell.read_gaps import MIN_RESTART_S, ReadGaps

GAP_S = MIN_RESTART_S
SHORT_S = MIN_RESTART_S / 2


def gaps(*reads_s, paused_s=None, sent_s=0.0):
    found = ReadGaps()
    found.on_sent(sent_s)
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


def test_a_new_round_trip_begins_without_gaps():
    found = ReadGaps()
    found.on_sent(0.0)
    found.on_paused(0.0)
    found.on_read(GAP_S)
    found.on_sent(GAP_S)
    found.on_read(GAP_S + SHORT_S)
    assert found.unread_since_s() is None
