"""Requests between nodes: JSON lines over TCP, with one request and one reply at a time per connection.

Some requests get a stream of messages as their reply; each of these uses a connection of its own.

All messages between nodes use these links. Owns the connections, and the set of peers that do not answer, so that
each change is logged once. Callers choose the peer and the time-out. Relies on :mod:`wallwell.socket_options` to
end connections whose peer is silent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeVar

import msgspec

from wallwell.address import Address
from wallwell.clock import boot_time_s, time_limit
from wallwell.cluster.message_decoding import decode_message
from wallwell.cluster.unexpected_errors import UnexpectedErrors
from wallwell.errors import PeerUnavailableError
from wallwell.events import Event, emit
from wallwell.socket_options import accept_pending, enable_keepalive

MAX_LINE_BYTES = 16 * 1024 * 1024
"""Bytes of the longest message, so that a peer that sends no end of line cannot exhaust memory. Large, since all
rows of a table are sent in one message."""
CONNECT_TIMEOUT_S = 0.3
"""Seconds in which a connection must be made: several times the round trip of 40 ms between two regions."""
UNACKNOWLEDGED_TIMEOUT_S = 1.0
"""Seconds without acknowledgements after which a connection ends; requests have shorter or similar time-outs."""
REFUSAL_LOG_INTERVAL_S = 10.0
"""Seconds between two log lines about refused requests: a peer of another version reconnects at once each time."""
FIRST_REQUEST_WAIT_S = 1.0
"""Seconds that peers get, as the server closes, to send the first request on a new connection. Enough for a request
of a few megabytes over a link of 50 Mbit/s."""
MAX_FAILING_PEERS = 1000
"""Failing addresses remembered at most. Nodes are replaced under new addresses; the old ones never answer again."""

Reply = TypeVar("Reply", bound=msgspec.Struct)
Handler = Callable[[Any], Awaitable[msgspec.Struct]]
StreamHandler = Callable[[Any, "ReplyStream"], Awaitable[None]]
"""Handles a request whose reply has several messages. The connection is closed when it returns."""


class PeerMessage(msgspec.Struct, frozen=True, tag=True):
    """Base of requests between nodes; the class name is sent as ``type``."""


class PeerFailureLog:
    """Logs when a peer stops or resumes answering, once per change, since requests are sent 20 times a second."""

    def __init__(self) -> None:
        self._last_failures: dict[str, Event] = {}

    def on_answer(self, address: str) -> None:
        """Record that a peer answered, and log it if its last request failed."""
        if self._last_failures.pop(address, None) is not None:
            emit(Event.PEER_ANSWERS, peer=address)

    def on_failure(self, address: str, request: str, error: Exception) -> None:
        """Record that a peer did not answer or that its reply could not be decoded, and log it if that is new."""
        is_unreadable = isinstance(error, msgspec.MsgspecError | UnicodeError)
        event = Event.PEER_REPLY_UNREADABLE if is_unreadable else Event.PEER_SILENT
        if self._last_failures.get(address) is event:
            return
        self._last_failures[address] = event
        if len(self._last_failures) > MAX_FAILING_PEERS:
            del self._last_failures[next(iter(self._last_failures))]
        emit(event, peer=address, request=request, reason=f"{type(error).__name__}: {error}")


class RequestRefusedError(ValueError):
    """A handler refuses a peer's request because of what it holds."""


class PeerLink:
    """One connection to a peer, opened on the first request."""

    def __init__(self, address: Address, failure_log: PeerFailureLog | None = None) -> None:
        self.address = address
        self._failure_log = failure_log or PeerFailureLog()
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, request: PeerMessage, reply_type: type[Reply], timeout_s: float) -> Reply:
        """Return the peer's reply. Raises :class:`PeerUnavailableError` and closes the connection on failure."""
        try:
            line = await self._round_trip(msgspec.json.encode(request) + b"\n", timeout_s)
            reply = decode_message(msgspec.json.Decoder(reply_type), line)
        except (OSError, EOFError, asyncio.LimitOverrunError, ValueError, msgspec.MsgspecError) as error:
            self.close()
            self._failure_log.on_failure(str(self.address), type(request).__name__, error)
            raise PeerUnavailableError(f"{self.address}: {type(error).__name__}") from error
        except BaseException:
            self.close()
            raise
        self._failure_log.on_answer(str(self.address))
        return reply

    async def _round_trip(self, line: bytes, timeout_s: float) -> bytes:
        if self._streams is None:
            async with time_limit(CONNECT_TIMEOUT_S):
                self._streams = await _connect(self.address)
            enable_keepalive(self._streams[1].transport, UNACKNOWLEDGED_TIMEOUT_S)
        reader, writer = self._streams
        writer.write(line)
        async with time_limit(timeout_s):
            return await reader.readuntil(b"\n")

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


