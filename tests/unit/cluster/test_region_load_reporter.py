"""Regions exchange loads through one pair of nodes, whichever nodes fail, in virtual time."""

import asyncio
from collections import Counter

import msgspec
import pytest

from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.cluster import region_load_reporter as reporter_module
from wallwell.cluster.fleet_load import FleetLoad
from wallwell.cluster.load_messages import (
    MemberLoad,
    RegionLoad,
    RegionReply,
    RegionSum,
    RelaySpentTotals,
    ZoneLoad,
    pack_region_sum,
)
from wallwell.cluster.load_reporter import LoadReporter
from wallwell.cluster.load_reports import REPORT_LIFETIME_S, Load
from wallwell.cluster.peer_health import PeerHealth
from wallwell.cluster.peer_link import CONNECT_TIMEOUT_S, PeerLinks
from wallwell.cluster.region_load_reporter import REGION_INTERVAL_S
from wallwell.cluster.region_traffic import RegionTraffic
from wallwell.cluster.upstream import NodeRecord, UpstreamOrder
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.routes import TenantLimit
from wallwell.deployment.topology import Topology
from wallwell.errors import PeerUnavailableError
from wallwell.events import Event

REGION_OF_ZONE = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "b3": "b"}
ONE_WAY_DELAY_S = {"own": 0.0005, "other": 0.020}
LIMIT = TenantLimit(1e-6, 10_000, counts_tokens=True)


class VirtualLink:
    """A link to a node in this process, with a delay; the link may be cut and the node may be dead."""

    def __init__(self, network, asker, peer):
        self._network, self._asker, self._peer = network, asker, peer

    async def ask(self, request, reply_type, timeout_s):
        network, peer = self._network, self._peer
        crosses_regions = self._asker.region != peer.region
        await asyncio.sleep(ONE_WAY_DELAY_S["other" if crosses_regions else "own"])
        if crosses_regions and (network.is_cut or self._asker in network.cut_off_nodes):
            await asyncio.sleep(min(timeout_s, CONNECT_TIMEOUT_S))
            raise PeerUnavailableError("silent")
        if not peer.alive:
            raise PeerUnavailableError("refused")
        network.messages[type(request).__name__, crosses_regions] += 1
        reply = await peer.handlers[type(request)](request)
        if crosses_regions:
            size = len(msgspec.json.encode(request)) + len(msgspec.json.encode(reply))
            network.cross_region_bytes += size
        await asyncio.sleep(ONE_WAY_DELAY_S["other" if crosses_regions else "own"])
        if not peer.alive or (crosses_regions and network.is_cut):
            raise PeerUnavailableError("lost on the way")
        assert isinstance(reply, reply_type)
        return reply


class VirtualLinks(PeerLinks):
    def __init__(self, network, asker):
        super().__init__()
        self._network, self._asker = network, asker

    def to(self, name, address):
        return VirtualLink(self._network, self._asker, self._network.nodes[name])


class Node:
    def __init__(self, network, name, zone):
        self.name, self.zone, self.region, self.alive = name, zone, REGION_OF_ZONE[zone], True
        self.order = UpstreamOrder(name, zone, network.members, Topology(zone, REGION_OF_ZONE))
        self.load = FleetLoad()
        self.load.backends.upsert(BackendRecord("e", "s", "e:1", zone, 48)).load = 1
        self.load.limits.set_limits({"t": LIMIT})
        self.traffic = RegionTraffic()
        self.reporter = reporter = LoadReporter(name, self.load, self.order, self.traffic)
        reporter._links = VirtualLinks(network, self)
        reporter.region_reporter._links = VirtualLinks(network, self)
        self.handlers = {
            MemberLoad: reporter.on_member_load,
            ZoneLoad: reporter.on_zone_load,
            RegionLoad: reporter.region_reporter.on_region_load,
        }
        self.tasks = [asyncio.create_task(each()) for each in (reporter.run, reporter.region_reporter.run)]

    @property
    def peers_load(self):
        return self.load.backends.get("e").peers_load

    def kill(self):
        self.alive = False
        for task in self.tasks:
            task.cancel()


class Network:
    def __init__(self, per_zone=2):
        names = [(f"{zone}-n{index}", zone) for zone in REGION_OF_ZONE for index in range(per_zone)]
        self.members = {name: NodeRecord(zone, "10.0.0.1:1") for name, zone in names}
        self.is_cut = False
        self.cut_off_nodes = set()
        """Nodes that reach no node of the other region, but all nodes of their own."""
        self.cross_region_bytes = 0
        self.messages = Counter()
        self.nodes = {}
        for name, zone in names:
            self.nodes[name] = Node(self, name, zone)

    def live_nodes(self, region):
        return [node for node in self.nodes.values() if node.region == region and node.alive]

    def delegates(self):
        return [
            node
            for node in self.live_nodes("a")
            if node.reporter._own_region_sum() and node.reporter.region_reporter.is_delegate_to("b", now())
        ]

    def relays_of(self, region):
        names = [name for name, _ in self.live_nodes(region)[0].order.delegates_of(region)]
        return [self.nodes[name] for name in names[:3]]

    def fail(self, node):
        """Kill a node and pause it at its region's nodes, as they do when it no longer relays rows."""
        node.kill()
        for each in self.live_nodes(node.region):
            each.order.health._by_name[node.name] = PeerHealth(1, float("inf"))

    async def time_until(self, holds, limit_s=5.0):
        started_s = now()
        while not holds():
            assert now() - started_s < limit_s
            await asyncio.sleep(0.01)
        return now() - started_s

    def all_nodes_know(self, total):
        return all(node.peers_load == total - 1 for node in self.nodes.values() if node.alive)


