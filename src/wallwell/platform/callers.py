"""The callers' listener and the readiness address of the platform."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import msgspec
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict, CIMultiDictProxy

from wallwell.clock import boot_time_s
from wallwell.errors import BodyTooLargeError, InternalRequestError, MalformedRequestError, RequestError
from wallwell.events import Event, emit
from wallwell.node.node import FleetNode
from wallwell.outcomes import Outcome
from wallwell.platform import names
from wallwell.routing.selection.prefix_home import PromptPart
from wallwell.serving.messages import AnswerHead, CallerRequest, Generation
from wallwell.socket_options import has_hung_up

MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_FIELD_BYTES = 32 * 1024
TURNS_TO_BEGIN = 5
"""Turns of the event loop after which the handler of a request that has been read has certainly begun."""
KEEPALIVE_S = 75.0


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of the router's own answers."""

    code: str
    error: str
    outcome: Outcome


class HttpReply:
    """A :class:`wallwell.serving.messages.CallerReply` over one aiohttp request."""

    def __init__(self, request: web.BaseRequest, request_id: str, closing: Callable[[], bool]) -> None:
        self._request = request
        self._request_id = request_id
        self._closing = closing
        self.response: web.StreamResponse | None = None
        self._aborted = False

    @property
    def started(self) -> bool:
        """Whether the head has been sent."""
        return self.response is not None

    def is_caller_gone(self) -> bool:
        """See :class:`wallwell.serving.messages.CallerReply`."""
        return has_hung_up(self._request.transport)

    async def answer(self, head: AnswerHead, body: bytes) -> None:
        """Send a back end's whole answer."""
        await self._send(web.Response(status=head.status, headers=CIMultiDict(head.headers), body=body))

    async def refuse(self, error: RequestError) -> None:
        """Send a typed error."""
        headers = {names.REQUEST_ID: self._request_id}
        if error.retry_after_ms:
            headers[names.RETRY_AFTER] = f"{error.retry_after_ms / 1000:g}"
        body = msgspec.json.encode(ErrorBody(error.code, type(error).__name__, error.outcome))
        response = web.Response(
            status=error.http_status, headers=headers, body=body, content_type="application/json"
        )
        await self._send(response)

    async def start(self, head: AnswerHead) -> None:
        """Send the head of a streamed answer."""
        response = web.StreamResponse(status=head.status, headers=CIMultiDict(head.headers))
        self.response = response
        if self._closing():
            response.force_close()
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send a piece; waits for a slow caller."""
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        """End as complete."""
        assert self.response is not None
        await self.response.write_eof()

    def abort(self) -> None:
        """Reset the caller's connection, so that the answer cannot look complete."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _send(self, response: web.Response) -> None:
        self.response = response
        if self._closing():
            response.force_close()
        await response.prepare(self._request)
        await response.write_eof()


