"""Requests of all kinds around a planned stop of one router process: whole, or truthfully not run."""

from __future__ import annotations

from tests.platform.stopping_router import GoesOn, StoppingRouter

GRACE_S = 8.0
EXCUSED_UNTIL_S = 3.0
"""Seconds after the signal until which a request may begin that is cut while its worker still works at the end."""
CUT_AT_S = GRACE_S * 5 / 6
"""Seconds after the signal from which on such a request may be cut."""
NOT_RUN = (408, 429, 503)
CALLERS_OF_EACH = 8


def test_no_request_is_begun_that_the_stop_will_cut(run_async, tmp_path):
    """Guards against passing on, late in a stop, what follows an answer on a kept connection, and cutting it."""
    stop = run_async(StoppingRouter(GRACE_S, CALLERS_OF_EACH).play(tmp_path, tuple(GoesOn)))
    owed = [each for each in stop.cut() if each.began_s > EXCUSED_UNTIL_S or each.ended_s < CUT_AT_S]
    assert [str(each) for each in owed] == []
    assert [str(each) for each in stop.tries if not each.status] == []
    refused = [each for each in stop.tries if each.status in NOT_RUN]
    assert [str(each) for each in refused if each.has_run] == []
    for form in GoesOn:
        made = [each for each in stop.tries if each.goes_on is form]
        assert any(each.is_whole and each.sent_s < 0 < each.ended_s for each in made), form
    assert (stop.exit_status, stop.lived_s < GRACE_S) == (0, True)
