"""The scale run: what one node spends on control, as slopes measured on a ladder of fleets.

Hollow nodes run the real cluster objects in virtual time with the wire's real bytes; a part of the run puts
hollow nodes behind real sockets. Results go to a JSON file from which ``docs/CAPACITY.md`` is generated.
"""

from __future__ import annotations

import dataclasses
import gc
import platform
import random
import statistics
import time
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import msgspec

from wallwell.bench.hollow import (
    HASH_BITS,
    LETTER_SIZE,
    FleetSize,
    HollowLoad,
    hollow_config,
    hollow_identity,
    scaled,
    tenant_change,
)
from wallwell.bench.virtual_network import NodeCost, VirtualNetwork
from wallwell.cluster.messages import Action, SyncReply
from wallwell.cluster.node import ClusterNode
from wallwell.cluster.shards import EngineReader
from wallwell.config.store import ConfigDelta
from wallwell.routing.blocks import CHECKPOINT_STRIDE
from wallwell.routing.directory import EngineIncarnation

SECONDS_PER_DAY = 86_400
READERS = 17
"""Engines that one node reads at the letter's size."""
REGION_NODES = 68
"""Nodes of one of the letter's regions."""
_WARM_UP_S = 25.0


class Cost(msgspec.Struct, frozen=True):
    """Mean and highest control cost over the nodes of one run, per second of virtual time.

    ``event_bytes`` is the part of ``received_bytes`` that engines' event streams brought.
    """

    nodes: int
    regions: int
    workers: int
    seconds: float
    sent_bytes: float
    received_bytes: float
    event_bytes: float
    sent_messages: float
    received_messages: float
    processor_share: float
    highest_sent_bytes: float
    highest_received_bytes: float
    highest_processor_share: float


class Slope(msgspec.Struct, frozen=True):
    """A line ``base + slope * x`` through measured points, with the largest residual beside it."""

    quantity: str
    per: str
    base: float
    slope: float
    spread: float
    points: tuple[tuple[float, float], ...]


class SpreadTime(msgspec.Struct, frozen=True):
    """Time until a change is in force on every node, over several changes."""

    nodes: int
    regions: int
    changes: int
    p50_s: float
    p99_s: float
    longest_s: float


class MemoryCost(msgspec.Struct, frozen=True):
    """Resident memory one part of a node's control state adds, in bytes."""

    part: str
    amount: str
    resident_bytes: int


class Recovery(msgspec.Struct, frozen=True):
    """A fault of many nodes at once and what it cost the others."""

    fault: str
    seconds_until_settled: float
    highest_bytes_per_s: float


class ScaleResult(msgspec.Struct, frozen=True):
    """Everything the scale run measured."""

    python: str
    machine: str
    quick: bool
    fleet: Cost
    ladder: tuple[Cost, ...]
    slopes: tuple[Slope, ...]
    spread: tuple[SpreadTime, ...]
    memory: tuple[MemoryCost, ...]
    config_apply_s: float
    config_load_s: float
    recoveries: tuple[Recovery, ...]
    sockets: tuple[Cost, ...] = ()


