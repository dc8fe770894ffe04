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
    retry_repeatable: bool
    retry_once_only: bool


_NEVER_RAN = AttemptVerdict(Outcome.NOT_RUN, retry_repeatable=True, retry_once_only=True)
_MAY_HAVE_RUN = AttemptVerdict(Outcome.UNKNOWN, retry_repeatable=True, retry_once_only=False)

VERDICTS: dict[TransportEvent, AttemptVerdict] = {
    TransportEvent.CONNECT_REFUSED: _NEVER_RAN,
    TransportEvent.CONNECT_TIMEOUT: _NEVER_RAN,
    TransportEvent.WITHDRAWN: _NEVER_RAN,
    TransportEvent.RESET_BEFORE_SEND: _NEVER_RAN,
    TransportEvent.RESET_AFTER_SEND: _MAY_HAVE_RUN,
    TransportEvent.ANSWER_TIMEOUT: _MAY_HAVE_RUN,
    TransportEvent.PRECONDITION_REFUSED: _NEVER_RAN,
    TransportEvent.BACKEND_LEAVING: _NEVER_RAN,
    TransportEvent.BACKEND_OVERLOADED: _NEVER_RAN,
    TransportEvent.CANCELLED_NEVER_STARTED: _NEVER_RAN,
    TransportEvent.CANCEL_UNACKNOWLEDGED: _MAY_HAVE_RUN,
    TransportEvent.FOREIGN_ANSWER: _MAY_HAVE_RUN,
    TransportEvent.ERROR_ANSWER: AttemptVerdict(Outcome.FAILED, retry_repeatable=False, retry_once_only=False),
    TransportEvent.ANSWERED: AttemptVerdict(Outcome.COMPLETED, retry_repeatable=False, retry_once_only=False),
}

REFUSED_BY_BACKEND = (
    TransportEvent.PRECONDITION_REFUSED,
    TransportEvent.BACKEND_OVERLOADED,
    TransportEvent.BACKEND_LEAVING,
)
"""Events by which a working back end itself states that it ran nothing."""


def allows_retry(event: TransportEvent, repeatable: bool) -> bool:
    """Whether a request may be sent again after an attempt that ended so."""
    verdict = VERDICTS[event]
    return verdict.retry_repeatable if repeatable else verdict.retry_once_only


_SEVERITY = {Outcome.NOT_RUN: 0, Outcome.FAILED: 1, Outcome.UNKNOWN: 2, Outcome.COMPLETED: 3}


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
        if _SEVERITY[verdict.outcome] > _SEVERITY[self.outcome]:
            self.outcome = verdict.outcome
        return allows_retry(event, self.repeatable)
