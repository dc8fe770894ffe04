"""Loopback links that can be harmed: connections are taken at one address and passed on to another."""

from __future__ import annotations

import asyncio
import socket
import struct

from wallwell.cluster.peer_link import PeerServer
from wallwell.soak.control import AimLink, Announcement, Done, HarmLink, LinkAddress, OpenLink, announce

PIECE_BYTES = 65536
QUEUE_PIECES = 64
"""Pieces that wait in one direction of a connection; beyond that its sender is held back."""
CONNECT_TIMEOUT_S = 1.0
LOOK_AGAIN_S = 0.01
"""How often a direction that is held back looks whether it may go on."""


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset. Without the option the system ends it as if all had been said."""
    raw = writer.get_extra_info("socket")
    if raw is not None and not writer.transport.is_closing():
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Connection:
    """One connection through a link."""

    def __init__(self, link: Link, near: asyncio.StreamWriter, far: asyncio.StreamWriter) -> None:
        self._link = link
        self._writers = (near, far)
        self.silent = False

    def reset(self) -> None:
        """End both sides with a reset."""
        for writer in self._writers:
            reset(writer)

    async def carry(self, near: asyncio.StreamReader, far: asyncio.StreamReader) -> None:
        """Carry both ways until both have ended; a reset of one side resets the other."""
        near_writer, far_writer = self._writers
        try:
            async with asyncio.TaskGroup() as directions:
                directions.create_task(self._carry(near, far_writer, forth=True))
                directions.create_task(self._carry(far, near_writer, forth=False))
        except* OSError:
            self.reset()
        for writer in self._writers:
            writer.close()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, forth: bool) -> None:
        waiting: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUE_PIECES)
        async with asyncio.TaskGroup() as ends:
            ends.create_task(self._take(reader, waiting, forth))
            ends.create_task(self._hand_out(waiting, writer, forth))

    async def _take(
        self, reader: asyncio.StreamReader, waiting: asyncio.Queue[tuple[float, bytes]], forth: bool
    ) -> None:
        while data := await reader.read(PIECE_BYTES):
            await waiting.put((self._link.due_s(len(data), forth), data))
        await waiting.put((self._link.due_s(0, forth), b""))

    async def _hand_out(
        self, waiting: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter, forth: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, data = await waiting.get()
            await asyncio.sleep(due_s - loop.time())
            while self.silent or self._link.holds(forth):
                await asyncio.sleep(LOOK_AGAIN_S)
            if not data:
                writer.write_eof()
                return
            writer.write(data)
            await writer.drain()


class Link:
    """One link: where it is entered, where it leads, and the harm it does."""

    def __init__(self, name: str, host: str) -> None:
        self.name = name
        self.harm = HarmLink(name)
        self._host = host
        self._port = 0
        self._target = ""
        self._server: asyncio.Server | None = None
        self._connections: set[Connection] = set()
        self._free_from_s = {True: 0.0, False: 0.0}

    async def open(self) -> str:
        """Listen; returns where the link is entered."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        return f"{self._host}:{self._port}"

    async def aim(self, target: str) -> None:
        """Lead to ``target`` from now on; without one, connections are refused."""
        self._target = target
        if not target and self._server is not None:
            self._server.close()
            self._server = None
            self._reset_all()
        elif target and self._server is None:
            await self.open()

    def apply(self, harm: HarmLink) -> None:
        """Do this harm from now on."""
        self.harm = harm
        if harm.reset:
            self._reset_all()
        if harm.silence:
            for connection in self._connections:
                connection.silent = True

    def holds(self, forth: bool) -> bool:
        """Whether nothing passes this way now."""
        return self.harm.hold_forth if forth else self.harm.hold_back

    def due_s(self, size: int, forth: bool) -> float:
        """Return when a piece that arrives now is handed out, by delay and width."""
        now_s = asyncio.get_running_loop().time()
        begin_s = max(now_s, self._free_from_s[forth])
        takes_s = size / self.harm.bytes_per_s if self.harm.bytes_per_s else 0.0
        self._free_from_s[forth] = begin_s + takes_s
        return begin_s + takes_s + self.harm.delay_s

    def _reset_all(self) -> None:
        for connection in list(self._connections):
            connection.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.harm.reset:
            reset(writer)
            return
        host, _, port = self._target.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except (OSError, ValueError, TimeoutError):
            reset(writer)  # Nobody is there: the caller sees its connection end.
            return
        connection = Connection(self, writer, far_writer)
        self._connections.add(connection)
        try:
            await connection.carry(reader, far_reader)
        except asyncio.CancelledError:
            pass  # The process ends; asyncio would log a cancelled task as an error.
        finally:
            self._connections.discard(connection)


class ProxyProcess:
    """All links of a run."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}
        self._control = PeerServer({OpenLink: self._open, AimLink: self._aim, HarmLink: self._harm})

    async def start(self) -> None:
        """Take what the run tells."""
        await self._control.start("127.0.0.1", 0)
        announce(Announcement((), self._control.address))

    async def _open(self, request: OpenLink) -> LinkAddress:
        link = self._links[request.link] = Link(request.link, request.host)
        return LinkAddress(await link.open())

    async def _aim(self, request: AimLink) -> Done:
        await self._links[request.link].aim(request.target)
        return Done()

    async def _harm(self, request: HarmLink) -> Done:
        self._links[request.link].apply(request)
        return Done()
