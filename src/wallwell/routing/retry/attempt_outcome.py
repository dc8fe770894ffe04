"""What is proved of an attempt by how it ended, and whether a retry is allowed by that alone. Pure.

``NOT_RUN`` needs proof: the connection was never made, or the back end itself said that it ran nothing.
Everything that happened after bytes may have left and that the back end did not answer is ``UNKNOWN``.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from wallwell.outcomes import Outcome


class TransportEvent(enum.Enum):
    """How one attempt ended."""

    CONNECT_REFUSED = "connect_refused"
    CONNECT_TIMEOUT = "connect_timeout"
    WITHDRAWN = "withdrawn"  # While a connection was made, the back end asked for no requests.
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
    """Outcome of one attempt; ``retry_repeatable`` and ``retry_once_only`` say who may try again."""

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
"""Events by which a working back end itself states that it ran nothing."""


def is_safe_to_retry(event: TransportEvent, repeatable: bool) -> bool:
    """Whether a request may be sent again after an attempt that ended so."""
    verdict = VERDICTS[event]
    return verdict.retry_if_repeatable if repeatable else verdict.retry_if_not_repeatable


_OUTCOME_PRECEDENCE = {Outcome.NOT_RUN: 0, Outcome.FAILED: 1, Outcome.UNKNOWN: 2, Outcome.COMPLETED: 3}


class AttemptLog:
    """Outcome over all attempts of one request.

    A later refusal does not undo an earlier attempt: once one attempt is unknown, the request is ``UNKNOWN``
    unless a later attempt completed.
    """

    def __init__(self, repeatable: bool) -> None:
        self.repeatable = repeatable
        self.attempts = 0
        self.outcome = Outcome.NOT_RUN

    def record(self, event: TransportEvent) -> bool:
        """Add one attempt's end; returns whether another attempt is allowed."""
        verdict = VERDICTS[event]
        self.attempts += 1
        if _OUTCOME_PRECEDENCE[verdict.outcome] > _OUTCOME_PRECEDENCE[self.outcome]:
            self.outcome = verdict.outcome
        return is_safe_to_retry(event, self.repeatable)
