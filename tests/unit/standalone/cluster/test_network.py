"""Up to 120 cluster nodes exchange messages over a simulated lossy network in virtual time."""

import random

import msgspec
import pytest

from tests.virtual_network import LinkFaults, VirtualNetwork
from wallwell.standalone.cluster.messages import MAX_DATAGRAM_BYTES, EngineRecord, MemberStatus
from wallwell.standalone.cluster.node import ClusterIdentity, ClusterNode
from wallwell.standalone.config.schema import FileKey, Kind, TenantSpec
from wallwell.standalone.config.store import ConfigDelta, FileRevision


def node_identity(number, regions):
    """Return the identity of node ``number`` in a fleet with two equally large zones per region."""
    zone = number % (regions * 2)
    address = f"10.{number // 62500}.{number // 250 % 250}.{number % 250}:8082"
    incarnation = 1_700_000_000_000 + number
    return ClusterIdentity(f"n{number:03d}", f"zone-{zone:02d}", f"region-{zone % regions}", address, incarnation)


def tenant_change(tenant, revision):
    """Return a configuration delta that changes one tenant's limit."""
    rate = float(100 + revision % 900)
    spec = TenantSpec((f"{tenant:064x}",), ("model-0",), (), ("interactive",), "interactive", rate)
    key = FileKey(Kind.TENANT, f"tenant-{tenant:04d}")
    text = msgspec.json.encode(spec).decode()
    entry = FileRevision(key, revision, f"{revision:064x}", text, "operator")
    return ConfigDelta(revision - 1, revision, (entry,))


def make_network(nodes, regions=1, seed=1, faults=None):
    network = VirtualNetwork(seed, faults)
    identities = [node_identity(number, regions) for number in range(nodes)]
    seeds = tuple(identity.address for identity in identities[: 2 * regions])
    for identity in identities:
        network.add(ClusterNode(identity, random.Random(f"{seed}/{identity.node}"), seeds))
    return network


def region_nodes(network, node):
    return {each.identity.node for each in network.nodes() if each.identity.region == node.identity.region}


def all_regions_converged(network):
    return all(set(node.membership.alive()) == region_nodes(network, node) for node in network.nodes())


def is_removed_everywhere(network, node):
    others = [each for each in network.nodes() if each is not node]
    return all(node.identity.node not in each.membership.alive() for each in others)


LOSSY = LinkFaults(loss=0.1, duplication=0.05, max_delay_s=0.1)


@pytest.mark.parametrize("faults", [LinkFaults(), LOSSY], ids=["clean", "lossy"])
@pytest.mark.parametrize(("nodes", "regions"), [(3, 1), (30, 1), (70, 1), (60, 3)])
def test_every_node_finds_the_members_of_its_region_and_no_others(nodes, regions, faults):
    network = make_network(nodes, regions, faults=faults)
    assert network.run_until(lambda: all_regions_converged(network), limit_s=30) is not None


@pytest.mark.parametrize("faults", [LinkFaults(), LOSSY], ids=["clean", "lossy"])
def test_a_dead_node_is_removed_and_a_restarted_one_rejoins_within_a_bound(faults):
    network = make_network(30, faults=faults)
    network.run_until(lambda: all_regions_converged(network), limit_s=30)
    victim = network.nodes()[7]
    network.kill(victim.identity.address)
    assert network.run_until(lambda: is_removed_everywhere(network, victim), limit_s=45) is not None
    identity = victim.identity
    restarted = type(identity)(
        identity.node, identity.zone, identity.region, identity.address, identity.incarnation + 10_000
    )
    network.add(ClusterNode(restarted, random.Random(9), victim.membership.seeds))
    assert network.run_until(lambda: all_regions_converged(network), limit_s=45) is not None


def test_live_nodes_are_not_declared_dead_on_a_lossy_network():
    network = make_network(30, faults=LinkFaults(loss=0.05))
    network.run_until(lambda: all_regions_converged(network), limit_s=30)
    for node in network.nodes():
        node.pop_member_changes()
    network.run(120)
    dead = [c for node in network.nodes() for c in node.pop_member_changes() if c.status is MemberStatus.DEAD]
    assert dead == []