@dataclass
class HollowFleet:
    """A virtual fleet with optional load."""

    size: FleetSize
    seed: int = 1
    loaded: bool = True
    changes_per_s: float = 0.0

    def __post_init__(self) -> None:
        self.network = VirtualNetwork(self.seed)
        self.loads: dict[str, HollowLoad] = {}
        self.network.on_tick = self._on_tick
        identities = [hollow_identity(number, self.size) for number in range(self.size.nodes)]
        self.seeds = tuple(identity.address for identity in identities[: 2 * self.size.zones])
        for identity in identities:
            self.network.add(ClusterNode(identity, random.Random(f"{self.seed}/{identity.node}"), self.seeds))
        self._revision = 0

    def _on_tick(self, node: ClusterNode, now_s: float) -> Iterable[Action]:
        load = self.loads.get(node.identity.address)
        if load is None:
            return ()
        before_s = load.overhead_s
        actions = load.tick(now_s)
        self.network.hosts[node.identity.address].cost.processor_s -= load.overhead_s - before_s
        return actions

    def settle(self, limit_s: float = 120.0) -> float | None:
        """Run until every node knows its region."""
        return self.network.run_until(self.is_settled, limit_s, step_s=1.0)

    def is_settled(self) -> bool:
        """Whether every node's live members are exactly its region's running nodes."""
        by_region: dict[str, list[str]] = {}
        for node in self.network.nodes():
            by_region.setdefault(node.identity.region, []).append(node.identity.node)
        rosters = {region: sorted(names) for region, names in by_region.items()}
        return all(n.membership.alive() == rosters[n.identity.region] for n in self.network.nodes())

    def start_load(self) -> None:
        """Give every node its load and start configuration changes."""
        if self.loaded:
            for host in self.network.hosts.values():
                node = host.node
                self.loads[node.identity.address] = HollowLoad(
                    node, self.size, random.Random(f"load/{node.identity.node}")
                )
        if self.changes_per_s > 0:
            self.network.schedule(1 / self.changes_per_s, self._change)

    def _change(self) -> None:
        self.apply_change()
        self.network.schedule(self.network.rng.expovariate(self.changes_per_s), self._change)

    def apply_change(self) -> int:
        """One node accepts a change; returns its revision."""
        self._revision += 1
        writer = self.network.rng.choice(self.network.nodes())
        # The committing node reads the table first, so it is never behind.
        while writer.config.head < self._revision - 1:
            writer.config.apply(tenant_change(writer.config.head % 50, writer.config.head + 1))
        self.network.perform(writer, writer.advance_config(tenant_change(self._revision % 50, self._revision)))
        return self._revision

    def measure(self, seconds: float) -> Cost:
        """Run for ``seconds`` and return the cost per node and second."""
        hosts = dict(self.network.hosts)
        before = {address: host.cost.copy() for address, host in hosts.items()}
        events_before = {address: load.event_bytes for address, load in self.loads.items()}
        self.network.run(seconds)
        spent = {address: host.cost.minus(before[address]) for address, host in hosts.items()}
        events = {address: load.event_bytes - events_before[address] for address, load in self.loads.items()}
        return _cost(self.size, seconds, spent, events)


def _cost(size: FleetSize, seconds: float, spent: dict[str, NodeCost], events: dict[str, int]) -> Cost:
    received = {address: cost.received_bytes + events.get(address, 0) for address, cost in spent.items()}
    costs = list(spent.values())

    def mean(values: Iterable[float]) -> float:
        return statistics.fmean(values) / seconds

    return Cost(
        nodes=size.nodes,
        regions=size.regions,
        workers=size.workers,
        seconds=seconds,
        sent_bytes=mean(cost.sent_bytes for cost in costs),
        received_bytes=mean(received.values()),
        event_bytes=mean(events.values()) if events else 0.0,
        sent_messages=mean(cost.sent_messages for cost in costs),
        received_messages=mean(cost.received_messages for cost in costs),
        processor_share=mean(cost.processor_s for cost in costs),
        highest_sent_bytes=max(cost.sent_bytes for cost in costs) / seconds,
        highest_received_bytes=max(received.values()) / seconds,
        highest_processor_share=max(cost.processor_s for cost in costs) / seconds,
    )


