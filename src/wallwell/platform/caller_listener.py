"""The node's HTTP servers: for callers, for the platform's readiness check, and for metrics.

Creates these servers. :mod:`wallwell.callers_server` manages callers' connections, :mod:`.request_parsing` parses
requests, the node serves them, and :mod:`.replies` writes the answers.
"""

from __future__ import annotations

import asyncio

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

from wallwell.callers_server import CallersServer, encode_final_answer, read_body
from wallwell.clock import boot_time_s
from wallwell.errors import (
    BodyTooLargeError,
    ConnectionEndedError,
    InternalRequestError,
    OutcomeUnknownError,
    RequestError,
)
from wallwell.events import Event, emit
from wallwell.node.node import FleetNode
from wallwell.platform import names
from wallwell.platform.answer_writer import AnswerWriter
from wallwell.platform.replies import HttpReply, encode_error
from wallwell.platform.request_parsing import expects_continue, parse_request, require_request_id
from wallwell.routing.admission.stop_times import READ_TOO_LATE
from wallwell.serving.messages import CallerRequest

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Largest request body that is read, which bounds the node's memory. Well above the 4 MB that operators allow by
default; the operators' limit is checked once the route of the request is known."""
MAX_HEADER_LINE_BYTES = 32 * 1024
"""Largest request line or header in bytes: four times aiohttp's default, since one header lists every part of a
prompt."""
KEEPALIVE_S = 75.0
"""Seconds after which a caller's idle connection is closed. Longer than the 60 s of idle time that operators allow
callers by default, so that the caller normally closes first."""
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class PlatformLastAnswers:
    """Encodes the final answers of closing connections as errors in the platform's format."""

    def for_late_request(self) -> bytes:
        """See :class:`wallwell.callers_server.FinalAnswers`."""
        error = ConnectionEndedError()
        return encode_final_answer(error, {}, encode_error(error))

    def for_interrupted_request(self, request: web.BaseRequest) -> bytes:
        """See :class:`wallwell.callers_server.FinalAnswers`."""
        error = OutcomeUnknownError("the router stops")
        headers = {names.REQUEST_ID: request.headers.get(names.REQUEST_ID, "")}
        return encode_final_answer(error, headers, encode_error(error))


class CallerListener:
    """Creates the node's HTTP servers, and passes parsed requests of callers to the node."""

    def __init__(self, node: FleetNode) -> None:
        self._node = node

    async def close_idle(self, server: CallersServer) -> None:
        """Close connections that have no request in flight; the others close after their answer."""
        server.start_closing()

    # --- servers -------------------------------------------------------------------------------------------

    def callers_server(self) -> CallersServer:
        """Return the server for callers."""
        return CallersServer(
            self._handle,
            PlatformLastAnswers(),
            sheds_connection=self._node.sheds_connection,
            request_factory=self._make_request,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            max_field_size=MAX_HEADER_LINE_BYTES,
            max_line_size=MAX_HEADER_LINE_BYTES,
            auto_decompress=False,
            access_log=None,
        )

    def ready_server(self) -> web.Server:
        """Return the server for readiness checks; it ignores the path, since the platform requests only one."""
        return web.Server(self._handle_ready, access_log=None)

    def metrics_server(self, path: str) -> web.Server:
        """Return the server that serves the node's metrics at ``path`` and answers 404 to other paths."""

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
        writer = AnswerWriter(protocol, loop)
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=MAX_BODY_BYTES)

    async def _handle_ready(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self._node.is_ready() else 503)

    # --- one request ----------------------------------------------------------------------------------------

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_s = boot_time_s()
        request_id = request.headers.get(names.REQUEST_ID, "")
        reply = HttpReply(request, request_id, self._node.is_closing_connections)
        try:
            await self._serve(request, reply, arrived_s)
        except asyncio.CancelledError:
            if not reply.is_cut_by_stop():  # Otherwise it is logged as cut.
                emit(Event.CALLER_GONE, request_id=request_id)
            raise
        except ConnectionError:
            emit(Event.CALLER_GONE, request_id=request_id)
        except Exception as error:
            emit(Event.INTERNAL_ERROR, error=f"{type(error).__name__}: {error}", where="request")
            if reply.started:
                reply.abort()
            else:
                await reply.refuse(InternalRequestError())
        if reply.response is None:
            reply.abort()
            return web.Response()  # Not sent: its caller has disconnected, and the connection has been ended.
        return reply.response

    async def _serve(self, request: web.BaseRequest, reply: HttpReply, arrived_s: float) -> None:
        try:
            if not self._node.takes_requests():
                raise ConnectionEndedError(READ_TOO_LATE)
            caller_request = await _read_request(request, arrived_s)
        except ConnectionEndedError as error:
            self._node.refuse_unread(request.headers.get(names.REQUEST_ID, ""), error)
            await reply.refuse(error)
        except RequestError as error:
            await reply.refuse(error)
        else:
            await self._node.serve(caller_request, reply)


async def _read_request(request: web.BaseRequest, arrived_s: float) -> CallerRequest:
    """Read and parse one request. Raises :class:`RequestError` if it is malformed or its body too large."""
    headers = request.headers
    require_request_id(headers)  # Raises before the body of an invalid request is read.
    if expects_continue(headers) and request.transport is not None:
        request.transport.write(CONTINUE_RESPONSE)
    try:
        body = await read_body(request)
    except web.HTTPRequestEntityTooLarge as error:
        raise BodyTooLargeError(f"body is larger than {MAX_BODY_BYTES} bytes") from error
    return parse_request(request.method, request.raw_path, headers, body, arrived_s)
