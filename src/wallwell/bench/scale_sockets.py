"""The part of the scale run that uses real sockets: hollow nodes sharing processes, beside real routers."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import Callable

import msgspec

from wallwell.bench.fleet import CLUSTER_KEY, HOST, OPERATOR_TOKEN, EmulatedBackend
from wallwell.bench.hollow import LETTER_SIZE, FleetSize, HollowLoad, scaled
from wallwell.bench.scale_memory import REGION_NODES
from wallwell.bench.scale_results import Cost
from wallwell.cluster.codec import LineCodec
from wallwell.cluster.node import ClusterNode, NodeIdentity
from wallwell.cluster.transport import ClusterTransport
from wallwell.emulator.platform_server import PlatformServer
from wallwell.gateway.router_node import RouterNode
from wallwell.settings import ClusterSettings, Listener, NodeSettings, PlatformAddresses

REGION = "scale"
ZONE = "zone-00"
REAL_ROUTERS = 4
PROCESSES = 4
_BUDGET_BYTES = 17_000


class HollowOrder(msgspec.Struct, frozen=True):
    """What one process of hollow nodes is told on its standard input."""

    first: int
    count: int
    seeds: tuple[str, ...]
    settle_s: float
    measure_s: float


class HollowReport(msgspec.Struct, frozen=True):
    """What it answers: totals over its nodes during the measurement, and how many members they knew."""

    nodes: int
    sent_bytes: int
    received_bytes: int
    event_bytes: int
    sent_messages: int
    received_messages: int
    processor_s: float
    highest_sent_bytes: int
    highest_received_bytes: int
    fewest_members: int
    dropped_messages: int


class _HollowProcessNode:
    def __init__(self, number: int, seeds: tuple[str, ...], size: FleetSize) -> None:
        self._number = number
        self._seeds = seeds
        self._size = size
        self.transport = ClusterTransport(LineCodec(CLUSTER_KEY), Listener(HOST, 0), _BUDGET_BYTES)

    async def start(self) -> None:
        address = await self.transport.bind()
        name = f"hollow-{self._number:03d}"
        identity = NodeIdentity(name, ZONE, REGION, address, int(time.time() * 1000))
        self.node = ClusterNode(identity, random.Random(self._number), self._seeds)
        self.load = HollowLoad(self.node, self._size, random.Random(f"load/{self._number}"))
        self.transport.run(self.node)
        self.transport.perform(self.node.membership.join(0))

    async def run_load(self) -> None:
        while True:
            self.transport.perform(self.load.tick(time.monotonic()))
            await asyncio.sleep(0.1)


async def run_hollow_process(order: HollowOrder) -> HollowReport:
    """Run hollow nodes and measure them."""
    size = scaled(LETTER_SIZE, REGION_NODES, 1)
    nodes = [_HollowProcessNode(order.first + number, order.seeds, size) for number in range(order.count)]
    for each in nodes:
        await each.start()
    loads = [asyncio.create_task(each.run_load()) for each in nodes]
    await asyncio.sleep(order.settle_s)
    before = [_counters(each) for each in nodes]
    started_s = time.process_time()
    made_up_s = sum(each.load.overhead_s for each in nodes)
    await asyncio.sleep(order.measure_s)
    processor_s = time.process_time() - started_s - (sum(each.load.overhead_s for each in nodes) - made_up_s)
    spent = [
        tuple(after - earlier for after, earlier in zip(_counters(each), counted, strict=True))
        for each, counted in zip(nodes, before, strict=True)
    ]
    for task in loads:
        task.cancel()
    for each in nodes:
        await each.transport.close()
    return HollowReport(
        nodes=len(nodes),
        sent_bytes=sum(row[0] for row in spent),
        received_bytes=sum(row[1] + row[2] for row in spent),
        event_bytes=sum(row[2] for row in spent),
        sent_messages=sum(row[3] for row in spent),
        received_messages=sum(row[4] for row in spent),
        processor_s=processor_s,
        highest_sent_bytes=max(row[0] for row in spent),
        highest_received_bytes=max(row[1] + row[2] for row in spent),
        fewest_members=min(len(each.node.membership.alive()) for each in nodes),
        dropped_messages=sum(each.transport.traffic.dropped_messages for each in nodes),
    )


def _counters(each: _HollowProcessNode) -> tuple[int, int, int, int, int]:
    traffic = each.transport.traffic
    return (
        traffic.sent_bytes,
        traffic.received_bytes,
        each.load.event_bytes,
        traffic.sent_messages,
        traffic.received_messages,
    )


async def measure_sockets(quick: bool, progress: Callable[[str], None]) -> Cost:
    """Run one region of the letter's size over loopback sockets; returns the hollow nodes' cost."""
    progress(f"{REGION_NODES} nodes over sockets: {REAL_ROUTERS} real routers, the others hollow")
    platform = EmulatedBackend(PlatformServer())
    await platform.start()
    routers: list[RouterNode] = []
    try:
        for number in range(REAL_ROUTERS):
            seeds = tuple(router.transport.address for router in routers)
            router = RouterNode(_router_settings(number, seeds, platform.address), seed=number)
            await router.start()
            routers.append(router)
        seeds = tuple(router.transport.address for router in routers)
        seconds = 15.0 if quick else 60.0
        hollow = REGION_NODES - REAL_ROUTERS
        share = hollow // PROCESSES
        orders = [HollowOrder(share * n, share, seeds, 25.0, seconds) for n in range(PROCESSES)]
        reports = await asyncio.gather(*(_run_process(order) for order in orders))
    finally:
        await asyncio.gather(*(router.close() for router in routers))
        await platform.stop()
    return _cost(list(reports), seconds)


def _router_settings(number: int, seeds: tuple[str, ...], platform: str) -> NodeSettings:
    return NodeSettings(
        node=f"router-{number}",
        zone=ZONE,
        region=REGION,
        operator_token=OPERATOR_TOKEN,
        cluster=ClusterSettings(key=CLUSTER_KEY, seeds=seeds),
        platform=PlatformAddresses(table=f"http://{platform}"),
    )


async def _run_process(order: HollowOrder) -> HollowReport:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "wallwell.bench.scale_sockets",
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    try:
        async with asyncio.timeout(order.settle_s + order.measure_s + 60.0):
            answer, _ = await process.communicate(msgspec.json.encode(order))
    finally:
        if process.returncode is None:
            process.kill()
    return msgspec.json.decode(answer, type=HollowReport)


def _cost(reports: list[HollowReport], seconds: float) -> Cost:
    nodes = sum(report.nodes for report in reports)
    scale = nodes * seconds
    return Cost(
        nodes=REGION_NODES,
        regions=1,
        workers=round(nodes * LETTER_SIZE.workers_per_node),
        seconds=seconds,
        sent_bytes=sum(report.sent_bytes for report in reports) / scale,
        received_bytes=sum(report.received_bytes for report in reports) / scale,
        event_bytes=sum(report.event_bytes for report in reports) / scale,
        sent_messages=sum(report.sent_messages for report in reports) / scale,
        received_messages=sum(report.received_messages for report in reports) / scale,
        processor_share=sum(report.processor_s for report in reports) / scale,
        highest_sent_bytes=max(report.highest_sent_bytes for report in reports) / seconds,
        highest_received_bytes=max(report.highest_received_bytes for report in reports) / seconds,
        # Nodes of one process cannot be told apart by the system's accounting: the highest mean of a process.
        highest_processor_share=max(report.processor_s / report.nodes for report in reports) / seconds,
    )


def main() -> None:
    """Run one process of hollow nodes: an order on standard input, a report on standard output."""
    order = msgspec.json.decode(sys.stdin.buffer.read(), type=HollowOrder)
    report = asyncio.run(run_hollow_process(order))
    sys.stdout.buffer.write(msgspec.json.encode(report))


if __name__ == "__main__":
    main()
