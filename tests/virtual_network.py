"""A seeded in-memory network that drives cluster nodes in virtual time.

Messages are encoded and decoded by the real codec, so byte counts are the same as on a real network.
Faults: loss, duplication, delay, partitions, pauses and restarts.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wallwell.standalone.cluster.codec import LineCodec
from wallwell.standalone.cluster.messages import Action, FetchConfig, Send
from wallwell.standalone.cluster.node import ClusterNode
from wallwell.standalone.cluster.transport import ConfigDeltaRequest

TICK_INTERVAL_S = 0.1
EPOCH_MS = 1_700_000_000_000
_CODEC = LineCodec("virtual-network-key")


@dataclass
class NodeCost:
    """Network traffic of one node."""

    sent_bytes: int = 0
    received_messages: int = 0


@dataclass
class LinkFaults:
    """Probabilities of loss and duplication, and bounds of the delay, of each datagram."""

    loss: float = 0.0
    duplication: float = 0.0
    min_delay_s: float = 0.0005
    max_delay_s: float = 0.002


@dataclass
class _Host:
    node: ClusterNode
    cost: NodeCost = field(default_factory=NodeCost)
    paused: bool = False
    alive: bool = True
    queued_datagrams: list[tuple[str, bytes]] = field(default_factory=list)


class VirtualNetwork:
    """A simulated network: nodes by address, a queue of scheduled events and a clock."""

    def __init__(self, seed: int, faults: LinkFaults | None = None) -> None:
        self.rng = random.Random(seed)
        self.faults = faults or LinkFaults()
        self.now_s = 0.0
        self.hosts: dict[str, _Host] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._partition: dict[str, int] = {}

    # --- nodes -----------------------------------------------------------------------------------------

    def add(self, node: ClusterNode) -> None:
        """Start a node, with its first tick at a random time within ``TICK_INTERVAL_S``."""
        address = node.identity.address
        self.hosts[address] = host = _Host(node)
        self._perform(address, node.membership.join(node.config.head))
        self.schedule(self.rng.uniform(0, TICK_INTERVAL_S), lambda: self._tick(address, host))

    def kill(self, address: str) -> None:
        """Stop a node without notifying its peers."""
        self.hosts.pop(address).alive = False

    def pause(self, address: str, paused: bool) -> None:
        """Pause or resume a node; datagrams that arrive during a pause are queued and delivered on resume."""
        host = self.hosts[address]
        host.paused = paused
        if not paused:
            queued_datagrams, host.queued_datagrams = host.queued_datagrams, []
            for sender, data in queued_datagrams:
                self._receive(address, sender, data)

    def partition(self, groups: Iterable[Iterable[str]]) -> None:
        """Partition the network into groups of addresses; without groups, end the partition."""
        self._partition = {address: number for number, group in enumerate(groups) for address in group}

    def nodes(self) -> list[ClusterNode]:
        """Return all nodes that have not been killed."""
        return [host.node for host in self.hosts.values()]

    # --- time ------------------------------------------------------------------------------------------

    def schedule(self, delay_s: float, work: Callable[[], None]) -> None:
        """Call ``work`` after ``delay_s`` of virtual time."""
        heapq.heappush(self._queue, (self.now_s + delay_s, next(self._order), work))

    def run(self, duration_s: float) -> None:
        """Advance the clock by ``duration_s`` and run all work due until then."""
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, work = heapq.heappop(self._queue)
            work()
        self.now_s = end_s

    def run_until(self, condition: Callable[[], bool], limit_s: float, step_s: float = 0.1) -> float | None:
        """Advance until ``condition`` holds; return the seconds that took, or None after ``limit_s``."""
        start_s = self.now_s
        while not condition():
            if self.now_s - start_s >= limit_s:
                return None
            self.run(step_s)
        return self.now_s - start_s

    def _tick(self, address: str, host: _Host) -> None:
        if not host.alive:
            return
        if not host.paused:
            actions = host.node.tick(self.now_s, EPOCH_MS + int(self.now_s * 1000))
            self._perform(address, actions)
        self.schedule(TICK_INTERVAL_S, lambda: self._tick(address, host))

    # --- messages --------------------------------------------------------------------------------------

    def perform(self, node: ClusterNode, actions: Iterable[Action]) -> None:
        """Carry out actions that a node has returned."""
        self._perform(node.identity.address, actions)

    def _perform(self, address: str, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(address, action)
            else:
                self._fetch(address, action)

    def _send(self, sender: str, action: Send) -> None:
        host = self.hosts.get(sender)
        if host is None:
            return
        data = _CODEC.encode(action.message)
        host.cost.sent_bytes += len(data)
        copies = 2 if self.rng.random() < self.faults.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.faults.loss:
                delay_s = self.rng.uniform(self.faults.min_delay_s, self.faults.max_delay_s)
                self.schedule(delay_s, lambda: self._receive(action.address, sender, data))

    def _reachable(self, first: str, second: str) -> bool:
        return self._partition.get(first, -1) == self._partition.get(second, -1)

    def _receive(self, address: str, sender: str, data: bytes) -> None:
        host = self.hosts.get(address)
        if host is None or not self._reachable(address, sender):
            return
        if host.paused:
            host.queued_datagrams.append((sender, data))
            return
        actions = host.node.handle(_CODEC.decode(data), sender, self.now_s)
        host.cost.received_messages += 1
        self._perform(address, actions)

    def _fetch(self, address: str, action: FetchConfig) -> None:
        """Schedule a configuration fetch over TCP, which either completes or has no effect."""
        delay_s = 3 * self.rng.uniform(self.faults.min_delay_s, self.faults.max_delay_s)
        self.schedule(delay_s, lambda: self._complete_fetch(address, action.address))

    def _complete_fetch(self, address: str, source: str) -> None:
        host, peer = self.hosts.get(address), self.hosts.get(source)
        if host is None or peer is None or host.paused or peer.paused or not self._reachable(address, source):
            return
        request = len(_CODEC.encode(ConfigDeltaRequest(host.node.config.head)))
        delta = peer.node.config.delta_after(host.node.config.head)
        line = _CODEC.encode(delta)
        actions = host.node.advance_config(_CODEC.decode_as(line, type(delta)))
        host.cost.sent_bytes += request
        peer.cost.sent_bytes += len(line)
        self._perform(address, actions)
