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
from wallwell.node.crash_watch import CrashWatch
from wallwell.node.state import FleetState
from wallwell.outcomes import Outcome
from wallwell.routing.retry.attempt_outcome import REFUSED_BY_BACKEND, TransportEvent
from wallwell.routing.retry.retry_after import ReturnCause
from wallwell.routing.selection.prefix_home import request_load
from wallwell.serving.admission import Admission
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
    Dispatch,
)
from wallwell.serving.request_errors import RequestErrors
from wallwell.serving.request_state import Exchange
from wallwell.serving.response_timeout import MIN_REMAINING_S, HeadWait
from wallwell.serving.version_choice import begin_attempt, end_attempt, offer

MAX_ARRIVALS_BEYOND_ATTEMPTS = 3
"""Further back ends tried when earlier ones prove that they did not run the request."""
STALL_TIMEOUT_FACTOR = 2.0
"""Multiple of the largest allowed gap after which a silent stream is continued elsewhere."""
MAX_UNREACHABLE = 3
"""Back ends that could not be connected to, after which the request is given back to its caller."""
ENDS_BY_ITSELF = (
    TransportEvent.RESET_BEFORE_SEND,
    TransportEvent.RESET_AFTER_SEND,
)
"""Ends that a connection whose packets are dropped comes to as well, so that they are no sign of life."""
UNREACHABLE = (
    TransportEvent.CONNECT_REFUSED,
    TransportEvent.CONNECT_TIMEOUT,
)


