"""Tells other nodes at which software version streams have begun, and asks them when a caller resumes one.

While a service has back ends of several versions, a stream may go on only at the one that began it, at whichever
node its caller comes back. The node that begins a stream tells two others, chosen by rendezvous hashing of the
stream, before the caller has the first event; the node at which it is resumed asks them. Nothing is sent while a
service has one version and has had no other for as long as a stream lasts.

Owns the socket and the queries in flight. A datagram that is lost is not sent again, except for queries once.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from wallwell.address import Address
from wallwell.clock import boot_time_s, ends_within
from wallwell.cluster.stream_messages import (
    StreamBegun,
    StreamMessage,
    StreamQuery,
    StreamReply,
    decode_stream_message,
)
from wallwell.cluster.stream_origins import (
    Holder,
    StreamOrigin,
    StreamOrigins,
    holders_to_ask,
    holders_to_tell,
)
from wallwell.cluster.unexpected_errors import UnexpectedErrors
from wallwell.cluster.upstream import NodeRecord
from wallwell.deployment.topology import Topology
from wallwell.events import Event, emit

QUERY_ROUNDS_S = (0.06, 0.14)
"""Seconds to wait for replies after a query is sent first and again: each round covers the trip to another region
and back (40 ms), together they cost a caller little beside its objective."""
MAX_QUERIES = 200
"""Queries in flight at most; a request beyond them is answered as if no other node knew its stream."""
MAX_KEPT_S = 300.0
"""Seconds for which a stream is remembered at most, whatever another node says."""
MAX_VERSIONS_SENT = 16
"""Versions in a reply at most, so that it fits a datagram. Any number above one means the same: unknown."""
TELL_INTERVAL_S = 0.5
"""Interval at which streams are told of that began before their service got a second version. Such a version gets
no requests for longer (``UNANNOUNCED_WAIT_S``)."""
REFUSAL_LOG_INTERVAL_S = 10.0
"""Seconds between two log lines about datagrams that cannot be decoded or sent."""


@dataclass
class StreamFindings:
    """What is known of a stream that a caller resumes."""

    software: str | None
    """The version that began it; None if no node that answered knows."""
    known_by: str = ""
    """Node that knows; empty if none."""
    age_s: float = 0.0
    """Time since that node learned it."""
    versions: set[str] = field(default_factory=set)
    """Versions of the service that this node and those that answered have seen lately."""
    asked: int = 0
    answered: int = 0
    lives: set[str] = field(default_factory=set)
    """Starts of nodes that answered, and so still live."""
    recorded: list[str] | None = None
    """Versions of the service that the store names; None if it was not asked, did not answer or names none."""
    lacks_records: bool = False
    """Whether this node started lately and could not read from the store which versions served before."""


class _Query:
    """One query in flight."""

    def __init__(self, asked: list[Holder]) -> None:
        self.waiting_for = {holder.address: holder.name for holder in asked}
        self.replies: list[tuple[str, StreamReply]] = []
        self.is_settled = asyncio.Event()

    def on_reply(self, address: Address, reply: StreamReply) -> None:
        name = self.waiting_for.pop(address, None)
        if name is None:
            return  # Not asked, or a second reply.
        self.replies.append((name, reply))
        if reply.software is not None or not self.waiting_for:
            self.is_settled.set()


class StreamDirectory:
    """One node's part of the fleet's knowledge of streams."""

    def __init__(
        self,
        node: str,
        topology: Topology,
        members: Callable[[], Mapping[str, NodeRecord]],
        versions: Callable[[str], set[str]],
        record: Callable[[str, str, float], None] | None = None,
        life: str = "",
    ) -> None:
        """``versions`` returns the software versions of a service that this node has seen lately. ``record`` is
        called with each stream of which others are told, its version, and for how long it may be resumed. ``life``
        tells this start of the node from its others."""
        self._node = node
        self._topology = topology
        self._members = members
        self._versions = versions
        self._record = record
        self.life = life
        self._origins = StreamOrigins()
        self._queries: dict[int, _Query] = {}
        self._numbers = itertools.count()
        self._transport: asyncio.DatagramTransport | None = None
        self._unlogged_failures = 0
        self._failure_logged_s = float("-inf")
        self._unexpected_errors = UnexpectedErrors("datagram about streams")

    async def listen(self, host: str, port: int) -> None:
        """Receive datagrams at an address. Raises OSError if it cannot be used."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self), local_addr=(host, port)
        )

    @property
    def is_listening(self) -> bool:
        """Whether other nodes can tell and ask this one."""
        return self._transport is not None

    async def run(self) -> None:
        """Tell of streams that began before their service got a second version, until cancelled."""
        while True:
            await asyncio.sleep(TELL_INTERVAL_S)
            self.tell_of_earlier_streams()

    # --- streams that begin ----------------------------------------------------------------------------

    def on_begun(self, stream: str, service: str, software: str, kept_s: float) -> None:
        """Remember a stream for ``kept_s`` seconds, and tell others if its service has several versions."""
        now_s = boot_time_s()
        origin = StreamOrigin(service, software, now_s, now_s + kept_s)
        self._origins.add(stream, origin)
        if self._has_several_versions(service):
            self._tell(stream, origin, now_s)

    def on_resumed(self, stream: str, software: str, kept_s: float) -> None:
        """Remember at which version a stream goes on that a caller resumed at this node."""
        self._remember(stream, software, kept_s)

    def _remember(self, stream: str, software: str, kept_s: float) -> None:
        """Remember a stream that began at another node."""
        now_s = boot_time_s()
        self._origins.add(stream, StreamOrigin("", software, now_s, now_s + min(kept_s, MAX_KEPT_S)))

    def tell_of_earlier_streams(self) -> None:
        """Tell of this node's streams that began while their service had one version, once it has several."""
        services = [service for service in self._origins.services() if self._has_several_versions(service)]
        if not services:
            return
        now_s = boot_time_s()
        for stream, origin in self._origins.untold(services, now_s):
            self._tell(stream, origin, now_s)

    def _has_several_versions(self, service: str) -> bool:
        return len(self._versions(service)) > 1

    def _tell(self, stream: str, origin: StreamOrigin, now_s: float) -> None:
        origin.is_told = True
        message = StreamBegun(stream, origin.software, origin.expires_s - now_s)
        if self._record is not None:
            self._record(stream, origin.software, message.kept_s)
        for holder in holders_to_tell(stream, self._members(), self._topology, self._node):
            self._send(message, holder.address)

    # --- streams that are resumed ----------------------------------------------------------------------

    async def find(self, stream: str, service: str) -> StreamFindings:
        """Return what the nodes know of a stream, once one knows its version, all have answered or time is up."""
        known = self.find_here(stream)
        if known is not None:
            return known
        findings = StreamFindings(None, versions=self._versions(service))
        await self._add_replies(
            findings, stream, service, holders_to_ask(stream, self._members(), self._topology, self._node)
        )
        return findings

    async def ask_node(self, findings: StreamFindings, name: str, stream: str, service: str) -> None:
        """Add to the findings what one more node knows."""
        member = self._members().get(name)
        if member is not None and member.address is not None:
            await self._add_replies(findings, stream, service, [Holder(name, member.address)])

    async def _add_replies(self, findings: StreamFindings, stream: str, service: str, asked: list[Holder]) -> None:
        findings.asked += len(asked)
        if not asked or self._transport is None or len(self._queries) >= MAX_QUERIES:
            return
        replies = await self._ask(stream, service, asked)
        findings.answered += len(replies)
        for name, reply in replies:
            findings.versions |= set(reply.versions)
            findings.lives.add(reply.life)
            if reply.software is not None:
                findings.software, findings.known_by, findings.age_s = reply.software, name, reply.age_s

    def find_here(self, stream: str) -> StreamFindings | None:
        """Return what this node knows of a stream itself; None if nothing."""
        now_s = boot_time_s()
        origin = self._origins.get(stream, now_s)
        if origin is None:
            return None
        return StreamFindings(origin.software, self._node, now_s - origin.learned_s)

    async def _ask(self, stream: str, service: str, asked: list[Holder]) -> list[tuple[str, StreamReply]]:
        number = next(self._numbers)
        query = self._queries[number] = _Query(asked)
        message = StreamQuery(number, stream, service)
        try:
            for wait_s in QUERY_ROUNDS_S:
                for address in list(query.waiting_for):
                    self._send(message, address)
                if await ends_within(query.is_settled.wait(), wait_s):
                    break
        finally:
            del self._queries[number]
        return query.replies

    # --- datagrams -------------------------------------------------------------------------------------

    def on_datagram(self, data: bytes, address: Address) -> None:
        """Handle a datagram from an address."""
        try:
            message = decode_stream_message(data)
        except (msgspec.MsgspecError, UnicodeError) as error:
            self.on_failure(str(address), error)
            return
        try:
            self._on_message(message, address)
        except Exception as error:
            # A fault of this node; the datagram counts as lost.
            self._unexpected_errors.record(address.host, error)

    def _on_message(self, message: StreamMessage, address: Address) -> None:
        match message:
            case StreamBegun():
                self._remember(message.stream, message.software, message.kept_s)
            case StreamQuery():
                self._answer(message, address)
            case StreamReply():
                query = self._queries.get(message.number)
                if query is not None:
                    query.on_reply(address, message)

    def _answer(self, query: StreamQuery, address: Address) -> None:
        known = self.find_here(query.stream)
        if known is None:
            versions = sorted(self._versions(query.service))[:MAX_VERSIONS_SENT]
            reply = StreamReply(query.number, versions=tuple(versions), life=self.life)
        else:
            reply = StreamReply(query.number, known.software, known.age_s)
        self._send(reply, address)

    def _send(self, message: StreamMessage, address: Address) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._transport.sendto(msgspec.json.encode(message) + b"\n", (address.host, address.port))
        except (OSError, ValueError) as error:
            self.on_failure(str(address), error)

    def on_failure(self, address: str, error: Exception) -> None:
        """Count a datagram that could not be sent or decoded, which counts as lost; logged at an interval."""
        self._unlogged_failures += 1
        now_s = boot_time_s()
        if now_s - self._failure_logged_s < REFUSAL_LOG_INTERVAL_S:
            return
        reason = f"{type(error).__name__}: {error}"
        emit(Event.STREAM_DATAGRAM_LOST, peer=address, reason=reason, lost=self._unlogged_failures)
        self._failure_logged_s = now_s
        self._unlogged_failures = 0

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Passes the events of the socket on to the directory."""

    def __init__(self, directory: StreamDirectory) -> None:
        self._directory = directory

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass on a datagram."""
        self._directory.on_datagram(data, Address(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Record that the system reports a datagram as undeliverable; it does not say which."""
        self._directory.on_failure("", exc)
