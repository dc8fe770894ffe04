"""The HTTP server for callers: no request goes unanswered as a connection ends, idle for long or at a planned stop.

aiohttp closes a connection whatever has been read on it or waits in its socket, and drops what arrives from then
on. Here a connection is ended only between two requests, and a request that crosses that end on its way finds an
answer, :class:`~wallwell.errors.ConnectionEndedError`, which says that it has not run.

Owns callers' connections and the order of their end. Relies on aiohttp for everything else; of its connections it
reads whether they wait for a request (the test that aiohttp makes before it closes an idle one).
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any, Protocol

from aiohttp import web

from wallwell.clock import boot_time_s, ends_within
from wallwell.errors import RequestError
from wallwell.events import Event, emit
from wallwell.socket_options import has_unread_bytes, is_readable

FINAL_REQUEST_WAIT_S = 0.3
"""Seconds that a caller gets, once connections are being ended, to send the first request on a new connection or
the rest of a request's head."""
LINGER_S = 0.3
"""Seconds for which an ended connection is still read. Closed at once, a request that arrives would make the system
reset the connection, and the reset may overtake the answer. A request that crosses the end arrives within one way
over the network."""
MAX_ACCEPT_ITERATIONS = 100
"""Most turns of the event loop in which waiting connections are accepted before a listening socket closes."""
ACCEPT_COMPLETION_ITERATIONS = 3
"""Turns after which an accepted connection belongs to the server and outlives the listening socket."""
IDLE_CHECK_INTERVAL_S = 0.01
"""Seconds between two looks for connections that have become idle."""


async def stop_accepting(runner: web.BaseRunner) -> None:
    """Close a server's listening sockets, once the connections that wait there are accepted: the system resets what
    waits in a socket that closes, with the requests in it unread."""
    sites = [site for site in runner.sites if isinstance(site, web.TCPSite)]
    quiet_iterations = 0
    for _ in range(MAX_ACCEPT_ITERATIONS):
        quiet_iterations = 0 if any(_has_pending_connections(site) for site in sites) else quiet_iterations + 1
        if quiet_iterations > ACCEPT_COMPLETION_ITERATIONS:
            break
        await asyncio.sleep(0)
    for site in sites:
        await site.stop()


def _has_pending_connections(site: web.TCPSite) -> bool:
    listening = getattr(site._server, "sockets", ())
    return any(is_readable(each.fileno()) for each in listening)


