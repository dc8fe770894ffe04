"""Every node learns what all others have in flight, over sockets, whichever nodes stand between."""

import asyncio

import pytest

from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.cluster.crash_reports import MAX_REPORTED, RELAYED_FOR_S, CrashReports
from wallwell.cluster.demand import RATE_WINDOW_S
from wallwell.cluster.fleet_load import FleetLoad
from wallwell.cluster.load_messages import MemberLoad, ZoneLoad
from wallwell.cluster.load_reporter import INTERVAL_S, THIN_LINK_INTERVAL_S, LoadReporter
from wallwell.cluster.load_reports import REPORT_LIFETIME_S, Load
from wallwell.cluster.peer_link import PeerServer
from wallwell.cluster.upstream import NodeRecord, UpstreamOrder
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.routes import TenantLimit
from wallwell.routing.retry.first_token import MIN_ANSWERS

ENGINES = ("e0", "e1", "e2")


class Node:
    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.order = UpstreamOrder(name, zone)
        self.load = FleetLoad()
        self.backends, self.demand = self.load.backends, self.load.demand
        for engine in ENGINES:
            self.backends.upsert(BackendRecord(engine, "s", f"{engine}:1", zone, 16))
        self.unwritten = []
        self.heard = set()
        reports = CrashReports(lambda: self.unwritten, self.heard.add)
        self.exchange = LoadReporter(name, self.load, self.order, crashes=reports)
        self.server = PeerServer({MemberLoad: self.exchange.on_member, ZoneLoad: self.exchange.on_zone})

    def put_load(self, engine, load):
        self.backends.get(engine).load = load

    def peers_loads(self):
        return [self.backends.get(engine).peers_load for engine in ENGINES]


@pytest.fixture
def with_nodes(run_async):
    """Run a scenario on nodes of the listed zones, each with its number as its load of each engine."""

    def run(zones, scenario):
        async def work():
            nodes = [Node(f"n{index}", zone) for index, zone in enumerate(zones)]
            for index, node in enumerate(nodes):
                await node.server.start("127.0.0.1", 0)
                node.put_load("e0", index)
                node.put_load("e1", 1)
            members = {node.name: NodeRecord(node.zone, node.server.address) for node in nodes}
            for node in nodes:
                node.order.members = members
            try:
                return await scenario(nodes)
            finally:
                for node in nodes:
                    node.exchange.close()
                    node.server.close()

        return run_async(work())

    return run


async def exchange(nodes, rounds=3):
    for _ in range(rounds):
        for node in nodes:
            await node.exchange.step()


@pytest.mark.parametrize("zones", ["a", "aaaa", "abc", "aaabbc", "a" * 45 + "bb"])
def test_everyone_knows_the_load_of_all_others(with_nodes, zones):
    async def scenario(nodes):
        await exchange(nodes)
        return [node.peers_loads() for node in nodes]

    total = sum(range(len(zones)))
    expected = [[total - index, len(zones) - 1, 0] for index in range(len(zones))]
    assert with_nodes(zones, scenario) == expected


@pytest.mark.parametrize("zones", ["a", "aaaa", "abc", "aaabbc"])
def test_everyone_knows_the_demand_of_all(with_nodes, zones):
    async def scenario(nodes):
        for index, node in enumerate(nodes):
            for _ in range(index + 1):
                node.demand.own.add(boot_time_s())
        await exchange(nodes)
        return [node.demand.per_s(boot_time_s(), len(nodes)) for node in nodes]

    count = len(zones)
    assert with_nodes(zones, scenario) == [count * (count + 1) / 2 / RATE_WINDOW_S] * count


@pytest.mark.parametrize("zones", ["a", "aaaa", "abc", "aaabbc"])
def test_everyone_knows_whether_answers_begin_late(with_nodes, zones):
    async def scenario(nodes):
        before = [node.load.first_token_delays.is_fleet_behind(boot_time_s()) for node in nodes]
        for _ in range(MIN_ANSWERS):
            nodes[-1].load.first_token_delays.observe(2.0, 0.8, boot_time_s())
        await exchange(nodes)
        return before, [node.load.first_token_delays.is_fleet_behind(boot_time_s()) for node in nodes]

    assert with_nodes(zones, scenario) == ([False] * len(zones), [True] * len(zones))


