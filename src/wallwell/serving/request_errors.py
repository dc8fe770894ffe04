"""The error of a request for which no attempt is made any more: what is proved of all, and when to come back."""

from __future__ import annotations

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
from wallwell.node.state import FleetState
from wallwell.outcomes import Outcome
from wallwell.routing.retry.retry_after import ReturnCause
from wallwell.serving.request_state import Exchange
from wallwell.serving.retry_after import ReturnTimes


class RequestErrors:
    """Errors from what one node knows."""

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._returns = ReturnTimes(state)

    def out_of_time(self, exchange: Exchange) -> RequestError:
        """Return the error of a request whose time is over, or too short for any answer."""
        text = "; ".join(exchange.history.details)
        if exchange.log.outcome is Outcome.NOT_RUN and not exchange.history.runs:
            wait_ms = self._returns.of_exchange(ReturnCause.OUT_OF_TIME, exchange)
            if exchange.log.attempts:
                return RetriesExhaustedError(text, retry_after_ms=wait_ms)
            detail = f"{exchange.remaining_s() * 1000:.0f} ms left are too few for any answer"
            return DeadlineUnreachableError(detail, retry_after_ms=wait_ms)
        return DeadlineExceededError(text or "the time allowed ran out")

    def exhausted(self, exchange: Exchange, detail: str, cause: ReturnCause) -> RequestError:
        """Return the error that states what is proved of all attempts together."""
        text = "; ".join((detail, *exchange.history.details))
        if exchange.log.outcome is Outcome.NOT_RUN:
            wait_ms = self._returns.of_exchange(cause, exchange)
            if exchange.log.attempts:
                return RetriesExhaustedError(text, retry_after_ms=wait_ms)
            return NoBackendError(text, retry_after_ms=wait_ms)
        if exchange.remaining_s() <= 0:
            return DeadlineExceededError(text)
        if exchange.log.outcome is Outcome.FAILED:
            return BackendFailedError(text)
        return OutcomeUnknownError(text)

    def none_usable(self, exchange: Exchange, now_s: float) -> RequestError:
        """Return the error where no back end may be asked: none is listed, or none has weights new enough."""
        listed = self._state.backends.of_service(exchange.service)
        is_any_there = any(not each.is_leaving(now_s) for each in listed)
        cause = ReturnCause.WEIGHTS_TOO_OLD if is_any_there else ReturnCause.NONE_LISTED
        return self.exhausted(exchange, "no back end can take the request", cause)

    def quarantined(self, exchange: Exchange, now_s: float) -> RequestError | None:
        """Return the error of a request that crashes the back ends that run it, None for any other one.

        Each further try would end one more of them, with all its runs.
        """
        quarantine = self._state.quarantine
        left_s = quarantine.left_s(exchange.content, now_s) if quarantine.quarantined else 0.0
        if not left_s:
            return None
        detail = f"back ends crashed under content {exchange.content}"
        if exchange.log.outcome is Outcome.NOT_RUN:
            return RequestQuarantinedError(detail, retry_after_ms=round(left_s * 1000))
        return self.exhausted(exchange, detail, ReturnCause.REFUSED)
