"""Requests between nodes: JSON lines over TCP by address, one request and one reply at a time on a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeVar

import msgspec

from wallwell.clock import bounded
from wallwell.errors import PeerUnavailableError
from wallwell.socket_options import end_when_silent

MAX_LINE_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.3
UNACKNOWLEDGED_S = 1.0
"""Time after which a link ends whose peer acknowledges nothing; requests have shorter or similar time-outs."""

Reply = TypeVar("Reply", bound=msgspec.Struct)
Handler = Callable[[Any], Awaitable[msgspec.Struct]]


class PeerMessage(msgspec.Struct, frozen=True, tag=True):
    """Base of requests between nodes; the class's name travels as ``type``."""


class PeerLink:
    """One connection to a peer, made when it is needed."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, request: PeerMessage, reply_type: type[Reply], timeout_s: float) -> Reply:
        """Return the peer's reply. Raises :class:`PeerUnavailableError`; the connection is then made anew."""
        try:
            line = await self._exchange(msgspec.json.encode(request) + b"\n", timeout_s)
            return msgspec.json.decode(line, type=reply_type)
        except (OSError, TimeoutError, EOFError, ValueError, msgspec.MsgspecError) as error:
            self.close()
            raise PeerUnavailableError(f"{self.address}: {type(error).__name__}") from error
        except BaseException:
            self.close()
            raise

    async def _exchange(self, line: bytes, timeout_s: float) -> bytes:
        if self._streams is None:
            host, _, port = self.address.rpartition(":")
            async with bounded(CONNECT_TIMEOUT_S):
                self._streams = await asyncio.open_connection(host, int(port), limit=MAX_LINE_BYTES)
            end_when_silent(self._streams[1].transport, UNACKNOWLEDGED_S)
        reader, writer = self._streams
        writer.write(line)
        async with bounded(timeout_s):
            return await reader.readuntil(b"\n")

    def close(self) -> None:
        """Close the connection; the next request makes another."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


class PeerLinks:
    """Links by the peer's name; those that are not needed any more are closed."""

    def __init__(self) -> None:
        self._links: dict[str, PeerLink] = {}

    def __len__(self) -> int:
        return len(self._links)

    def to(self, name: str, address: str) -> PeerLink:
        """Return the link to a peer, a new one if its address has changed."""
        link = self._links.get(name)
        if link is None or link.address != address:
            if link is not None:
                link.close()
            link = self._links[name] = PeerLink(address)
        return link

    def keep(self, names: set[str]) -> None:
        """Close the links to all other peers."""
        for name in [name for name in self._links if name not in names]:
            self._links.pop(name).close()


class PeerServer:
    """Answers peers; ``handlers`` has one entry for each type of request."""

    def __init__(self, handlers: Mapping[type[PeerMessage], Handler]) -> None:
        self._handlers = handlers
        self._decoder = msgspec.json.Decoder(_union(tuple(handlers)))
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self.address = ""

    async def start(self, host: str, port: int) -> None:
        """Listen. Raises OSError if the address cannot be used."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=MAX_LINE_BYTES)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._answer_all(reader, writer)
        except (OSError, ValueError, KeyError, msgspec.MsgspecError):
            pass  # The peer is gone or speaks something else; it will connect again.
        except asyncio.CancelledError:
            pass  # Closed below; the task ends here, and asyncio would log a cancelled one as an error.
        finally:
            self._connections.discard(task)
            writer.transport.abort()

    async def _answer_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            request = self._decoder.decode(line)
            reply = await self._handlers[type(request)](request)
            writer.write(msgspec.json.encode(reply) + b"\n")
            await writer.drain()

    def close(self) -> None:
        """Stop listening and end the connections of peers, which then go elsewhere at once."""
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()


def _union(types: tuple[type[PeerMessage], ...]) -> Any:
    union: Any = types[0]
    for each in types[1:]:
        union = union | each
    return union
