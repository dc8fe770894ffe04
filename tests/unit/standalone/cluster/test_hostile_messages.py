"""Messages between nodes with hostile values in any field: each costs itself at most.

Guards against a message after which a node no longer gossips, so that its peers take it for dead.
"""

from __future__ import annotations

import asyncio
import random
import typing

import msgspec
import pytest
import uvloop

from tests.unit.standalone.hostile_values import DEEP, LONG_DIGITS, ODD_ADDRESSES, PACKED, hostile_documents, sample
from wallwell.errors import ClusterMessageError, PeerUnavailableError
from wallwell.standalone.cluster import messages as msg
from wallwell.standalone.cluster.codec import LineCodec
from wallwell.standalone.cluster.node import ClusterIdentity, ClusterNode
from wallwell.standalone.cluster.peer_addresses import PeerAddresses
from wallwell.standalone.cluster.transport import ClusterTransport, ConfigDeltaRequest
from wallwell.standalone.config.store import ConfigDelta
from wallwell.standalone.settings import Listener

KEY = "a-key-of-the-test"
SENDER = "127.0.0.1:9"
MESSAGE_TYPES = typing.get_args(msg.ClusterMessage)
STRINGS = {"stored": PACKED, "removed": PACKED, "hashes": PACKED}
LOOPS = {"uvloop": uvloop.new_event_loop, "asyncio": asyncio.new_event_loop}
SEVERAL_TICKS_S = 0.25


def signed(codec, payload):
    return codec._mac(payload) + b" " + payload + b"\n"


def new_node(name="a", address="127.0.0.1:8", region="r"):
    return ClusterNode(ClusterIdentity(name, "z", region, address, 1), random.Random(1), ("127.0.0.1:7",))


class RunningNode:
    """A cluster node over real sockets."""

    async def __aenter__(self):
        self.transport = ClusterTransport(LineCodec(KEY), Listener(), 1_000_000.0)
        address = await self.transport.bind()
        self.node = new_node(address=address)
        self.transport.start(self.node)
        return self

    async def __aexit__(self, *_):
        await self.transport.close()

    def receive(self, message):
        self.transport._on_datagram(LineCodec(KEY).encode(message), SENDER)

    async def ticks_on(self):
        """Whether the node still processes its timers."""
        before = self.node._next_load_s
        self.node._next_load_s = 0.0
        await asyncio.sleep(SEVERAL_TICKS_S)
        return self.node._next_load_s > 0.0 and before >= 0.0


def run_in(loop, scenario):
    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        runner.run(asyncio.wait_for(scenario(), 20))


def member(address, name="odd"):
    return msg.MemberRecord(name, address, "z", 1, 1)


def members_reply(*records):
    return msg.SyncReply(0, "b", 0, records=records)


@pytest.mark.parametrize("kind", MESSAGE_TYPES, ids=lambda kind: kind.__name__)
def test_a_hostile_value_in_any_field_raises_only_the_documented_error(kind):
    """A status that is none, hashes that are none or deep nesting raised ValueError or RecursionError."""
    codec, node, addresses = LineCodec(KEY), new_node(), PeerAddresses()
    refused = 0
    for payload in hostile_documents(sample(kind, STRINGS)):
        try:
            node.handle(addresses.check(codec.decode(signed(codec, payload))), SENDER, 1.0)
        except ClusterMessageError:
            refused += 1
        for action in node.tick(1e6, 1):
            codec.encode(action.message)
    assert refused > 0


def test_a_sound_message_is_applied_after_all_hostile_ones():
    codec, node, addresses = LineCodec(KEY), new_node(), PeerAddresses()
    for kind in MESSAGE_TYPES:
        for payload in hostile_documents(sample(kind, STRINGS)):
            try:
                node.handle(addresses.check(codec.decode(signed(codec, payload))), SENDER, 1.0)
            except ClusterMessageError:
                continue
    node.handle(addresses.check(members_reply(member(SENDER, "sound"))), SENDER, 1.0)
    assert "sound" in node.membership.alive()


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=ascii)
def test_a_member_whose_address_is_none_costs_that_member_alone(address):
    node, addresses = new_node(), PeerAddresses()
    reply = members_reply(member(address), member(SENDER, "sound"))
    node.handle(addresses.check(reply), SENDER, 1.0)
    assert node.membership.alive() == ["a", "sound"]


