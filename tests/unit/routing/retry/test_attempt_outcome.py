"""The verdicts by event, and the outcome of several attempts together."""

import pytest

from wallwell.outcomes import Outcome
from wallwell.routing.retry.attempt_outcome import VERDICTS, AttemptLog
from wallwell.routing.retry.attempt_outcome import TransportEvent as E


def test_every_event_has_a_verdict():
    assert set(VERDICTS) == set(E)


@pytest.mark.parametrize("event", list(E))
def test_requests_that_may_not_repeat_are_retried_only_if_proved_not_run(event):
    verdict = VERDICTS[event]
    if verdict.outcome is not Outcome.NOT_RUN:
        assert not verdict.retry_if_not_repeatable


@pytest.mark.parametrize(
    ("events", "outcome"),
    [
        ([E.CONNECT_REFUSED], Outcome.NOT_RUN),
        ([E.CONNECT_REFUSED, E.BACKEND_LEAVING], Outcome.NOT_RUN),
        ([E.RESET_AFTER_SEND, E.CONNECT_REFUSED], Outcome.UNKNOWN),
        ([E.CONNECT_REFUSED, E.ANSWER_TIMEOUT], Outcome.UNKNOWN),
        ([E.CANCEL_UNACKNOWLEDGED, E.PRECONDITION_REFUSED], Outcome.UNKNOWN),
        ([E.CANCELLED_NEVER_STARTED], Outcome.NOT_RUN),
        ([E.RESET_AFTER_SEND, E.ERROR_ANSWER], Outcome.UNKNOWN),
        ([E.RESET_AFTER_SEND, E.ANSWERED], Outcome.COMPLETED),
        ([E.CONNECT_REFUSED, E.ERROR_ANSWER], Outcome.FAILED),
    ],
)
def test_outcome_of_several_attempts(events, outcome):
    log = AttemptLog(repeatable=True)
    for event in events:
        log.record(event)
    assert log.outcome is outcome
