"""The request pipeline: route, authorise, choose a back end, send, and repeat only where that is safe.

It knows no wire format. Every request ends in exactly one answer, sent as soon as it is decided; a refusal that
proves the request never ran tells the caller when to come back.
"""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager, aclosing, nullcontext

from wallwell.clock import boot_time_s, bounded
from wallwell.deployment.backends import Backend
from wallwell.deployment.routes import RouteKind
from wallwell.deployment.topology import Distance
from wallwell.errors import (
    RequestError,
    StreamOrderError,
)
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.outcomes import Outcome
from wallwell.routing.admission.remaining_time import is_too_late
from wallwell.routing.retry.attempt_history import UNREACHABLE
from wallwell.routing.retry.attempt_outcome import REFUSED_BY_BACKEND, TransportEvent
from wallwell.routing.retry.retry_policy import GiveUp, RetryPolicy
from wallwell.routing.selection.prefix_home import request_load
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.admission import Admission
from wallwell.serving.alternatives import has_untried_backend
from wallwell.serving.backend_choice import BackendChoice
from wallwell.serving.cache_planning import CachePlanner
from wallwell.serving.counted_answer import CountedAnswer
from wallwell.serving.counters import FleetCounters
from wallwell.serving.liveness import Liveness
from wallwell.serving.messages import (
    AttemptError,
    BackendAnswer,
    BackendClient,
    CallerGoneError,
    CallerReply,
    CallerRequest,
    CrashObserver,
    Dispatch,
)
from wallwell.serving.request_errors import RequestErrors
from wallwell.serving.response_timeout import ResponseWait
from wallwell.serving.version_choice import begin_attempt, candidates_for, end_attempt

ENDS_BY_ITSELF = (
    TransportEvent.RESET_BEFORE_SEND,
    TransportEvent.RESET_AFTER_SEND,
)
"""Ends that a connection whose packets are dropped comes to as well, so that they are no sign of life."""


