"""What became of a request's attempts so far: the input of every decision on a further one. Pure.

Owned by one request and changed by the pipeline and by :mod:`wallwell.routing.retry.retry_policy` only. The
proof of what all attempts together may have done is kept beside it, in :class:`~.attempt_outcome.AttemptLog`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wallwell.routing.retry.attempt_outcome import REFUSED_BY_BACKEND, TransportEvent

CONNECT_FAILURES = (
    TransportEvent.CONNECT_REFUSED,
    TransportEvent.CONNECT_TIMEOUT,
)
"""Events that show that a back end cannot be connected to."""
NOT_ARRIVED = (*CONNECT_FAILURES, TransportEvent.WITHDRAWN)
"""Events after which nothing of the request can have arrived at the back end."""


@dataclass
class AttemptHistory:
    """Attempts of one request."""

    tried_incarnations: set[str] = field(default_factory=set)
    """Incarnations of the back ends to which it was sent."""
    runs: int = 0
    """Attempts that may have been executed; the route bounds them."""
    failed_arrivals: int = 0
    """Failed attempts for which a connection came up, whether the back end ran them, refused them or broke off."""
    prepaid_retries: int = 0
    """Retries drawn from the budget before the attempt that they follow was abandoned."""
    unresponsive_zones: set[str] = field(default_factory=set)
    """Zones in which a connection attempt of this request timed out."""
    failure_details: list[str] = field(default_factory=list)
    """One line for each failed attempt, for the error text."""

    def on_attempt_failed(self, event: TransportEvent) -> None:
        """Count an attempt that ended without a whole answer."""
        if event in NOT_ARRIVED:
            return
        self.failed_arrivals += 1
        if event not in REFUSED_BY_BACKEND:
            self.runs += 1

    def on_run_ended(self) -> None:
        """Count a run that ended in an error answer, or with the caller's time.

        ``arrivals`` stays as it is: it counts attempts that broke off.
        """
        self.runs += 1
