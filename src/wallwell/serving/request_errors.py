"""The error of a request for which no further attempt is made.

The error's class states what is proved of all attempts together: that the request never ran (then it says when to
retry), that it failed, or that its outcome is unknown. Owns the choice of the class and the text; what is proved is
kept in :class:`~wallwell.routing.retry.attempt_outcome.AttemptLog`, the wait follows from the cause.
"""

from __future__ import annotations

from collections.abc import Collection

from wallwell.errors import (
    BackendFailedError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    NoBackendError,
    OutcomeUnknownError,
    RequestError,
    RequestQuarantinedError,
    RetriesExhaustedError,
)
from wallwell.node.state import NodeState
from wallwell.outcomes import Outcome
from wallwell.routing.retry.retry_after import RefusalCause
from wallwell.routing.selection.candidates import backoff_ends_s
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.retry_after import RetryAfterEstimator


class RequestErrorFactory:
    """Builds errors from what one node knows. Nothing is raised here."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._retry_after = RetryAfterEstimator(state)

    def deadline_error(self, active: ActiveRequest) -> RequestError:
        """Return the error of a request whose time is over, or too short for any answer."""
        text = "; ".join(active.history.details)
        if active.attempt_log.outcome is Outcome.NOT_RUN and not active.history.runs:
            wait_ms = self._retry_after.for_admitted_request_ms(RefusalCause.TOO_LITTLE_TIME, active)
            if active.attempt_log.attempts:
                return RetriesExhaustedError(text, retry_after_ms=wait_ms)
            detail = f"{active.remaining_s() * 1000:.0f} ms left are too few for any answer"
            return DeadlineUnreachableError(detail, retry_after_ms=wait_ms)
        return DeadlineExceededError(text or "the time allowed ran out")

    def attempts_exhausted_error(
        self, active: ActiveRequest, detail: str, cause: RefusalCause, limit_wait_s: float = 0.0
    ) -> RequestError:
        """Return the error that states what is proved of all attempts together.

        ``limit_wait_s`` is the time until a limit allows the request, where that is the cause.
        """
        text = "; ".join((detail, *active.history.details))
        if active.attempt_log.outcome is Outcome.NOT_RUN:
            wait_ms = self._retry_after.for_admitted_request_ms(cause, active, limit_wait_s)
            if active.attempt_log.attempts:
                return RetriesExhaustedError(text, retry_after_ms=wait_ms)
            return NoBackendError(text, retry_after_ms=wait_ms)
        if active.remaining_s() <= 0:
            return DeadlineExceededError(text)
        if active.attempt_log.outcome is Outcome.FAILED:
            return BackendFailedError(text)
        return OutcomeUnknownError(text)

    def no_usable_backend_error(
        self, active: ActiveRequest, now_s: float, limit_waits_s: Collection[float] = ()
    ) -> RequestError:
        """Return the error where no back end may be asked: none stays, wants requests, or has weights new
        enough.

        ``limit_waits_s`` are the times until the limits that are used up probably allow the request.
        """
        if limit_waits_s:
            detail = "limits of the back ends are used up"
            return self.attempts_exhausted_error(active, detail, RefusalCause.ALL_LIMITED, min(limit_waits_s))
        listed = self._state.backends.of_service(active.service)
        if backoff_ends_s(listed, now_s) is not None:
            return self.attempts_exhausted_error(
                active, "every back end asked for back-off", RefusalCause.ALL_BACKING_OFF
            )
        is_any_present = any(not each.is_leaving(now_s) for each in listed)
        cause = RefusalCause.WEIGHTS_TOO_OLD if is_any_present else RefusalCause.NO_BACKEND_LISTED
        return self.attempts_exhausted_error(active, "no back end can take the request", cause)

    def quarantine_error(self, active: ActiveRequest, now_s: float) -> RequestError | None:
        """Return the error of a request that crashes the back ends that run it, None for any other one.

        Each further try would end one more of them, with all its runs.
        """
        quarantine = self._state.quarantine
        remaining_quarantine_s = quarantine.left_s(active.request_digest, now_s) if quarantine.quarantined else 0.0
        if not remaining_quarantine_s:
            return None
        detail = f"back ends crashed under content {active.request_digest}"
        if active.attempt_log.outcome is Outcome.NOT_RUN:
            return RequestQuarantinedError(detail, retry_after_ms=round(remaining_quarantine_s * 1000))
        return self.attempts_exhausted_error(active, detail, RefusalCause.REFUSED_BY_BACKENDS)
