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
from wallwell.routing.selection.candidates import earliest_backoff_end_s
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.retry_after import RetryAfter


class RequestErrors:
    """Builds errors from what one node knows. Nothing is raised here."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._retry_after = RetryAfter(state)

    def out_of_time(self, active: ActiveRequest) -> RequestError:
        """Return the error of a request whose time is over, or too short for any answer."""
        text = "; ".join(active.history.failure_details)
        if active.log.outcome is Outcome.NOT_RUN and not active.history.runs:
            wait_ms = self._retry_after.of_request(RefusalCause.TOO_LITTLE_TIME, active)
            if active.log.attempts:
                return RetriesExhaustedError(text, retry_after_ms=wait_ms)
            detail = f"{active.remaining_s() * 1000:.0f} ms left are too few for any answer"
            return DeadlineUnreachableError(detail, retry_after_ms=wait_ms)
        return DeadlineExceededError(text or "the time allowed ran out")

    def exhausted(
        self, active: ActiveRequest, detail: str, cause: RefusalCause, limit_wait_s: float = 0.0
    ) -> RequestError:
        """Return the error that states what is proved of all attempts together.

        ``limit_wait_s`` is the time until a limit allows the request, where that is the cause.
        """
        text = "; ".join((detail, *active.history.failure_details))
        if active.log.outcome is Outcome.NOT_RUN:
            wait_ms = self._retry_after.of_request(cause, active, limit_wait_s)
            if active.log.attempts:
                return RetriesExhaustedError(text, retry_after_ms=wait_ms)
            return NoBackendError(text, retry_after_ms=wait_ms)
        if active.remaining_s() <= 0:
            return DeadlineExceededError(text)
        if active.log.outcome is Outcome.FAILED:
            return BackendFailedError(text)
        return OutcomeUnknownError(text)

    def none_usable(
        self, active: ActiveRequest, now_s: float, limit_waits_s: Collection[float] = ()
    ) -> RequestError:
        """Return the error where no back end may be asked: none stays, wants requests, or has weights new
        enough.

        ``limit_waits_s`` are the times until the limits that are used up probably allow the request.
        """
        if limit_waits_s:
            detail = "limits of the back ends are used up"
            return self.exhausted(active, detail, RefusalCause.ALL_LIMITED, min(limit_waits_s))
        listed = self._state.backends.backends_of_service(active.service)
        if earliest_backoff_end_s(listed, now_s) is not None:
            return self.exhausted(active, "every back end asked for back-off", RefusalCause.ALL_BACKING_OFF)
        is_any_present = any(not each.is_leaving(now_s) for each in listed)
        cause = RefusalCause.WEIGHTS_TOO_OLD if is_any_present else RefusalCause.NO_BACKEND_LISTED
        return self.exhausted(active, "no back end can take the request", cause)

    def quarantined(self, active: ActiveRequest, now_s: float) -> RequestError | None:
        """Return the error of a request that crashes the back ends that run it, None for any other one.

        Each further try would end one more of them, with all its runs.
        """
        quarantine = self._state.quarantine
        left_s = quarantine.remaining_s(active.content, now_s) if quarantine.quarantined_count else 0.0
        if not left_s:
            return None
        detail = f"back ends crashed under content {active.content}"
        if active.log.outcome is Outcome.NOT_RUN:
            return RequestQuarantinedError(detail, retry_after_ms=round(left_s * 1000))
        return self.exhausted(active, detail, RefusalCause.REFUSED_BY_BACKENDS)
