"""Every node learns the load of all others, over sockets, with any arrangement of members and relays."""

import asyncio

import pytest

from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.cluster.crash_reports import MAX_CRASHES_PER_MESSAGE, RELAYED_CRASH_LIFETIME_S, CrashReports
from wallwell.cluster.demand import RATE_WINDOW_S
from wallwell.cluster.fleet_load import FleetLoad
from wallwell.cluster.load_messages import MemberLoad, ZoneLoad
from wallwell.cluster.load_reporter import LOAD_REPORT_INTERVAL_S, LOW_BANDWIDTH_INTERVAL_S, LoadReporter
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
        self.unwritten_crashes = []
        self.crash_ages_s = {}
        self.received = set()
        reports = CrashReports(lambda: self.unwritten_crashes, self._on_received, self._age_s)
        self.reporter = LoadReporter(name, self.load, self.order, crashes=reports)
        self.server = PeerServer({MemberLoad: self.reporter.on_member_load, ZoneLoad: self.reporter.on_zone_load})

    def _on_received(self, crash, age_s):
        self.received.add(crash)
        self.crash_ages_s[crash] = age_s

    def _age_s(self, crash):
        return self.crash_ages_s.get(crash, 0.0)

    def put_load(self, engine, load):
        self.backends.get(engine).load = load

    def peers_loads(self):
        return [self.backends.get(engine).peers_load for engine in ENGINES]


@pytest.fixture
def with_nodes(run_async):
    """Run a scenario on nodes of the listed zones; each has its index as its load of ``e0``, and 1 of ``e1``."""

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
                    node.reporter.close()
                    node.server.close()

        return run_async(work())

    return run


async def exchange(nodes, rounds=3):
    for _ in range(rounds):
        for node in nodes:
            await node.reporter.exchange_once()


@pytest.mark.parametrize("zones", ["a", "aaaa", "abc", "aaabbc", "a" * 45 + "bb"])
def test_every_node_knows_the_load_of_all_others(with_nodes, zones):
    async def scenario(nodes):
        await exchange(nodes)
        return [node.peers_loads() for node in nodes]

    total = sum(range(len(zones)))
    expected = [[total - index, len(zones) - 1, 0] for index in range(len(zones))]
    assert with_nodes(zones, scenario) == expected


@pytest.mark.parametrize("zones", ["a", "aaaa", "abc", "aaabbc"])
def test_every_node_knows_the_demand_of_all(with_nodes, zones):
    async def scenario(nodes):
        for index, node in enumerate(nodes):
            for _ in range(index + 1):
                node.demand.own_generations.add(boot_time_s())
        await exchange(nodes)
        return [node.demand.generations_per_s(boot_time_s(), len(nodes)) for node in nodes]

    count = len(zones)
    assert with_nodes(zones, scenario) == [count * (count + 1) / 2 / RATE_WINDOW_S] * count


@pytest.mark.parametrize("zones", ["a", "aaaa", "abc", "aaabbc"])
def test_every_node_knows_whether_first_tokens_are_late(with_nodes, zones):
    async def scenario(nodes):
        before = [node.load.first_token_delays.is_fleet_behind(boot_time_s()) for node in nodes]
        for _ in range(MIN_ANSWERS):
            nodes[-1].load.first_token_delays.observe(2.0, 0.8, boot_time_s())
        await exchange(nodes)
        return before, [node.load.first_token_delays.is_fleet_behind(boot_time_s()) for node in nodes]

    assert with_nodes(zones, scenario) == ([False] * len(zones), [True] * len(zones))


def test_the_load_of_a_node_that_is_gone_is_dropped(with_nodes, monkeypatch):
    async def scenario(nodes):
        await exchange(nodes)
        gone = next(node for node in nodes if node.order.candidates(boot_time_s()))
        staying = [node for node in nodes if node is not gone]
        monkeypatch.setattr("wallwell.cluster.load_reports.REPORT_LIFETIME_S", 0.0)
        monkeypatch.setattr("wallwell.cluster.load_reporter.REPORT_LIFETIME_S", 60.0)
        await exchange(staying, rounds=1)
        return [node.peers_loads()[1] for node in staying if not node.order.candidates(boot_time_s())]

    assert with_nodes("aaa", scenario) == [0]


