"""The HTTP server for callers, which answers every request even when it closes idle connections or stops.

aiohttp closes a connection even if a request has been read on it or waits in its socket, and drops bytes that
arrive later. Here a connection is closed only between two requests. A request that arrives after the close gets the
answer :class:`~wallwell.errors.ConnectionEndedError`, which says that the request has not run.

Owns callers' connections and the order of their closing, and relies on aiohttp for everything else. Whether a
connection is waiting for a request is read from aiohttp's private ``_waiter``, as aiohttp's own idle check does;
its ``_lingering_time`` is set as a stop begins to close connections.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any, Protocol, cast

from aiohttp import web

from wallwell.clock import boot_time_s, ends_within
from wallwell.errors import ConnectionEndedError, RequestError
from wallwell.events import Event, emit
from wallwell.socket_options import accept_pending, has_unread_bytes

FINAL_REQUEST_WAIT_S = 0.3
"""Seconds that a caller gets, while connections are being closed, to send the first request on a new connection or
the rest of a request."""
LINGER_S = 0.3
"""Seconds for which bytes are still read after the final answer has been sent. If the socket were closed at once, a
late request would make the system reset the connection, and the caller might get the reset before the answer. A
request that the caller sent before it saw the final answer arrives within one network delay."""
UNREAD_BODY_LINGER_S = 1.0
"""Seconds for which the rest of a body is read and dropped behind the refusal of its request: longer than a caller
on a slow link takes to see the refusal."""
IDLE_CHECK_INTERVAL_S = 0.01
"""Seconds between two checks for connections that have become idle."""


async def stop_accepting(runner: web.BaseRunner) -> None:
    """Accept pending connections, then close a server's listening sockets."""
    sites = [site for site in runner.sites if isinstance(site, web.TCPSite)]
    await accept_pending(each for site in sites for each in getattr(site._server, "sockets", ()))
    for site in sites:
        await site.stop()


def encode_final_answer(error: RequestError, headers: Mapping[str, str], body: bytes) -> bytes:
    """Return the encoded HTTP response that is sent last on a connection."""
    status = HTTPStatus(error.http_status)
    lines = [f"HTTP/1.1 {status} {status.phrase}", *(f"{name}: {value}" for name, value in headers.items())]
    lines += ["Content-Type: application/json", f"Content-Length: {len(body)}", "Connection: close", "", ""]
    # Header bytes of a caller that are not UTF-8 were decoded to surrogates; this restores the original bytes.
    return "\r\n".join(lines).encode("utf-8", "surrogateescape") + body


class FinalAnswers(Protocol):
    """The responses that are sent last on connections, see :func:`encode_final_answer`."""

    def for_late_request(self) -> bytes:
        """Return the answer to a request that arrives after the close: the request has not run."""
        ...

    def for_interrupted_request(self, request: web.BaseRequest) -> bytes:
        """Return the answer to a request that is in flight when its connection is aborted: it may have run."""
        ...


class CallerConnection(web.RequestHandler):
    """The protocol of one caller's connection."""

    __slots__ = (
        "_body_timeout",
        "_final_answers",
        "_has_late_request",
        "_has_partial_head",
        "_is_ended",
        "_is_shed",
        "_sheds_connection",
        "is_aborted",
    )

    def __init__(self, server: CallersServer, **options: Any) -> None:
        super().__init__(server, **options)
        self._final_answers = server.final_answers
        self._has_partial_head = False
        """Whether part of the next request's head has been read."""
        self._body_timeout: asyncio.Timeout | None = None
        """Ends the reading of a body; None while none is read."""
        self.is_aborted = False
        """Whether the connection was closed although a request on it had no complete answer."""
        self._is_ended = False
        self._is_shed = False
        """Whether the connection was closed before anything was read."""
        self._sheds_connection = server.sheds_connection
        self._has_late_request = False
        """Whether bytes arrived after the final answer."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve a new connection, or close it unread; see :class:`asyncio.Protocol`."""
        if not self._sheds_connection():
            super().connection_made(transport)
            return
        self._is_shed = True
        cast(asyncio.Transport, transport).abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the connection; see :class:`asyncio.Protocol`."""
        if not self._is_shed:
            super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or discard them after the final answer; see :class:`asyncio.Protocol`."""
        if self._is_ended:
            self._has_late_request = True
            return
        super().data_received(data)
        self._has_partial_head = self._awaits_request()

    def _awaits_request(self) -> bool:
        """Whether every request that has been read is answered."""
        return self._waiter is not None and not self._waiter.done()

    def has_next_request(self) -> bool:
        """Whether the caller has sent more, which will be read as the next request."""
        request = self._current_request
        if request is not None and not request.content.is_eof():
            return False  # What comes belongs to the body of this request.
        return bool(self._messages) or has_unread_bytes(self.transport)

    @property
    def has_late_request(self) -> bool:
        """Whether a request arrived after the final answer."""
        return self._has_late_request

    def is_idle(self, allow_partial_head: bool) -> bool:
        """Whether the connection can be closed now without losing a request.

        With ``allow_partial_head``, a connection that is new or has received part of a head also counts as idle.
        """
        if not self._awaits_request() or has_unread_bytes(self.transport):
            return False
        return allow_partial_head or (self._request_count > 0 and not self._has_partial_head)

    def _process_keepalive(self) -> None:
        """Close a connection that has been idle too long. aiohttp's own version loses requests still in transit."""
        self._keepalive_handle = None  # aiohttp sets the timer again after the next answer.
        if self._loop.time() < self._next_keepalive_close_time:
            # A request was answered since the timer was set. aiohttp's own version would read the clock again, and
            # close the connection at once if the timeout has passed by then.
            self._keepalive_handle = self._loop.call_at(self._next_keepalive_close_time, self._process_keepalive)
            return
        if self.is_idle(allow_partial_head=True):
            self.end_gracefully()
        elif self._awaits_request():
            # Bytes that may be an incomplete request have arrived and are not read yet.
            self._keepalive_handle = self._loop.call_later(FINAL_REQUEST_WAIT_S, self._process_keepalive)

    async def read_body(self, request: web.BaseRequest) -> bytes:
        """Read a request's body; see :func:`read_body`."""
        try:
            async with asyncio.timeout(None) as self._body_timeout:
                return await request.read()
        except TimeoutError:
            # aiohttp reads and drops the rest behind the answer, so that the caller gets the answer.
            raise ConnectionEndedError("the request was not complete as the router stopped") from None
        finally:
            self._body_timeout = None

    def shorten_linger(self) -> None:
        """Let a caller that sends a refused body delay a stop by no more than :data:`UNREAD_BODY_LINGER_S`."""
        self._lingering_time = UNREAD_BODY_LINGER_S

    def stop_reading_body(self) -> None:
        """End :meth:`read_body`, if a body is being read."""
        if self._body_timeout is not None and not self._body_timeout.expired():
            self._body_timeout.reschedule(self._loop.time())

    def end_gracefully(self) -> None:
        """Close an idle connection; a request in transit is answered that it has not run."""
        transport = self.transport
        assert transport is not None
        if not self._request_count and not self._has_partial_head:
            # Browsers open connections early, and would take this answer as the response to a later request.
            self.force_close()
            return
        self.close()  # Ends aiohttp's request loop; the transport stays open.
        self._is_ended = True
        transport.write(self._final_answers.for_late_request())
        if transport.can_write_eof():
            transport.write_eof()
        self._loop.call_later(LINGER_S, transport.close)

    def abort(self) -> None:
        """Close the connection at once. A request without any answer yet is answered that it may have run."""
        request = self._current_request
        self.is_aborted = request is not None
        if self.transport is not None and request is not None and not request.writer.output_size:
            self.transport.write(self._final_answers.for_interrupted_request(request))
        self.force_close()