async def _connect(address: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(address.host, address.port, limit=MAX_LINE_BYTES)


class PeerLinks:
    """Links to peers by name; :meth:`keep` closes the links that are no longer needed."""

    def __init__(self) -> None:
        self._links: dict[str, PeerLink] = {}
        self._failure_log = PeerFailureLog()
        """Shared by all links and kept longer than they are: a link that failed is often closed and replaced."""

    def __len__(self) -> int:
        return len(self._links)

    def to(self, name: str, address: Address) -> PeerLink:
        """Return the link to a peer; replace it if the peer's address has changed."""
        link = self._links.get(name)
        if link is None or link.address != address:
            if link is not None:
                link.close()
            link = self._links[name] = PeerLink(address, self._failure_log)
        return link

    def keep(self, names: set[str]) -> None:
        """Close the links to all peers other than ``names``."""
        for name in [name for name in self._links if name not in names]:
            self._links.pop(name).close()


class ReplyStream:
    """The rest of a connection whose request gets several messages as its reply."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    async def send(self, message: msgspec.Struct) -> None:
        """Send one message; waits while the peer reads slowly. Raises OSError if the peer is gone."""
        self._writer.write(msgspec.json.encode(message) + b"\n")
        await self._writer.drain()

    async def wait_disconnected(self) -> None:
        """Return once the peer has closed the connection, or has sent anything more, which it must not."""
        try:
            await self._reader.read(1)
        except OSError:
            pass  # Reset: disconnected too.

    def is_disconnected(self) -> bool:
        """Whether the connection has been closed or reset."""
        return self._reader.at_eof() or self._writer.transport.is_closing()

    def abort(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()


class PeerServer:
    """Serves requests of peers; ``handlers`` and ``stream_handlers`` have one entry per type of request."""

    def __init__(
        self,
        handlers: Mapping[type[PeerMessage], Handler],
        stream_handlers: Mapping[type[PeerMessage], StreamHandler] | None = None,
    ) -> None:
        self._handlers = handlers
        self._stream_handlers = stream_handlers or {}
        self._decoder = msgspec.json.Decoder(_union_of((*handlers, *self._stream_handlers)))
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        """Connections that may be closed between two requests."""
        self._new: set[asyncio.Task[None]] = set()
        """Those of ``_connections`` on which no request has been read yet."""
        self._closing: asyncio.Task[None] | None = None
        self._streams: set[asyncio.Task[None]] = set()
        """Connections whose request is answered by a stream handler."""
        self._unlogged_refusals = 0
        """Requests refused since the last log line about refusals."""
        self._refusal_logged_s = float("-inf")
        self._unexpected_errors = UnexpectedErrors("request of a peer")
        self.address = ""

    async def start(self, host: str, port: int) -> None:
        """Listen on an address. Raises OSError if the address cannot be used."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=MAX_LINE_BYTES)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        self._new.add(task)
        try:
            await self._serve_requests(task, reader, writer)
        except OSError:
            pass  # The peer is gone or unreachable; it logs the failure of its request itself.
        except (ValueError, msgspec.MsgspecError) as error:
            self._on_refusal(writer.get_extra_info("peername"), error)
        except asyncio.CancelledError:
            pass  # Closed below. Not raised again, since asyncio would log a cancelled connection task as an error.
        finally:
            self._connections.discard(task)
            self._new.discard(task)
            self._streams.discard(task)
            writer.transport.abort()

    def _on_refusal(self, peer: Any, error: Exception) -> None:
        """Count a refused request, and log refusals at an interval. The peer's connection is closed."""
        self._unlogged_refusals += 1
        now_s = boot_time_s()
        if now_s - self._refusal_logged_s < REFUSAL_LOG_INTERVAL_S:
            return
        reason = f"{type(error).__name__}: {error}"
        emit(Event.PEER_REQUEST_REFUSED, peer=str(peer), reason=reason, refused=self._unlogged_refusals)
        self._refusal_logged_s = now_s
        self._unlogged_refusals = 0

    async def _serve_requests(
        self, task: asyncio.Task[None], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while line := await reader.readline():
            request = decode_message(self._decoder, line)
            try:
                may_follow = await self._handle(task, request, ReplyStream(reader, writer))
            except (OSError, RequestRefusedError):
                raise
            except Exception as error:
                # A fault of this node: the connection ends, and the peer counts the request as failed.
                self._unexpected_errors.record(type(request).__name__, error)
                return
            if not may_follow or self._closing is not None:
                break
            self._new.discard(task)
        writer.close()
        await writer.wait_closed()  # Sends what is still buffered.

    async def _handle(self, task: asyncio.Task[None], request: PeerMessage, replies: ReplyStream) -> bool:
        """Answer one request; return whether another one may follow on its connection."""
        stream_handler = self._stream_handlers.get(type(request))
        if stream_handler is not None:
            self._begin_stream(task)
            await stream_handler(request, replies)
            return False
        await replies.send(await self._handlers[type(request)](request))
        return True

    def _begin_stream(self, task: asyncio.Task[None]) -> None:
        self._connections.discard(task)
        self._new.discard(task)
        self._streams.add(task)

    def close(self) -> None:
        """Stop listening and close the connections of peers, which then turn to other nodes at once.

        The first request on a new connection is still answered, if it comes soon: if its connection were reset, its
        peer could not tell whether it has run. Replies of stream handlers go on until :meth:`abort_streams`.
        """
        for task in self._connections - self._new:
            task.cancel()
        if self._server is not None and self._closing is None:
            self._closing = asyncio.create_task(self._close(self._server))

    async def _close(self, server: asyncio.Server) -> None:
        """Stop listening, and close new connections once they have had their time."""
        try:
            await accept_pending(server.sockets)
            server.close()
            await asyncio.sleep(FIRST_REQUEST_WAIT_S)
        finally:
            server.close()
            for task in list(self._connections):
                task.cancel()

    def abort_streams(self) -> None:
        """Cancel the stream handlers, and do not wait for what :meth:`close` waits for."""
        if self._closing is not None:
            self._closing.cancel()
        for task in list(self._streams):
            task.cancel()


def _union_of(types: tuple[type[PeerMessage], ...]) -> Any:
    union: Any = types[0]
    for message_type in types[1:]:
        union = union | message_type
    return union
