"""One attempt: a request sent once to one back end, and its answer passed to the caller.

Owns what is counted while an attempt is in flight (the back end's load and requests, the rollout's counts) and
undoes it when the attempt ends in any way, cancellation included. Relies on the retry policy for whether the
attempt may be ended early or its error answer retried, on
:class:`~wallwell.serving.response_timeout.ResponseWait` for the waiting, and on
:class:`~wallwell.serving.stream_passing.StreamPassing` for streams.
"""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager, nullcontext

from wallwell.clock import boot_time_s, bounded
from wallwell.deployment.routes import RouteKind
from wallwell.deployment.topology import Distance
from wallwell.node.state import NodeState
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.retry.retry_policy import RetryPolicy
from wallwell.routing.selection.prefix_home import request_load
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.alternatives import has_untried_backend
from wallwell.serving.attempt_learning import AttemptLearning
from wallwell.serving.cache_planning import CachePlanner
from wallwell.serving.counted_answer import CountedAnswer
from wallwell.serving.liveness import Liveness
from wallwell.serving.messages import AttemptError, BackendAnswer, BackendClient, Dispatch
from wallwell.serving.response_timeout import ResponseWait
from wallwell.serving.stream_passing import StreamPassing
from wallwell.serving.version_choice import begin_attempt, end_attempt

CALL_LOAD = 1
"""What a call adds to the load of its back end; a generation's share follows from its prompt."""
FIRST_SERVER_ERROR_STATUS = 500
"""Lowest HTTP status of answers by which a back end says that it failed."""


class Attempts:
    """Makes single attempts."""

    def __init__(
        self,
        state: NodeState,
        client: BackendClient,
        policy: RetryPolicy,
        learning: AttemptLearning,
        liveness: Liveness | None,
    ) -> None:
        self._state = state
        self._policy = policy
        self._learning = learning
        self._liveness = liveness
        self._wait = ResponseWait(state, client, policy)
        self._streams = StreamPassing(policy, learning)
        self._caches = CachePlanner(state)

    async def make(self, active: ActiveRequest, backend: Backend) -> bool:
        """Send once and pass the answer on; returns False if an error answer is retried instead.

        Raises :class:`AttemptError`, or TimeoutError when the caller's time is over.
        """
        load = _load_of(active)
        sent_s = self._on_sent(active, backend, load)
        counted = begin_attempt(self._state, active, backend, sent_s)
        failure: BaseException | None = None
        answer: BackendAnswer | None = None
        try:
            async with bounded(active.remaining_s()), self._watch(active, backend):
                answer = await self._send(active, backend)
                return await self._pass_on(active, backend, answer)
        except BaseException as error:
            failure = error
            raise
        finally:
            if counted is not None:
                status = answer.head.status if answer is not None else 0
                end_attempt(counted, active, status, failure, boot_time_s())
            backend.in_flight -= 1
            backend.load -= load
            if answer is not None:
                answer.close()

    def _on_sent(self, active: ActiveRequest, backend: Backend, load: int) -> float:
        """Count an attempt as in flight and return when it is sent."""
        if active.history.runs and active.admitted is not None:
            self._state.load.limits.charge_retry(active.admitted)
        sent_s = boot_time_s()
        if not backend.in_flight:
            backend.silence.on_idle_ended(sent_s)
        backend.backoff.on_sent(sent_s)
        self._state.load.stated_limits.on_sent(backend.incarnation, sent_s)
        backend.in_flight += 1
        backend.load += load
        active.history.tried.add(backend.incarnation)
        active.timing.on_sent(sent_s, backend.fleet_load(self._state.node_count))
        return sent_s

    def _watch(self, active: ActiveRequest, backend: Backend) -> AbstractAsyncContextManager[None]:
        """Return what ends the attempt early if its back end has stopped and another may be asked."""
        if self._liveness is None or not self._policy.may_interrupt(active.route, active.history):
            return nullcontext()
        return self._liveness.watch(backend)

    # --- the request -----------------------------------------------------------------------------------

    async def _send(self, active: ActiveRequest, backend: Backend) -> BackendAnswer:
        dispatch = self._dispatch(active, backend)
        answer = await self._wait.await_response(active, backend, dispatch)
        if self._state.topology.distance_to(backend.record.zone) is Distance.OTHER_REGION:
            cause = active.route.kind.value
            self._state.region_traffic.add(cause, len(active.request.body))
            answer = CountedAnswer(answer, self._state.region_traffic, cause)
        self._learning.on_head(active, backend, answer.head)
        return answer

    def _dispatch(self, active: ActiveRequest, backend: Backend) -> Dispatch:
        request = active.request
        generation = request.generation
        version = 0
        cache = None
        resume_after = None
        if generation is not None:
            version = backend.believed_version(generation.model)
            cache = self._caches.plan(active, backend, boot_time_s())
            resume_after = generation.resume_after
            if active.position.last_number is not None:
                resume_after = active.position.last_number
        return Dispatch(
            backend=backend.record,
            request=request,
            tenant=active.tenant.name if active.tenant is not None else "",
            remaining_s=active.remaining_s(),
            rank=active.rank,
            expected_version=version,
            resume_after=resume_after,
            cache=cache,
            is_wanted=lambda: not backend.backoff.is_in_force(boot_time_s()),
        )

    # --- the answer ------------------------------------------------------------------------------------

    async def _pass_on(self, active: ActiveRequest, backend: Backend, answer: BackendAnswer) -> bool:
        if active.route.kind is RouteKind.STREAM and answer.head.ok and answer.head.is_event_stream:
            await self._streams.pass_stream(active, backend, answer)
            self._learning.on_whole_answer(active, backend, answer.head)
            return True
        if active.reply.started:
            raise AttemptError(TransportEvent.ERROR_ANSWER, "a run that was to continue the stream failed")
        body = b"".join([chunk async for chunk in answer.chunks()])
        if answer.head.status >= FIRST_SERVER_ERROR_STATUS and self._is_retried(active):
            active.history.on_run_ended()
            active.log.record(TransportEvent.ERROR_ANSWER)
            return False
        self._learning.on_whole_answer(active, backend, answer.head)
        await active.reply.answer(answer.head, body)
        return True

    def _is_retried(self, active: ActiveRequest) -> bool:
        """Whether an error answer leads to another attempt, which is then paid for."""
        now_s = boot_time_s()
        return self._policy.after_error_answer(
            active.route,
            active.history,
            lambda: has_untried_backend(self._state, active, now_s),
            self._state.budget_of(active.service),
            now_s,
        )


def _load_of(active: ActiveRequest) -> int:
    generation = active.request.generation
    return request_load(generation.prompt_tokens) if generation is not None else CALL_LOAD
