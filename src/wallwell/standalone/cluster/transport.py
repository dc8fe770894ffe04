"""Sockets of the cluster protocol: UDP for messages, TCP for configuration, which may exceed a datagram.

Owns the sockets, the send budget and the pending lookups; :class:`.node.ClusterNode` decides what to send.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from wallwell.address import InvalidAddressError, parse_address
from wallwell.background import BackgroundTasks
from wallwell.clock import boot_time_s, time_limit
from wallwell.errors import AddressInUseError, ClusterMessageError, PeerUnavailableError
from wallwell.events import Event, emit
from wallwell.standalone.backends.engine_protocol import pack_hashes
from wallwell.standalone.cluster.codec import LineCodec
from wallwell.standalone.cluster.messages import Action, FetchConfig, Lookup, Send
from wallwell.standalone.cluster.node import ClusterNode
from wallwell.standalone.cluster.peer_addresses import PeerAddresses
from wallwell.standalone.cluster.shards import blocks_of_checkpoints, lookup_hashes
from wallwell.standalone.config.store import ConfigDelta
from wallwell.standalone.routing.directory import EngineIncarnation, HeldPrefix
from wallwell.standalone.routing.token_bucket import TokenBucket
from wallwell.standalone.settings import Listener
from wallwell.standalone.unreadable import UnreadableEntries, shown_key

TICK_INTERVAL_S = 0.1
"""Seconds between two ticks of the cluster node: the resolution of its timers."""
LOOKUP_TIMEOUT_S = 0.005
"""Maximum seconds that a directory lookup adds to a request; zones of a region are a few milliseconds apart."""
CONFIG_FETCH_TIMEOUT_S = 2.0
"""Maximum seconds to transfer a configuration delta over TCP, as client and as server."""
MAX_LINE_BYTES = 64 * 1024 * 1024
"""Maximum line over TCP, which may be a whole configuration: far larger than any known configuration."""
MAX_CONCURRENT_CONFIG_REPLIES = 4
"""Maximum deltas sent at a time, so that nodes starting together do not take processor time from requests."""
SEND_BUDGET_BURST_S = 2.0
"""Burst of the send budget, in seconds of its rate."""
FAULT_LOG_INTERVAL_S = 1.0
"""Least seconds between two log lines on unexpected errors in messages and ticks, which each of them may meet."""


class ConfigDeltaRequest(msgspec.Struct, frozen=True):
    """Asks a peer for the changes of the configuration after a revision."""

    after: int


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, receive: Callable[[bytes, str], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._receive(data, f"{addr[0]}:{addr[1]}")


class LookupResult(NamedTuple):
    """Prefixes of a chain that engines hold, and the lookup's sequence number for the dispatch report."""

    sequence: int
    held_prefixes: list[HeldPrefix]


