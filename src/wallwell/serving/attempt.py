"""One attempt: sends a request once to one back end and forwards the answer to the caller.

Counts the attempt while it is in flight (in the back end's load and request count, and in the rollout's counts),
and settles these counts however the attempt ends, cancellation included. The retry policy decides whether the
attempt may be interrupted or its error answer retried; :class:`~wallwell.serving.response_wait.ResponseWaiter`
waits for the head of the answer, :class:`~wallwell.serving.stream_forwarding.StreamForwarder` forwards streams.
"""

from __future__ import annotations

import asyncio
from contextlib import AbstractAsyncContextManager, aclosing, nullcontext
from dataclasses import dataclass

from wallwell.answer_bounds import MAX_ANSWER_BYTES, AnswerTooLargeError, read_bounded
from wallwell.clock import boot_time_s, time_limit
from wallwell.deployment.routes import RouteKind
from wallwell.deployment.topology import Distance
from wallwell.node.state import NodeState
from wallwell.rollout.tally import CountedAttempt
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.retry.retry_policy import RetryPolicy
from wallwell.routing.selection.prefix_home import request_load
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.attempt_feedback import AttemptFeedback
from wallwell.serving.cache_planning import CachePlanner
from wallwell.serving.counted_answer import TrafficCountedAnswer
from wallwell.serving.hedging import Hedger
from wallwell.serving.liveness import LivenessMonitor, WatchedAttempt
from wallwell.serving.messages import (
    AttemptError,
    BackendAnswer,
    BackendClient,
    CachePlan,
    Dispatch,
    SendProgress,
)
from wallwell.serving.peer_preference import prefers_peer_attempts
from wallwell.serving.quarantine_check import quarantine_refusal
from wallwell.serving.request_reports import RequestReporter
from wallwell.serving.response_wait import ResponseWaiter
from wallwell.serving.stream_forwarding import StreamForwarder
from wallwell.serving.stream_origin import StreamOriginBinder
from wallwell.serving.untried_backends import has_untried_backend
from wallwell.serving.version_choice import count_attempt_end, count_attempt_start, known_software
from wallwell.task_wait import cancel_and_wait

CALL_LOAD = 1
"""Load units that a call adds to its back end; those of a generation depend on its prompt."""
FIRST_SERVER_ERROR_STATUS = 500
"""Lowest HTTP status that reports a failure of the back end."""


@dataclass
class StartedAttempt:
    """An attempt that counts as in flight until it is settled."""

    active: ActiveRequest
    backend: Backend
    load: int
    """Load units that it adds to its back end."""
    prefers_peers: bool
    counted: CountedAttempt | None
    """Its count in a rollout; None if none is counted."""
    answer: BackendAnswer | None = None
    is_settled: bool = False

    def settle(self, failure: BaseException | None = None) -> None:
        """Count the attempt as no longer in flight, once, and close its answer; ``failure`` ended it, if any."""
        if self.is_settled:
            return
        self.is_settled = True
        if self.counted is not None and not self.active.is_withdrawn:
            status = self.answer.head.status if self.answer is not None else 0
            count_attempt_end(self.counted, self.active, status, failure, boot_time_s())
        self.backend.in_flight -= 1
        self.backend.load -= self.load
        if self.answer is not None:
            self.answer.close()