def test_a_node_that_is_gone_stops_counting(with_nodes, monkeypatch):
    async def scenario(nodes):
        await exchange(nodes)
        gone = next(node for node in nodes if node.order.candidates(boot_time_s()))
        staying = [node for node in nodes if node is not gone]
        monkeypatch.setattr("wallwell.cluster.load_reports.REPORT_LIFETIME_S", 0.0)
        monkeypatch.setattr("wallwell.cluster.load_reporter.REPORT_LIFETIME_S", 60.0)
        await exchange(staying, rounds=1)
        return [node.peers_loads()[1] for node in staying if not node.order.candidates(boot_time_s())]

    assert with_nodes("aaa", scenario) == [0]


def test_without_word_of_others_each_node_judges_by_itself(with_nodes, monkeypatch):
    async def scenario(nodes):
        await exchange(nodes)
        follower = next(node for node in nodes if node.order.candidates(boot_time_s()))
        for node in nodes:
            if node is not follower:
                node.server.close()
        monkeypatch.setattr("wallwell.cluster.load_reporter.REPORT_LIFETIME_S", 0.0)
        await follower.exchange.step()
        return follower.peers_loads(), follower.backends.get("e1").fleet_load(nodes=3)

    assert with_nodes("aaa", scenario) == ([None, None, None], 3)


def test_everyone_knows_what_is_left_of_a_limit(with_nodes):
    """Two nodes spend; members learn what is left, relays work it out."""

    async def scenario(nodes):
        for node in nodes:
            node.load.limits.set_limits({"t": TenantLimit(1e-6, 10_000, counts_tokens=True)})
            node.load.limits.levels(boot_time_s())
        await exchange(nodes)
        full_at_s = boot_time_s() + 1e11
        for node in nodes:
            node.load.limits.levels(full_at_s)
        for node in (nodes[1], nodes[-1]):
            node.load.limits.admit("t", 1_000, full_at_s)
        await exchange(nodes, rounds=2)
        return [node.load.limits.levels(boot_time_s()).get("t") for node in nodes]

    assert with_nodes("aaabbc", scenario) == [8_000] * 6


def test_everyone_knows_what_a_tenant_asks_all_others_for(with_nodes):
    async def scenario(nodes):
        for index, node in enumerate(nodes):
            node.load.limits.set_limits({"t": TenantLimit(1e9, 1e9, counts_tokens=True)})
            node.load.limits.admit("t", 10**index, boot_time_s())
        await exchange(nodes)
        return [node.load.limits.peer_demand("t") for node in nodes]

    assert with_nodes("aabc", scenario) == [1110, 1101, 1011, 111]


@pytest.mark.parametrize(
    ("own_mbps", "relay_mbps", "interval_s"),
    [
        (10.0, 100.0, INTERVAL_S),
        (0.0, 0.0, INTERVAL_S),
        (5.0, 10.0, THIN_LINK_INTERVAL_S),
        (10.0, None, THIN_LINK_INTERVAL_S),
        (100.0, None, INTERVAL_S),
    ],
    ids=["fast relay", "unknown link", "thin relay", "thin and alone", "fast and alone"],
)
def test_nodes_with_a_thin_link_get_reports_less_often(own_mbps, relay_mbps, interval_s):
    order = UpstreamOrder("n1", "a")
    order.members = {"n1": NodeRecord("a", "10.0.0.1:1", own_mbps)}
    if relay_mbps is not None:
        # The node that stands first in its zone has the fastest link.
        order.members["n0"] = NodeRecord("a", "10.0.0.2:1", relay_mbps)
    exchange = LoadReporter("n1", FleetLoad(), order)
    assert relay_mbps == 0.0 or (not order.followed_in_zone(0.0)) == (relay_mbps is None)
    assert exchange._interval_s(0.0) == interval_s


