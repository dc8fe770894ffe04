"""Members whose rows name an address for peers that is none: no node follows, asks or tells them."""

import asyncio

import msgspec
import pytest

from tests.hostile_messages import HOSTILE_JSON
from tests.unit.node.test_odd_kv_stores import ODD_ADDRESSES
from wallwell.address import Address
from wallwell.cluster.stream_directory import StreamDirectory
from wallwell.cluster.stream_messages import stream_digest
from wallwell.cluster.stream_origins import holders_to_ask, holders_to_tell
from wallwell.cluster.upstream import NodeRecord, UpstreamOrder
from wallwell.deployment.topology import Topology

REGIONS = {"z0": "a", "z1": "a", "z2": "b"}
STREAM = stream_digest("caller", "r1")


def member(index, relay):
    return NodeRecord(f"z{index % 3}", relay, keeps_streams=True, makes_attempts=True)


def peers_used(members, node, topology):
    """Return all peers that a node may ask or tell anything."""
    order = UpstreamOrder(node, members[node].zone, members, topology)
    used = [*order.candidates(0.0), *order.followed_peers_in_zone(0.0), *order.other_relays(0.0)]
    for region in {topology.own_region, *order.other_regions()}:
        used += order.delegates_of(region)
    order.delegate_rank(0.0)
    used += holders_to_tell(STREAM, members, topology, node)
    used += holders_to_ask(STREAM, members, topology, node)
    return used


@pytest.mark.parametrize("relay", ODD_ADDRESSES.values(), ids=ODD_ADDRESSES)
@pytest.mark.parametrize("regions", [{}, REGIONS], ids=["one region", "two regions"])
def test_a_member_at_an_odd_address_serves_no_peers(relay, regions):
    """Its address was converted by each exchange: a long port or an odd host ended loads, streams and attempts."""
    sound = {f"n{index}": member(index, f"10.0.0.{index}:7") for index in range(6)}
    odd = {f"odd{index}": member(index, relay) for index in range(6)}
    topology = Topology("z0", regions)
    for node in sound:
        beside = peers_used({**odd, **sound}, node, topology)
        assert beside == peers_used(sound, node, topology)
        assert {each.address for each in beside} <= {Address(f"10.0.0.{index}", 7) for index in range(6)}
    for node in odd:  # A node whose own row is odd still follows the others.
        assert {each.name for each in peers_used({**odd, **sound}, node, topology)} <= set(sound)


@pytest.mark.parametrize("relay", ODD_ADDRESSES.values(), ids=ODD_ADDRESSES)
def test_an_odd_address_is_told_and_kept_as_written(relay):
    """Another node's row is compared and sent as it is; only its use is refused."""
    record = msgspec.json.decode(msgspec.json.encode(NodeRecord("z", relay)), type=NodeRecord)
    assert record == NodeRecord("z", relay)
    assert record.address is None
    assert 0 < len(record.relay_error) < 200
    assert record.relay_error.isascii()


def test_a_member_that_serves_no_peers_is_not_told_as_odd():
    assert (NodeRecord("z").address, NodeRecord("z").relay_error) == (None, "")
    assert NodeRecord("z", "10.0.0.1:7").address == Address("10.0.0.1", 7)


def test_a_resumed_stream_is_looked_for_beside_odd_members():
    """An odd host raised UnicodeError or OverflowError in the request that resumed the stream."""

    async def work():
        members = {f"n{index}": member(index, relay) for index, relay in enumerate(ODD_ADDRESSES.values())}
        directory = StreamDirectory("own", Topology("z0"), lambda: members, lambda service: {"v1", "v2"})
        await directory.listen("127.0.0.1", 0)
        directory.on_begun(STREAM, "svc", "v1", 5.0)
        findings = await directory.find(stream_digest("caller", "r2"), "svc")
        await directory.ask_node(findings, "n0", STREAM, "svc")
        directory.close()
        assert findings.asked == 0

    asyncio.run(work())


@pytest.mark.parametrize("value", HOSTILE_JSON.values(), ids=HOSTILE_JSON)
def test_a_hostile_bandwidth_is_refused_or_ordered(value):
    """Orders compare the bandwidths of all members of a zone."""
    row = b'{"zone":"z0","relay":"10.0.0.9:7","link_mbps":%s}' % value
    try:
        record = msgspec.json.decode(row, type=NodeRecord)
    except (msgspec.MsgspecError, RecursionError):
        return  # What member rows expect of a decoder; the depth is theirs to refuse.
    members = {"n0": member(0, "10.0.0.1:7"), "hostile": record}
    assert {each.name for each in peers_used(members, "n0", Topology("z0"))} <= {"n0", "hostile"}
