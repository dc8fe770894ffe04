"""Emulated inference engine over HTTP: generations, cancellation, load orders and control endpoints for tests.

Owns the HTTP interface and the refusals. :mod:`.engine_process` runs requests, :mod:`.engine_feed` sends reports,
:mod:`.engine_output` formats what is sent.
"""

from __future__ import annotations

import asyncio
import secrets
from http import HTTPStatus

import msgspec
from aiohttp import web

from wallwell.emulator.engine_feed import EVENT_DELAY_S, LOAD_LAG_S, EngineFeed
from wallwell.emulator.engine_model import EngineProfile, EngineRequest
from wallwell.emulator.engine_output import FOREIGN_REQUEST_ID, completion_chunk, generated_word, stream_event
from wallwell.emulator.engine_process import EngineProcess, TokenStream
from wallwell.emulator.faults import close_connection, reset_connection
from wallwell.standalone.backends import engine_protocol as wire
from wallwell.standalone.callers.openai_format import ChatBody, CompletionBody, parse_generation, render_prompt
from wallwell.standalone.routing.blocks import hash_chain

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Maximum size of a request body: above what a router accepts."""
REQUEST_ID_BYTES = 8
"""Random bytes in the id assigned to a request that has none."""
_CUT_DELAY_S = 0.02
"""Seconds between the last chunk and the close of a stream ended by ``cut_streams_after``."""
_STALL_CHECK_INTERVAL_S = 0.02
"""Seconds between two checks whether a stall is over."""
_STATE_REFUSALS = (wire.RefusalReason.LEAVING, wire.RefusalReason.LOADING)
"""Refusals because of the engine's state (503); the others are failed expectations of the router (412)."""