@pytest.mark.parametrize(("zones", "interval_s"), [("a", INTERVAL_S), ("ab", INTERVAL_S), ("abcd", 3 * INTERVAL_S)])
def test_relays_of_many_zones_tell_each_other_less_often(zones, interval_s):
    order = UpstreamOrder("n0", "a")
    order.members = {f"n{index}": NodeRecord(zone, f"10.0.0.{index}:1", 100.0) for index, zone in enumerate(zones)}
    assert LoadReporter("n0", FleetLoad(), order)._interval_s(0.0) == pytest.approx(interval_s)


def test_a_relay_that_asks_is_asked_again_at_once(with_nodes):
    """After a cut, the side that tries first ends the pause of both; pauses double up to 16 s."""

    async def scenario(nodes):
        first, second = nodes
        for now_s in (0.0, 3.0, 8.0):
            first.order.on_failure(second.name, now_s)
        passed_over = first.order.relays(9.0)
        await second.exchange.step()
        return passed_over, [name for name, _ in first.order.relays(9.0)]

    assert with_nodes("ab", scenario) == ([], ["n1"])


def test_totals_of_relays_that_are_gone_are_not_remembered():
    async def work():
        exchange = LoadReporter("n1", FleetLoad(), UpstreamOrder("n1", "z1"))
        for number in range(100):
            await exchange.on_zone(ZoneLoad(f"relay-{number}", Load(nodes=1), 1, {"t": number}))
            await asyncio.sleep(2 * REPORT_LIFETIME_S)
        return len(exchange._known._totals)

    assert run_virtual(work()) == 1


# --- crashes that the store does not have --------------------------------------------------------------------


@pytest.mark.parametrize("zones", ["aaaa", "abc", "aaabbc", "a" * 45 + "bb"])
def test_everyone_hears_of_a_crash_that_is_not_written(with_nodes, zones):
    async def scenario(nodes):
        nodes[-1].unwritten = [("c", "e0")]
        await exchange(nodes)
        return [node.heard for node in nodes[:-1]]

    assert all(heard == {("c", "e0")} for heard in with_nodes(zones, scenario))


def test_a_crash_is_reported_on_for_a_while_only_once_it_is_written():
    heard = []
    reports = CrashReports(tuple, heard.append)
    reports.receive_from_member([("c", "e0")], 10.0)
    reports.receive_from_relay([("d", "e1")], 10.0)
    assert reports.for_relays(10.0) == (("c", "e0"),)
    assert set(reports.for_members(10.0 + RELAYED_FOR_S)) == {("c", "e0"), ("d", "e1")}
    assert reports.for_members(10.1 + RELAYED_FOR_S) == reports.for_relays(10.1 + RELAYED_FOR_S) == ()
    assert heard == [("c", "e0"), ("d", "e1")]


def test_relays_do_not_keep_a_crash_alive_between_them():
    relays = [CrashReports(tuple, lambda crash: None) for _ in range(2)]
    relays[0].receive_from_member([("c", "e0")], 0.0)
    for step in range(100):
        now_s = 0.1 * step
        relays[1].receive_from_relay(relays[0].for_relays(now_s), now_s)
        relays[0].receive_from_relay(relays[1].for_relays(now_s), now_s)
    assert relays[0].for_members(10.0) == relays[1].for_members(10.0) == ()


def test_crashes_in_a_message_are_bounded_and_own_ones_go_first():
    own = [(f"c{number}", "e0") for number in range(MAX_REPORTED - 1)]
    reports = CrashReports(lambda: own, lambda crash: None)
    reports.receive_from_member([("m1", "e0"), ("m2", "e0")], 0.0)
    assert reports.for_members(0.0) == (*own, ("m1", "e0"))
    assert reports.for_relay() == tuple(own)
