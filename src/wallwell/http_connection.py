"""HTTP/1.1 connections to back ends, on the parser of aiohttp, with the proofs that forwarding needs.

The session of aiohttp hides what the pipeline must know: whether a request can have reached the back end, whether
a body without length ended cleanly or by a reset, and whether bytes came that answer nothing. Here each exchange
matches its answer by request id, answers of other exchanges are discarded, and a connection on which anything
surplus was seen is not used again.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

from aiohttp.base_protocol import BaseProtocol
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from wallwell.clock import boot_time_s, bounded
from wallwell.events import Event, emit
from wallwell.late_loop import is_done_within
from wallwell.socket_options import end_when_silent

READ_BYTES = 32 * 1024
MAX_HEADER_BYTES = 32 * 1024
DEFAULT_IDLE_S = 4.0
"""How long a connection rests before it is closed, if the back end does not tell."""
IDLE_MARGIN_S = 0.8
"""How much earlier than the back end the idle connection is given up."""


class ConnectFailedError(Exception):
    """No connection was made, so nothing can have reached the back end."""

    def __init__(self, timed_out: bool, detail: str, refused: bool = False) -> None:
        """``refused`` tells that the machine itself said that nothing listens there."""
        super().__init__(detail)
        self.timed_out = timed_out
        self.refused = refused


class ConnectionBrokenError(Exception):
    """The connection ended before the whole answer had come. ``clean`` tells a close from a reset."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail)


class BackendConnection(BaseProtocol):
    """One connection; serves one exchange at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, id_header: str) -> None:
        super().__init__(loop)
        self._id_header = id_header
        self._expected_id: str | None = None
        self._head: asyncio.Future[RawResponseMessage] | None = None
        self._payload: StreamReader | None = None
        self._surplus_parser: HttpResponseParser | None = None
        self._reads_to_end = False
        self._tainted = False
        self._broken = ""
        self.closed = False
        self.fell_silent = False
        """Whether it ended because the other end acknowledged nothing any more."""
        self.idle_since_s = 0.0
        self.max_idle_s = DEFAULT_IDLE_S

    def is_reusable(self, now_s: float) -> bool:
        """Whether a resting connection may carry another exchange."""
        return not (self.closed or self._tainted) and now_s - self.idle_since_s < self.max_idle_s

    # --- exchange --------------------------------------------------------------------------------------

    async def exchange(self, request_id: str, data: bytes, has_body: bool = True) -> RawResponseMessage:
        """Send a request and return the head of the answer with its id; :meth:`body` then yields its body.

        An empty ``request_id`` accepts any answer. Raises :class:`ConnectionBrokenError`.
        """
        if self.transport is None or self.closed:
            raise ConnectionBrokenError("closed before sending")
        self._expected_id = request_id
        self._head = self._loop.create_future()
        self._payload = None
        self._reads_to_end = False
        self._broken = ""
        self._parser = HttpResponseParser(
            self,
            self._loop,
            READ_BYTES,
            payload_exception=ClientPayloadError,
            response_with_body=has_body,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        self.transport.write(data)
        return await self._head

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the answer's body as it comes, all that arrived before a break too.

        Raises :class:`ConnectionBrokenError` if it ends early.
        """
        payload = self._payload
        assert payload is not None
        try:
            while data := await payload.readany():
                yield data
        except ClientPayloadError as error:
            raise ConnectionBrokenError(str(error)) from error
        if self._broken:
            raise ConnectionBrokenError(self._broken)

    def finish_exchange(self) -> bool:
        """End the exchange; returns whether the connection may be used again."""
        payload = self._payload
        ended = payload is not None and payload.is_eof() and payload.exception() is None and not self._broken
        self._head = None
        self._payload = None
        self._expected_id = None
        self._parser = None
        if not ended or self._tainted or self._reads_to_end:
            self.close()
            return False
        self.idle_since_s = boot_time_s()
        return not self.closed

    def close(self) -> None:
        """Close at once; a back end then drops what it was doing for this connection."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    # --- asyncio ---------------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answer; bytes outside an exchange end the connection."""
        if self._parser is None:
            if self._head is None and data:
                emit(Event.ANSWER_DISCARDED, reason="bytes outside an exchange")
                self.close()
            return
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except Exception as error:
            self._fail(ConnectionBrokenError(f"no answer in the protocol: {type(error).__name__}"))
            self.close()
            return
        if upgraded:
            self._tainted = True
        for message, payload in messages:
            self._on_message(message, payload)

    def _on_message(self, message: RawResponseMessage, payload: StreamReader) -> None:
        if 100 <= message.code < 200:
            return
        answer_id = message.headers.get(self._id_header)
        if self._head is None or self._head.done() or (self._expected_id and answer_id != self._expected_id):
            self._tainted = True
            emit(Event.ANSWER_DISCARDED, reason="answer of another exchange")
            return
        if message.should_close:
            self._tainted = True
        length_known = message.chunked or "Content-Length" in message.headers
        self._reads_to_end = not length_known and payload is not EMPTY_PAYLOAD
        self._learn_idle_time(message.headers.get("Keep-Alive", ""))
        self._payload = payload
        self._head.set_result(message)

    def _learn_idle_time(self, keep_alive: str) -> None:
        for parameter in keep_alive.split(","):
            name, _, value = parameter.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                self.max_idle_s = max(0.0, int(value) - IDLE_MARGIN_S)

    def connection_lost(self, exc: BaseException | None) -> None:
        """The connection ended: a body without length is complete only after a clean close."""
        self.closed = True
        self.fell_silent = isinstance(exc, TimeoutError)
        detail = f"connection lost: {type(exc).__name__ if exc else 'closed'}"
        if self._reads_to_end and exc is None and self._payload is not None:
            self._payload.feed_eof()
        self._fail(ConnectionBrokenError(detail))
        super().connection_lost(exc)

    def _fail(self, error: ConnectionBrokenError) -> None:
        if self._head is not None and not self._head.done():
            self._head.set_exception(error)
        payload = self._payload
        if payload is not None and not payload.is_eof() and payload.exception() is None:
            # Not as an exception of the reader, which would hide what has arrived and was not read yet.
            self._broken = str(error)
            payload.feed_eof()