class AttemptRunner:
    """Runs single attempts for one node."""

    def __init__(
        self,
        state: NodeState,
        client: BackendClient,
        policy: RetryPolicy,
        hedger: Hedger,
        feedback: AttemptFeedback,
        liveness: LivenessMonitor | None,
        reporter: RequestReporter,
        stream_origins: StreamOriginBinder,
    ) -> None:
        self._state = state
        self._policy = policy
        self._feedback = feedback
        self._liveness = liveness
        hedger.attempts = self
        self._hedger = hedger
        self._response_waiter = ResponseWaiter(state, client, policy, hedger)
        self._stream_forwarder = StreamForwarder(state, policy, feedback, reporter, stream_origins, hedger)
        self._cache_planner = CachePlanner(state)

    async def make_attempt(self, active: ActiveRequest, backend: Backend) -> bool:
        """Send the request once and forward the answer; return False if an error answer is to be retried instead.

        Raises :class:`AttemptError` if the attempt fails, TimeoutError at the request's deadline.
        """
        return await self.run_attempt(self.start_attempt(active, backend))

    def start_attempt(self, active: ActiveRequest, backend: Backend) -> StartedAttempt:
        """Count an attempt as in flight, so that others see its load before it runs."""
        config = self._state.config
        load = _load_units(active, config.max_run_tokens if config is not None else None)
        prefers_peers = prefers_peer_attempts(self._state, active)
        sent_s = self._on_sent(active, backend, load)
        counted = count_attempt_start(self._state, active, backend, sent_s)
        return StartedAttempt(active, backend, load, prefers_peers, counted)

    async def run_attempt(self, started: StartedAttempt) -> bool:
        """Make an attempt that was started, and settle it; as :meth:`make_attempt`."""
        active, backend = started.active, started.backend
        try:
            async with time_limit(active.remaining_s()), self._liveness_watch(active, backend) as active.watch:
                started.answer = await self._send(active, backend, started.prefers_peers)
                return await self._forward_answer(active, backend, started.answer)
        except BaseException as error:
            if isinstance(error, AttemptError):
                self._hedger.hand_over(active, backend)
            started.settle(error)
            raise
        finally:
            started.settle()
            await self._hedger.withdraw(active)

    def _on_sent(self, active: ActiveRequest, backend: Backend, load: int) -> float:
        """Count an attempt as in flight and return the time of sending, in seconds on this node's clock."""
        is_repeat = active.history.runs > 0 or active.reply_claim.is_contested
        if is_repeat and active.limit_charge is not None:
            self._state.load.limits.charge_retry(active.limit_charge)
        sent_s = boot_time_s()
        if not backend.in_flight:
            backend.silence.on_idle_ended(sent_s)
        backend.backoff.on_sent(sent_s)
        self._state.load.stated_limits.on_sent(backend.incarnation, sent_s)
        backend.in_flight += 1
        backend.load += load
        active.history.tried_incarnations.add(backend.incarnation)
        active.progress = SendProgress()
        active.timing.on_sent(sent_s, backend.fleet_load(self._state.node_count))
        return sent_s

    def _liveness_watch(
        self, active: ActiveRequest, backend: Backend
    ) -> AbstractAsyncContextManager[WatchedAttempt | None]:
        """Return a context that yields what is found out about the back end, if a retry is allowed."""
        if self._liveness is None or not self._policy.may_interrupt(active.route, active.history):
            return nullcontext()
        return self._liveness.watch(backend, active.progress)

    # --- the request -----------------------------------------------------------------------------------

    async def _send(self, active: ActiveRequest, backend: Backend, prefers_peers: bool) -> BackendAnswer:
        dispatch = self._build_dispatch(active, backend, prefers_peers)
        answer = await self._response_waiter.await_response(active, backend, dispatch)
        if self._state.topology.distance_to(backend.record.zone) is Distance.OTHER_REGION:
            cause = active.route.kind.value
            self._state.region_traffic.count_exchange(cause, len(active.request.body))
            answer = TrafficCountedAnswer(answer, self._state.region_traffic, cause)
        self._feedback.on_head(active, backend, answer.head)
        if active.watch is not None:
            active.watch.on_received()
        return answer

    def _build_dispatch(self, active: ActiveRequest, backend: Backend, prefers_peers: bool) -> Dispatch:
        request = active.request
        generation = request.generation
        version = 0
        cache = None
        resume_after = None
        if generation is not None:
            version = backend.believed_version(generation.model)
            if prefers_peers:
                # The peer plans transfers itself.
                cache = self._cache_planner.plan_without_transfers(active, backend)
            else:
                cache = self._cache_planner.plan(active, backend, boot_time_s())
            resume_after = generation.resume_after
            if active.stream_position.last_event_number is not None:
                resume_after = active.stream_position.last_event_number
        active.cache = cache
        return Dispatch(
            backend=backend.record,
            request=request,
            tenant=active.tenant.name if active.tenant is not None else "",
            remaining_s=active.remaining_s(),
            rank=active.rank,
            expected_version=version,
            resume_after=resume_after,
            required_software=active.stream_software,
            cache=cache,
            progress=active.progress,
            prefers_peers=prefers_peers,
            listing_status=lambda: backend.listing_status(boot_time_s()),
            may_send=lambda: self._may_send(active, backend, cache),
        )

    def _may_send(self, active: ActiveRequest, backend: Backend, cache: CachePlan | None) -> bool:
        """Whether a back end still accepts requests, may still continue the stream if it has begun, and neither the
        request has been quarantined meanwhile nor have those changed with whom it may share cache."""
        if active.stream_software not in (None, known_software(self._state, backend)):
            return False
        if not self._cache_planner.is_current(active, cache):
            return False
        now_s = boot_time_s()
        return not backend.backoff.is_in_force(now_s) and quarantine_refusal(self._state, active, now_s) is None

    # --- the answer ------------------------------------------------------------------------------------

    async def _forward_answer(self, active: ActiveRequest, backend: Backend, answer: BackendAnswer) -> bool:
        if active.route.kind is RouteKind.STREAM and answer.head.ok and answer.head.is_event_stream:
            await self._stream_forwarder.forward(active, backend, answer)
            self._feedback.on_complete_answer(active, backend, answer.head)
            return True
        if active.reply.started:
            raise AttemptError(TransportEvent.ERROR_ANSWER, "the attempt to resume the stream got an error answer")
        body = await self._read_body(active, backend, answer)
        is_server_error = answer.head.status >= FIRST_SERVER_ERROR_STATUS
        if is_server_error and (active.reply_claim.is_contested or active.hedge is not None):
            raise AttemptError(TransportEvent.ERROR_ANSWER, "server error, and another attempt is open")
        if is_server_error and self._decide_retry(active):
            active.history.on_run_ended()
            active.attempt_log.record(TransportEvent.ERROR_ANSWER)
            return False
        await self._hedger.settle(active, backend)
        self._feedback.on_complete_answer(active, backend, answer.head)
        await active.reply.answer(answer.head, body)
        return True

    async def _read_body(self, active: ActiveRequest, backend: Backend, answer: BackendAnswer) -> bytes:
        if active.hedge is None:
            return await _join(answer)
        reading = asyncio.ensure_future(_join(answer))
        try:
            return await self._hedger.await_result(active, backend, reading, None)
        finally:
            await cancel_and_wait(reading)

    def _decide_retry(self, active: ActiveRequest) -> bool:
        """Decide whether an error answer is retried; if so, the retry is charged to the retry budget."""
        now_s = boot_time_s()
        return self._policy.try_retry_error_answer(
            active.route,
            active.history,
            lambda: has_untried_backend(self._state, active, now_s),
            self._state.retry_budget(active.service),
            now_s,
        )


async def _join(answer: BackendAnswer) -> bytes:
    """Return the whole body. Raises :class:`AttemptError` if it ends early or is larger than any may be."""
    async with aclosing(answer.chunks()) as chunks:  # type: ignore[type-var]
        try:
            return await read_bounded(chunks, MAX_ANSWER_BYTES)
        except AnswerTooLargeError as error:
            raise AttemptError(TransportEvent.RESET_AFTER_SEND, str(error)) from error


def _load_units(active: ActiveRequest, max_run_tokens: int | None) -> int:
    """Return the load of a request; a prompt that is too large for any engine counts like the largest that fits."""
    generation = active.request.generation
    if generation is None:
        return CALL_LOAD
    tokens = generation.prompt_tokens
    return request_load(tokens if max_run_tokens is None else min(tokens, max_run_tokens))
