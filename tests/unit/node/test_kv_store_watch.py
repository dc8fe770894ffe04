"""Nodes read the contents of a KV store from the store or from a peer, and detect when it is unreachable."""

import asyncio
import dataclasses

import pytest

from tests.unit.serving.fakes import make_state
from wallwell.address import Address
from wallwell.cluster.peer_link import PeerServer
from wallwell.cluster.upstream import NodeRecord, UpstreamOrder
from wallwell.deployment.routes import Service
from wallwell.errors import CacheEventsRefusedError, CacheStoreSilentError
from wallwell.events import Event
from wallwell.node import kv_store_watch
from wallwell.node.kv_store_watch import CacheRequest, KvStoreWatch
from wallwell.routing.selection.kv_store import CacheEntry, CachePage, CachePosition, KvStoreContents
from wallwell.routing.selection.prefix_home import PromptPart

ADDRESS = Address("10.9.0.1", 80)
REFUSED = CacheEventsRefusedError("status 503")


class Store:
    """Holds parts and sends events in order; it can be silent, refuse calls or lose events."""

    def __init__(self):
        self.epoch, self.parts, self.journal = 1, {}, []
        self.error = None
        self.calls = self.listings = 0

    @property
    def position(self):
        return CachePosition(self.epoch, len(self.journal))

    def save(self, part, tokens=100, announced=True):
        self.parts[part] = tokens
        self.journal.append(CacheEntry(len(self.journal) + 1, "s", part, tokens) if announced else None)

    def restart(self):
        self.epoch, self.parts, self.journal = self.epoch + 1, {}, []

    async def events(self, address, position, wait_s):
        self.calls += 1
        if self.error is not None:
            raise self.error
        if position.epoch != self.epoch:
            return await self.listing(address)
        if position == self.position:
            await asyncio.sleep(0.01)
        return CachePage(self.position, tuple(each for each in self.journal[position.number :] if each))

    async def listing(self, address):
        self.listings += 1
        if self.error is not None:
            raise self.error
        number = len(self.journal)
        entries = tuple(CacheEntry(number, "s", part, tokens) for part, tokens in self.parts.items())
        return CachePage(self.position, entries, whole=True)


class Node:
    def __init__(self, name, store):
        self.state = make_state()
        services = (Service("kv", kv_store_address=ADDRESS),)
        self.state.apply_config(dataclasses.replace(self.state.config, version=2, services=services))
        self.state.kv_store_contents[ADDRESS] = KvStoreContents()
        self.order = UpstreamOrder(name, "z")
        self.watch = KvStoreWatch(self.state, store, self.order)
        self.server = PeerServer({CacheRequest: self.watch.answer_peer})

    @property
    def cache(self):
        return self.state.kv_store_contents[ADDRESS]

    def holds(self, part):
        return self.cache.holds("s", (PromptPart(part, 100),))


@pytest.fixture
def with_nodes(run_async, monkeypatch):
    """Run a scenario on two nodes of one zone; the first one reads the store, the second one its peer."""
    # Load on the machine must not make connections to peers time out.
    monkeypatch.setattr("wallwell.cluster.peer_link.CONNECT_TIMEOUT_S", 20.0)

    def run(scenario):
        async def work():
            store = Store()
            nodes = [Node(f"n{index}", store) for index in range(2)]
            for node in nodes:
                await node.server.start("127.0.0.1", 0)
            members = {f"n{index}": NodeRecord("z", node.server.address) for index, node in enumerate(nodes)}
            for node in nodes:
                node.order.members = members
            nodes.sort(key=lambda node: len(node.order.candidates(0.0)))
            try:
                await scenario(store, *nodes)
            finally:
                for node in nodes:
                    node.watch.close()
                    node.server.close()

        run_async(work())

    return run


def test_member_reads_from_its_relay_without_calling_the_store(with_nodes):
    async def scenario(store, relay, member):
        store.save("a")
        await relay.watch.read_once(ADDRESS)
        calls = store.calls
        await member.watch.read_once(ADDRESS)
        assert (relay.holds("a"), member.holds("a"), store.calls) == (True, True, calls)

    with_nodes(scenario)


def test_waiting_member_receives_a_change_at_once(with_nodes, monkeypatch):
    monkeypatch.setattr("wallwell.node.kv_store_watch.EVENT_WAIT_S", 30.0)

    async def scenario(store, relay, member):
        await relay.watch.read_once(ADDRESS)
        await member.watch.read_once(ADDRESS)
        waiting = asyncio.create_task(member.watch.read_once(ADDRESS))
        await asyncio.sleep(0.05)
        store.save("a")
        await relay.watch.read_once(ADDRESS)
        async with asyncio.timeout(20):
            await waiting
        assert member.holds("a")

    with_nodes(scenario)


