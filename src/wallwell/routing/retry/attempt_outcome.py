"""Whether an attempt has run, from the way it ended, and whether it may be retried for that reason. Pure.

``NOT_RUN`` needs proof: either no connection was made, or the back end itself stated that it ran nothing. If bytes
may have been sent and the back end did not answer, the outcome is ``UNKNOWN``.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from wallwell.outcomes import Outcome


class TransportEvent(enum.Enum):
    """How one attempt ended."""

    CONNECT_REFUSED = "connect_refused"
    CONNECT_TIMEOUT = "connect_timeout"
    WITHDRAWN = "withdrawn"  # While the connection was being made, the back end became one that may not get it.
    RESET_BEFORE_SEND = "reset_before_send"
    RESET_AFTER_SEND = "reset_after_send"
    ANSWER_TIMEOUT = "answer_timeout"
    PRECONDITION_REFUSED = "precondition_refused"
    BACKEND_LEAVING = "backend_leaving"
    BACKEND_OVERLOADED = "backend_overloaded"
    CANCELLED_NEVER_STARTED = "cancelled_never_started"
    CANCEL_UNACKNOWLEDGED = "cancel_unacknowledged"
    FOREIGN_ANSWER = "foreign_answer"
    ERROR_ANSWER = "error_answer"
    ANSWERED = "answered"


class AttemptVerdict(NamedTuple):
    """Outcome of one attempt, and whether repeatable and other requests may be retried after it."""

    outcome: Outcome
    retry_if_repeatable: bool
    retry_if_not_repeatable: bool


_NOT_RUN = AttemptVerdict(Outcome.NOT_RUN, retry_if_repeatable=True, retry_if_not_repeatable=True)
_MAY_HAVE_RUN = AttemptVerdict(Outcome.UNKNOWN, retry_if_repeatable=True, retry_if_not_repeatable=False)

VERDICTS: dict[TransportEvent, AttemptVerdict] = {
    TransportEvent.CONNECT_REFUSED: _NOT_RUN,
    TransportEvent.CONNECT_TIMEOUT: _NOT_RUN,
    TransportEvent.WITHDRAWN: _NOT_RUN,
    TransportEvent.RESET_BEFORE_SEND: _NOT_RUN,
    TransportEvent.RESET_AFTER_SEND: _MAY_HAVE_RUN,
    TransportEvent.ANSWER_TIMEOUT: _MAY_HAVE_RUN,
    TransportEvent.PRECONDITION_REFUSED: _NOT_RUN,
    TransportEvent.BACKEND_LEAVING: _NOT_RUN,
    TransportEvent.BACKEND_OVERLOADED: _NOT_RUN,
    TransportEvent.CANCELLED_NEVER_STARTED: _NOT_RUN,
    TransportEvent.CANCEL_UNACKNOWLEDGED: _MAY_HAVE_RUN,
    TransportEvent.FOREIGN_ANSWER: _MAY_HAVE_RUN,
    TransportEvent.ERROR_ANSWER: AttemptVerdict(
        Outcome.FAILED, retry_if_repeatable=False, retry_if_not_repeatable=False
    ),
    TransportEvent.ANSWERED: AttemptVerdict(
        Outcome.COMPLETED, retry_if_repeatable=False, retry_if_not_repeatable=False
    ),
}

REFUSED_BY_BACKEND = (
    TransportEvent.PRECONDITION_REFUSED,
    TransportEvent.BACKEND_OVERLOADED,
    TransportEvent.BACKEND_LEAVING,
)
"""Events in which a working back end states that it did not run the request."""


def is_safe_to_retry(event: TransportEvent, repeatable: bool) -> bool:
    """Whether a request may be sent again after ``event``; ``repeatable`` if it may run more than once."""
    verdict = VERDICTS[event]
    return verdict.retry_if_repeatable if repeatable else verdict.retry_if_not_repeatable


_OUTCOME_PRECEDENCE = {Outcome.NOT_RUN: 0, Outcome.FAILED: 1, Outcome.UNKNOWN: 2, Outcome.COMPLETED: 3}


class AttemptLog:
    """Outcome of all attempts of one request together.

    A later refusal does not change what an earlier attempt may have done: once the outcome of one attempt is
    unknown, the request is ``UNKNOWN`` unless a later attempt completes.
    """

    def __init__(self, repeatable: bool) -> None:
        self.repeatable = repeatable
        self.attempts = 0
        self.outcome = Outcome.NOT_RUN

    def record(self, event: TransportEvent) -> bool:
        """Record how one attempt ended; returns whether another attempt is allowed."""
        verdict = VERDICTS[event]
        self.attempts += 1
        if _OUTCOME_PRECEDENCE[verdict.outcome] > _OUTCOME_PRECEDENCE[self.outcome]:
            self.outcome = verdict.outcome
        return is_safe_to_retry(event, self.repeatable)