def now():
    return boot_time_s()


def run(scenario, **options):
    async def work():
        network = Network(**options)
        try:
            return await scenario(network)
        finally:
            for node in network.nodes.values():
                node.kill()

    return run_virtual(work())


def test_every_node_knows_the_load_of_both_regions():
    async def scenario(network):
        return await network.time_until(lambda: network.all_nodes_know(12))

    assert run(scenario) < 1.2


def test_one_pair_of_nodes_exchanges_over_the_link():
    async def scenario(network):
        await asyncio.sleep(3.0)
        network.messages.clear()
        await asyncio.sleep(10.0)
        return dict(network.messages), len(network.delegates())

    messages, delegates = run(scenario)
    cross_region = {key: count for key, count in messages.items() if key[1]}
    assert set(cross_region) == {("RegionLoad", True)}
    assert cross_region["RegionLoad", True] <= 10.0 / REGION_INTERVAL_S + 1
    assert delegates == 1


def test_a_change_of_load_reaches_every_node_within_half_a_second():
    async def scenario(network):
        await asyncio.sleep(3.0)
        worst_s = 0.0
        for load, name in enumerate(("a1-n0", "b3-n1", "b1-n0"), 2):
            network.nodes[name].load.backends.get("e").load = load
            others = [node for node in network.nodes.values() if node.name != name]
            total = sum(node.load.backends.get("e").load for node in network.nodes.values())

            def is_known(others=others, total=total):
                return all(node.peers_load == total - node.load.backends.get("e").load for node in others)

            worst_s = max(worst_s, await network.time_until(is_known))
        return worst_s

    assert run(scenario) < 0.5


@pytest.mark.parametrize("region", ["a", "b"])
@pytest.mark.parametrize("lost", [1, 2, 3])
def test_the_next_delegates_take_over_when_relays_are_lost(region, lost):
    async def scenario(network):
        await asyncio.sleep(3.0)
        for node in network.relays_of(region)[:lost]:
            network.fail(node)
        return await network.time_until(lambda: network.all_nodes_know(12 - lost))

    assert run(scenario) < REPORT_LIFETIME_S + 1.5


@pytest.mark.parametrize("count", [1, 2])
def test_the_next_delegates_take_over_from_relays_that_cannot_reach_the_other_region(count):
    """Within their own region these relays work, so only the missing sums show that they are cut off."""

    async def scenario(network):
        await asyncio.sleep(3.0)
        network.cut_off_nodes = set(network.relays_of("a")[:count])
        node = network.nodes["b1-n0"]
        node.load.backends.get("e").load = 100
        return await network.time_until(lambda: all(each.peers_load == 110 for each in network.live_nodes("a")))

    assert run(scenario) < 2.0


@pytest.mark.parametrize("cut_s", [1.0, 5.0, 20.0])
def test_the_load_of_a_cut_off_region_is_dropped_and_counted_again_soon(cut_s, monkeypatch):
    events = []
    monkeypatch.setattr(reporter_module, "emit", lambda event, **fields: events.append((event, fields["region"])))

    async def scenario(network):
        await asyncio.sleep(3.0)
        network.is_cut = True
        await asyncio.sleep(cut_s)
        during = {node.peers_load for node in network.nodes.values()}
        network.is_cut = False
        return during, await network.time_until(lambda: network.all_nodes_know(12))

    during, regained_s = run(scenario)
    is_noticed = cut_s > REPORT_LIFETIME_S + 0.7
    assert during == {5 if is_noticed else 11}
    assert regained_s < 1.5
    # Each of the six relays logs the loss at most once, and no other node logs it.
    expected = {(Event.REGION_LOST, "a"), (Event.REGION_LOST, "b")} if is_noticed else set()
    assert {each for each in events if each[0] is Event.REGION_LOST} == expected
    assert len([each for each in events if each[0] is Event.REGION_LOST]) <= 6