@pytest.mark.parametrize("loop", LOOPS)
def test_a_node_gossips_on_beside_members_and_regions_without_an_address(loop):
    """Sending to such an address ended the task that gossips, or closed the socket."""

    async def scenario():
        async with RunningNode() as running:
            for address in ODD_ADDRESSES:
                running.receive(members_reply(member(address, f"odd {address}")))
                summary = msg.RegionSummary(f"far {address}", 1, 0, (address,))
                running.receive(msg.RegionExchange((summary,), wants_answer=True))
                running.receive(msg.IndirectProbe(1, address))
                running.transport.perform([msg.Send(address, msg.Ping(1))])
            running.receive(msg.RegionExchange((msg.RegionSummary("empty", 1, 0, ()),), wants_answer=True))
            running.node.regions._next_exchange_s = 0.0
            assert await running.ticks_on()
            assert running.transport.traffic.failed_steps == 0
            assert not running.transport._datagrams.is_closing()
            assert running.node.regions.summaries.keys() <= {"r"}

    run_in(loop, scenario)


def test_an_unexpected_error_in_a_message_a_tick_or_an_action_stops_no_other(monkeypatch):
    """The second net: a fault of ours in one step is counted, and the node goes on."""

    async def scenario():
        async with RunningNode() as running:

            def fail(*_):
                raise RuntimeError("a fault of the test")

            monkeypatch.setattr(running.node.crash_notices, "on_notice", fail)
            running.receive(msg.CrashNotice("c", "l"))
            assert running.transport.traffic.failed_steps == 1
            monkeypatch.setattr(running.node.regions, "is_due", fail)
            await asyncio.sleep(SEVERAL_TICKS_S)
            failed = running.transport.traffic.failed_steps
            assert failed > 1
            monkeypatch.undo()
            assert await running.ticks_on()
            running.receive(members_reply(member(SENDER, "sound")))
            assert "sound" in running.node.membership.alive()

    run_in("uvloop", scenario)


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=ascii)
def test_a_configuration_is_not_fetched_from_what_is_no_address(address, run_async):
    async def scenario():
        async with RunningNode() as running:
            with pytest.raises(PeerUnavailableError):
                await running.transport.fetch_config(address, 0)

    run_async(scenario())


@pytest.mark.parametrize("target", [ConfigDelta, ConfigDeltaRequest], ids=lambda kind: kind.__name__)
def test_a_hostile_value_in_a_line_over_tcp_raises_only_the_documented_error(target):
    """Deep nesting raised RecursionError, which ended the fetch and the start of a node that was not ready yet."""
    codec, refused = LineCodec(KEY), 0
    for payload in hostile_documents(sample(target)):
        try:
            codec.decode_as(signed(codec, payload), target)
        except ClusterMessageError:
            refused += 1
    assert refused > 0


@pytest.mark.parametrize("value", [DEEP, LONG_DIGITS], ids=["deep", "long"])
def test_a_peer_that_asks_for_the_configuration_with_a_hostile_value_is_not_served(value, run_async):
    async def scenario():
        async with RunningNode() as running:
            host, _, port = running.transport.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(signed(LineCodec(KEY), b'{"after":0,"more":%s}' % value.encode()))
            writer.write(b"\n")
            await reader.read()
            writer.close()
            # The node still answers others.
            delta = await running.transport.fetch_config(running.transport.address, 0)
            assert delta == msgspec.convert({"after": 0, "head": 0, "files": []}, ConfigDelta)

    run_async(scenario())