class CallersListener:
    """Turns HTTP requests into the pipeline's typed requests."""

    def __init__(self, node: FleetNode) -> None:
        self._node = node
        self._busy: set[RequestHandler] = set()
        self._closing = False

    async def close_resting(self, server: web.Server) -> None:
        """Close every connection without a request under way; the others close after their answer.

        aiohttp drops what arrives on a connection that it was told to close, the rest of a body too, so a
        connection with a request under way is told only when that has ended.
        """
        for _ in range(TURNS_TO_BEGIN):
            await asyncio.sleep(0)
        self._closing = True
        for connection in list(server.connections):
            if connection not in self._busy:
                connection.force_close()

    def server(self) -> web.Server:
        """Return the callers' server."""
        return web.Server(
            self._handle,
            request_factory=self._make_request,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            max_field_size=MAX_FIELD_BYTES,
            max_line_size=MAX_FIELD_BYTES,
            auto_decompress=False,
            access_log=None,
        )

    def ready_server(self) -> web.Server:
        """Return the server of the readiness address."""
        return web.Server(self._handle_ready, access_log=None)

    def metrics_server(self, path: str) -> web.Server:
        """Return the server of the node's own figures at ``path``."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            if request.path != path:
                return web.Response(status=404)
            return web.Response(body=self._node.metrics_text(), content_type="text/plain", charset="utf-8")

        return web.Server(handle, access_log=None)

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        loop = task.get_loop()
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=MAX_BODY_BYTES)

    async def _handle_ready(self, request: web.BaseRequest) -> web.StreamResponse:
        ready = self._node.is_ready()
        return web.Response(status=200 if ready else 503)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._busy.add(request.protocol)
        try:
            return await self._answer(request)
        finally:
            self._busy.discard(request.protocol)
            if self._closing:
                request.protocol.close()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_s = boot_time_s()
        reply = HttpReply(request, request.headers.get(names.REQUEST_ID, ""), self._node.closing_connections)
        try:
            try:
                caller_request = await self._read(request, arrived_s)
            except RequestError as error:
                await reply.refuse(error)
            else:
                await self._node.serve(caller_request, reply)
        except ConnectionError:
            emit(Event.CALLER_GONE, request_id=request.headers.get(names.REQUEST_ID, ""))
        except Exception as error:
            emit(Event.INTERNAL_ERROR, error=f"{type(error).__name__}: {error}", where="request")
            if reply.started:
                reply.abort()
            else:
                await reply.refuse(InternalRequestError())
        if reply.response is None:
            raise ConnectionResetError("no answer could be sent")
        return reply.response

    async def _read(self, request: web.BaseRequest, arrived_s: float) -> CallerRequest:
        """Read and parse one request. Raises :class:`RequestError`."""
        headers = request.headers
        request_id = headers.get(names.REQUEST_ID, "")
        if not request_id:
            raise MalformedRequestError(f"{names.REQUEST_ID} is required")
        if headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise BodyTooLargeError("body is larger than the limit") from error
        allowance = headers.get(names.DEADLINE_MS, "")
        return CallerRequest(
            request_id=request_id,
            host=headers.get("Host", "").partition(":")[0].lower(),
            method=request.method,
            target=request.raw_path,
            headers=_end_to_end(headers),
            body=body,
            credential=headers.get(names.CREDENTIAL, ""),
            allowance_s=_milliseconds(allowance),
            arrived_s=arrived_s,
            generation=_generation(headers),
            declared_tokens=_told_tokens(headers.get(names.TOKEN_USAGE, "")),
        )


def _told_tokens(text: str) -> int | None:
    """Return the tokens of prompt and largest output together, None if they are not told."""
    counts = [count.strip() for count in text.split(",")]
    if len(counts) != 2 or not all(count.isdecimal() for count in counts):
        return None
    return sum(int(count) for count in counts)


def _milliseconds(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value / 1000 if math.isfinite(value) and value > 0 else None


def _end_to_end(headers: CIMultiDictProxy[str]) -> tuple[tuple[str, str], ...]:
    named = {name.strip().lower() for value in headers.getall("Connection", ()) for name in value.split(",")}
    dropped = (
        names.HOP_BY_HOP | names.SET_BY_ROUTER | (named - {"x-model", "x-token-usage", "x-prefix-hash", "host"})
    )
    return tuple((name, value) for name, value in headers.items() if name.lower() not in dropped)


def _generation(headers: CIMultiDictProxy[str]) -> Generation | None:
    model = headers.get(names.MODEL)
    if not model:
        return None
    resume = headers.get(names.RESUME_AFTER, "")
    parts = tuple(_part(text) for text in headers.get(names.PROMPT_PARTS, "").split(",") if text)
    return Generation(model, parts, int(resume) if resume.isdigit() else None)


def _part(text: str) -> PromptPart:
    identity, _, tokens = text.strip().partition(":")
    return PromptPart(identity, int(tokens) if tokens.isdigit() else 0)
