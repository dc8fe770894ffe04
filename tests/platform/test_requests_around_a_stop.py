"""Requests of all kinds around a planned stop of one router process: whole, or truthfully not run."""

from __future__ import annotations

from tests.platform.stopping_router import GoesOn, StoppingRouter, Try

GRACE_S = 8.0
EXCUSED_UNTIL_S = 3.0
"""Seconds after the signal until which a request may begin that is cut while its worker still works at the end."""
CUT_AT_S = GRACE_S * 5 / 6
"""Seconds after the signal from which on such a request may be cut."""
NOT_RUN = (408, 429, 503)
CALLERS_OF_EACH = 8
NOTICED_LATE_S = 0.5
"""For how long the event loop may be busy as the signal comes, on a busy machine."""


def is_excused(made: Try) -> bool:
    """Whether a request may be cut: it began early, and its worker still worked as the last sixth began."""
    worked_until_s = min(made.ended_s, float("inf") if made.ran_until_s is None else made.ran_until_s)
    return made.began_s <= EXCUSED_UNTIL_S and worked_until_s >= CUT_AT_S


def test_no_request_is_begun_that_the_stop_will_cut(run_async, tmp_path):
    """Guards against passing on, late in a stop, what follows an answer on a kept connection, and cutting it."""
    stop = run_async(StoppingRouter(GRACE_S, CALLERS_OF_EACH).play(tmp_path, tuple(GoesOn)))
    owed = [each for each in stop.cut() if not is_excused(each)]
    assert [str(each) for each in owed] == []
    assert [str(each) for each in stop.tries if not each.status] == []
    refused = [each for each in stop.tries if each.status in NOT_RUN]
    assert [str(each) for each in refused if each.has_run] == []
    assert any(each.sent_s > EXCUSED_UNTIL_S for each in refused)  # Otherwise nothing came late.
    for form in GoesOn:
        made = [each for each in stop.tries if each.goes_on is form]
        assert any(each.is_whole and each.sent_s < 0 < each.ended_s for each in made), form
    assert (stop.exit_status, stop.lived_s < GRACE_S) == (0, True)


def test_no_request_is_begun_late_although_the_signal_is_noticed_late(run_async, tmp_path):
    """Guards against counting the steps of a stop from when a busy event loop notices the signal."""
    router = StoppingRouter(GRACE_S, CALLERS_OF_EACH * 3, busy_s=NOTICED_LATE_S)
    router.event_counts = (60, 62)  # Begun 2 to 1 s before the signal, they end 2.8 to 4 s after it.
    stop = run_async(router.play(tmp_path, (GoesOn.AT_ONCE,), before_s=2.0))
    owed = [each for each in stop.cut() if each.sent_s > EXCUSED_UNTIL_S]
    assert [str(each) for each in owed] == []
    assert any(each.status in NOT_RUN for each in stop.tries)
