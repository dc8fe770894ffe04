"""Memory of one node's control state at the letter's size, part by part, above the same process idle.

Counted by tracemalloc: what the objects allocate, whatever the allocator had already taken from the system.
"""

from __future__ import annotations

import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable

import msgspec

from wallwell.bench.hollow import (
    HASH_BITS,
    LETTER_SIZE,
    FleetSize,
    hollow_config,
    hollow_identity,
    scaled,
    tenant_change,
)
from wallwell.bench.scale_results import MemoryCost
from wallwell.cluster.messages import EngineNews, SyncReply
from wallwell.cluster.node import ClusterNode
from wallwell.cluster.shards import EngineReader
from wallwell.config.store import ConfigDelta
from wallwell.routing.blocks import CHECKPOINT_STRIDE
from wallwell.routing.directory import EngineIncarnation

READERS = 17
"""Engines that one node reads at the letter's size."""
REGION_NODES = 68
"""Nodes of one of the letter's regions."""


def measure_memory(progress: Callable[[str], None]) -> tuple[list[MemoryCost], float, float]:
    """Build one node's control state at the letter's size, part by part, as allocated bytes.

    Also returns the time to apply one configuration change and to load the whole configuration, in seconds.
    """
    progress("memory of one node at the letter's size")
    size = LETTER_SIZE
    identity = hollow_identity(0, size)
    node = ClusterNode(identity, random.Random(1), ())
    delta = hollow_config(size)
    wire = msgspec.json.encode(delta)
    del delta
    parts: list[MemoryCost] = []
    keep: list[object] = [node]

    def part(name: str, amount: str, build: Callable[[], object]) -> None:
        gc.collect()
        before, _ = tracemalloc.get_traced_memory()
        keep.append(build())
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        parts.append(MemoryCost(name, amount, after - before))

    started_s = time.perf_counter()
    ClusterNode(identity, random.Random(1)).advance_config(msgspec.json.decode(wire, type=ConfigDelta))
    load_s = time.perf_counter() - started_s
    tracemalloc.start()
    part(
        "configuration",
        f"{size.tenants:,} tenants, {size.workers:,} workers, all regions",
        lambda: node.advance_config(msgspec.json.decode(wire, type=ConfigDelta)),
    )
    members = _members_on_the_wire(size)
    part("membership", f"{REGION_NODES} members with 17 engines each", lambda: _fill_members(node, members))
    blocks = round(size.cached_blocks / size.nodes)
    part("event reader", f"17 engines, {blocks:,} blocks", lambda: _fill_readers(node, blocks))
    part("directory shard", f"checkpoints of {blocks:,} blocks", lambda: _fill_shard(node, blocks))
    part("limits", f"{size.tenants:,} tenants seen", lambda: _fill_limits(node, size))
    tracemalloc.stop()
    head = node.config.head
    apply_times = []
    for number in range(5):
        change = tenant_change(number, head + 1 + number)
        started_s = time.perf_counter()
        node.advance_config(change)
        apply_times.append(time.perf_counter() - started_s)
    return parts, statistics.median(apply_times), load_s


def _members_on_the_wire(size: FleetSize) -> bytes:
    """Return the records of a region's other members as they arrive."""
    region = scaled(size, REGION_NODES, 1)
    replies = []
    for number in range(1, REGION_NODES):
        other = ClusterNode(hollow_identity(number, region), random.Random(number))
        other.set_engines(
            tuple(EngineNews(f"z00-w{number:02d}{k:02d}", f"{k:08x}", (("model-0", "1"),)) for k in range(17)),
            ((5, 30),) * 17,
        )
        own = other.membership.own
        replies.append(SyncReply(0, other.identity.node, 0, (own.digest(),), (own.record,), (own.load,)))
    return msgspec.json.encode(replies)


def _fill_members(node: ClusterNode, wire: bytes) -> None:
    for reply in msgspec.json.decode(wire, type=list[SyncReply]):
        node.membership.on_sync_reply(reply, "", 0.0, 0)


def _hashes(seed: int, count: int) -> Iterable[int]:
    rng = random.Random(seed)
    return ((rng.getrandbits(HASH_BITS) or 1) for _ in range(count))


def _fill_readers(node: ClusterNode, blocks: int) -> None:
    checkpoints = blocks // READERS // CHECKPOINT_STRIDE
    for number in range(READERS):
        reader = EngineReader(f"e{number}", "i1", 0)
        reader.replace_all(1, [(block, CHECKPOINT_STRIDE - 1, block) for block in _hashes(number, checkpoints)])
        reader.flush(lambda _root: node.identity.node)
        node.readers[reader.engine] = reader


def _fill_shard(node: ClusterNode, blocks: int) -> None:
    holder = EngineIncarnation("e", "i")
    node.shard.directory.add(holder, _hashes(99, blocks // CHECKPOINT_STRIDE), random.Random(7))


def _fill_limits(node: ClusterNode, size: FleetSize) -> None:
    for number in range(size.tenants):
        name = f"tenant-{number:04d}"
        limit = node.tenant_limit(name)
        if limit is not None:
            node.limits.try_start(name, limit, 0.0)