def test_limits_are_counted_for_both_regions_across_a_change_of_delegates():
    """Guards against totals that restart with each delegate, which lose what was spent in between."""

    async def scenario(network):
        await asyncio.sleep(3.0)
        for node in network.nodes.values():
            node.load.limits.levels(now() + 1e11)
        for round_ in range(4):
            network.nodes["b3-n1"].load.limits._spend("t", 1_000)
            if round_ == 2:
                lost, *staying = network.relays_of("a")
                network.fail(lost)
            await asyncio.sleep(0.5)
        await asyncio.sleep(1.0)
        return {node.load.limits.levels(now())["t"] for node in staying}

    assert run(scenario) == {6_000}


def test_an_unreadable_sum_is_refused_and_changes_nothing():
    async def scenario(network):
        await asyncio.sleep(3.0)
        relay = network.relays_of("b")[0]
        with pytest.raises(ValueError, match="asking node"):
            await relay.reporter.region_reporter.on_region_load(RegionLoad(b"not compressed"))
        await asyncio.sleep(0.5)
        return network.all_nodes_know(12)

    assert run(scenario)


@pytest.mark.parametrize(("zones", "backends", "tenants", "limit_bytes"), [(3, 36, 87, 6_000), (7, 60, 16, 6_000)])
def test_a_region_sum_stays_below_its_size_limit(zones, backends, tenants, limit_bytes):
    """Bounds a message as sent over the wire; a link of 30 Mbit/s carries 940 KB in a quarter of a second."""
    load = Load(
        requests={f"i-{number * 7919:08x}": number % 48 for number in range(backends)},
        generations=900,
        asked={f"tenant-{number}": 100_003 * number for number in range(tenants)},
        nodes=205,
    )
    relays = tuple(
        RelaySpentTotals(
            f"front-zone-{zone}",
            zone * 99_991,
            {f"tenant-{each}": 7_777_777 * zone + each * 31 for each in range(tenants)},
        )
        for zone in range(zones)
    )
    message = RegionLoad(pack_region_sum(RegionSum("region-a", load, relays)))
    assert len(msgspec.json.encode(message)) < limit_bytes


def test_a_cut_off_region_is_assumed_to_have_spent_as_much_as_this_one():
    async def scenario(network):
        await asyncio.sleep(3.0)
        for node in network.nodes.values():
            node.load.limits.levels(now() + 1e11)
        await asyncio.sleep(1.0)
        network.is_cut = True
        await asyncio.sleep(0.1)
        network.nodes["a1-n0"].load.limits._spend("t", 6_000)
        await asyncio.sleep(3.0)
        return {node.load.limits.levels(now()).get("t") for node in network.relays_of("a")}

    # 10,000 minus twice 6,000 is -2,000; each half of the fleet carries half of this debt.
    assert run(scenario) == {-1_000}


def test_a_node_that_stops_relaying_logs_no_lost_region(monkeypatch):
    """Guards against a node that, on becoming a relay again, takes the time without sums for a region's silence."""
    events = []
    monkeypatch.setattr(reporter_module, "emit", lambda event, **fields: events.append(event))

    async def scenario(network):
        await asyncio.sleep(3.0)
        relay = network.relays_of("b")[0]
        other = next(node for node in network.live_nodes("b") if node.zone == relay.zone and node is not relay)
        network.members[other.name] = NodeRecord(other.zone, "10.0.0.1:1", link_mbps=500.0)
        await asyncio.sleep(5.0)
        network.members[other.name] = NodeRecord(other.zone, "10.0.0.1:1")
        await asyncio.sleep(2.0)
        return network.all_nodes_know(12)

    assert run(scenario)
    assert not events


@pytest.mark.parametrize("reply_is_lost", [True, False])
def test_a_region_whose_nodes_all_leave_during_an_exchange_is_no_longer_asked(reply_is_lost):
    async def work():
        network = Network()
        asker = network.delegates()[0]
        between = asker.reporter.region_reporter
        gone = [name for name, node in network.nodes.items() if node.region == "b"]

        async def ask(name, address, message):
            for each in gone:
                network.members.pop(each, None)
            if reply_is_lost:
                raise PeerUnavailableError("gone")

        between._ask = ask
        await between.exchange_once(now())
        for node in network.nodes.values():
            node.kill()
        return asker.order.other_regions()

    assert run_virtual(work()) == []


def test_a_reply_that_cannot_be_decoded_counts_as_no_answer_and_is_logged_once(monkeypatch):
    events = []
    monkeypatch.setattr(reporter_module, "emit", lambda event, **fields: events.append(event))

    async def scenario(network):
        await asyncio.sleep(3.0)
        between = network.delegates()[0].reporter.region_reporter
        for _ in range(3):
            with pytest.raises(PeerUnavailableError):
                between._unpack_reply(RegionReply(b"not compressed"), "b1-n0", "10.0.0.1:1")
        return between._unpack_reply(RegionReply(pack_region_sum(RegionSum("b", Load()))), "b1-n0", "10.0.0.1:1")

    assert run(scenario) == RegionSum("b", Load())
    assert events == [Event.PEER_REPLY_UNREADABLE]
