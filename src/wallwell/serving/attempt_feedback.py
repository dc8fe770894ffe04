"""Updates health and weights records by the results of attempts: responses, failures, weights versions, crashes.

Holds no state of its own: each result is passed to the back end's record, the node's state and the crash observer,
which decide by it when a back end or a zone gets no requests. Called by the pipeline, and by attempts in flight.
"""

from __future__ import annotations

from wallwell.clock import boot_time_s
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.routing.admission.part_quarantine import BEGINNING_S
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_history import CONNECT_FAILURES
from wallwell.routing.retry.attempt_outcome import REFUSED_BY_BACKEND, TransportEvent
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.backend_selector import BackendSelector
from wallwell.serving.messages import AnswerHead, AttemptError, CrashObserver

NO_RESPONSE_EVENTS = (
    TransportEvent.CONNECT_TIMEOUT,
    TransportEvent.ANSWER_TIMEOUT,
    TransportEvent.RESET_BEFORE_SEND,
    TransportEvent.RESET_AFTER_SEND,
)
"""Events that also occur while all packets to the back end are dropped, so that they do not prove it reachable."""


class AttemptFeedback:
    """Records the results of one node's attempts."""

    def __init__(self, state: NodeState, selector: BackendSelector, crash_observer: CrashObserver | None) -> None:
        self._state = state
        self._selector = selector
        self._crash_observer = crash_observer

    def on_head(self, active: ActiveRequest, backend: Backend, head: AnswerHead) -> None:
        """Record the arrival of an answer's head."""
        generation = active.request.generation
        if generation is not None and head.weights_version:
            backend.set_believed_version(generation.model, head.weights_version)
        now_s = boot_time_s()
        self._record_acceptance(backend, now_s)
        if active.progress.via_peer:
            return  # Says nothing about this node's own links.
        backend.silence.on_received(now_s)
        self._state.on_sign_of_life(backend, now_s)
        self._state.on_reached(backend)
        if head.ok:
            backend.on_success(now_s)

    def _record_acceptance(self, backend: Backend, now_s: float) -> None:
        """Record that the back end accepted a request, which ends a back-off whose time is over."""
        backoff_s = backend.on_accepted(now_s)
        if backoff_s is not None:
            emit(Event.BACKEND_BACKOFF_ENDED, backend=backend.incarnation, since_first_ms=round(backoff_s * 1000))

    def on_stream_data(self, active: ActiveRequest, backend: Backend, now_s: float) -> None:
        """Record the arrival of bytes of a stream."""
        if not active.progress.via_peer:
            backend.silence.on_received(now_s)
            self._state.on_sign_of_life(backend, now_s)
        self._selector.record_first_token(active, now_s)
        timing = active.timing
        if not timing.is_past_beginning and timing.writing_s(now_s) >= BEGINNING_S:
            timing.is_past_beginning = True
            self._record_worked(active)

    def on_complete_answer(self, active: ActiveRequest, backend: Backend, head: AnswerHead) -> None:
        """Record that an answer is complete."""
        if not active.progress.via_peer:
            backend.on_success(boot_time_s())
        if self._crash_observer is not None and head.ok:
            self._crash_observer.on_answered(active.content_digest)
            self._record_worked(active)

    def on_failure(self, active: ActiveRequest, backend: Backend, failure: AttemptError, now_s: float) -> None:
        """Record an attempt that ended without a complete answer."""
        event = failure.event
        if event is TransportEvent.WITHDRAWN:
            return  # Nothing was sent.
        if event is TransportEvent.ANSWER_TIMEOUT:
            self._selector.record_no_first_token(active, now_s)
        if not active.progress.via_peer:
            self._record_reachability(active, backend, event, now_s)
        if event in REFUSED_BY_BACKEND:
            self._record_refusal(active, backend, failure, now_s)
            return  # A back end that refuses explicitly is healthy.
        if event is TransportEvent.ERROR_ANSWER or active.progress.via_peer:
            return  # A peer that made the attempt records itself what it shows of the back end.
        if event is TransportEvent.RESET_AFTER_SEND and self._crash_observer is not None:
            parts = () if active.timing.writing_s(now_s) >= BEGINNING_S else active.part_digests
            sent_s = active.timing.attempt_sent_s
            self._crash_observer.on_broken_run(active.content_digest, backend, parts, sent_s)
        if event is not TransportEvent.ANSWER_TIMEOUT:
            self._count_failure(backend, event, now_s)
        elif not active.timing.is_silence_recorded:
            self._count_silence(backend, now_s)

    def on_silence(self, active: ActiveRequest, backend: Backend, now_s: float) -> None:
        """Record, once for an attempt, that the back end is silent for too long; the attempt goes on."""
        if active.timing.is_silence_recorded:
            return
        self._selector.record_late_first_token(active, now_s)
        active.timing.is_silence_recorded = True
        if not active.progress.via_peer:
            self._count_silence(backend, now_s)

    def _count_silence(self, backend: Backend, now_s: float) -> None:
        """Count a silence as a failure, unless the back end has answered lately: then it is busy, not faulty."""
        if not backend.is_answering(now_s):
            self._count_failure(backend, TransportEvent.ANSWER_TIMEOUT, now_s)

    def _record_worked(self, active: ActiveRequest) -> None:
        """Record that the current attempt's answer has been written for a while, or whole."""
        if self._crash_observer is None or not active.part_digests:
            return
        began_s = active.timing.attempt_first_event_s
        self._crash_observer.on_worked(
            active.part_digests, began_s if began_s is not None else active.timing.attempt_sent_s
        )

    def _record_reachability(
        self, active: ActiveRequest, backend: Backend, event: TransportEvent, now_s: float
    ) -> None:
        if event in CONNECT_FAILURES:
            self._state.on_connect_failed(backend, now_s)
        if event is TransportEvent.CONNECT_TIMEOUT:
            active.history.unresponsive_zones.add(backend.record.zone)
            self._state.on_connect_timeout(backend, now_s)
        elif event not in NO_RESPONSE_EVENTS:
            self._state.on_sign_of_life(backend, now_s)

    def _record_refusal(self, active: ActiveRequest, backend: Backend, failure: AttemptError, now_s: float) -> None:
        """Record from a refusal that the back end is full, or that it has another weights version than expected."""
        generation = active.request.generation
        if failure.event is TransportEvent.PRECONDITION_REFUSED and generation is not None:
            self._record_acceptance(backend, now_s)  # It checked the expected version, so it is not full.
            self._state.on_version_refused(backend, generation.model, failure.weights_version)
        elif failure.event is TransportEvent.BACKEND_OVERLOADED:
            self._count_overload_refusal(backend, now_s)

    def _count_overload_refusal(self, backend: Backend, now_s: float) -> None:
        brittleness = self._state.brittleness.get(backend.record.service)
        if brittleness is not None:
            brittleness.on_refused(backend.incarnation, self._state.node_count, now_s, self._state.rng)
        if backend.on_refused(now_s):
            emit(
                Event.BACKEND_SUSPENDED,
                backend=backend.incarnation,
                reason=TransportEvent.BACKEND_OVERLOADED.value,
                failures=backend.consecutive_refusals,
            )

    def _count_failure(self, backend: Backend, event: TransportEvent, now_s: float) -> None:
        if backend.on_failure(now_s, unreachable=event in CONNECT_FAILURES):
            emit(
                Event.BACKEND_SUSPENDED,
                backend=backend.incarnation,
                reason=event.value,
                failures=backend.consecutive_failures,
            )