class RequestPipeline:
    """Serves requests of any callers' interface from any kind of back end."""

    def __init__(
        self,
        state: FleetState,
        client: BackendClient,
        counters: FleetCounters | None = None,
        liveness: Liveness | None = None,
        crashes: CrashWatch | None = None,
    ) -> None:
        self._state = state
        self._liveness = liveness
        self._crashes = crashes
        self._admission = Admission(state)
        self._wait = HeadWait(state, client)
        self._choice = BackendChoice(state)
        self._errors = RequestErrors(state)
        self._caches = CachePlanner(state)
        self.counters = counters or FleetCounters()

    async def serve(self, request: CallerRequest, reply: CallerReply) -> None:
        """Answer one request."""
        try:
            exchange = self._admission.admit(request, reply)
            await self._run_admitted(exchange)
        except RequestError as error:
            await self._end_with_error(request, reply, error)

    async def _run_admitted(self, exchange: Exchange) -> None:
        """Run a request; what it took of its tenant's limit is given back if it is proved not to have run."""
        try:
            await self._run(exchange)
        except RequestError as error:
            if error.outcome is Outcome.NOT_RUN:
                self._give_back(exchange)
            raise
        except CallerGoneError:
            if exchange.log.outcome is Outcome.NOT_RUN:
                self._give_back(exchange)
            raise

    def _give_back(self, exchange: Exchange) -> None:
        if exchange.admitted is not None:
            self._state.load.limits.give_back(exchange.admitted)

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

    async def _run(self, exchange: Exchange) -> None:
        while True:
            backend = self._choose(exchange)
            try:
                if await self._attempt(exchange, backend):
                    self._log_end(exchange, backend)
                    return
            except AttemptError as failure:
                self._after_failure(exchange, backend, failure)
            except TimeoutError:
                self._choice.learn_silence(exchange, boot_time_s())
                # The attempt was under way: it may have reached its back end, whatever became of earlier ones.
                exchange.log.record(TransportEvent.ANSWER_TIMEOUT)
                exchange.history.runs += 1
                raise self._errors.out_of_time(exchange) from None

    def _log_end(self, exchange: Exchange, backend: Backend) -> None:
        request, timing = exchange.request, exchange.timing
        now_s = boot_time_s()
        self._choice.learn_time(exchange, now_s)
        first_s = timing.first_s or now_s
        gap_s = timing.max_gap_s if timing.first_s is not None else None
        kind = exchange.route.kind.value
        self.counters.on_answered(kind, first_s - request.arrived_s, now_s - request.arrived_s, gap_s)
        emit(
            Event.REQUEST_ENDED,
            request_id=request.request_id,
            route=exchange.route.name,
            tenant=exchange.tenant.name if exchange.tenant is not None else "",
            backend=backend.incarnation,
            software=backend.record.software,
            backend_in_flight=backend.in_flight,
            attempts=exchange.log.attempts + 1,
            prompt_tokens=request.generation.prompt_tokens if request.generation is not None else 0,
            first_ms=round((first_s - request.arrived_s) * 1000),
            max_gap_ms=round(timing.max_gap_s * 1000),
            total_ms=round((now_s - request.arrived_s) * 1000),
        )

    def _choose(self, exchange: Exchange) -> Backend:
        """Return the back end of the next attempt. Raises :class:`RequestError` or :class:`CallerGoneError`."""
        if exchange.reply.is_caller_gone():
            # On a node that is short of processor time a request can be read after its caller has left.
            raise CallerGoneError("closed before its request was sent on")
        if self._is_too_late(exchange):
            raise self._errors.out_of_time(exchange)
        now_s = boot_time_s()
        # Before each attempt, since other nodes may have seen crashes under the request meanwhile.
        refusal = self._errors.quarantined(exchange, now_s)
        if refusal is not None:
            raise refusal
        listed, usable = offer(self._state, exchange, now_s)
        fresh = [each for each in usable if each.incarnation not in exchange.history.tried]
        candidates = fresh or (usable if self._all_unrun(exchange) else [])
        if not candidates:
            raise self._errors.none_usable(exchange, now_s)
        self._choice.refuse_if_overloaded(exchange, now_s)
        return self._choice.choose(exchange, self._choice.apart_from_hung(exchange, candidates), listed)

    def _is_too_late(self, exchange: Exchange) -> bool:
        """Whether too little time is left for an attempt; a run that goes on has less to do than a whole one."""
        generation = exchange.request.generation
        goes_on = bool(exchange.history.runs) or (generation is not None and generation.resume_after is not None)
        shortest = self._state.shortest_answers.get(exchange.route.name)
        if shortest is None or goes_on:
            return exchange.remaining_s() < MIN_REMAINING_S
        return shortest.is_too_late(exchange.remaining_s(), MIN_REMAINING_S)

    def _all_unrun(self, exchange: Exchange) -> bool:
        return exchange.log.outcome is Outcome.NOT_RUN

    async def _attempt(self, exchange: Exchange, backend: Backend) -> bool:
        """Send once and pass the answer on; returns False if a failed answer is worth another attempt.

        Raises :class:`AttemptError`, or TimeoutError when the caller's time is over.
        """
        load = self._load_of(exchange)
        if exchange.history.runs and exchange.admitted is not None:
            self._state.load.limits.charge_again(exchange.admitted)
        if not backend.in_flight:
            backend.silence.on_idle_ended(boot_time_s())
        backend.in_flight += 1
        backend.load += load
        exchange.history.tried.add(backend.incarnation)
        sent_s = boot_time_s()
        exchange.timing.on_sent(sent_s, backend.fleet_load(self._state.node_count))
        counted = begin_attempt(self._state, exchange, backend, sent_s)
        failure: BaseException | None = None
        answer: BackendAnswer | None = None
        try:
            async with bounded(exchange.remaining_s()), self._watch(exchange, backend):
                answer = await self._send(exchange, backend)
                return await self._pass_on(exchange, backend, answer)
        except BaseException as error:
            failure = error
            raise
        finally:
            if counted is not None:
                status = answer.head.status if answer is not None else 0
                end_attempt(counted, exchange, status, failure, boot_time_s())
            backend.in_flight -= 1
            backend.load -= load
            if answer is not None:
                answer.close()

    def _watch(self, exchange: Exchange, backend: Backend) -> AbstractAsyncContextManager[None]:
        """Return what ends the attempt early if its back end has stopped and another may be asked."""
        if self._liveness is None:
            return nullcontext()
        runs_left = exchange.history.runs + 1 < exchange.route.max_attempts
        return self._liveness.watch(backend, exchange.route.repeatable and runs_left)

    def _load_of(self, exchange: Exchange) -> int:
        generation = exchange.request.generation
        return request_load(generation.prompt_tokens) if generation is not None else 1

    async def _send(self, exchange: Exchange, backend: Backend) -> BackendAnswer:
        dispatch = self._dispatch(exchange, backend)
        answer = await self._wait.await_head(exchange, backend, dispatch)
        if self._state.places.distance(backend.record.zone) is Distance.OTHER_REGION:
            cause = exchange.route.kind.value
            self._state.region_traffic.add(cause, len(exchange.request.body))
            answer = CountedAnswer(answer, self._state.region_traffic, cause)
        generation = exchange.request.generation
        if generation is not None and answer.head.weights_version:
            backend.learn_version(generation.model, answer.head.weights_version)
        backend.silence.on_heard(boot_time_s())
        self._state.on_sign_of_life(backend, boot_time_s())
        if answer.head.ok:
            backend.on_success(boot_time_s())
        return answer

    def _dispatch(self, exchange: Exchange, backend: Backend) -> Dispatch:
        request = exchange.request
        generation = request.generation
        version = 0
        cache = None
        resume_after = None
        if generation is not None:
            version = backend.believed_version(generation.model)
            cache = self._caches.plan(exchange, backend, boot_time_s())
            resume_after = generation.resume_after
            if exchange.position.last_number is not None:
                resume_after = exchange.position.last_number
        return Dispatch(
            backend=backend.record,
            request=request,
            tenant=exchange.tenant.name if exchange.tenant is not None else "",
            remaining_s=exchange.remaining_s(),
            rank=exchange.rank,
            expected_version=version,
            resume_after=resume_after,
            cache=cache,
        )

    # --- answers ---------------------------------------------------------------------------------------

    async def _pass_on(self, exchange: Exchange, backend: Backend, answer: BackendAnswer) -> bool:
        if exchange.route.kind is RouteKind.STREAM and answer.head.ok and answer.head.is_event_stream:
            await self._pass_stream(exchange, backend, answer)
            self._on_whole_answer(exchange, backend, answer)
            return True
        if exchange.reply.started:
            raise AttemptError(TransportEvent.ERROR_ANSWER, "a run that was to continue the stream failed")
        body = b"".join([chunk async for chunk in answer.chunks()])
        if answer.head.status >= 500 and self._worth_repeating(exchange):
            exchange.history.runs += 1
            exchange.log.record(TransportEvent.ERROR_ANSWER)
            return False
        self._on_whole_answer(exchange, backend, answer)
        await exchange.reply.answer(answer.head, body)
        return True

    def _on_whole_answer(self, exchange: Exchange, backend: Backend, answer: BackendAnswer) -> None:
        backend.on_success(boot_time_s())
        if self._crashes is not None and answer.head.ok:
            self._crashes.on_answered(exchange.content)

    def _worth_repeating(self, exchange: Exchange) -> bool:
        """Whether a failed answer leads to another attempt, which it then pays for."""
        if not exchange.route.repeatable or exchange.history.runs + 1 >= exchange.route.max_attempts:
            return False
        if not self._wait.has_alternative(exchange):
            return False
        return self._state.budget_of(exchange.service).try_retry(boot_time_s(), self._state.node_count)

    async def _pass_stream(self, exchange: Exchange, backend: Backend, answer: BackendAnswer) -> None:
        """Pass events on as they come. Raises :class:`AttemptError` if the run breaks off."""
        position = exchange.position
        position.begin_run()
        stall_s = None
        if exchange.route.resumable and exchange.history.runs + 1 < exchange.route.max_attempts:
            stall_s = exchange.route.max_gap_s * STALL_TIMEOUT_FACTOR
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
                self._choice.learn_pace(exchange, boot_time_s())
                await self._write_events(exchange, answer, data)
        if position.has_remainder or not position.events_passed:
            raise AttemptError(TransportEvent.RESET_AFTER_SEND, "the stream ended inside an event")
        await exchange.reply.finish()

    async def _write_events(self, exchange: Exchange, answer: BackendAnswer, data: bytes) -> None:
        try:
            events = exchange.position.feed(data)
        except StreamOrderError as error:
            raise AttemptError(TransportEvent.FOREIGN_ANSWER, error.detail) from error
        if not events:
            return
        if not exchange.reply.started:
            await exchange.reply.start(answer.head)
        exchange.timing.on_piece(boot_time_s())
        await exchange.reply.write(b"".join(events))

    # --- failures --------------------------------------------------------------------------------------

    def _after_failure(self, exchange: Exchange, backend: Backend, failure: AttemptError) -> None:
        """Learn from a failed attempt and decide on another. Raises :class:`RequestError` if there is none."""
        now_s = boot_time_s()
        history = exchange.history
        event = failure.event
        may_retry = exchange.log.record(event)
        self.counters.attempts[event.value] += 1
        if event not in UNREACHABLE:
            history.arrivals += 1
        if event not in UNREACHABLE and event not in REFUSED_BY_BACKEND:
            history.runs += 1
        history.details.append(f"{backend.incarnation} {event.value} {failure.detail}")
        self._learn(exchange, backend, failure, now_s)
        emit(
            Event.REQUEST_RETRIED,
            request_id=exchange.request.request_id,
            backend=backend.incarnation,
            software=backend.record.software,
            reason=event.value,
            detail=failure.detail,
            attempts=exchange.log.attempts,
            events=exchange.position.events_passed,
            content=exchange.content,
        )
        if not may_retry:
            raise self._errors.exhausted(exchange, failure.detail or event.value, ReturnCause.REFUSED)
        if history.runs >= exchange.route.max_attempts:
            raise self._errors.exhausted(exchange, "every allowed attempt was used", ReturnCause.REFUSED)
        if exchange.log.attempts - history.arrivals >= MAX_UNREACHABLE:
            raise self._errors.exhausted(exchange, "no back end can be reached", ReturnCause.SUSPENDED)
        if history.arrivals >= exchange.route.max_attempts + MAX_ARRIVALS_BEYOND_ATTEMPTS:
            raise self._errors.exhausted(exchange, "too many back ends refused", ReturnCause.REFUSED)
        if event in UNREACHABLE:
            return
        if history.paid_repeats:
            history.paid_repeats -= 1
        elif not self._state.budget_of(exchange.service).try_retry(now_s, self._state.node_count):
            raise self._errors.exhausted(exchange, "the retry budget is used up", ReturnCause.BUDGET_USED)

    def _learn(self, exchange: Exchange, backend: Backend, failure: AttemptError, now_s: float) -> None:
        event = failure.event
        generation = exchange.request.generation
        if event is TransportEvent.CONNECT_TIMEOUT:
            exchange.history.hung_zones.add(backend.record.zone)
            self._state.on_hung(backend, now_s)
        elif event is not TransportEvent.ANSWER_TIMEOUT and event not in ENDS_BY_ITSELF:
            self._state.on_sign_of_life(backend, now_s)
        if event is TransportEvent.ANSWER_TIMEOUT:
            self._choice.learn_silence(exchange, now_s)
        if event is TransportEvent.PRECONDITION_REFUSED and generation is not None:
            self._state.on_version_refused(backend, generation.model, failure.weights_version)
            return
        if event in REFUSED_BY_BACKEND or event is TransportEvent.ERROR_ANSWER:
            return
        if event is TransportEvent.RESET_AFTER_SEND and self._crashes is not None:
            self._crashes.on_broken_run(exchange.content, backend)
        if event is TransportEvent.ANSWER_TIMEOUT and backend.is_answering(now_s):
            return  # Busy, not broken.
        if backend.on_failure(now_s, unreachable=event in UNREACHABLE):
            emit(
                Event.BACKEND_SUSPENDED,
                backend=backend.incarnation,
                reason=event.value,
                failures=backend.consecutive_failures,
            )
