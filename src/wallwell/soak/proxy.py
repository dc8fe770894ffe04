"""Loopback links that faults can slow down, cut or reset: connections are accepted at one address and passed on.

One process carries all links of a run. It knows by the kernel's tables which node a connection belongs to, so
that the links of one node can be harmed alone. The kernel acknowledges what a cut link holds back: keep-alives do
not notice it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable, Sequence

from wallwell.cluster.peer_link import PeerServer
from wallwell.http_connection import REFUSAL_CHECKS
from wallwell.soak.control import (
    AimLink,
    Announcement,
    Done,
    HarmLink,
    KnowNode,
    LinkAddress,
    OpenLink,
    announce,
)
from wallwell.soak.schedule import BETWEEN_REGIONS
from wallwell.soak.socket_owner import owner_of

CHUNK_BYTES = 65536
"""Most bytes that are read at once."""
QUEUE_CHUNKS = 64
"""Chunks that wait in one direction of a connection; beyond that its sender is held back."""
CONNECT_TIMEOUT_S = 1.0
"""Seconds for a connection to the far end, which is on this machine."""
RESET_WAIT_S = 0.1
"""Seconds in which a process that is ending resets a connection that it still accepted."""
RESET_WAITS = 2
"""Parts in which it is awaited: a late event loop ends one wait before the task that reads has seen the reset."""
HELD_CHECK_S = 0.01
"""Seconds between two checks whether a direction that is held back may go on."""


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset. Without the option the system ends it as a normal close."""
    raw = writer.get_extra_info("socket")
    if raw is not None and not writer.transport.is_closing():
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Wire:
    """What everything that goes one way shares: a delay and a width."""

    def __init__(self) -> None:
        self.harm = HarmLink("")
        self._free_from_s = {True: 0.0, False: 0.0}

    def due_s(self, at_s: float, size: int, forth: bool) -> float:
        """Return when a chunk that comes at ``at_s`` leaves."""
        begin_s = max(at_s, self._free_from_s[forth])
        takes_s = size / self.harm.bytes_per_s if self.harm.bytes_per_s else 0.0
        self._free_from_s[forth] = begin_s + takes_s
        return begin_s + takes_s + self.harm.delay_s

    def holds(self, forth: bool) -> bool:
        """Whether nothing passes this way now."""
        return self.harm.hold_forth if forth else self.harm.hold_back


async def _has_not_ended() -> bool:
    return False