@pytest.mark.parametrize("error", [CacheStoreSilentError("x"), CacheEventsRefusedError("429")])
def test_only_a_silent_store_counts_as_unreachable(with_nodes, error):
    async def scenario(store, relay, member):
        for node in (relay, member):
            await node.watch.read_once(ADDRESS)
        store.error = error
        assert not await relay.watch.read_once(ADDRESS)
        await member.watch.read_once(ADDRESS)
        silent = isinstance(error, CacheStoreSilentError)
        assert (relay.cache.reachable, member.cache.reachable) == (not silent, not silent)
        store.error = None
        for node in (relay, member):
            await node.watch.read_once(ADDRESS)
        assert relay.cache.reachable
        assert member.cache.reachable

    with_nodes(scenario)


def test_a_restarted_store_is_known_to_be_empty(with_nodes):
    async def scenario(store, relay, member):
        store.save("a")
        for node in (relay, member):
            await node.watch.read_once(ADDRESS)
        store.restart()
        for node in (relay, member):
            await node.watch.read_once(ADDRESS)
        assert not relay.holds("a")
        assert not member.holds("a")

    with_nodes(scenario)


def test_lost_events_cause_one_listing_per_interval(with_nodes):
    async def scenario(store, relay, member):
        await relay.watch.read_once(ADDRESS)
        relay.watch._listed_at_s.clear()
        store.save("lost", announced=False)
        store.save("told")
        for _ in range(4):
            await relay.watch.read_once(ADDRESS)
        assert relay.holds("lost")
        listings = store.listings
        store.save("lost too", announced=False)
        for _ in range(4):
            await relay.watch.read_once(ADDRESS)
        assert store.listings == listings

    with_nodes(scenario)


def test_member_reads_the_store_itself_while_its_relay_is_down(with_nodes):
    async def scenario(store, relay, member):
        store.save("a")
        relay.server.close()
        await asyncio.sleep(0.01)
        assert await member.watch.read_once(ADDRESS)
        assert member.holds("a")

    with_nodes(scenario)


def test_stores_are_followed_as_they_are_configured(run_async):
    async def work():
        store = Store()
        store.save("a")
        node = Node("n0", store)
        running = asyncio.create_task(node.watch.run())
        async with asyncio.timeout(5):
            while not node.holds("a"):
                await asyncio.sleep(0.01)
            node.state.apply_config(dataclasses.replace(node.state.config, version=3, services=()))
            while node.state.kv_store_contents:
                await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    run_async(work())


def test_several_stores_are_followed_through_one_relay_concurrently(with_nodes, monkeypatch):
    """A link between peers carries one request at a time, and the followers of three stores shared one link."""
    monkeypatch.setattr("wallwell.node.kv_store_watch.EVENT_WAIT_S", 0.3)

    async def scenario(store, relay, member):
        store.save("a")
        addresses = [ADDRESS, Address("10.9.0.2", 80), Address("10.9.0.3", 80)]
        for address in addresses:
            for node in (relay, member):
                node.state.kv_store_contents.setdefault(address, KvStoreContents())
            await relay.watch.read_once(address)
        calls = store.calls
        for _ in range(3):
            assert all(await asyncio.gather(*(member.watch.read_once(address) for address in addresses)))
        assert store.calls == calls

    with_nodes(scenario)


def test_a_store_that_sends_no_events_is_logged_once_until_it_sends_some(monkeypatch):
    events = []
    monkeypatch.setattr(kv_store_watch, "emit", lambda event, **fields: events.append(event))

    async def scenario():
        store = Store()
        node = Node("a", store)
        for error in (REFUSED, REFUSED, None, REFUSED):
            store.error = error
            await node.watch.read_once(ADDRESS)

    asyncio.run(scenario())
    assert events == [Event.CACHE_EVENTS_REFUSED] * 2


def test_store_loss_reported_by_a_relay_is_logged(with_nodes, monkeypatch):
    """A node that read a store through a peer logged its return (event 6010) but never its loss (6009)."""
    events = []
    monkeypatch.setattr(kv_store_watch, "emit", lambda event, **fields: events.append(event))
    monkeypatch.setattr("wallwell.node.kv_store_watch.EVENT_WAIT_S", 0.01)

    async def scenario(store, relay, member):
        for error in (None, CacheStoreSilentError("x"), None):
            store.error = error
            store.save("a")
            await relay.watch.read_once(ADDRESS)
            await member.watch.read_once(ADDRESS)

    with_nodes(scenario)
    assert events == [Event.CACHE_STORE_LOST] * 2 + [Event.CACHE_STORE_REGAINED] * 2