async def _abandon(connecting: asyncio.Future[tuple[asyncio.Transport, BackendConnection]]) -> None:
    """End what is left of the making of a connection that nobody waits for any more."""
    if connecting.done():
        return
    connecting.cancel()
    (result,) = await asyncio.gather(connecting, return_exceptions=True)
    if not isinstance(result, BaseException):
        result[0].abort()


class ConnectionPool:
    """Connections to back ends by address; the most recently used one first."""

    def __init__(self, id_header: str, connect_timeout_s: float, user_timeout_s: float, max_idle: int = 8) -> None:
        self._id_header = id_header
        self._connect_timeout_s = connect_timeout_s
        self._user_timeout_s = user_timeout_s
        self._max_idle = max_idle
        self._idle: dict[str, list[BackendConnection]] = {}

    async def acquire(self, address: str, reusable: bool = True) -> BackendConnection:
        """Return a connection. Raises :class:`ConnectFailedError`."""
        now_s = boot_time_s()
        idle = self._idle.get(address, [])
        while reusable and idle:
            connection = idle.pop()
            if connection.is_reusable(now_s):
                return connection
            connection.close()
        return await self._connect(address)

    async def open_resting(self, address: str, timeout_s: float) -> None:
        """Make a connection that the next exchange uses. Raises :class:`ConnectFailedError`."""
        connection = await self._connect(address, timeout_s)
        connection.idle_since_s = boot_time_s()
        self._keep(address, connection)

    def has_resting(self, address: str) -> bool:
        """Whether a connection to an address rests here that has not ended."""
        now_s = boot_time_s()
        return any(connection.is_reusable(now_s) for connection in self._idle.get(address, ()))

    async def _connect(self, address: str, timeout_s: float | None = None) -> BackendConnection:
        timeout_s = self._connect_timeout_s if timeout_s is None else timeout_s
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        factory: Callable[[], BackendConnection] = lambda: BackendConnection(loop, self._id_header)  # noqa: E731
        connecting = asyncio.ensure_future(loop.create_connection(factory, host, int(port)))
        try:
            if not await is_done_within(connecting, timeout_s):
                raise ConnectFailedError(True, f"no connection in {timeout_s} s")
            _, connection = await connecting
        except TimeoutError as error:
            raise ConnectFailedError(True, "no connection in the system's time") from error
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise ConnectFailedError(False, type(error).__name__, refused) from error
        finally:
            await _abandon(connecting)
        end_when_silent(connection.transport, self._user_timeout_s)
        return connection

    async def fetch(self, address: str, request: bytes, timeout_s: float) -> tuple[int, bytes]:
        """Make one call that any answer on its connection answers; return status and body.

        Raises :class:`ConnectFailedError`, :class:`ConnectionBrokenError` or TimeoutError.
        """
        try:
            async with bounded(timeout_s):
                connection = await self.acquire(address)
                try:
                    message = await connection.exchange("", request)
                    return message.code, b"".join([chunk async for chunk in connection.body()])
                finally:
                    self.release(address, connection)
        except TimeoutError:
            # Connections can fall silent while new ones work. Those that rest here may have done so too, and each
            # would cost the next call the whole time.
            self.forget(address)
            raise

    def release(self, address: str, connection: BackendConnection) -> None:
        """Take a connection back after an exchange."""
        if connection.finish_exchange():
            self._keep(address, connection)
        elif connection.fell_silent:
            # So may have those that rest here, and a request that is lost on one of them may not be repeatable.
            self.forget(address)

    def _keep(self, address: str, connection: BackendConnection) -> None:
        idle = self._idle.setdefault(address, [])
        idle.append(connection)
        if len(idle) > self._max_idle:
            idle.pop(0).close()

    def forget(self, address: str) -> None:
        """Close the idle connections to an address that is no longer used."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def sweep(self, now_s: float) -> None:
        """Close connections that have rested too long."""
        for address, idle in list(self._idle.items()):
            kept = [connection for connection in idle if connection.is_reusable(now_s)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.forget(address)