def test_without_recent_reports_a_node_scales_its_own_load(with_nodes, monkeypatch):
    async def scenario(nodes):
        await exchange(nodes)
        follower = next(node for node in nodes if node.order.candidates(boot_time_s()))
        for node in nodes:
            if node is not follower:
                node.server.close()
        monkeypatch.setattr("wallwell.cluster.load_reporter.REPORT_LIFETIME_S", 0.0)
        await follower.reporter.exchange_once()
        return follower.peers_loads(), follower.backends.get("e1").fleet_load(node_count=3)

    assert with_nodes("aaa", scenario) == ([None, None, None], 3)


def test_every_node_knows_what_is_left_of_a_limit(with_nodes):
    """Two nodes spend tokens; relays compute what is left of the limit, and members receive it."""

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


def test_every_node_knows_what_a_tenant_asks_of_all_others(with_nodes):
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
        (10.0, 100.0, LOAD_REPORT_INTERVAL_S),
        (0.0, 0.0, LOAD_REPORT_INTERVAL_S),
        (5.0, 10.0, LOW_BANDWIDTH_INTERVAL_S),
        (10.0, None, LOW_BANDWIDTH_INTERVAL_S),
        (100.0, None, LOAD_REPORT_INTERVAL_S),
    ],
    ids=["fast relay", "unknown link", "slow relay", "slow and alone", "fast and alone"],
)
def test_reports_are_less_frequent_over_a_low_bandwidth_link(own_mbps, relay_mbps, interval_s):
    order = UpstreamOrder("n1", "a")
    order.members = {"n1": NodeRecord("a", "10.0.0.1:1", own_mbps)}
    if relay_mbps is not None:
        # The first node in the order of a zone has the fastest link.
        order.members["n0"] = NodeRecord("a", "10.0.0.2:1", relay_mbps)
    reporter = LoadReporter("n1", FleetLoad(), order)
    assert relay_mbps == 0.0 or (not order.followed_peers_in_zone(0.0)) == (relay_mbps is None)
    assert reporter._interval_s(0.0) == interval_s


@pytest.mark.parametrize(
    ("zones", "interval_s"),
    [("a", LOAD_REPORT_INTERVAL_S), ("ab", LOAD_REPORT_INTERVAL_S), ("abcd", 3 * LOAD_REPORT_INTERVAL_S)],
)
def test_relays_of_many_zones_report_to_each_other_less_often(zones, interval_s):
    order = UpstreamOrder("n0", "a")
    order.members = {f"n{index}": NodeRecord(zone, f"10.0.0.{index}:1", 100.0) for index, zone in enumerate(zones)}
    assert LoadReporter("n0", FleetLoad(), order)._interval_s(0.0) == pytest.approx(interval_s)


def test_a_relay_that_sends_a_report_is_reported_to_again_at_once(with_nodes):
    """After a cut, the relay that tries first ends the pause of both; pauses double up to 16 s."""

    async def scenario(nodes):
        first, second = nodes
        for now_s in (0.0, 3.0, 8.0):
            first.order.on_failure(second.name, now_s)
        passed_over = first.order.other_relays(9.0)
        await second.reporter.exchange_once()
        return passed_over, [name for name, _ in first.order.other_relays(9.0)]

    assert with_nodes("ab", scenario) == ([], ["n1"])


def test_totals_of_relays_that_are_gone_are_dropped():
    async def work():
        reporter = LoadReporter("n1", FleetLoad(), UpstreamOrder("n1", "z1"))
        for number in range(100):
            await reporter.on_zone_load(ZoneLoad(f"relay-{number}", Load(nodes=1), 1, {"t": number}))
            await asyncio.sleep(2 * REPORT_LIFETIME_S)
        return len(reporter._aggregator._totals)

    assert run_virtual(work()) == 1


