"""Generation requests: choose an engine, forward its stream, resume it elsewhere after a fault."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

from wallwell.clock import boot_time_s
from wallwell.errors import (
    BackendFailedError,
    DeadlineUnreachableError,
    ForbiddenError,
    NoBackendError,
    RequestError,
    RetriesExhaustedError,
    StreamBrokenError,
    UnknownResourceError,
)
from wallwell.events import Event, emit
from wallwell.outcomes import Outcome
from wallwell.routing.admission.request_content import content_digest
from wallwell.routing.retry.attempt_outcome import REFUSED_BY_BACKEND, AttemptLog, TransportEvent
from wallwell.standalone.backends.attempt import AttemptFailed
from wallwell.standalone.backends.engine_client import EngineClient, GenerationCall, GenerationHead
from wallwell.standalone.backends.engine_protocol import DONE_EVENT, Resume
from wallwell.standalone.callers.caller import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    CheckedCaller,
    admitted,
    error_body,
    read_body,
)
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.callers.openai_format import (
    GenerationBody,
    chunk_text,
    parse_generation,
    render_prompt,
    whole_answer,
)
from wallwell.standalone.cluster.messages import EngineNews
from wallwell.standalone.cluster.transport import LookupResult
from wallwell.standalone.config.compiled import Engine
from wallwell.standalone.config.schema import ModelSpec
from wallwell.standalone.placement.reconcile import engines_to_use
from wallwell.standalone.routing.blocks import CacheKey, hash_chain
from wallwell.standalone.routing.policy import Choice, RoutingRequest
from wallwell.standalone.routing.retry import full_jitter_delay_s
from wallwell.standalone.routing.selector import EngineView

MAX_ATTEMPTS = 6
"""Attempts in a row that bring no new token."""
MAX_RESUMES = 32
"""Times a stream may be resumed. Bounds a request that makes engines fail; far above what crashes cause. Chosen,
not measured."""
STALL_TIMEOUT_S = 2.0
"""Seconds of silence inside a stream after which it is resumed elsewhere. Chosen, not measured: over ten usual
gaps."""
MIN_FIRST_TOKEN_TIMEOUT_S = 2.0
"""Least time an engine gets for its first token before another one is tried. Chosen, not measured."""
FIRST_TOKEN_TIMEOUT_FACTOR = 8.0
"""Multiple of the expected time to the first token after which another engine is tried: estimates are off by two
or three."""
MIN_PATIENCE_S = 0.05
"""Least time for a first token when the deadline is near, so that an attempt can succeed at all."""


@dataclass
class GenerationRun:
    """State of one generation over all its attempts."""

    caller: CheckedCaller
    body: GenerationBody
    path: str
    model: ModelSpec
    prompt: bytes
    content: str
    """The digest of what the request holds."""
    chain: list[int] = field(default_factory=list)
    salt: int = 0
    weights_version: str = ""
    log: AttemptLog = field(default_factory=lambda: AttemptLog(repeatable=True))
    events: list[bytes] = field(default_factory=list)
    news: EngineNews | None = None
    """What was published of the engine the current attempt was sent to."""
    fruitless_attempts: int = 0
    resumes: int = 0
    failed_engines: set[str] = field(default_factory=set)
    response: web.StreamResponse | None = None
    first_token_s: float | None = None
    last_token_s: float = 0.0
    head: GenerationHead = field(default_factory=GenerationHead)
    lookup: LookupResult = field(default_factory=lambda: LookupResult(0, []))

    @property
    def complete(self) -> bool:
        """Whether every token asked for was received."""
        return len(self.events) >= self.body.max_tokens

    def text_so_far(self) -> str:
        """The generated text received."""
        return "".join(chunk_text(event) for event in self.events)

    def engine_body(self) -> bytes:
        """Body for the next attempt, which continues after what was received."""
        resume = Resume(len(self.events), self.text_so_far()) if self.events else None
        return msgspec.json.encode(msgspec.structs.replace(self.body, stream=True, resume=resume))


class GenerationHandler:
    """Handles ``/v1/completions`` and ``/v1/chat/completions``."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._secret = context.settings.cluster.key.encode()

    async def handle(self, request: web.Request, caller: CheckedCaller) -> web.StreamResponse:
        """Answer one request. Raises :class:`RequestError` if nothing was sent to the caller yet."""
        chat = request.path.endswith("chat/completions")
        raw = await read_body(self._context, request)
        content = content_digest("", request.path, caller.tenant.name, raw)
        generation = self._prepare(caller, parse_generation(raw, chat), request.path, content)
        with admitted(self._context, caller):
            self._context.retry_budget.on_request()
            try:
                await self._run(request, generation)
            except RequestError as error:
                self._count(generation, error.outcome)
                if generation.response is None:
                    raise
                return await self._end_broken(generation, error)
            self._count(generation, Outcome.COMPLETED)
            self._context.crashes.on_answered(content)
            return await self._end_complete(generation)

    def _prepare(self, caller: CheckedCaller, body: GenerationBody, path: str, content: str) -> GenerationRun:
        model = self._context.config.models.get(body.model)
        if model is None:
            raise UnknownResourceError(f"no model named `{body.model[:64]}`")
        if body.model not in caller.tenant.spec.models:
            raise ForbiddenError(f"the tenant may not use model `{body.model}`")
        if body.adapter and body.adapter not in model.adapters:
            raise UnknownResourceError(f"no adapter named `{body.adapter[:64]}`")
        body = msgspec.structs.replace(body, resume=None)
        return GenerationRun(caller, body, path, model, render_prompt(body), content)

    def _use_version(self, generation: GenerationRun, version: str) -> None:
        """Scope the generation's cache key to the weights it will run on."""
        if generation.weights_version == version:
            return
        body, model = generation.body, generation.model
        adapter = f"{body.adapter}@{model.adapters[body.adapter]}" if body.adapter else ""
        key = CacheKey(generation.caller.tenant.name, body.model, version, adapter)
        generation.weights_version = version
        generation.salt = key.seed(self._secret)
        block_bytes = model.block_tokens * model.bytes_per_token
        generation.chain = hash_chain(generation.salt, generation.prompt, block_bytes)

    # --- attempts --------------------------------------------------------------------------------------

    async def _run(self, request: web.Request, generation: GenerationRun) -> None:
        while True:
            self._refuse_if_quarantined(generation)
            engine, choice = await self._choose(generation)
            tokens_before = len(generation.events)
            try:
                await self._attempt(request, generation, engine, choice)
                return
            except AttemptFailed as failure:
                await self._context.crashes.on_failure(
                    generation.content, failure.event, engine.name, engine.address
                )
                await self._after_failure(generation, engine, failure, tokens_before)
                if generation.complete:
                    return

    def _refuse_if_quarantined(self, generation: GenerationRun) -> None:
        """Refuse what crashes engines: each further attempt or resumption would end one more."""
        refusal = self._context.crashes.refusal(generation.content)
        if refusal is not None:
            raise refusal if generation.log.outcome is Outcome.NOT_RUN else self._exhausted(generation)

    async def _choose(self, generation: GenerationRun) -> tuple[Engine, Choice]:
        context = self._context
        engines = context.engines_for(generation.body.model)
        if not engines:
            raise NoBackendError("no live engine serves this model", retry_after_ms=500)
        serving = {name: news for name, news in context.trusted_news().items() if name in engines}
        version, current = engines_to_use(generation.body.model, generation.model, serving)
        self._use_version(generation, version)
        generation.lookup = await context.transport.lookup(generation.chain)
        now_s = boot_time_s()
        # An engine nobody can read is tried only when there is no other.
        known = [engines[name] for name in current] or list(engines.values())
        views = [EngineView(each.name, each.zone, current.get(each.name, "")) for each in known]
        routing = self._routing_request(generation, now_s)
        choice = context.selector.select(routing, views, generation.lookup.held, now_s, generation.failed_engines)
        if choice is None:
            raise NoBackendError("every engine's circuit breaker is open", retry_after_ms=500)
        retry_s = None if generation.events else context.selector.refusal_s(routing, choice, now_s)
        if retry_s is not None:
            message = "no engine can answer before the deadline"
            raise DeadlineUnreachableError(message, retry_after_ms=round(retry_s * 1000))
        generation.news = serving.get(choice.engine)
        return engines[choice.engine], choice

    def _routing_request(self, generation: GenerationRun, now_s: float) -> RoutingRequest:
        return RoutingRequest(
            chain=generation.chain,
            block_tokens=generation.model.block_tokens,
            prompt_tokens=max(1, len(generation.prompt) // generation.model.bytes_per_token),
            rank=generation.caller.priority.rank,
            objective=generation.caller.priority.objective,
            zone=self._context.settings.zone,
            remaining_s=generation.caller.remaining_s(now_s),
        )

    async def _attempt(
        self, request: web.Request, generation: GenerationRun, engine: Engine, choice: Choice
    ) -> None:
        context = self._context
        selector = context.selector
        attempt_id = _attempt_id(generation)
        incarnation = generation.news.incarnation if generation.news is not None else ""
        sent_s = boot_time_s()
        rank = generation.caller.priority.rank
        selector.on_dispatch(attempt_id, choice, incarnation, generation.chain, rank, sent_s)
        if incarnation:
            report = context.node.report_dispatch(
                generation.lookup.sequence, engine.name, incarnation, generation.chain
            )
            context.transport.perform(report)
        client = EngineClient(engine.address, context.session)
        call = self._call(generation, attempt_id, incarnation, choice)
        stopped = False
        try:
            async with aclosing(client.generate(call, generation.head)) as events:
                async for event in events:
                    if len(generation.events) == call.first_index:
                        self._on_first_event(generation, engine, choice, attempt_id, sent_s)
                    generation.events.append(event)
                    generation.last_token_s = boot_time_s()
                    await self._forward(request, generation, event)
            stopped = True
        except AttemptFailed as failure:
            if failure.event in (TransportEvent.CANCELLED_NEVER_STARTED, TransportEvent.ANSWER_TIMEOUT):
                now_s = boot_time_s()
                self._calibrate(generation, choice, now_s - sent_s, now_s)
            raise
        finally:
            selector.on_finished(engine.name, attempt_id)
            if not stopped:
                self._cancel_in_background(client, attempt_id)

    def _call(self, generation: GenerationRun, attempt_id: str, incarnation: str, choice: Choice) -> GenerationCall:
        patience_s = max(MIN_FIRST_TOKEN_TIMEOUT_S, choice.expected_first_token_s * FIRST_TOKEN_TIMEOUT_FACTOR)
        if not generation.events:
            remaining_s = generation.caller.remaining_s(boot_time_s())
            patience_s = max(MIN_PATIENCE_S, min(patience_s, remaining_s))
        return GenerationCall(
            path=generation.path,
            attempt_id=attempt_id,
            body=generation.engine_body(),
            cache_salt=generation.salt,
            incarnation=incarnation,
            weights_version=generation.weights_version,
            rank=generation.caller.priority.rank,
            first_index=len(generation.events),
            first_token_timeout_s=patience_s,
            stall_timeout_s=STALL_TIMEOUT_S,
        )

    def _on_first_event(
        self, generation: GenerationRun, engine: Engine, choice: Choice, attempt_id: str, sent_s: float
    ) -> None:
        now_s = boot_time_s()
        head = generation.head
        selector = self._context.selector
        selector.breaker_of(engine.name).on_success(now_s)
        computed = head.prompt_tokens - head.cached_tokens
        selector.load_of(engine.name).on_first_token(attempt_id, computed, now_s - sent_s)
        self._calibrate(generation, choice, now_s - sent_s, now_s)
        if generation.first_token_s is not None:
            return
        generation.first_token_s = now_s - generation.caller.started_s
        metrics = self._context.metrics
        metrics.first_token_s.labels(generation.caller.priority_name).observe(generation.first_token_s)
        metrics.prompt_tokens.inc(head.prompt_tokens)
        metrics.cached_tokens.inc(head.cached_tokens)

    def _calibrate(self, generation: GenerationRun, choice: Choice, observed_s: float, now_s: float) -> None:
        rank = generation.caller.priority.rank
        expected_s = choice.expected_first_token_s
        self._context.selector.calibration.observe(rank, expected_s, observed_s, now_s)

    def _cancel_in_background(self, client: EngineClient, attempt_id: str) -> None:
        self._context.spawn(client.cancel(attempt_id))

    async def _after_failure(
        self, generation: GenerationRun, engine: Engine, failure: AttemptFailed, tokens_before: int
    ) -> None:
        """Decide on another attempt; raises the request's error if there is none."""
        context = self._context
        now_s = boot_time_s()
        generation.failed_engines.add(engine.name)
        self._learn(generation, engine, failure, now_s)
        may_retry = generation.log.record(failure.event)
        started = bool(generation.events)
        if not may_retry:
            raise BackendFailedError(failure.detail)
        if not self._may_go_on(generation, tokens_before):
            raise self._exhausted(generation)
        delay_s = full_jitter_delay_s(generation.fruitless_attempts, context.rng)
        if not started and generation.caller.remaining_s(now_s) <= delay_s:
            raise self._exhausted(generation)
        emit(
            Event.STREAM_RESUMED if started else Event.REQUEST_RETRIED,
            request_id=generation.caller.request_id,
            engine=engine.name,
            reason=failure.event.value,
            tokens=len(generation.events),
        )
        if started:
            context.metrics.resumes.inc()
        context.metrics.retries.labels("generation").inc()
        await asyncio.sleep(delay_s)

    def _may_go_on(self, generation: GenerationRun, tokens_before: int) -> bool:
        """Count the attempt; returns whether another is allowed.

        An attempt that brought tokens does not draw on the retry budget: giving the stream up would waste what
        was generated, and each such attempt shortens what is left. Their number is bounded all the same.
        """
        if len(generation.events) > tokens_before:
            generation.fruitless_attempts = 0
            generation.resumes += 1
            return generation.resumes <= MAX_RESUMES
        generation.fruitless_attempts += 1
        return generation.fruitless_attempts < MAX_ATTEMPTS and self._context.retry_budget.try_retry()

    def _learn(self, generation: GenerationRun, engine: Engine, failure: AttemptFailed, now_s: float) -> None:
        context = self._context
        if failure.event in REFUSED_BY_BACKEND:
            # The engine has changed since its reader's news: nobody is sent there until there is other news.
            context.selector.on_refused_hint(engine.name)
            if generation.news is not None:
                context.refuted_news[engine.name] = generation.news
            return
        if failure.event is TransportEvent.CANCELLED_NEVER_STARTED:
            return  # Busy, not broken.
        if context.selector.breaker_of(engine.name).on_failure(now_s, context.rng):
            emit(Event.BREAKER_OPENED, engine=engine.name)

    def _exhausted(self, generation: GenerationRun) -> RequestError:
        if generation.events:
            return StreamBrokenError("the stream could not be continued", retry_after_ms=500)
        if generation.log.outcome is Outcome.NOT_RUN:
            return RetriesExhaustedError("no engine took the request", retry_after_ms=500)
        error = StreamBrokenError("no engine answered", retry_after_ms=500)
        error.outcome = Outcome.UNKNOWN
        return error

    # --- answers ---------------------------------------------------------------------------------------

    async def _forward(self, request: web.Request, generation: GenerationRun, event: bytes) -> None:
        if not generation.body.stream:
            return
        if generation.response is None:
            generation.response = web.StreamResponse(
                headers={
                    "Content-Type": "text/event-stream",
                    "Cache-Control": "no-store",
                    REQUEST_ID_HEADER: generation.caller.request_id,
                }
            )
            await generation.response.prepare(request)
            if request.transport is not None:
                request.transport.set_write_buffer_limits(high=self._context.settings.limits.stream_buffer_bytes)
        # Awaits the socket, so a slow caller slows reading from the engine instead of filling memory.
        await generation.response.write(event)

    async def _end_complete(self, generation: GenerationRun) -> web.StreamResponse:
        if generation.response is not None:
            await generation.response.write(DONE_EVENT + b"\n\n")
            await generation.response.write_eof()
            return generation.response
        request_id = generation.caller.request_id
        payload = whole_answer(generation.body, request_id, generation.events, generation.head.prompt_tokens)
        headers = {REQUEST_ID_HEADER: request_id, OUTCOME_HEADER: Outcome.COMPLETED.value}
        return web.Response(body=payload, content_type="application/json", headers=headers)

    async def _end_broken(self, generation: GenerationRun, error: RequestError) -> web.StreamResponse:
        """End a started stream with a typed error event and without the terminal marker."""
        response = generation.response
        assert response is not None
        emit(Event.STREAM_BROKEN, request_id=generation.caller.request_id, code=error.code)
        payload = error_body(error, generation.caller.request_id)
        await response.write(b'event: error\ndata: {"error": %s}\n\n' % payload)
        await response.write_eof()
        return response

    def _count(self, generation: GenerationRun, outcome: Outcome) -> None:
        caller = generation.caller
        self._context.metrics.requests.labels("generation", caller.priority_name, outcome.value).inc()
        tokens = len(generation.events)
        if generation.first_token_s is not None and tokens > 1:
            since_start = generation.last_token_s - caller.started_s
            between_s = (since_start - generation.first_token_s) / (tokens - 1)
            self._context.metrics.between_tokens_s.labels(caller.priority_name).observe(between_s)


def _attempt_id(generation: GenerationRun) -> str:
    number = generation.log.attempts
    request_id = generation.caller.request_id
    return request_id if number == 0 else f"{request_id}.{number}"
