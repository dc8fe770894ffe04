"""Builds the error of a request for which no further attempt is made.

The class of the error states what is proved of all attempts together: the request never ran (the error then carries
a Retry-After), it failed, or its outcome is unknown. This module chooses class and text; the proven outcome is kept
in :class:`~wallwell.routing.retry.attempt_outcome.AttemptLog`, and the Retry-After follows from the cause.
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
from wallwell.serving.quarantine_check import quarantine_refusal
from wallwell.serving.retry_after import RetryAfterEstimator


class RequestErrorFactory:
    """Builds errors from the state of one node. Returns them and never raises them."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._retry_after = RetryAfterEstimator(state)

    def deadline_error(self, active: ActiveRequest) -> RequestError:
        """Return the error of a request that reached its deadline, or has too little time left for any answer."""
        text = "; ".join(active.history.failure_details)
        if active.attempt_log.outcome is Outcome.NOT_RUN and not active.history.runs:
            wait_ms = self._retry_after.for_admitted_request_ms(RefusalCause.TOO_LITTLE_TIME, active)
            if active.attempt_log.attempts:
                return RetriesExhaustedError(text, retry_after_ms=wait_ms)
            detail = f"{active.remaining_s() * 1000:.0f} ms left, less than any answer takes"
            return DeadlineUnreachableError(detail, retry_after_ms=wait_ms)
        return DeadlineExceededError(text or "the deadline passed")

    def exhausted_error(
        self, active: ActiveRequest, detail: str, cause: RefusalCause, limit_wait_s: float = 0.0
    ) -> RequestError:
        """Return the error that states what is proved of all attempts together.

        ``limit_wait_s`` is the time in seconds until a limit allows the request, if a limit is the cause.
        """
        text = "; ".join((detail, *active.history.failure_details))
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
        """Return the error for a request without a usable back end: all are leaving, in back-off, over their limit,
        or without weights that are new enough.

        ``limit_waits_s`` are the seconds until each limit that is used up probably allows the request.
        """
        if limit_waits_s:
            detail = "the stated limits of the usable back ends are used up"
            return self.exhausted_error(active, detail, RefusalCause.ALL_LIMITED, min(limit_waits_s))
        listed = self._state.backends.backends_of_service(active.service)
        if earliest_backoff_end_s(listed, now_s) is not None:
            return self.exhausted_error(active, "every back end asked for back-off", RefusalCause.ALL_BACKING_OFF)
        if active.stream_software is not None:
            listed = [each for each in listed if each.record.software == active.stream_software]
        is_any_present = any(not each.is_leaving(now_s) for each in listed)
        if active.stream_software is not None and not is_any_present:
            detail = f"no back end is left of software {active.stream_software}, which began the stream"
            return self.exhausted_error(active, detail, RefusalCause.NO_BACKEND_LISTED)
        cause = RefusalCause.WEIGHTS_TOO_OLD if is_any_present else RefusalCause.NO_BACKEND_LISTED
        return self.exhausted_error(active, "no back end can take the request", cause)

    def quarantine_error(self, active: ActiveRequest, now_s: float) -> RequestError | None:
        """Return the error of a request in quarantine for crashing back ends; None if it is not quarantined.

        Each further attempt could crash another back end, with all requests in flight there.
        """
        refusal = quarantine_refusal(self._state, active, now_s)
        if refusal is None:
            return None
        if active.attempt_log.outcome is Outcome.NOT_RUN:
            return RequestQuarantinedError(refusal.detail, retry_after_ms=round(refusal.remaining_s * 1000))
        return self.exhausted_error(active, refusal.detail, RefusalCause.REFUSED_BY_BACKENDS)
