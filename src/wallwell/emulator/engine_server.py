"""Stand-in for a model engine over HTTP: drives :class:`EngineModel` in real time.

Owns the streams of requests, the incarnation and the orders. What it sends is made in
:mod:`wallwell.emulator.engine_output`.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

from wallwell.emulator.engine_model import CacheEvent, EngineModel, EngineProfile, EngineRequest, StepResult
from wallwell.emulator.engine_output import cache_line, chunk, generated_word, snapshot_entry, stream_event
from wallwell.emulator.faults import FaultControl, cut_connection, reset_connection
from wallwell.standalone.backends import engine_protocol as wire
from wallwell.standalone.callers.openai_format import ChatBody, CompletionBody, parse_generation, render_prompt
from wallwell.standalone.routing.blocks import hash_chain

EVENT_DELAY_S = 0.1
"""Seconds between two batches of cache events."""
LOAD_LAG_S = 0.2
"""Age, in seconds, that load reports state."""
WEIGHT_LOAD_S = 0.3
"""Seconds that new weights take to load."""
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Bytes of a request's body."""
_LOAD_INTERVAL_S = 0.5
"""Seconds between two load reports."""
_CUT_DELAY_S = 0.02
"""Seconds from the last chunk to the close of a stream that is cut."""
_STALL_CHECK_S = 0.02
"""Seconds between two checks whether a pause or a stall is over."""
_IDLE_CHECK_S = 0.01
"""Seconds between two checks whether the running requests have ended."""
_GOLDEN_FRACTION = 0.618034
"""Fractional part of the golden ratio: its multiples spread dropped events evenly, and the same ones each time."""


@dataclass
class _Stream:
    request: EngineRequest
    tokens: asyncio.Queue[int | None] = field(default_factory=asyncio.Queue)