def encode_final_answer(error: RequestError, headers: Mapping[str, str], body: bytes) -> bytes:
    """Return an answer with which a connection ends, as the bytes that are sent."""
    status = HTTPStatus(error.http_status)
    lines = [f"HTTP/1.1 {status} {status.phrase}", *(f"{name}: {value}" for name, value in headers.items())]
    lines += ["Content-Type: application/json", f"Content-Length: {len(body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode() + body


class FinalAnswers(Protocol):
    """What is sent as connections end, see :func:`encode_final_answer`."""

    def for_late_request(self) -> bytes:
        """Answer a request that arrives on an ended connection: it has not run."""
        ...

    def for_interrupted_request(self, request: web.BaseRequest) -> bytes:
        """Answer a request that is under way as its connection is cut: it may have run."""
        ...


class CallerConnection(web.RequestHandler):
    """One caller's connection."""

    __slots__ = ("_final_answers", "_has_late_request", "_has_partial_head", "_is_ended")

    def __init__(self, server: CallersServer, **options: Any) -> None:
        super().__init__(server, **options)
        self._final_answers = server.final_answers
        self._has_partial_head = False
        """Whether a part of the next request's head has been read."""
        self._is_ended = False
        self._has_late_request = False
        """Whether bytes arrived after the end."""

    def data_received(self, data: bytes) -> None:
        """Take bytes that have arrived; see :class:`asyncio.Protocol`."""
        if self._is_ended:
            self._has_late_request = True
            return
        super().data_received(data)
        self._has_partial_head = self._awaits_request()

    def _awaits_request(self) -> bool:
        """Whether no request has been read that is not answered yet."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def has_late_request(self) -> bool:
        """Whether a request met the end of the connection."""
        return self._has_late_request

    def is_idle(self, allow_partial_head: bool) -> bool:
        """Whether no request would be lost by ending the connection now.

        ``allow_partial_head`` also counts one as idle that is new or on which part of a request's head has arrived.
        """
        if not self._awaits_request() or has_unread_bytes(self.transport):
            return False
        return allow_partial_head or (self._request_count > 0 and not self._has_partial_head)

    def _process_keepalive(self) -> None:
        """End a connection that has been idle for too long. aiohttp would close it under a request on its way."""
        if self._loop.time() < self._next_keepalive_close_time:
            super()._process_keepalive()  # Too early: comes again.
            return
        self._keepalive_handle = None  # aiohttp sets the timer again after the next answer.
        if self.is_idle(allow_partial_head=True):
            self.end_gracefully()
        elif self._awaits_request():
            # Something has arrived that is not read yet, and may be no whole request.
            self._keepalive_handle = self._loop.call_later(FINAL_REQUEST_WAIT_S, self._process_keepalive)

    def end_gracefully(self) -> None:
        """Close an idle connection; a request that is on its way is told that it has not run."""
        transport = self.transport
        assert transport is not None
        if not self._request_count and not self._has_partial_head:
            # Browsers open connections ahead, and show what comes on them as the answer to a later request.
            self.force_close()
            return
        self.close()  # Ends aiohttp's task; the transport stays open.
        self._is_ended = True
        transport.write(self._final_answers.for_late_request())
        if transport.can_write_eof():
            transport.write_eof()
        self._loop.call_later(LINGER_S, transport.close)

    def abort(self) -> None:
        """Close the connection; a request whose answer has not begun gets one that says that it may have run."""
        request = self._current_request
        if self.transport is not None and request is not None and not request.writer.output_size:
            self.transport.write(self._final_answers.for_interrupted_request(request))
        self.force_close()


class CallersServer(web.Server):
    """Callers' connections to one listener."""

    def __init__(
        self, handler: Callable[[Any], Awaitable[web.StreamResponse]], final_answers: FinalAnswers, **options: Any
    ) -> None:
        super().__init__(handler, **options)
        self.final_answers = final_answers
        self._closing: asyncio.Task[None] | None = None

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    def start_closing(self) -> None:
        """End each connection as soon as it is idle. The listening socket should be closed before."""
        self._closing = asyncio.create_task(self._close())

    async def wait_closed(self) -> None:
        """Wait until no connection is left, for as long as callers' requests take."""
        if self._closing is not None:
            await asyncio.shield(self._closing)

    async def _close(self) -> None:
        started_s = boot_time_s()
        ended: list[CallerConnection] = []
        try:
            while self.connections:
                ended += self._end_idle_connections(boot_time_s() - started_s > FINAL_REQUEST_WAIT_S)
                await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        finally:
            late_requests = sum(connection.has_late_request for connection in ended)
            emit(Event.CALLER_CONNECTIONS_ENDED, idle=len(ended), crossed=late_requests, cut=len(self.connections))

    def _end_idle_connections(self, allow_partial_head: bool) -> list[CallerConnection]:
        connections = [each for each in self.connections if isinstance(each, CallerConnection)]
        idle = [each for each in connections if each.is_idle(allow_partial_head)]
        for connection in idle:
            connection.end_gracefully()
        return idle

    def pre_shutdown(self) -> None:
        """Do nothing, where aiohttp would have connections drop what arrives on them."""

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close all connections; those that are being closed get ``timeout`` for what is still under way."""
        if self._closing is not None:
            await ends_within(self.wait_closed(), timeout or 0.0)
            self._closing.cancel()
        for connection in self.connections:
            if isinstance(connection, CallerConnection):
                connection.abort()
        await super().shutdown(timeout)
