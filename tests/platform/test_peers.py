"""Two nodes with one store: one follows the store for both, and the other takes over when that node stops."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest

from tests.platform.conftest import config, route
from wallwell.clock import boot_time_s
from wallwell.platform.main import build_node
from wallwell.platform.settings import ListenAddresses, PlatformSettings, StoreAddress

STORE_AWAY_S = 8.0
"""Seconds without the store: several times the age from which copies of it are too old to be followed."""
LOOPBACK = "127.0.0.1"


async def second_node(harness, name="n2", zone="z1"):
    addresses = ListenAddresses(f"{LOOPBACK}:0", f"{LOOPBACK}:0")
    settings = PlatformSettings(name, zone, addresses, StoreAddress(harness.store.address), harness.bounds)
    node = build_node(settings)
    await node.listen_for_peers(LOOPBACK, [0])
    node.start()
    return node


def all_know_each_other(nodes):
    addresses = [node._peer_server.address for node in nodes]
    return all({member.relay for member in node._order.members.values()} >= set(addresses) for node in nodes)


async def two_nodes(harness):
    """Return the node that follows the store, then the node that follows that node."""
    await harness.node.listen_for_peers(LOOPBACK, [0])
    nodes = [harness.node, await second_node(harness)]
    await harness.until(lambda: all_know_each_other(nodes))
    await harness.until(lambda: all(node.is_ready() for node in nodes))
    nodes.sort(key=lambda node: len(node._order.candidates(asyncio.get_running_loop().time())))
    await harness.until(lambda: all(len(rows.links) for rows in nodes[1]._followers.relayed_tables.values()))
    return nodes


def test_changes_reach_both_nodes_and_the_other_node_after_the_relay_stops(on_platform):
    async def scenario(harness):
        relay, follower = await two_nodes(harness)
        harness.store.put("op", "config", config(2))
        await harness.until(lambda: relay.state.config.version == follower.state.config.version == 2)
        await relay.stop()
        harness.store.put("op", "config", config(3, [route(prefix="/new/")]))
        await harness.until(lambda: follower.state.config.version == 3)
        ready = follower.is_ready()
        await follower.stop()
        return ready

    assert on_platform(scenario)


def test_follower_leaves_a_relay_that_stops_as_planned_at_once(on_platform):
    async def scenario(harness):
        relay, follower = await two_nodes(harness)
        harness.store.silent = True
        before_s = follower.state.freshness.confirmed_at_s
        draining = asyncio.create_task(relay.drain(0.5, _nothing))
        await harness.until(lambda: not follower._order.candidates(asyncio.get_running_loop().time()))
        harness.store.silent = False
        await harness.until(lambda: follower.state.freshness.confirmed_at_s > before_s + 0.2)
        await draining
        await follower.stop()

    on_platform(scenario)


async def _nothing():
    return None


def test_nodes_learn_each_others_requests_in_flight(on_platform):
    async def scenario(harness):
        relay, follower = await two_nodes(harness)
        for node, load in ((relay, 3), (follower, 5)):
            node.state.backends.get("i-0").load = load
        await harness.until(lambda: relay.state.backends.get("i-0").peers_load == 5)
        await harness.until(lambda: follower.state.backends.get("i-0").peers_load == 3)
        await follower.stop()

    on_platform(scenario)


def test_nodes_know_each_others_loads_all_the_while_the_store_is_away(on_platform):
    """Guards against nodes that hear nothing of each other, neither loads nor crashes, while no relay's copy of the
    store is recent."""

    async def scenario(harness):
        relay, follower = await two_nodes(harness)
        loads = [node.state.backends.get("i-0") for node in (relay, follower)]
        loads[0].load, loads[1].load = 3, 5
        await harness.until(lambda: [each.peers_load for each in loads] == [5, 3])
        harness.store.refuse_status = 503
        end_s = boot_time_s() + STORE_AWAY_S
        while boot_time_s() < end_s:
            assert [each.peers_load for each in loads] == [5, 3]
            await asyncio.sleep(0.05)
        await follower.stop()

    on_platform(scenario)


def test_restarted_node_registers_its_new_address(on_platform):
    async def scenario(harness):
        first = await second_node(harness)
        await harness.until(
            lambda: first._peer_server.address in (harness.store.value("wallwell", "member/n2") or "")
        )
        await first.stop()
        again = await second_node(harness)
        await harness.until(lambda: again._peer_server.address in harness.store.value("wallwell", "member/n2"))
        member = json.loads(harness.store.value("wallwell", "member/n2"))
        address = again._peer_server.address
        await again.stop()
        stated = {"makes_attempts": True, "keeps_streams": True, "checks_backends": True}
        return member == {"zone": "z1", "relay": address, "link_mbps": 0.0, **stated}

    assert on_platform(scenario)


@pytest.mark.parametrize("free_after", [1, None])
def test_port_in_use_is_skipped(on_platform, free_after):
    """``free_after`` is the index of the free port; None if no port is free."""

    async def scenario(harness):
        with socket.socket() as taken:
            taken.bind((LOOPBACK, 0))
            taken.listen()
            ports = [taken.getsockname()[1]] + ([0] if free_after else [])
            await harness.node.listen_for_peers(LOOPBACK, ports)
        await harness.until(lambda: harness.store.value("wallwell", "member/n1") is not None)
        served = harness.node._peer_server.address
        return bool(served), (await harness.call())[0]

    assert on_platform(scenario) == (free_after is not None, 200)


@pytest.mark.parametrize(
    ("ip", "port_range", "ports"),
    [
        ("10.0.0.1", (7340, 7342), [7340, 7341, 7342]),
        ("10.0.0.1", (7340,), [7340]),
        ("10.0.0.1", (), []),
        ("", (7340, 7342), []),
    ],
)
def test_peer_ports_follow_the_settings(ip, port_range, ports):
    addresses = ListenAddresses("10.0.0.1:1", "10.0.0.1:2")
    settings = PlatformSettings("n", "z", addresses, StoreAddress("10.0.0.9:1"), ip=ip, port_range=port_range)
    assert list(settings.peer_ports()) == ports