class EngineServer:
    """One engine process. ``crash`` starts a new incarnation with an empty cache."""

    def __init__(
        self,
        name: str,
        weights: dict[str, str],
        profile: EngineProfile | None = None,
        event_delay_s: float = EVENT_DELAY_S,
        load_lag_s: float = LOAD_LAG_S,
    ) -> None:
        self.name = name
        self.weights = dict(weights)
        self.profile = profile or EngineProfile()
        self.faults = FaultControl()
        self.state = wire.EngineState.SERVING
        self.journal: list[str] = []
        self.highest_fence = 0
        self.weight_load_s = WEIGHT_LOAD_S
        self._load_task: asyncio.Task[None] | None = None
        self.refused = 0
        self.validity_violations: list[str] = []
        self._event_delay_s = event_delay_s
        self._load_lag_s = load_lag_s
        self._streams: dict[str, _Stream] = {}
        self._weights_of_salt: dict[int, str] = {}
        self._event_connections: dict[int, web.Request] = {}
        self._wake = asyncio.Event()
        self._loop_task: asyncio.Task[None] | None = None
        self._begin_incarnation()

    def _begin_incarnation(self) -> None:
        self.incarnation = secrets.token_hex(4)
        self.model = EngineModel(self.profile)

    def app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        self.faults.install(app)
        app.router.add_post("/v1/completions", self._generate)
        app.router.add_post("/v1/chat/completions", self._generate)
        app.router.add_post("/cancel", self._cancel)
        app.router.add_get("/events", self._events)
        app.router.add_get("/snapshot", self._snapshot)
        app.router.add_post("/orders", self._order)
        app.router.add_post("/_crash", self._crash)
        app.router.add_post("/_leave", self._leave)
        app.on_startup.append(self._start)
        app.on_cleanup.append(self._stop)
        return app

    async def _start(self, _app: web.Application) -> None:
        self._loop_task = asyncio.create_task(self._run())

    async def _stop(self, _app: web.Application) -> None:
        if self._loop_task is not None:
            self._loop_task.cancel()

    def crash(self) -> None:
        """Lose everything: reset all connections and begin a new, empty incarnation."""
        for stream in self._streams.values():
            stream.tokens.put_nowait(None)
        self._streams.clear()
        for request in list(self._event_connections.values()):
            reset_connection(request)
        self._begin_incarnation()

    async def _run(self) -> None:
        while True:
            model = self.model
            if model.idle:
                self._wake.clear()
                await self._wake.wait()
                continue
            result = model.step()
            await asyncio.sleep(result.duration_s)
            while self.faults.switches.paused:
                await asyncio.sleep(_STALL_CHECK_S)
            if model is self.model:
                self._hand_out(result)

    def _hand_out(self, result: StepResult) -> None:
        for request, index in result.tokens:
            stream = self._streams.get(request.request_id)
            if stream is not None:
                stream.tokens.put_nowait(index)

    def _refusal(self, request: web.Request, model: str) -> wire.RefusalReason | None:
        if self.state is wire.EngineState.LEAVING:
            return wire.RefusalReason.LEAVING
        if self.state is wire.EngineState.LOADING:
            return wire.RefusalReason.LOADING
        expected = request.headers.get(wire.EXPECT_INCARNATION)
        if expected and expected != self.incarnation:
            return wire.RefusalReason.INCARNATION
        expected = request.headers.get(wire.EXPECT_WEIGHTS)
        if self.weights.get(model) != (expected or self.weights.get(model)):
            return wire.RefusalReason.WEIGHTS
        return None

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        chat = request.path.endswith("chat/completions")
        body = parse_generation(await request.read(), chat)
        reason = self._refusal(request, body.model)
        if reason is not None:
            self.refused += 1
            status = 503 if reason in (wire.RefusalReason.LEAVING, wire.RefusalReason.LOADING) else 412
            return web.Response(status=status, body=msgspec.json.encode(wire.Refusal(reason)))
        request_id = request.headers.get(wire.REQUEST_ID, secrets.token_hex(8))
        stream = self._submit(request, body, request_id)
        try:
            return await self._answer(request, body, stream, request_id)
        finally:
            self._streams.pop(request_id, None)
            self.model.cancel(request_id)

    def _submit(self, request: web.Request, body: CompletionBody | ChatBody, request_id: str) -> _Stream:
        prompt = render_prompt(body)
        resume = body.resume or wire.Resume(0, "")
        effective = prompt + resume.text.encode()
        salt = int(request.headers.get(wire.CACHE_SALT, "0"), 16)
        engine_request = EngineRequest(
            request_id=request_id,
            chain=hash_chain(salt, effective, self.profile.block_bytes),
            prompt_tokens=self.profile.tokens_of(effective),
            max_tokens=max(1, body.max_tokens - resume.next_index),
            rank=int(request.headers.get(wire.PRIORITY_RANK, "0")),
            first_index=resume.next_index,
        )
        self._check_validity(salt, body.model)
        stream = _Stream(engine_request)
        self._streams[request_id] = stream
        self.journal.append(request_id)
        self.model.submit(engine_request, time.monotonic())
        self._wake.set()
        return stream

    def _check_validity(self, salt: int, model: str) -> None:
        """Hold the router to its cache keys: one salt serves one version of a model's weights only."""
        version = self._weights_of_salt.setdefault(salt, self.weights.get(model, ""))
        if version != self.weights.get(model, ""):
            self.validity_violations.append(
                f"{self.name}: salt of weights {version} used with {self.weights[model]}"
            )

    async def _answer(
        self, request: web.Request, body: CompletionBody | ChatBody, stream: _Stream, request_id: str
    ) -> web.StreamResponse:
        first = await stream.tokens.get()
        if first is None:
            return reset_connection(request)
        answered_id = "foreign-request" if self.faults.take("foreign_answers") else request_id
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                wire.REQUEST_ID: answered_id,
                wire.INCARNATION: self.incarnation,
                wire.CACHED_TOKENS: str(stream.request.cached_tokens),
                wire.PROMPT_TOKENS: str(stream.request.prompt_tokens),
            }
        )
        await response.prepare(request)
        return await self._send_tokens(request, response, body, stream, first, answered_id)

    async def _send_tokens(
        self,
        request: web.Request,
        response: web.StreamResponse,
        body: CompletionBody | ChatBody,
        stream: _Stream,
        first: int,
        request_id: str,
    ) -> web.StreamResponse:
        prompt = render_prompt(body)
        chat = isinstance(body, ChatBody)
        index: int | None = first
        sent = 0
        faults = self.faults
        while index is not None:
            last = index + 1 >= body.max_tokens
            payload = chunk(body.model, request_id, generated_word(prompt, index), chat, last)
            event = stream_event(request_id, index, payload)
            await response.write(event * (2 if faults.switches.duplicate_chunks else 1))
            sent += 1
            if faults.switches.cut_streams_after and sent >= faults.switches.cut_streams_after:
                # The HTTP client drops chunks it has not handed on when a close follows at once.
                await asyncio.sleep(_CUT_DELAY_S)
                return cut_connection(request)
            while faults.switches.stall_streams_after and sent >= faults.switches.stall_streams_after:
                await asyncio.sleep(_STALL_CHECK_S)
            if last:
                await response.write(wire.DONE_EVENT + b"\n\n")
                await response.write_eof()
                return response
            index = await stream.tokens.get()
        return reset_connection(request)

    async def _cancel(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=wire.CancelRequest)
        started = self.model.cancel(body.request_id)
        stream = self._streams.pop(body.request_id, None)
        if stream is not None:
            stream.tokens.put_nowait(None)
        state = wire.CancelState.STOPPED if started else wire.CancelState.NEVER_STARTED
        if started is None:
            state = wire.CancelState.UNKNOWN_REQUEST
        return web.Response(body=msgspec.json.encode(wire.CancelAnswer(state)))

    def _status(self) -> wire.StatusLine:
        return wire.StatusLine(
            engine=self.name,
            incarnation=self.incarnation,
            state=self.state,
            weights=dict(self.weights),
            block_bytes=self.profile.block_bytes,
            block_tokens=self.profile.block_tokens,
            cache_blocks=self.profile.cache_blocks,
        )

    def _load(self) -> wire.LoadLine:
        load = self.model.load_report(0.0)
        return wire.LoadLine(
            sequence=self.model.last_sequence,
            running=load.running,
            waiting=load.waiting,
            waiting_prefill_tokens=load.waiting_prefill_tokens,
            cache_used_blocks=load.cache_used_blocks,
            age_s=self._load_lag_s,
        )

    async def _events(self, request: web.Request) -> web.StreamResponse:
        same = request.query.get("incarnation") == self.incarnation
        after = int(request.query.get("after", "0")) if same else 0
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await response.prepare(request)
        self._event_connections[id(request)] = request
        try:
            sent_status: wire.StatusLine | None = None
            while True:
                if self._status() != sent_status:
                    sent_status = self._status()
                    await response.write(msgspec.json.encode(sent_status) + b"\n")
                # The lag: the load sent is the one taken before the pause.
                load = self._load()
                for _ in range(max(1, round(_LOAD_INTERVAL_S / self._event_delay_s))):
                    after = await self._send_events(response, after)
                    await asyncio.sleep(self._event_delay_s)
                await response.write(msgspec.json.encode(load) + b"\n")
        except (ConnectionError, asyncio.CancelledError):
            return response  # The reader or the stand-in has ended.
        finally:
            self._event_connections.pop(id(request), None)

    async def _send_events(self, response: web.StreamResponse, after: int) -> int:
        lines = []
        for event in self.model.events:
            if event.sequence > after:
                after = event.sequence
                if not self._drops(event):
                    lines.append(msgspec.json.encode(cache_line(event)))
        if lines:
            await response.write(b"\n".join(lines) + b"\n")
        return after

    def _drops(self, event: CacheEvent) -> bool:
        ratio = self.faults.switches.drop_event_ratio
        return ratio > 0 and (event.sequence * _GOLDEN_FRACTION) % 1.0 < ratio

    async def _snapshot(self, _request: web.Request) -> web.Response:
        entries = tuple(snapshot_entry(block, position) for block, position in self.model.cache.items())
        snapshot = wire.CacheSnapshot(self.incarnation, self.model.last_sequence, entries)
        return web.Response(body=msgspec.json.encode(snapshot))

    async def _order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=wire.EngineLoadOrder)
        if order.fence < self.highest_fence or self.state is not wire.EngineState.SERVING:
            return web.Response(status=409)
        self.highest_fence = order.fence
        self.state = wire.EngineState.LOADING
        self._load_task = asyncio.create_task(self._load_weights(order))
        return web.Response(status=200)

    async def _load_weights(self, order: wire.EngineLoadOrder) -> None:
        """Finish what runs, load, and serve the new weights with an empty cache."""
        while not self.model.idle:
            await asyncio.sleep(_IDLE_CHECK_S)
        await asyncio.sleep(self.weight_load_s)
        self.weights[order.model] = order.weights_version
        self._begin_incarnation()
        self.state = wire.EngineState.SERVING

    async def _crash(self, _request: web.Request) -> web.Response:
        self.crash()
        return web.Response()

    async def _leave(self, _request: web.Request) -> web.Response:
        self.state = wire.EngineState.LEAVING
        return web.Response()