def test_a_paused_node_rejoins_by_refuting_its_suspicion():
    network = make_network(20)
    network.run_until(lambda: all_regions_converged(network), limit_s=30)
    paused = network.nodes()[3]
    network.pause(paused.identity.address, True)
    assert network.run_until(lambda: is_removed_everywhere(network, paused), limit_s=45) is not None
    network.pause(paused.identity.address, False)
    assert network.run_until(lambda: all_regions_converged(network), limit_s=45) is not None


def test_a_partitioned_group_converges_again_once_healed():
    network = make_network(24)
    network.run_until(lambda: all_regions_converged(network), limit_s=30)
    addresses = list(network.hosts)
    network.partition([addresses[:12], addresses[12:]])
    network.run(60)
    assert not all_regions_converged(network)
    network.partition([])
    assert network.run_until(lambda: all_regions_converged(network), limit_s=60) is not None


def test_a_planned_leave_is_announced_without_waiting_for_suspicion():
    network = make_network(20)
    network.run_until(lambda: all_regions_converged(network), limit_s=30)
    leaver = network.nodes()[0]
    network.perform(leaver, leaver.membership.leave())
    network.run(0.1)
    network.kill(leaver.identity.address)
    assert network.run_until(lambda: all_regions_converged(network), limit_s=10) is not None


@pytest.mark.parametrize(("nodes", "regions"), [(3, 1), (30, 3), (120, 6)])
def test_a_configuration_change_is_everywhere_within_six_seconds_and_never_reverts(nodes, regions):
    network = make_network(nodes, regions, faults=LinkFaults(loss=0.05, duplication=0.05))
    network.run_until(lambda: all_regions_converged(network), limit_s=40)
    network.run(5)
    for revision in range(1, 6):
        writer = network.rng.choice(network.nodes())
        network.perform(writer, writer.advance_config(tenant_change(revision, revision)))
        heads = [node.config.head for node in network.nodes()]
        is_applied = lambda r=revision: all(node.config.head >= r for node in network.nodes())  # noqa: E731
        assert network.run_until(is_applied, limit_s=6) is not None
        assert all(node.config.head >= before for node, before in zip(network.nodes(), heads, strict=True))


def test_a_partitioned_group_catches_up_and_does_not_revert_the_configuration():
    network = make_network(24)
    network.run_until(lambda: all_regions_converged(network), limit_s=30)
    addresses = list(network.hosts)
    first = network.nodes()[0]
    network.perform(first, first.advance_config(tenant_change(1, 1)))
    network.run(5)
    network.partition([addresses[:16], addresses[16:]])
    network.perform(first, first.advance_config(tenant_change(1, 2)))
    network.run(30)
    assert {node.config.head for node in network.nodes()} == {1, 2}
    network.partition([])
    assert network.run_until(lambda: {n.config.head for n in network.nodes()} == {2}, limit_s=30) is not None


def test_datagrams_do_not_exceed_the_maximum_size():
    network = make_network(70)
    sizes = []
    original = network._receive
    network._receive = lambda address, sender, data: (sizes.append(len(data)), original(address, sender, data))
    for number, node in enumerate(network.nodes()):
        node.publish_engines(
            tuple(EngineRecord(f"engine-{number:03d}-{k:02d}", f"{k:08x}", (("m", "1"),)) for k in range(17)),
            ((5, 30),) * 17,
        )
    network.run(20)
    assert len(sizes) > 1000
    assert max(sizes) <= MAX_DATAGRAM_BYTES


def test_the_same_seed_gives_the_same_traffic():
    def trace():
        network = make_network(12, seed=5, faults=LOSSY)
        network.run(20)
        return [(host.cost.sent_bytes, host.cost.received_messages) for host in network.hosts.values()]

    assert trace() == trace()
