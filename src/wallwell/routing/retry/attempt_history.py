"""The attempts of a request so far: input of every decision on another attempt. Pure.

Each request has its own history, changed only by ``serving/`` and :mod:`wallwell.routing.retry.retry_policy`. What
all attempts together may have executed is recorded separately, in :class:`~.attempt_outcome.AttemptLog`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wallwell.routing.retry.attempt_outcome import REFUSED_BY_BACKEND, TransportEvent

CONNECT_FAILURES = (
    TransportEvent.CONNECT_REFUSED,
    TransportEvent.CONNECT_TIMEOUT,
)
"""Events in which the connection to a back end could not be made."""
NOT_ARRIVED = (*CONNECT_FAILURES, TransportEvent.WITHDRAWN)
"""Events after which no part of the request can have arrived at the back end."""


@dataclass
class AttemptHistory:
    """The attempts of one request so far."""

    tried_incarnations: set[str] = field(default_factory=set)
    """Incarnations of the back ends that the request was sent to."""
    runs: int = 0
    """Attempts that may have been executed; the route limits their number."""
    failed_arrivals: int = 0
    """Failed attempts that were connected to a back end, whether it ran or refused them or the connection broke."""
    prepaid_retries: int = 0
    """Retries taken from the budget in advance, for a second attempt beside a silent one."""
    open_hedges: int = 0
    """Second attempts in flight beside the current one."""
    failed_hedges: int = 0
    """Second attempts that may have run, and failed before the silent one they were made beside."""
    unreached_hedges: int = 0
    """Second attempts that did not arrive at a back end. They cost the request little time, so that they do not
    count as signs that this node reaches none."""
    unreached_incarnations: set[str] = field(default_factory=set)
    """Back ends that this node could not connect to for this request; peers may still reach them."""
    unreached_peer_attempts: int = 0
    """Attempts made by peers that did not arrive at a back end."""
    found_no_peer: bool = False
    """Whether an attempt was to be made by a peer, and none made it."""
    unresponsive_zones: set[str] = field(default_factory=set)
    """Zones in which a connection attempt of this request timed out."""
    failure_details: list[str] = field(default_factory=list)
    """One line per failed attempt, for the error's detail."""

    @property
    def direct_connect_failures(self) -> int:
        """Number of back ends that this node could not connect to for this request."""
        return len(self.unreached_incarnations)

    def record_unreached(self, incarnation: str, event: TransportEvent, via_peer: bool) -> None:
        """Record an attempt that did not arrive at a back end."""
        if via_peer:
            self.unreached_peer_attempts += 1
        elif event in CONNECT_FAILURES:
            self.unreached_incarnations.add(incarnation)

    def record_failure(self, event: TransportEvent) -> None:
        """Count an attempt that ended without a complete answer."""
        if event in NOT_ARRIVED:
            return
        self.failed_arrivals += 1
        if event not in REFUSED_BY_BACKEND:
            self.runs += 1

    def record_failed_hedge(self, event: TransportEvent) -> None:
        """Count a failed attempt as a second attempt beside a silent one that is still open.

        The retry of one that did not arrive pays for the next one.
        """
        if event in NOT_ARRIVED:
            return
        self.prepaid_retries -= 1
        if event not in REFUSED_BY_BACKEND:
            self.failed_hedges += 1

    def record_withdrawn_hedge(self, has_arrived: bool) -> None:
        """Count a second attempt that was cancelled; if it may have arrived, it may have run."""
        if has_arrived:
            self.runs += 1
            self.prepaid_retries -= 1

    def on_run_ended(self) -> None:
        """Count a run that ended with an error answer or when the caller's time ran out.

        ``failed_arrivals`` does not change, since it counts attempts that ended without a complete answer.
        """
        self.runs += 1
