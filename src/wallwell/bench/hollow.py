"""Hollow nodes and workers: real cluster objects with a made-up load, no callers and no sockets.

Each node reads the cache events of its engines, looks up prefixes for the requests it would serve, reports
dispatches and admits tenants, at rates given for the whole fleet.
"""

from __future__ import annotations

import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from functools import lru_cache

import msgspec

from wallwell.backends.engine_protocol import CacheLine, LoadLine, hash_text, pack_hashes
from wallwell.cluster.messages import Action, EngineNews, Lookup, Send
from wallwell.cluster.node import ClusterNode, NodeIdentity
from wallwell.cluster.shards import EngineReader, lookup_hashes
from wallwell.config.schema import (
    EnginePoolSpec,
    EngineSpec,
    FileKey,
    Kind,
    ModelSpec,
    PrioritySpec,
    TenantSpec,
    ZoneSpec,
)
from wallwell.config.store import ConfigDelta, FileRevision

STATUS_INTERVAL_S = 1.0
SHARED_CHAINS = 400
CHAIN_BLOCKS = 400
HASH_BITS = 64


@dataclass(frozen=True)
class FleetSize:
    """The size of a fleet and its load."""

    nodes: int
    regions: int
    zones: int
    workers: int
    requests_per_s: float
    cache_events_per_s: float
    cached_blocks: int
    tenants: int
    models: int
    config_changes_per_day: int = 18_000

    @property
    def workers_per_node(self) -> float:
        """Engines each node reads."""
        return self.workers / self.nodes


LETTER_SIZE = FleetSize(
    nodes=410,
    regions=6,
    zones=14,
    workers=7_100,
    requests_per_s=3_300,
    cache_events_per_s=340_000,
    cached_blocks=160_000_000,
    tenants=2_100,
    models=6,
)


def scaled(size: FleetSize, nodes: int, regions: int) -> FleetSize:
    """Return a fleet of ``nodes`` with the same load per node."""
    factor = nodes / size.nodes
    return replace(
        size,
        nodes=nodes,
        regions=regions,
        zones=max(regions, round(size.zones * factor)),
        workers=round(size.workers * factor),
        requests_per_s=size.requests_per_s * factor,
        cache_events_per_s=size.cache_events_per_s * factor,
        cached_blocks=round(size.cached_blocks * factor),
    )


def hollow_identity(number: int, size: FleetSize) -> NodeIdentity:
    """Return the identity of node ``number``; zones and regions are filled evenly."""
    zone = number % size.zones
    region = zone % size.regions
    address = f"10.{number // 62500}.{number // 250 % 250}.{number % 250}:8082"
    return NodeIdentity(
        f"n{number:03d}", f"zone-{zone:02d}", f"region-{region}", address, 1_700_000_000_000 + number
    )


