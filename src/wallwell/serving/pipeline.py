"""The request pipeline: admits a request, selects a back end, sends the request, and retries where that is safe.

This module owns the loop over the attempts of one request and the caller's answer: exactly one, sent as soon as it
is decided, and none once the caller has disconnected. A refusal that proves that the request never ran carries a
Retry-After. The pipeline is independent of any wire format and delegates each decision:

- :class:`~wallwell.serving.admission.Admission` checks access and limits and sets the deadline;
- :class:`~wallwell.serving.backend_selector.BackendSelector` selects the next back end;
- :class:`~wallwell.serving.attempt.AttemptRunner` makes one attempt;
- :class:`~wallwell.routing.retry.retry_policy.RetryPolicy` decides what follows a failed attempt;
- :class:`~wallwell.serving.request_errors.RequestErrorFactory` builds the error when no attempt follows.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterator, Mapping, Sequence
from contextlib import contextmanager

import msgspec

from wallwell.clock import boot_time_s
from wallwell.cluster.stream_directory import StreamDirectory
from wallwell.cluster.stream_records import StreamRecords
from wallwell.error_frames import release_frames
from wallwell.errors import RequestError
from wallwell.node.state import NodeState
from wallwell.outcomes import Outcome
from wallwell.routing.admission.backoff_hold import hold_duration_s
from wallwell.routing.admission.remaining_time import has_too_little_time
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.retry.retry_policy import GiveUp, RetryPolicy
from wallwell.routing.selection.candidates import earliest_backoff_end_s, exclude_unresponsive_zones
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.admission import Admission
from wallwell.serving.attempt import AttemptRunner
from wallwell.serving.attempt_feedback import AttemptFeedback
from wallwell.serving.backend_selector import BackendSelector
from wallwell.serving.counters import RequestCounters
from wallwell.serving.failure_recorder import FailureRecorder
from wallwell.serving.hedging import Hedger
from wallwell.serving.liveness import LivenessMonitor
from wallwell.serving.messages import (
    AttemptError,
    BackendClient,
    CallerGoneError,
    CallerReply,
    CallerRequest,
    CrashObserver,
)
from wallwell.serving.quarantine_check import begin_part_trial
from wallwell.serving.request_errors import RequestErrorFactory
from wallwell.serving.request_reports import RequestReporter
from wallwell.serving.stream_origin import StreamOriginBinder
from wallwell.serving.version_choice import candidates_for


class Hold(msgspec.Struct, frozen=True):
    """The request is held for ``seconds`` before its next back end is chosen."""

    seconds: float


class RequestPipeline:
    """Serves requests from any interface to callers on any kind of back end."""

    def __init__(
        self,
        state: NodeState,
        client: BackendClient,
        counters: RequestCounters | None = None,
        liveness: LivenessMonitor | None = None,
        crash_observer: CrashObserver | None = None,
        stream_directory: StreamDirectory | None = None,
        stream_records: StreamRecords | None = None,
    ) -> None:
        self._state = state
        self._admission = Admission(state)
        self._selector = BackendSelector(state)
        self._error_factory = RequestErrorFactory(state)
        self._policy = RetryPolicy(lambda: state.node_count)
        self.feedback = AttemptFeedback(state, self._selector, crash_observer)
        self.counters = counters or RequestCounters()
        self._reporter = RequestReporter(state, self.counters)
        directory = stream_directory or StreamDirectory(state.node, state.topology, dict, state.recent_versions)
        self._stream_origins = StreamOriginBinder(state, directory, stream_records, self.counters)
        self._failures = FailureRecorder(state, self.feedback, self._reporter)
        hedger = Hedger(state, self._policy, self._selector, self.feedback, self._failures, self._reporter)
        self._attempt_runner = AttemptRunner(
            state, client, self._policy, hedger, self.feedback, liveness, self._reporter, self._stream_origins
        )

    async def serve(self, request: CallerRequest, reply: CallerReply) -> None:
        """Serve one request through ``reply``. Raises :class:`CallerGoneError` if the caller has disconnected."""
        active: ActiveRequest | None = None
        try:
            active = self._admission.admit(request, reply)
            await self._run_admitted(active)
        except RequestError as error:
            release_frames(error)
            self._reporter.on_refused(request, error, active)
            if reply.started:
                reply.abort()
            else:
                await reply.refuse(error)

    def refuse_unread(self, request_id: str, error: RequestError) -> None:
        """Report a request that is refused before it has been read whole."""
        self._reporter.on_refused_unread(request_id, error)

    async def _run_admitted(self, active: ActiveRequest) -> None:
        """Run a request, and refund the charge to its tenant's limit if the request is proved not to have run."""
        try:
            await self._run(active)
        except asyncio.CancelledError:
            if active.reply.is_cut_by_stop():
                self._reporter.on_cut_by_stop(active)
            raise
        except RequestError as error:
            if error.outcome is Outcome.NOT_RUN:
                self._refund(active)
            raise
        except CallerGoneError:
            if self._is_proved_not_run(active):
                self._refund(active)
            raise

    def _refund(self, active: ActiveRequest) -> None:
        if active.limit_charge is not None:
            self._state.load.limits.refund(active.limit_charge)

    async def _run(self, active: ActiveRequest) -> None:
        """Make attempts until one is answered. Raises :class:`RequestError` or :class:`CallerGoneError`."""
        await self._stream_origins.bind(active)
        try:
            await self._run_attempts(active)
        finally:
            successor = active.take_successor()
            if successor is not None:
                await successor.withdraw()

    async def _run_attempts(self, active: ActiveRequest) -> None:
        while True:
            successor = active.take_successor()
            if successor is not None:
                backend, attempt = successor.backend, successor.finish()
            else:
                backend = await self._next_backend(active)
                attempt = self._attempt_runner.make_attempt(active, backend)
            try:
                if await attempt:
                    self._on_answered(active, backend)
                    return
                server_error = AttemptError(TransportEvent.ERROR_ANSWER, "server error, retried")
                self._reporter.on_attempt_failed(active, backend, server_error)
            except AttemptError as failure:
                release_frames(failure)
                self._after_failure(active, backend, failure, is_hedge=successor is not None)
            except TimeoutError as timeout:
                release_frames(timeout)
                raise self._deadline_error(active) from None

    def _on_answered(self, active: ActiveRequest, backend: Backend) -> None:
        now_s = boot_time_s()
        self._selector.record_duration(active, now_s)
        self._reporter.on_answered(active, backend, now_s)

    def _deadline_error(self, active: ActiveRequest) -> RequestError:
        """Return the error of a request that reached its deadline during an attempt."""
        self._selector.record_no_first_token(active, boot_time_s())
        # The attempt in flight may have reached its back end, whatever the outcome of earlier attempts.
        active.attempt_log.record(TransportEvent.ANSWER_TIMEOUT)
        active.history.on_run_ended()
        return self._error_factory.deadline_error(active)

    # --- before an attempt -----------------------------------------------------------------------------

    async def _next_backend(self, active: ActiveRequest) -> Backend:
        """Return the back end of the next attempt, after a hold if a back-off or a limit ends soon enough.

        Raises :class:`RequestError` or :class:`CallerGoneError`.
        """
        while True:
            chosen = self._choose_or_hold(active)
            if isinstance(chosen, Backend):
                return chosen
            with self._count_held(active):
                await asyncio.sleep(chosen.seconds)

    @contextmanager
    def _count_held(self, active: ActiveRequest) -> Iterator[None]:
        """Count a request as held at a brittle service, so that later ones know how many wait before them."""
        brittleness = self._state.brittleness.get(active.service)
        if brittleness is None:
            yield
            return
        brittleness.held += 1
        try:
            yield
        finally:
            brittleness.held -= 1

    def _choose_or_hold(self, active: ActiveRequest) -> Backend | Hold:
        """Return the back end of the next attempt, or the hold to wait for before choosing again.

        Raises :class:`RequestError` or :class:`CallerGoneError`.
        """
        if active.reply.is_caller_gone():
            # A node that is short of CPU time may read a request after its caller has disconnected.
            raise CallerGoneError("the caller disconnected before the next attempt")
        if self._is_too_late(active):
            raise self._error_factory.deadline_error(active)
        now_s = boot_time_s()
        # Checked before each attempt, since other nodes may have observed crashes caused by this request meanwhile.
        refusal = self._error_factory.quarantine_error(active, now_s)
        if refusal is not None and begin_part_trial(self._state, active, now_s):
            refusal = self._error_factory.quarantine_error(active, now_s)
        if refusal is not None:
            raise refusal
        limit_waits_s: dict[Backend, float] = {}
        """Back ends passed over for their stated limit, with the seconds until it probably allows the request."""
        while True:
            listed, candidates = self._candidates(active, now_s, limit_waits_s)
            if not candidates:
                break
            if not limit_waits_s:
                self._selector.refuse_if_overloaded(active, now_s)
            backend = self._selector.choose(active, candidates, listed)
            wait_s = self._selector.wait_for_room_s(active, backend, now_s)
            if wait_s is None:
                return backend
            limit_waits_s[backend] = wait_s
        hold = self._decide_hold(active, listed, limit_waits_s, now_s)
        if hold is None:
            raise self._error_factory.no_usable_backend_error(active, now_s, limit_waits_s.values())
        return hold

    def _candidates(
        self, active: ActiveRequest, now_s: float, excluded: Collection[Backend]
    ) -> tuple[Sequence[Backend], Sequence[Backend]]:
        """Return the listed back ends, and those that may get the next attempt apart from the excluded ones."""
        listed, usable = candidates_for(self._state, active, now_s, excluded)
        tried: Collection[str] = active.history.tried_incarnations
        unresponsive: Collection[str] = active.history.unresponsive_zones
        if self._state.reachability.is_unreachable(active.service):
            # Peers may reach what this node could not connect to.
            tried, unresponsive = active.history.tried_incarnations - active.history.unreached_incarnations, ()
        untried = [each for each in usable if each.incarnation not in tried]
        candidates = untried or (usable if self._is_proved_not_run(active) else [])
        return listed, exclude_unresponsive_zones(candidates, unresponsive, self._state.zone)

    def _decide_hold(
        self,
        active: ActiveRequest,
        listed: Sequence[Backend],
        limit_waits_s: Mapping[Backend, float],
        now_s: float,
    ) -> Hold | None:
        if limit_waits_s:
            ends_s: float | None = now_s + min(limit_waits_s.values())
        else:
            ends_s = earliest_backoff_end_s(listed, now_s)
        if ends_s is None:
            return None
        objective_left_s = active.request.arrived_s + active.route.objective_s - now_s
        seconds = hold_duration_s(ends_s - now_s, objective_left_s, self._state.rng)
        return None if seconds is None else Hold(seconds)

    def _is_too_late(self, active: ActiveRequest) -> bool:
        shortest = self._state.shortest_answers.get(active.route.name)
        continues_run = bool(active.history.runs) or active.request.resumes_stream
        return has_too_little_time(shortest, active.remaining_s(), continues_run=continues_run)

    def _is_proved_not_run(self, active: ActiveRequest) -> bool:
        return active.attempt_log.outcome is Outcome.NOT_RUN

    # --- after an attempt ------------------------------------------------------------------------------

    def _after_failure(
        self, active: ActiveRequest, backend: Backend, failure: AttemptError, is_hedge: bool
    ) -> None:
        """Record a failed attempt; ``is_hedge`` if it was begun beside another one.

        Raises :class:`RequestError` unless another attempt follows.
        """
        self._failures.record(active, backend, failure, is_hedge)
        if active.successor is not None:
            active.history.prepaid_retries -= 1  # Paid for the second attempt, which is under way already.
            return
        event, now_s = failure.event, boot_time_s()
        budget = self._state.retry_budget(active.service)
        decision = self._policy.decide_after_failure(
            active.route, active.history, active.attempt_log.attempts, event, budget, now_s
        )
        if isinstance(decision, GiveUp):
            raise self._error_factory.exhausted_error(
                active, decision.detail or failure.detail or event.value, decision.cause
            )