async def read_body(request: web.BaseRequest) -> bytes:
    """Return a request's body. Raises :class:`ConnectionEndedError` if it is not complete in time in a stop."""
    connection = _connection_of(request)
    if connection is None or request.content.is_eof():
        return await request.read()
    return await connection.read_body(request)


def is_aborted(request: web.BaseRequest) -> bool:
    """Whether the connection of a request was closed by this server before its answer was complete."""
    connection = _connection_of(request)
    return connection is not None and connection.is_aborted


def has_next_request(request: web.BaseRequest) -> bool:
    """Whether the caller of a request has sent the next one behind it without waiting for the answer."""
    connection = _connection_of(request)
    return connection is not None and connection.has_next_request()


def _connection_of(request: web.BaseRequest) -> CallerConnection | None:
    """Return the connection of a request; None if another server serves it."""
    connection = request.protocol
    return connection if isinstance(connection, CallerConnection) else None


def _takes_every_connection() -> bool:
    return False


class CallersServer(web.Server):
    """The server of one listener, with its callers' connections."""

    def __init__(
        self,
        handler: Callable[[Any], Awaitable[web.StreamResponse]],
        final_answers: FinalAnswers,
        sheds_connection: Callable[[], bool] = _takes_every_connection,
        **options: Any,
    ) -> None:
        """``sheds_connection`` returns whether a new connection is closed unread."""
        super().__init__(handler, **options)
        self.final_answers = final_answers
        self.sheds_connection = sheds_connection
        self._closing: asyncio.Task[None] | None = None

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    def start_closing(self) -> None:
        """Start closing each connection as soon as it is idle. Call after the listening socket was closed."""
        for connection in self._caller_connections():
            connection.shorten_linger()
        self._closing = asyncio.create_task(self._close())

    async def wait_closed(self) -> None:
        """Wait until no connection is open, however long the callers' requests take."""
        if self._closing is not None:
            await asyncio.shield(self._closing)

    async def _close(self) -> None:
        started_s = boot_time_s()
        ended: list[CallerConnection] = []
        try:
            while self.connections:
                is_wait_over = boot_time_s() - started_s > FINAL_REQUEST_WAIT_S
                ended += self._end_idle_connections(allow_partial_head=is_wait_over)
                if is_wait_over:
                    for connection in self._caller_connections():
                        connection.stop_reading_body()
                await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        finally:
            late_requests = sum(connection.has_late_request for connection in ended)
            emit(Event.CALLER_CONNECTIONS_ENDED, idle=len(ended), crossed=late_requests, cut=len(self.connections))

    def _caller_connections(self) -> list[CallerConnection]:
        return [each for each in self.connections if isinstance(each, CallerConnection)]

    def _end_idle_connections(self, allow_partial_head: bool) -> list[CallerConnection]:
        idle = [each for each in self._caller_connections() if each.is_idle(allow_partial_head)]
        for connection in idle:
            connection.end_gracefully()
        return idle

    def pre_shutdown(self) -> None:
        """Do nothing: aiohttp's version makes connections drop the bytes that arrive on them."""

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close all connections. After ``start_closing``, requests in flight get ``timeout`` seconds to end."""
        if self._closing is not None:
            await ends_within(self.wait_closed(), timeout or 0.0)
            self._closing.cancel()
        for connection in self._caller_connections():
            connection.abort()
        await super().shutdown(timeout)