def fit(quantity: str, per: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Least squares through ``points``."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    if len(set(xs)) < 2:
        return Slope(quantity, per, ys[0], 0.0, 0.0, tuple(points))
    line = statistics.linear_regression(xs, ys)
    spread = max(abs(y - (line.intercept + line.slope * x)) for x, y in points)
    return Slope(quantity, per, line.intercept, line.slope, spread, tuple(points))


def _measured(size: FleetSize, seconds: float, loaded: bool = True, changes_per_s: float = 0.0) -> Cost:
    fleet = HollowFleet(size, loaded=loaded, changes_per_s=changes_per_s)
    fleet.settle()
    fleet.start_load()
    fleet.network.run(_WARM_UP_S if loaded else 5.0)
    return fleet.measure(seconds)


def measure_slopes(quick: bool, progress: Callable[[str], None]) -> tuple[list[Cost], list[Slope]]:
    """Vary one thing at a time: members of a region, requests with their events, configuration changes."""
    seconds = 20.0 if quick else 60.0
    ladder: list[Cost] = []
    members = []
    for nodes in (10, 30, REGION_NODES) if quick else (10, 30, REGION_NODES, 100):
        progress(f"membership alone, {nodes} nodes in one region")
        members.append(_measured(scaled(LETTER_SIZE, nodes, 1), seconds, loaded=False))
    requests = []
    for factor in (0.5, 1.0, 2.0):
        progress(f"30 nodes, {factor:g} times the letter's load a node")
        size = scaled(LETTER_SIZE, 30, 1)
        changed = dataclasses.replace(
            size,
            requests_per_s=size.requests_per_s * factor,
            cache_events_per_s=size.cache_events_per_s * factor,
        )
        requests.append((changed, _measured(changed, seconds)))
    changes = []
    for rate in (0.0, 1.0, 4.0):
        progress(f"30 nodes, {rate:g} configuration changes a second")
        changes.append((rate, _measured(scaled(LETTER_SIZE, 30, 1), seconds, False, rate)))
    ladder.extend(members)
    ladder.extend(cost for _, cost in requests)
    ladder.extend(cost for _, cost in changes)
    slopes = []
    for field, unit in (
        ("sent_bytes", "bytes sent/s"),
        ("received_bytes", "bytes received/s"),
        ("sent_messages", "messages sent/s"),
        ("processor_share", "share of a core"),
    ):
        slopes.append(fit(unit, "member of the region", [(c.nodes, getattr(c, field)) for c in members]))
        per_request = [(size.requests_per_s / size.nodes, getattr(c, field)) for size, c in requests]
        slopes.append(fit(unit, "request/s of the node, with its cache events", per_request))
        slopes.append(fit(unit, "configuration change/s", [(rate, getattr(c, field)) for rate, c in changes]))
    return ladder, slopes


def measure_fleet(quick: bool, progress: Callable[[str], None]) -> tuple[Cost, list[Recovery]]:
    """Run the letter's fleet, then lose and bring back parts of it."""
    size = LETTER_SIZE
    progress(f"{size.nodes} nodes, {size.regions} regions, {size.workers} hollow workers: joining")
    fleet = HollowFleet(size, changes_per_s=size.config_changes_per_day / SECONDS_PER_DAY)
    started = fleet.settle()
    recoveries = [Recovery("all 410 nodes start at once", started or -1.0, _highest_rate(fleet, started or 1.0))]
    fleet.start_load()
    fleet.network.run(8.0 if quick else 30.0)
    progress("the letter's load")
    cost = fleet.measure(10.0 if quick else 60.0)
    fleet.loads.clear()
    recoveries.extend(_measure_recoveries(fleet, progress))
    return cost, recoveries


def _highest_rate(fleet: HollowFleet, seconds: float) -> float:
    return max(h.cost.sent_bytes + h.cost.received_bytes for h in fleet.network.hosts.values()) / seconds


def _measure_recoveries(fleet: HollowFleet, progress: Callable[[str], None]) -> list[Recovery]:
    network = fleet.network
    zone = [n for n in network.nodes() if n.identity.zone == "zone-00"]
    rack = [n for n in network.nodes() if n.identity.zone == "zone-01"][:8]
    recoveries = []
    for fault, lost in (("a rack of 8 nodes is lost", rack), ("a zone is lost", zone)):
        progress(fault)
        for node in lost:
            network.kill(node.identity.address)
            fleet.loads.pop(node.identity.address, None)
        recoveries.append(_recover(fleet, fault))
    progress("the zone comes back at once")
    for node in zone:
        identity = dataclasses.replace(node.identity, incarnation=node.identity.incarnation + 10**9)
        network.add(ClusterNode(identity, random.Random(f"again/{identity.node}"), fleet.seeds))
    recoveries.append(_recover(fleet, "the zone's nodes come back at once"))
    progress("a region cut off for 40 s, then joined again")
    region = [n.identity.address for n in network.nodes() if n.identity.region == "region-0"]
    network.partition([region])
    network.run(30.0)
    fleet.apply_change()
    network.run(10.0)
    network.partition([])
    before = {a: h.cost.copy() for a, h in network.hosts.items()}
    seconds = network.run_until(lambda: _same_head(network), 60.0)
    recoveries.append(_recovery(fleet, "a region cut off is joined again (configuration)", seconds, before))
    return recoveries


def _recover(fleet: HollowFleet, fault: str) -> Recovery:
    before = {a: h.cost.copy() for a, h in fleet.network.hosts.items()}
    return _recovery(fleet, fault, fleet.settle(), before)


def _recovery(fleet: HollowFleet, fault: str, seconds: float | None, before: dict[str, NodeCost]) -> Recovery:
    elapsed = max(1.0, seconds or 120.0)
    rates = []
    for address, cost in before.items():
        spent = fleet.network.hosts[address].cost.minus(cost)
        rates.append((spent.sent_bytes + spent.received_bytes) / elapsed)
    return Recovery(fault, seconds if seconds is not None else -1.0, max(rates))


def _same_head(network: VirtualNetwork) -> bool:
    return len({node.config.head for node in network.nodes()}) == 1


def measure_spread(quick: bool, progress: Callable[[str], None]) -> list[SpreadTime]:
    """Time until a change is in force everywhere."""
    results = []
    for nodes, regions in ((3, 1), (30, 1), (300, 4)):
        progress(f"configuration changes on {nodes} nodes")
        fleet = HollowFleet(scaled(LETTER_SIZE, nodes, regions), loaded=False)
        fleet.settle()
        fleet.network.run(3.0)
        times = []
        for _ in range(15 if quick else 100):
            revision = fleet.apply_change()
            taken = fleet.network.run_until(partial(_in_force, fleet, revision), 30.0, step_s=0.01)
            times.append(taken if taken is not None else 30.0)
            fleet.network.run(fleet.network.rng.uniform(0.2, 1.0))
        times.sort()
        p99 = times[min(len(times) - 1, round(0.99 * len(times)))]
        results.append(SpreadTime(nodes, regions, len(times), statistics.median(times), p99, times[-1]))
    return results


def _in_force(fleet: HollowFleet, revision: int) -> bool:
    return all(node.config.head >= revision for node in fleet.network.nodes())


# --- memory ------------------------------------------------------------------------------------------------


def resident_bytes() -> int:
    """Return this process's resident memory."""
    gc.collect()
    for line in Path("/proc/self/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def measure_memory(progress: Callable[[str], None]) -> tuple[list[MemoryCost], float, float]:
    """Build one node's control state at the letter's size, part by part, above the same process idle.

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
        before = resident_bytes()
        keep.append(build())
        parts.append(MemoryCost(name, amount, max(0, resident_bytes() - before)))

    started_s = time.perf_counter()
    part(
        "configuration",
        f"{size.tenants:,} tenants, {size.workers:,} workers, all regions",
        lambda: node.advance_config(msgspec.json.decode(wire, type=ConfigDelta)),
    )
    load_s = time.perf_counter() - started_s
    head = node.config.head
    apply_times = []
    for number in range(5):
        change = tenant_change(number, head + 1 + number)
        started_s = time.perf_counter()
        node.advance_config(change)
        apply_times.append(time.perf_counter() - started_s)
    members = _members_on_the_wire(size)
    part("membership", f"{REGION_NODES} members with 17 engines each", lambda: _fill_members(node, members))
    blocks = round(size.cached_blocks / size.nodes)
    part("event reader", f"17 engines, {blocks:,} blocks", lambda: _fill_readers(node, blocks))
    part("directory shard", f"checkpoints of {blocks:,} blocks", lambda: _fill_shard(node, blocks))
    part("limits", f"{size.tenants:,} tenants seen", lambda: _fill_limits(node, size))
    return parts, statistics.median(apply_times), load_s


def _members_on_the_wire(size: FleetSize) -> bytes:
    """Return the records of a region's other members as they arrive."""
    region = scaled(size, REGION_NODES, 1)
    replies = []
    for number in range(1, REGION_NODES):
        other = ClusterNode(hollow_identity(number, region), random.Random(number))
        other.set_engines(tuple((f"z00-w{number:02d}{k:02d}", f"{k:08x}") for k in range(17)), ((5, 30),) * 17)
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
        reader.replace_all(1, [(block, 15, block) for block in _hashes(number, checkpoints)])
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


def run_scale(quick: bool, progress: Callable[[str], None]) -> ScaleResult:
    """Measure everything; the parts run side by side in processes of their own.

    Processor time is the thread's own, so that parts do not count each other.
    """
    with ProcessPoolExecutor(max_workers=4) as pool:
        memory_part = pool.submit(measure_memory, progress)
        fleet_part = pool.submit(measure_fleet, quick, progress)
        slopes_part = pool.submit(measure_slopes, quick, progress)
        spread_part = pool.submit(measure_spread, quick, progress)
        memory, apply_s, load_s = memory_part.result()
        fleet, recoveries = fleet_part.result()
        ladder, slopes = slopes_part.result()
        spread = spread_part.result()
    return ScaleResult(
        python=platform.python_version(),
        machine=platform.machine(),
        quick=quick,
        fleet=fleet,
        ladder=tuple(ladder),
        slopes=tuple(slopes),
        spread=tuple(spread),
        memory=tuple(memory),
        config_apply_s=apply_s,
        config_load_s=load_s,
        recoveries=tuple(recoveries),
    )