class EngineServer(EngineProcess):
    """An engine process with its HTTP interface."""

    def __init__(
        self,
        name: str,
        weights: dict[str, str],
        profile: EngineProfile | None = None,
        event_delay_s: float = EVENT_DELAY_S,
        load_lag_s: float = LOAD_LAG_S,
    ) -> None:
        super().__init__(name, weights, profile)
        self.refused = 0
        """Number of requests refused before anything ran."""
        self._feed = EngineFeed(self, event_delay_s, load_lag_s)
        self.on_crash = self._feed.reset_connections
        self._run_task: asyncio.Task[None] | None = None

    def app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        self.faults.install(app)
        app.router.add_post("/v1/completions", self._handle_generation)
        app.router.add_post("/v1/chat/completions", self._handle_generation)
        app.router.add_post("/cancel", self._handle_cancel)
        self._feed.install(app)
        app.router.add_post("/orders", self._handle_load_order)
        app.router.add_post("/_crash", self._handle_crash)
        app.router.add_post("/_leave", self._handle_leave)
        app.on_response_prepare.append(_repeat_request_id)
        app.on_startup.append(self._on_startup)
        app.on_cleanup.append(self._on_cleanup)
        return app

    async def _on_startup(self, _app: web.Application) -> None:
        self._run_task = asyncio.create_task(self.run())

    async def _on_cleanup(self, _app: web.Application) -> None:
        if self._run_task is not None:
            self._run_task.cancel()

    # --- requests --------------------------------------------------------------------------------------

    async def _handle_generation(self, request: web.Request) -> web.StreamResponse:
        chat = request.path.endswith("chat/completions")
        body = parse_generation(await request.read(), chat)
        reason = self._refusal_reason(request, body.model)
        if reason is not None:
            self.refused += 1
            status = HTTPStatus.SERVICE_UNAVAILABLE if reason in _STATE_REFUSALS else HTTPStatus.PRECONDITION_FAILED
            return web.Response(status=status, body=msgspec.json.encode(wire.Refusal(reason)))
        request_id = request.headers.get(wire.REQUEST_ID, secrets.token_hex(REQUEST_ID_BYTES))
        salt = int(request.headers.get(wire.CACHE_SALT, "0"), 16)
        stream = self.submit(self._engine_request(request, body, request_id, salt), salt, body.model)
        try:
            return await self._stream_response(request, body, stream)
        finally:
            self.remove_request(request_id)

    def _refusal_reason(self, request: web.Request, model: str) -> wire.RefusalReason | None:
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

    def _engine_request(
        self, request: web.Request, body: CompletionBody | ChatBody, request_id: str, salt: int
    ) -> EngineRequest:
        resume = body.resume or wire.Resume(0, "")
        prompt = render_prompt(body) + resume.text.encode()
        return EngineRequest(
            request_id=request_id,
            chain=hash_chain(salt, prompt, self.profile.block_bytes),
            prompt_tokens=self.profile.count_tokens(prompt),
            max_tokens=max(1, body.max_tokens - resume.next_index),
            rank=int(request.headers.get(wire.PRIORITY_RANK, "0")),
            first_index=resume.next_index,
        )

    async def _stream_response(
        self, request: web.Request, body: CompletionBody | ChatBody, stream: TokenStream
    ) -> web.StreamResponse:
        first_index = await stream.tokens.get()
        if first_index is None:
            return reset_connection(request)
        is_foreign = self.faults.consume("foreign_answers")
        response_id = FOREIGN_REQUEST_ID if is_foreign else stream.request.request_id
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                wire.REQUEST_ID: response_id,
                wire.INCARNATION: self.incarnation,
                wire.CACHED_TOKENS: str(stream.request.cached_tokens),
                wire.PROMPT_TOKENS: str(stream.request.prompt_tokens),
            }
        )
        await response.prepare(request)
        is_complete = await self._send_tokens(request, response, body, stream, first_index, response_id)
        return response if is_complete else web.Response()

    async def _send_tokens(
        self,
        request: web.Request,
        response: web.StreamResponse,
        body: CompletionBody | ChatBody,
        stream: TokenStream,
        first_index: int,
        response_id: str,
    ) -> bool:
        """Send every token and the end event; return False if the connection was closed before that."""
        prompt = render_prompt(body)
        index: int | None = first_index
        sent_chunks = 0
        while index is not None:
            last = index + 1 >= body.max_tokens
            payload = completion_chunk(
                body.model, response_id, generated_word(prompt, index), isinstance(body, ChatBody), last
            )
            event = stream_event(response_id, index, payload)
            await response.write(event * (2 if self.faults.switches.duplicate_chunks else 1))
            sent_chunks += 1
            if await self._apply_stream_faults(request, sent_chunks):
                return False
            if last:
                await response.write(wire.DONE_EVENT + b"\n\n")
                await response.write_eof()
                return True
            index = await stream.tokens.get()
        reset_connection(request)
        return False

    async def _apply_stream_faults(self, request: web.Request, sent_chunks: int) -> bool:
        """Apply the stream faults due after ``sent_chunks``; return whether the connection was closed."""
        switches = self.faults.switches
        if switches.cut_streams_after and sent_chunks >= switches.cut_streams_after:
            # The HTTP client drops chunks that it has not delivered yet if the close follows immediately.
            await asyncio.sleep(_CUT_DELAY_S)
            close_connection(request)
            return True
        while self._is_stalled(sent_chunks):
            await asyncio.sleep(_STALL_CHECK_INTERVAL_S)
        return False

    def _is_stalled(self, sent_chunks: int) -> bool:
        stall_after = self.faults.switches.stall_streams_after
        return bool(stall_after) and sent_chunks >= stall_after

    async def _handle_cancel(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=wire.CancelRequest)
        return web.Response(body=msgspec.json.encode(wire.CancelAnswer(self.cancel(body.request_id))))

    # --- orders and control ----------------------------------------------------------------------------

    async def _handle_load_order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=wire.EngineLoadOrder)
        return web.Response(status=HTTPStatus.OK if self.start_weights_load(order) else HTTPStatus.CONFLICT)

    async def _handle_crash(self, _request: web.Request) -> web.Response:
        self.crash()
        return web.Response()

    async def _handle_leave(self, _request: web.Request) -> web.Response:
        self.state = wire.EngineState.LEAVING
        return web.Response()


async def _repeat_request_id(request: web.Request, response: web.StreamResponse) -> None:
    """Repeat the request's id in its answer, unless the handler has put another one there."""
    request_id = request.headers.get(wire.REQUEST_ID)
    if request_id is not None:
        response.headers.setdefault(wire.REQUEST_ID, request_id)