class TrafficCounter:
    """Bytes and messages of the cluster protocol that a node sent, received and dropped."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_messages = 0
        self.received_messages = 0
        self.dropped_messages = 0
        self.failed_steps = 0
        """Messages, ticks and actions that ended with an unexpected error."""


class ClusterTransport:
    """Runs one :class:`ClusterNode` over sockets."""

    def __init__(self, codec: LineCodec, listener: Listener, budget_bytes_per_s: float) -> None:
        burst = budget_bytes_per_s * SEND_BUDGET_BURST_S
        self._budget = TokenBucket(budget_bytes_per_s, burst, burst, boot_time_s())
        self._codec = codec
        self._listener = listener
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self._tasks = BackgroundTasks()
        self._lookup_waiters: dict[int, asyncio.Future[None]] = {}
        self._fetching: set[str] = set()
        self._peer_addresses = PeerAddresses()
        self._unusable_targets = UnreadableEntries("addresses of peers")
        self._fault_logged_s = float("-inf")
        self._config_reply_slots = asyncio.Semaphore(MAX_CONCURRENT_CONFIG_REPLIES)
        self.traffic = TrafficCounter()
        self.address = ""
        self.node: ClusterNode | None = None

    async def bind(self) -> str:
        """Open both sockets on one port; return ``IP:port``. Raises :class:`AddressInUseError` if it is in use."""
        host = self._listener.host
        try:
            self._server = await asyncio.start_server(self._serve, host, self._listener.port, limit=MAX_LINE_BYTES)
            port = self._server.sockets[0].getsockname()[1]
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                lambda: _DatagramProtocol(self._on_datagram), local_addr=(host, port)
            )
        except (OSError, ValueError) as error:  # ValueError: a host name that cannot be encoded.
            raise AddressInUseError(f"{host}:{self._listener.port}: {error}") from error
        self._datagrams = transport
        self.address = f"{host}:{port}"
        return self.address

    def start(self, node: ClusterNode) -> None:
        """Start to tick the node periodically and to pass received messages to it."""
        self.node = node
        self._tasks.start(self._tick_forever(node))

    async def close(self) -> None:
        """Cancel all tasks and close both sockets."""
        for task in list(self._tasks):
            task.cancel()
        if self._datagrams is not None:
            self._datagrams.close()
        if self._server is not None:
            self._server.close()

    async def _tick_forever(self, node: ClusterNode) -> None:
        while True:
            try:
                self.perform(node.tick(boot_time_s(), int(time.time() * 1000)))
            except Exception as error:  # Without ticks this node would lose its peers, and they this node.
                self._on_fault("cluster tick", "", error)
            await asyncio.sleep(TICK_INTERVAL_S)

    def _on_fault(self, where: str, key: str, error: Exception) -> None:
        """Count an unexpected error in one step, and log it if none was logged just before."""
        self.traffic.failed_steps += 1
        now_s = boot_time_s()
        if now_s - self._fault_logged_s < FAULT_LOG_INTERVAL_S:
            return
        self._fault_logged_s = now_s
        emit(Event.INTERNAL_ERROR, where=where, key=shown_key(key), reason=repr(error))

    # --- datagrams -------------------------------------------------------------------------------------

    def _on_datagram(self, data: bytes, sender: str) -> None:
        if self.node is None:
            return
        self.traffic.received_bytes += len(data)
        self.traffic.received_messages += 1
        try:
            message = self._peer_addresses.check(self._codec.decode(data))
            actions = self.node.handle(message, sender, boot_time_s())
        except ClusterMessageError as error:
            emit(Event.CLUSTER_MESSAGE_REFUSED, sender=sender, code=error.code)
        except Exception as error:  # A fault of ours; messages of others must not be lost with this one.
            self._on_fault("cluster message", sender, error)
        else:
            self.perform(actions)
            self._wake_lookups()

    def _wake_lookups(self) -> None:
        assert self.node is not None
        for sequence, waiter in list(self._lookup_waiters.items()):
            if self.node.directory.lookup_replies.get(sequence) is not None and not waiter.done():
                waiter.set_result(None)

    def perform(self, actions: Sequence[Action]) -> None:
        """Carry out actions that the node returned; one that fails is logged and does not keep others back."""
        for action in actions:
            try:
                self._perform_one(action)
            except Exception as error:
                self._on_fault("cluster action", action.address, error)

    def _perform_one(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(action)
        else:
            self._start_fetch(action)

    def _send(self, action: Send) -> None:
        if self._datagrams is None or self._datagrams.is_closing() or not action.address:
            return
        try:
            target = parse_address(action.address)
        except InvalidAddressError as error:
            self.traffic.dropped_messages += 1
            self._unusable_targets.report(action.address, error)
            return
        data = self._codec.encode(action.message)
        if not self._budget.try_spend(boot_time_s(), len(data)):
            self.traffic.dropped_messages += 1  # Like a lost datagram: the protocol resends what matters.
            return
        self.traffic.sent_bytes += len(data)
        self.traffic.sent_messages += 1
        self._datagrams.sendto(data, (target.host, target.port))

    async def lookup(self, chain: Sequence[int]) -> LookupResult:
        """Look up the holders of a chain at its shard owner; return none if the owner does not reply in time."""
        node = self.node
        if node is None or not chain:
            return LookupResult(0, [])
        owner = node.directory.owner_of(chain[0])
        if owner == node.identity.node:
            return LookupResult(0, node.directory.shard.directory.lookup_chain(chain))
        sequence = node.directory.begin_lookup()
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._lookup_waiters[sequence] = waiter
        lookup = Lookup(sequence, pack_hashes(lookup_hashes(chain)))
        self._send(Send(node.membership.address_of(owner), lookup))
        try:
            async with time_limit(LOOKUP_TIMEOUT_S):
                await waiter
        except TimeoutError:
            # Common on a busy link. Routing then uses this node's recent dispatches; hit-rate metrics show it.
            return LookupResult(sequence, [])
        finally:
            del self._lookup_waiters[sequence]
            reply = node.directory.lookup_replies.pop(sequence, None)
        holders = reply.holders if reply is not None else ()
        held_prefixes = [
            HeldPrefix(EngineIncarnation(engine, incarnation), blocks_of_checkpoints(count))
            for engine, incarnation, count in holders
        ]
        return LookupResult(sequence, held_prefixes)

    # --- configuration over TCP ------------------------------------------------------------------------

    def _start_fetch(self, action: FetchConfig) -> None:
        if action.address in self._fetching:
            return
        self._fetching.add(action.address)
        self._tasks.start(self._fetch_and_apply(action.address))

    async def _fetch_and_apply(self, address: str) -> None:
        assert self.node is not None
        try:
            delta = await self.fetch_config(address, self.node.config.head)
            self.apply_config_delta(delta)
        except PeerUnavailableError as error:
            emit(Event.CONFIG_FETCH_FAILED, peer=address, reason=str(error))
        finally:
            self._fetching.discard(address)

    def apply_config_delta(self, delta: ConfigDelta) -> bool:
        """Apply a delta and notify a few members; return whether this node's revision advanced."""
        assert self.node is not None
        before = self.node.config.head
        self.perform(self.node.advance_config(delta))
        if self.node.config.head == before:
            return False
        emit(Event.CONFIG_ADVANCED, node=self.node.identity.node, revision=self.node.config.head)
        return True

    async def fetch_config(self, address: str, after: int) -> ConfigDelta:
        """Fetch the changes after revision ``after`` from a peer. Raises :class:`PeerUnavailableError`."""
        try:
            peer = parse_address(address)
        except InvalidAddressError as error:
            raise PeerUnavailableError(str(error)) from error
        request = self._codec.encode(ConfigDeltaRequest(after))
        writer: asyncio.StreamWriter | None = None
        try:
            async with time_limit(CONFIG_FETCH_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(peer.host, peer.port, limit=MAX_LINE_BYTES)
                writer.write(request)
                line = await reader.readline()
            delta = self._codec.decode_as(line, ConfigDelta)
        except (TimeoutError, OSError, ClusterMessageError, ValueError) as error:
            raise PeerUnavailableError(f"{address}: {type(error).__name__}") from error
        finally:
            if writer is not None:
                writer.close()
        self.traffic.sent_bytes += len(request)
        self.traffic.received_bytes += len(line)
        return delta

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with time_limit(CONFIG_FETCH_TIMEOUT_S), self._config_reply_slots:
                request = self._codec.decode_as(await reader.readline(), ConfigDeltaRequest)
                if self.node is None:
                    return
                line = self._codec.encode(self.node.config.delta_after(request.after))
                writer.write(line)
                await writer.drain()
                self.traffic.sent_bytes += len(line)
        except (TimeoutError, ClusterMessageError, OSError, ValueError) as error:
            emit(Event.CONFIG_NOT_SERVED, error=type(error).__name__)
        finally:
            writer.close()
