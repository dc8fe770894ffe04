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
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial

from wallwell.bench.hollow import (
    LETTER_SIZE,
    FleetSize,
    HollowLoad,
    hollow_identity,
    scaled,
    tenant_change,
)
from wallwell.bench.scale_memory import REGION_NODES, measure_memory
from wallwell.bench.scale_results import Cost, Recovery, ScaleResult, Slope, SpreadTime
from wallwell.bench.virtual_network import NodeCost, VirtualNetwork
from wallwell.cluster.messages import Action
from wallwell.cluster.node import ClusterNode

SECONDS_PER_DAY = 86_400
_WARM_UP_S = 25.0


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
        with _collection_paused():
            self.network.run(seconds)
        spent = {address: host.cost.minus(before[address]) for address, host in hosts.items()}
        events = {address: load.event_bytes - events_before[address] for address, load in self.loads.items()}
        return _cost(self.size, seconds, spent, events)


@contextmanager
def _collection_paused() -> Iterator[None]:
    """Keep the garbage collector off: it would walk all nodes of the process on one node's account."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


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