# --- crashes that are not in the store -----------------------------------------------------------------------


@pytest.mark.parametrize("zones", ["aaaa", "abc", "aaabbc", "a" * 45 + "bb"])
def test_every_node_receives_a_crash_that_is_not_in_the_store(with_nodes, zones):
    async def scenario(nodes):
        nodes[-1].unwritten_crashes = [("c", "e0")]
        await exchange(nodes)
        return [node.received for node in nodes[:-1]]

    assert all(received == {("c", "e0")} for received in with_nodes(zones, scenario))


def test_a_received_crash_is_relayed_for_a_limited_time():
    received = []
    reports = CrashReports(tuple, lambda crash, age_s: received.append(crash))
    reports.on_member_report([("c", "e0")], 10.0)
    reports.on_relay_report([("d", "e1")], 10.0)
    assert reports.crashes_for_other_relays(10.0) == (("c", "e0"),)
    assert set(reports.crashes_for_members(10.0 + RELAYED_CRASH_LIFETIME_S)) == {("c", "e0"), ("d", "e1")}
    assert (
        reports.crashes_for_members(10.1 + RELAYED_CRASH_LIFETIME_S)
        == reports.crashes_for_other_relays(10.1 + RELAYED_CRASH_LIFETIME_S)
        == ()
    )
    assert received == [("c", "e0"), ("d", "e1")]


def test_a_crash_does_not_circulate_between_relays_forever():
    relays = [CrashReports(tuple, lambda crash, age_s: None) for _ in range(2)]
    relays[0].on_member_report([("c", "e0")], 0.0)
    for step in range(100):
        now_s = 0.1 * step
        relays[1].on_relay_report(relays[0].crashes_for_other_relays(now_s), now_s)
        relays[0].on_relay_report(relays[1].crashes_for_other_relays(now_s), now_s)
    assert relays[0].crashes_for_members(10.0) == relays[1].crashes_for_members(10.0) == ()


def test_crashes_in_a_message_are_bounded_and_unwritten_ones_come_first():
    own = [(f"c{number}", "e0") for number in range(MAX_CRASHES_PER_MESSAGE - 1)]
    reports = CrashReports(lambda: own, lambda crash, age_s: None)
    reports.on_member_report([("m1", "e0"), ("m2", "e0")], 0.0)
    assert reports.crashes_for_members(0.0) == (*own, ("m1", "e0"))
    assert reports.crashes_for_own_relay() == tuple(own)


AGES_S = {("p", "e0"): 2.5, ("p", "e1"): 1.25}


def test_every_node_receives_how_long_ago_a_crash_happened(with_nodes):
    """Nodes that learn of old crashes in one message must still tell their moments apart."""

    async def scenario(nodes):
        nodes[-1].unwritten_crashes = list(AGES_S)
        nodes[-1].crash_ages_s = dict(AGES_S)
        await exchange(nodes)
        return [node.crash_ages_s for node in nodes]

    assert all(ages_s == AGES_S for ages_s in with_nodes("aaabbc", scenario))


@pytest.mark.parametrize(
    ("ages_s", "received"), [((), [0.0, 0.0]), ((1.5,), [1.5, 0.0]), ((1.5, 2.5, 3.5), [1.5, 2.5])]
)
def test_crashes_without_an_age_are_new(ages_s, received):
    taken = []
    reports = CrashReports(tuple, lambda crash, age_s: taken.append(age_s))
    reports.on_member_report(list(AGES_S), 10.0, ages_s)
    assert taken == received


def test_ages_that_do_not_matter_are_not_sent():
    reports = CrashReports(tuple, lambda crash, age_s: None, lambda crash: AGES_S.get(crash, 0.0))
    assert reports.ages_s([("c", "e0"), ("c", "e1")]) == ()
    assert reports.ages_s([("c", "e0"), ("p", "e1")]) == (0.0, 1.25)
