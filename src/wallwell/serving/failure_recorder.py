"""Records attempts that ended without a complete answer, wherever in the pipeline they end. Makes no decisions.

A failed attempt counts in the request's history and log, in what this node observed of the back end, in the limit
that the back end states, and in logs and metrics.
"""

from __future__ import annotations

from wallwell.clock import boot_time_s
from wallwell.node.state import NodeState
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_history import NOT_ARRIVED
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.attempt_feedback import AttemptFeedback
from wallwell.serving.messages import AttemptError
from wallwell.serving.request_reports import RequestReporter


class FailureRecorder:
    """Records the failed attempts of one node."""

    def __init__(self, state: NodeState, feedback: AttemptFeedback, reporter: RequestReporter) -> None:
        self._state = state
        self._feedback = feedback
        self._reporter = reporter

    def record(self, active: ActiveRequest, backend: Backend, failure: AttemptError, is_hedge: bool) -> None:
        """Record that an attempt of ``active`` at ``backend`` failed, ``is_hedge`` if begun beside another."""
        now_s = boot_time_s()
        event, history = failure.event, active.history
        active.is_part_trial = False
        active.attempt_log.record(event)
        history.record_failure(event)
        history.found_no_peer |= active.progress.found_no_peer
        if event in NOT_ARRIVED:
            via_peer = bool(active.progress.via_peer)
            history.record_unreached(backend.incarnation, event, via_peer)
            history.unreached_hedges += is_hedge and not via_peer
        history.failure_details.append(f"{backend.incarnation} {event.value} {failure.detail}")
        self._feedback.on_failure(active, backend, failure, now_s)
        self._reporter.on_attempt_failed(active, backend, failure)
        if event in NOT_ARRIVED:
            self._state.load.stated_limits.refund(backend)