def hollow_config(size: FleetSize, head: int | None = None) -> ConfigDelta:
    """Return a configuration of the fleet's size, as a node fetches it."""
    files: list[FileRevision] = []

    def add(kind: Kind, name: str, spec: msgspec.Struct) -> None:
        text = msgspec.json.encode(spec).decode()
        files.append(FileRevision(FileKey(kind, name), len(files) + 1, f"{len(files):064x}", text, "operator"))

    for zone in range(size.zones):
        add(Kind.ZONE, f"zone-{zone:02d}", ZoneSpec(f"region-{zone % size.regions}"))
    add(Kind.PRIORITY, "interactive", PrioritySpec(0))
    for model in range(size.models):
        add(Kind.MODEL, f"model-{model}", ModelSpec("1"))
    per_zone = -(-size.workers // size.zones)
    for zone in range(size.zones):
        engines = tuple(
            EngineSpec(
                f"z{zone:02d}-w{worker:04d}", f"11.{zone}.{worker // 250}.{worker % 250}:9100", f"zone-{zone:02d}"
            )
            for worker in range(per_zone)
        )
        add(Kind.ENGINE_POOL, f"pool-{zone:02d}", EnginePoolSpec((f"model-{zone % size.models}",), engines))
    for tenant in range(size.tenants):
        add(Kind.TENANT, f"tenant-{tenant:04d}", tenant_spec(tenant, 100))
    return ConfigDelta(0, head or len(files), tuple(files))


def tenant_spec(tenant: int, rate: int) -> TenantSpec:
    """Return the contents of a tenant's file."""
    return TenantSpec((f"{tenant:064x}",), ("model-0",), (), ("interactive",), "interactive", float(rate))


def tenant_change(tenant: int, revision: int) -> ConfigDelta:
    """Return one accepted change of a tenant's limit."""
    text = msgspec.json.encode(tenant_spec(tenant, 100 + revision % 900)).decode()
    key = FileKey(Kind.TENANT, f"tenant-{tenant:04d}")
    entry = FileRevision(key, revision, f"{revision:064x}", text, "operator")
    return ConfigDelta(revision - 1, revision, (entry,))


@dataclass
class _HollowEngine:
    name: str
    sequence: int = 0
    tails: list[list[int]] = field(default_factory=list)


class HollowLoad:
    """Load on one hollow node; call :meth:`tick` with every tick of its node."""

    def __init__(self, node: ClusterNode, size: FleetSize, rng: random.Random) -> None:
        self._node = node
        self._rng = rng
        count = max(1, round(size.workers_per_node))
        prefix = node.identity.node
        self._engines = [_HollowEngine(f"{prefix}-e{number}") for number in range(count)]
        for engine in self._engines:
            node.readers[engine.name] = EngineReader(engine.name, "i1", 0)
        # One request stores its own tail and evicts as much: two events' blocks a request.
        self._requests_per_s = size.requests_per_s / size.nodes
        self._tail_blocks = max(1, round(size.cache_events_per_s / size.requests_per_s / 2))
        self._next_request_s: float | None = None
        self._next_status_s = 0.0
        self._decoder = msgspec.json.Decoder(CacheLine | LoadLine)
        self.event_bytes = 0
        self.event_blocks = 0
        self.lookups = 0
        self._lookup_sequence = 0
        self._shared = _shared_chains()
        self.overhead_s = 0.0
        """Processor time of making up the load, which a real node does not spend."""

    def tick(self, now_s: float) -> list[Action]:
        """Do what the time since the last call asks for."""
        actions: list[Action] = []
        if now_s >= self._next_status_s:
            self._next_status_s = now_s + STATUS_INTERVAL_S
            self._read_statuses()
        if self._next_request_s is None:
            self._next_request_s = now_s + self._rng.uniform(0, 1 / self._requests_per_s)
        while now_s >= self._next_request_s:
            self._next_request_s += self._rng.expovariate(self._requests_per_s)
            actions.extend(self._request())
        return actions

    def _read_statuses(self) -> None:
        for engine in self._engines:
            waiting = self._rng.randrange(4000)
            started_s = time.thread_time()
            line = LoadLine(engine.sequence, 20, 2, ((0, waiting), (2, 300)), 22_000, 0.2)
            encoded = msgspec.json.encode(line)
            self.overhead_s += time.thread_time() - started_s
            self._receive_line(encoded)
        pairs = tuple(EngineNews(engine.name, "i1", (("model-0", "1"),)) for engine in self._engines)
        waiting_ms = tuple((self._rng.randrange(50), self._rng.randrange(250)) for _ in self._engines)
        self._node.set_engines(pairs, waiting_ms)

    def _receive_line(self, line: bytes) -> CacheLine | LoadLine:
        self.event_bytes += len(line) + 1
        decoded: CacheLine | LoadLine = self._decoder.decode(line)
        return decoded

    def _request(self) -> list[Action]:
        """One request: a lookup, a dispatch report, and the engine's two events."""
        started_s = time.thread_time()
        shared = self._rng.choice(self._shared)
        tail = list(_chain(self._rng, self._tail_blocks))
        chain = shared + tail
        engine = self._rng.choice(self._engines)
        self.overhead_s += time.thread_time() - started_s
        actions = self._lookup(chain)
        actions.extend(self._node.report_dispatch(self._lookup_sequence, engine.name, "i1", chain))
        self._event(engine, True, chain[0], len(shared), tail)
        engine.tails.append(tail)
        if len(engine.tails) > 8:
            evicted = engine.tails.pop(0)
            self._event(engine, False, chain[0], len(shared), evicted)
        return actions

    def _event(self, engine: _HollowEngine, stored: bool, root: int, depth: int, blocks: list[int]) -> None:
        engine.sequence += 1
        started_s = time.thread_time()
        encoded = msgspec.json.encode(
            CacheLine(engine.sequence, stored, hash_text(root), depth, pack_hashes(blocks))
        )
        self.overhead_s += time.thread_time() - started_s
        line = self._receive_line(encoded)
        assert isinstance(line, CacheLine)
        self._node.readers[engine.name].on_event(line)
        self.event_blocks += len(blocks)

    def _lookup(self, chain: list[int]) -> list[Action]:
        node = self._node
        self.lookups += 1
        owner = node.owner_of(chain[0])
        sequence = self._lookup_sequence = node.next_lookup()
        node.lookup_replies.pop(sequence - 64, None)
        lookup = Lookup(sequence, pack_hashes(lookup_hashes(chain)))
        if owner == node.identity.node:
            node.shard.on_lookup(lookup, node.identity.address)
            return []
        return [Send(node.membership.address_of(owner), lookup)]


@lru_cache(maxsize=1)
def _shared_chains() -> list[list[int]]:
    """Return the fleet's shared prefixes, the same for every node."""
    return [list(_chain(random.Random(number), CHAIN_BLOCKS)) for number in range(SHARED_CHAINS)]


def _chain(rng: random.Random, blocks: int) -> Iterator[int]:
    for _ in range(blocks):
        yield rng.getrandbits(HASH_BITS) or 1