class RequestPipeline:
    """Serves requests of any callers' interface from any kind of back end."""

    def __init__(
        self,
        state: NodeState,
        client: BackendClient,
        counters: FleetCounters | None = None,
        liveness: Liveness | None = None,
        crashes: CrashObserver | None = None,
    ) -> None:
        self._state = state
        self._liveness = liveness
        self._crashes = crashes
        self._admission = Admission(state)
        self._policy = RetryPolicy(lambda: state.node_count)
        self._wait = ResponseWait(state, client, self._policy)
        self._choice = BackendChoice(state)
        self._errors = RequestErrors(state)
        self._caches = CachePlanner(state)
        self.counters = counters or FleetCounters()

    async def serve(self, request: CallerRequest, reply: CallerReply) -> None:
        """Answer one request."""
        try:
            active = self._admission.admit(request, reply)
            await self._run_admitted(active)
        except RequestError as error:
            await self._end_with_error(request, reply, error)

    async def _run_admitted(self, active: ActiveRequest) -> None:
        """Run a request; what it took of its tenant's limit is given back if it is proved not to have run."""
        try:
            await self._run(active)
        except RequestError as error:
            if error.outcome is Outcome.NOT_RUN:
                self._refund(active)
            raise
        except CallerGoneError:
            if active.log.outcome is Outcome.NOT_RUN:
                self._refund(active)
            raise

    def _refund(self, active: ActiveRequest) -> None:
        if active.admitted is not None:
            self._state.load.limits.refund(active.admitted)

    async def _end_with_error(self, request: CallerRequest, reply: CallerReply, error: RequestError) -> None:
        kind = "generation" if request.generation is not None else "call"
        self.counters.on_refused(kind, error.outcome.value, error.code)
        emit(
            Event.REQUEST_REFUSED,
            request_id=request.request_id,
            code=error.code,
            outcome=error.outcome.value,
            reason=error.detail,
            config=self._state.config.version if self._state.config is not None else 0,
            store_age_ms=self._store_age_ms(),
            after_ms=round((boot_time_s() - request.arrived_s) * 1000),
        )
        if reply.started:
            reply.abort()
        else:
            await reply.refuse(error)

    def _store_age_ms(self) -> int:
        """Return how old the store's last word is; -1 if there was none."""
        confirmed_s = self._state.freshness.confirmed_at_s
        return -1 if confirmed_s == float("-inf") else round((boot_time_s() - confirmed_s) * 1000)

    # --- attempts --------------------------------------------------------------------------------------

    async def _run(self, active: ActiveRequest) -> None:
        while True:
            backend = self._choose(active)
            try:
                if await self._attempt(active, backend):
                    self._log_end(active, backend)
                    return
            except AttemptError as failure:
                self._after_failure(active, backend, failure)
            except TimeoutError:
                self._choice.learn_silence(active, boot_time_s())
                # The attempt was under way: it may have reached its back end, whatever became of earlier ones.
                active.log.record(TransportEvent.ANSWER_TIMEOUT)
                active.history.on_run_ended()
                raise self._errors.out_of_time(active) from None

    def _log_end(self, active: ActiveRequest, backend: Backend) -> None:
        request, timing = active.request, active.timing
        now_s = boot_time_s()
        self._choice.learn_time(active, now_s)
        first_s = timing.first_s or now_s
        gap_s = timing.max_gap_s if timing.first_s is not None else None
        kind = active.route.kind.value
        self.counters.on_answered(kind, first_s - request.arrived_s, now_s - request.arrived_s, gap_s)
        emit(
            Event.REQUEST_ENDED,
            request_id=request.request_id,
            route=active.route.name,
            tenant=active.tenant.name if active.tenant is not None else "",
            backend=backend.incarnation,
            software=backend.record.software,
            backend_in_flight=backend.in_flight,
            attempts=active.log.attempts + 1,
            prompt_tokens=request.generation.prompt_tokens if request.generation is not None else 0,
            first_ms=round((first_s - request.arrived_s) * 1000),
            max_gap_ms=round(timing.max_gap_s * 1000),
            total_ms=round((now_s - request.arrived_s) * 1000),
        )

    def _choose(self, active: ActiveRequest) -> Backend:
        """Return the back end of the next attempt. Raises :class:`RequestError` or :class:`CallerGoneError`."""
        if active.reply.is_caller_gone():
            # On a node that is short of processor time a request can be read after its caller has left.
            raise CallerGoneError("closed before its request was sent on")
        if self._is_too_late(active):
            raise self._errors.out_of_time(active)
        now_s = boot_time_s()
        # Before each attempt, since other nodes may have seen crashes under the request meanwhile.
        refusal = self._errors.quarantined(active, now_s)
        if refusal is not None:
            raise refusal
        listed, usable = candidates_for(self._state, active, now_s)
        fresh = [each for each in usable if each.incarnation not in active.history.tried]
        candidates = fresh or (usable if self._all_unrun(active) else [])
        if not candidates:
            raise self._errors.none_usable(active, now_s)
        self._choice.refuse_if_overloaded(active, now_s)
        return self._choice.choose(active, self._choice.without_unresponsive_zones(active, candidates), listed)

    def _is_too_late(self, active: ActiveRequest) -> bool:
        """Whether too little time is left for an attempt; a run that goes on has less to do than a whole one."""
        generation = active.request.generation
        goes_on = bool(active.history.runs) or (generation is not None and generation.resume_after is not None)
        shortest = self._state.shortest_answers.get(active.route.name)
        return is_too_late(shortest, active.remaining_s(), continues_run=goes_on)

    def _all_unrun(self, active: ActiveRequest) -> bool:
        return active.log.outcome is Outcome.NOT_RUN

    async def _attempt(self, active: ActiveRequest, backend: Backend) -> bool:
        """Send once and pass the answer on; returns False if a failed answer is worth another attempt.

        Raises :class:`AttemptError`, or TimeoutError when the caller's time is over.
        """
        load = self._load_of(active)
        if active.history.runs and active.admitted is not None:
            self._state.load.limits.charge_retry(active.admitted)
        if not backend.in_flight:
            backend.silence.on_idle_ended(boot_time_s())
        backend.in_flight += 1
        backend.load += load
        active.history.tried.add(backend.incarnation)
        sent_s = boot_time_s()
        active.timing.on_sent(sent_s, backend.fleet_load(self._state.node_count))
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

    def _watch(self, active: ActiveRequest, backend: Backend) -> AbstractAsyncContextManager[None]:
        """Return what ends the attempt early if its back end has stopped and another may be asked."""
        if self._liveness is None:
            return nullcontext()
        return self._liveness.watch(backend, self._policy.may_interrupt(active.route, active.history))

    def _load_of(self, active: ActiveRequest) -> int:
        generation = active.request.generation
        return request_load(generation.prompt_tokens) if generation is not None else 1

    async def _send(self, active: ActiveRequest, backend: Backend) -> BackendAnswer:
        dispatch = self._dispatch(active, backend)
        answer = await self._wait.await_response(active, backend, dispatch)
        if self._state.places.distance(backend.record.zone) is Distance.OTHER_REGION:
            cause = active.route.kind.value
            self._state.region_traffic.add(cause, len(active.request.body))
            answer = CountedAnswer(answer, self._state.region_traffic, cause)
        generation = active.request.generation
        if generation is not None and answer.head.weights_version:
            backend.learn_version(generation.model, answer.head.weights_version)
        backend.silence.on_heard(boot_time_s())
        self._state.on_sign_of_life(backend, boot_time_s())
        if answer.head.ok:
            backend.on_success(boot_time_s())
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
        )

    # --- answers ---------------------------------------------------------------------------------------

    async def _pass_on(self, active: ActiveRequest, backend: Backend, answer: BackendAnswer) -> bool:
        if active.route.kind is RouteKind.STREAM and answer.head.ok and answer.head.is_event_stream:
            await self._pass_stream(active, backend, answer)
            self._on_whole_answer(active, backend, answer)
            return True
        if active.reply.started:
            raise AttemptError(TransportEvent.ERROR_ANSWER, "a run that was to continue the stream failed")
        body = b"".join([chunk async for chunk in answer.chunks()])
        if answer.head.status >= 500 and self._may_retry_answer(active):
            active.history.on_run_ended()
            active.log.record(TransportEvent.ERROR_ANSWER)
            return False
        self._on_whole_answer(active, backend, answer)
        await active.reply.answer(answer.head, body)
        return True

    def _on_whole_answer(self, active: ActiveRequest, backend: Backend, answer: BackendAnswer) -> None:
        backend.on_success(boot_time_s())
        if self._crashes is not None and answer.head.ok:
            self._crashes.on_answered(active.content)

    def _may_retry_answer(self, active: ActiveRequest) -> bool:
        """Whether an error answer leads to another attempt, which is then paid for."""
        now_s = boot_time_s()
        return self._policy.after_error_answer(
            active.route,
            active.history,
            lambda: has_untried_backend(self._state, active, now_s),
            self._state.budget_of(active.service),
            now_s,
        )

    async def _pass_stream(self, active: ActiveRequest, backend: Backend, answer: BackendAnswer) -> None:
        """Pass events on as they come. Raises :class:`AttemptError` if the run breaks off."""
        position = active.position
        position.begin_run()
        stall_s = self._policy.stall_timeout_s(active.route, active.history)
        async with aclosing(answer.chunks()) as chunks:  # type: ignore[type-var]
            while True:
                try:
                    async with bounded(stall_s):
                        data = await anext(chunks, None)
                except TimeoutError:
                    raise AttemptError(TransportEvent.ANSWER_TIMEOUT, "the stream stalled") from None
                if data is None:
                    break
                backend.silence.on_heard(boot_time_s())
                self._state.on_sign_of_life(backend, boot_time_s())
                self._choice.learn_first_token(active, boot_time_s())
                await self._write_events(active, answer, data)
        if position.has_remainder or not position.events_passed:
            raise AttemptError(TransportEvent.RESET_AFTER_SEND, "the stream ended inside an event")
        await active.reply.finish()

    async def _write_events(self, active: ActiveRequest, answer: BackendAnswer, data: bytes) -> None:
        try:
            events = active.position.feed(data)
        except StreamOrderError as error:
            raise AttemptError(TransportEvent.FOREIGN_ANSWER, error.detail) from error
        if not events:
            return
        if not active.reply.started:
            await active.reply.start(answer.head)
        active.timing.on_token(boot_time_s())
        await active.reply.write(b"".join(events))

    # --- failures --------------------------------------------------------------------------------------

    def _after_failure(self, active: ActiveRequest, backend: Backend, failure: AttemptError) -> None:
        """Learn from a failed attempt and decide on another. Raises :class:`RequestError` if there is none."""
        now_s = boot_time_s()
        history = active.history
        event = failure.event
        active.log.record(event)
        self.counters.attempts[event.value] += 1
        history.on_failed(event)
        history.details.append(f"{backend.incarnation} {event.value} {failure.detail}")
        self._learn(active, backend, failure, now_s)
        emit(
            Event.REQUEST_RETRIED,
            request_id=active.request.request_id,
            backend=backend.incarnation,
            software=backend.record.software,
            reason=event.value,
            detail=failure.detail,
            attempts=active.log.attempts,
            events=active.position.events_passed,
            content=active.content,
        )
        budget = self._state.budget_of(active.service)
        decision = self._policy.after_failure(active.route, history, active.log.attempts, event, budget, now_s)
        if isinstance(decision, GiveUp):
            raise self._errors.exhausted(active, decision.detail or failure.detail or event.value, decision.cause)

    def _learn(self, active: ActiveRequest, backend: Backend, failure: AttemptError, now_s: float) -> None:
        event = failure.event
        generation = active.request.generation
        if event is TransportEvent.CONNECT_TIMEOUT:
            active.history.unresponsive_zones.add(backend.record.zone)
            self._state.on_connect_timeout(backend, now_s)
        elif event is not TransportEvent.ANSWER_TIMEOUT and event not in ENDS_BY_ITSELF:
            self._state.on_sign_of_life(backend, now_s)
        if event is TransportEvent.ANSWER_TIMEOUT:
            self._choice.learn_silence(active, now_s)
        if event is TransportEvent.PRECONDITION_REFUSED and generation is not None:
            self._state.on_version_refused(backend, generation.model, failure.weights_version)
            return
        if event in REFUSED_BY_BACKEND or event is TransportEvent.ERROR_ANSWER:
            return
        if event is TransportEvent.RESET_AFTER_SEND and self._crashes is not None:
            self._crashes.on_broken_run(active.content, backend)
        if event is TransportEvent.ANSWER_TIMEOUT and backend.is_answering(now_s):
            return  # Busy, not broken.
        if backend.on_failure(now_s, unreachable=event in UNREACHABLE):
            emit(
                Event.BACKEND_SUSPENDED,
                backend=backend.incarnation,
                reason=event.value,
                failures=backend.consecutive_failures,
            )