class Connection:
    """One connection through a link, of a node where that is known, over the wires that it crosses."""

    def __init__(
        self, node: str, wires: Sequence[Wire], near: asyncio.StreamWriter, far: asyncio.StreamWriter
    ) -> None:
        self.node = node
        self._wires = wires
        self._writers = (near, far)
        self.silent = False

    def reset(self) -> None:
        """End both sides with a reset."""
        for writer in self._writers:
            reset(writer)

    async def carry(
        self, near: asyncio.StreamReader, far: asyncio.StreamReader, has_far_ended: Callable[[], Awaitable[bool]]
    ) -> None:
        """Carry both ways until both have ended; a reset of one side resets the other.

        So does a far process that has ended: behind a link, which goes on accepting connections, its close is all
        that is seen of it, though without one its port would refuse connections from then on.
        """
        near_writer, far_writer = self._writers
        try:
            async with asyncio.TaskGroup() as directions:
                directions.create_task(self._carry(near, far_writer, forth=True))
                directions.create_task(self._carry(far, near_writer, forth=False, has_ended=has_far_ended))
        except* OSError:
            self.reset()
        for writer in self._writers:
            writer.close()

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forth: bool,
        has_ended: Callable[[], Awaitable[bool]] = _has_not_ended,
    ) -> None:
        waiting: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUE_CHUNKS)
        async with asyncio.TaskGroup() as ends:
            ends.create_task(self._take(reader, waiting, forth))
            ends.create_task(self._hand_out(waiting, writer, forth, has_ended))

    async def _take(
        self, reader: asyncio.StreamReader, waiting: asyncio.Queue[tuple[float, bytes]], forth: bool
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await waiting.put((self._due_s(len(data), forth), data))
        await waiting.put((self._due_s(0, forth), b""))

    def _due_s(self, size: int, forth: bool) -> float:
        at_s = asyncio.get_running_loop().time()
        for wire in self._wires:
            at_s = wire.due_s(at_s, size, forth)
        return at_s

    async def _hand_out(
        self,
        waiting: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
        forth: bool,
        has_ended: Callable[[], Awaitable[bool]],
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, data = await waiting.get()
            await asyncio.sleep(due_s - loop.time())
            while self.silent or any(wire.holds(forth) for wire in self._wires):
                await asyncio.sleep(HELD_CHECK_S)
            if not data:
                if await has_ended():
                    raise ConnectionResetError("the far process has ended")
                writer.write_eof()
                return
            writer.write(data)
            await writer.drain()


class Nodes:
    """The routers' processes and regions, and what lies between regions."""

    def __init__(self) -> None:
        self.between_regions = Wire()
        self._processes: dict[str, int] = {}
        self._regions: dict[str, int] = {}

    def know(self, node: KnowNode) -> None:
        """A node has started."""
        self._processes[node.node] = node.pid
        self._regions[node.node] = node.region

    def owner_of(self, writer: asyncio.StreamWriter) -> str:
        """Return whose connection this is, empty if it is no node's."""
        peer, own = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        return owner_of(peer, own, self._processes) if peer and own else ""

    def crossed(self, node: str, region: int) -> tuple[Wire, ...]:
        """Return what a connection of a node to a region crosses besides its link."""
        return (self.between_regions,) if self._regions.get(node, region) != region else ()


class Link:
    """One link: where it is entered, where it leads, and the harm it does to all or to single nodes."""

    def __init__(self, request: OpenLink, nodes: Nodes) -> None:
        self._host = request.host
        self._port = request.port
        self._region = request.region
        self._nodes = nodes
        self._target = ""
        self._server: asyncio.Server | None = None
        self._connections: set[Connection] = set()
        self._wires: dict[str, Wire] = {"": Wire()}

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
            self._reset("")
        elif target and self._server is None:
            await self.open()

    def apply(self, harm: HarmLink) -> None:
        """Do this harm from now on."""
        self._wire_of(harm.node).harm = harm
        if harm.reset:
            self._reset(harm.node)
        if harm.silence:
            for connection in self._connections_of(harm.node):
                connection.silent = True

    def _wire_of(self, node: str) -> Wire:
        return self._wires.setdefault(node, Wire())

    def _connections_of(self, node: str) -> list[Connection]:
        return [each for each in self._connections if node in ("", each.node)]

    def _reset(self, node: str) -> None:
        for connection in self._connections_of(node):
            connection.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._pass_on(reader, writer)
        except asyncio.CancelledError:
            pass  # The process ends; asyncio would log a cancelled task as an error.

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        node = self._nodes.owner_of(writer)
        wires = [self._wires[""], self._wire_of(node or "none"), *self._nodes.crossed(node, self._region)]
        if any(wire.harm.reset for wire in wires):
            reset(writer)
            return
        host, _, port = self._target.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except (OSError, ValueError, TimeoutError):
            reset(writer)  # Nobody is there: the caller sees its connection end.
            return
        connection = Connection(node, wires, writer, far_writer)
        self._connections.add(connection)
        try:
            await connection.carry(reader, far_reader, self._refuses)
        finally:
            self._connections.discard(connection)

    async def _refuses(self) -> bool:
        """Whether the process at the far end refuses connections, so that it has ended."""
        host, _, port = self._target.rpartition(":")
        for _ in range(REFUSAL_CHECKS):
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(host, int(port))
            except ConnectionRefusedError:
                return True
            except (OSError, ValueError, TimeoutError):
                return False
            ending = asyncio.ensure_future(_end_of(reader))
            for _ in range(RESET_WAITS):
                await asyncio.wait((ending,), timeout=RESET_WAIT_S / RESET_WAITS)
            is_open = not ending.done()
            ending.cancel()
            writer.close()
            if is_open:
                return False
        return False


async def _end_of(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        await reader.read(1)


class ProxyProcess:
    """All links of a run."""

    def __init__(self) -> None:
        self._nodes = Nodes()
        self._links: dict[str, Link] = {}
        self._control = PeerServer(
            {OpenLink: self._open, AimLink: self._aim, HarmLink: self._harm, KnowNode: self._know}
        )

    async def start(self) -> None:
        """Take messages of the run."""
        await self._control.start("127.0.0.1", 0)
        announce(Announcement((), self._control.address))

    async def _open(self, request: OpenLink) -> LinkAddress:
        link = self._links[request.link] = Link(request, self._nodes)
        return LinkAddress(await link.open())

    async def _aim(self, request: AimLink) -> Done:
        await self._links[request.link].aim(request.target)
        return Done()

    async def _harm(self, request: HarmLink) -> Done:
        if request.link == BETWEEN_REGIONS:
            self._nodes.between_regions.harm = request
        else:
            self._links[request.link].apply(request)
        return Done()

    async def _know(self, request: KnowNode) -> Done:
        self._nodes.know(request)
        return Done()
