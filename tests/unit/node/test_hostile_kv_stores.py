"""What a KV store or a peer sends of a store's contents: each hostile value is refused or believed without harm."""

import asyncio

import pytest

from tests.hostile_messages import drawn_bytes, hostile_messages
from tests.unit.serving.fakes import make_state
from tests.virtual_time import run_virtual
from wallwell.address import Address
from wallwell.cluster.upstream import UpstreamOrder
from wallwell.deployment.routes import DeploymentConfig, Service
from wallwell.errors import CacheEventsRefusedError
from wallwell.events import Event
from wallwell.node import kv_store_watch
from wallwell.node.kv_store_watch import CacheRequest, KvStoreWatch
from wallwell.platform.cache_events import CacheEventsClient, EventsBody, ListingBody
from wallwell.routing.selection.kv_store import CacheEntry, CachePage, CachePosition, KvStoreContents
from wallwell.routing.selection.kv_store_choice import KvStores, begin_store_save_if_needed, best_source_address
from wallwell.routing.selection.prefix_home import PromptPart

ADDRESS, OTHER = Address("10.9.0.1", 80), Address("10.9.0.2", 80)
PARTS = (PromptPart("a", 1), PromptPart("own", 9))


class AnsweringPool:
    """Answers each call with the same bytes."""

    def __init__(self, answer):
        self._answer = answer

    async def fetch(self, address, data, timeout_s, on_head=None):
        return 200, self._answer


def query(contents, topology):
    """Ask of a store's contents all that the plan of a request asks."""
    stores = KvStores((Service("kv", kv_store_address=ADDRESS),), {ADDRESS: contents}, topology)
    best_source_address(stores, ADDRESS, "a", PARTS, "z")
    begin_store_save_if_needed(stores, ADDRESS, "a", PARTS, 1.0)
    contents.changes_since(CachePosition())


@pytest.mark.parametrize("body", [EventsBody, ListingBody], ids=["events", "listing"])
def test_a_hostile_answer_of_a_store_is_refused_or_harmless(body):
    """Nested answers ended the store's follower; tokens of 400 digits made each prompt's plan fail."""

    async def work():
        topology = make_state().topology
        for name, answer in (*hostile_messages(body), *drawn_bytes(body, 100, seed=1)):
            client = CacheEventsClient(AnsweringPool(answer))
            contents = KvStoreContents()
            contents.apply_page(CachePage(CachePosition(1, 0), (CacheEntry(0, "a", "b", 5),), whole=True))
            try:
                page = await (
                    client.listing(ADDRESS)
                    if body is ListingBody
                    else client.events(ADDRESS, CachePosition(1, 0), 0.0)
                )
                contents.apply_page(page)
            except CacheEventsRefusedError as error:
                assert len(str(error)) < 1000, name
            query(contents, topology)

    run_virtual(work())


class FailingSource:
    """A store of which reading fails unexpectedly while ``error`` is set, and one that is sound."""

    def __init__(self):
        self.error = None
        self.calls = dict.fromkeys((ADDRESS, OTHER), 0)

    async def events(self, address, position, wait_s):
        self.calls[address] += 1
        if address == ADDRESS and self.error is not None:
            raise self.error
        await asyncio.sleep(0.1)
        return CachePage(CachePosition(1, 0), whole=True)

    async def listing(self, address):
        return await self.events(address, CachePosition(), 0.0)


@pytest.mark.parametrize("error", [TypeError("x"), OverflowError("x"), RecursionError("x"), KeyError("x")])
def test_an_unexpected_error_of_one_store_is_logged_once_and_stops_no_other(error, monkeypatch):
    """The follower's task ended with a traceback and began again five times a second; what had been read before
    went on counting as current."""
    logged = []
    monkeypatch.setattr(kv_store_watch, "emit", lambda event, **fields: logged.append((event, fields)))

    async def work():
        state = make_state()
        services = tuple(Service(str(each), kv_store_address=each) for each in (ADDRESS, OTHER))
        state.config = DeploymentConfig(2, state.config.routes, services)
        source = FailingSource()
        watch = KvStoreWatch(state, source, UpstreamOrder("n", "z"))
        running = asyncio.create_task(watch.run())
        await asyncio.sleep(1.0)
        assert state.kv_store_contents[ADDRESS].reachable
        source.error, calls = error, dict(source.calls)
        await asyncio.sleep(5.0)
        assert not state.kv_store_contents[ADDRESS].reachable
        assert not (await watch.answer_peer(CacheRequest(str(ADDRESS), CachePosition(), 0.0))).reachable
        assert source.calls[ADDRESS] - calls[ADDRESS] <= 14  # One call each 0.4 s or more.
        assert state.kv_store_contents[OTHER].reachable and source.calls[OTHER] - calls[OTHER] >= 20
        source.error = None
        await asyncio.sleep(1.5)
        assert state.kv_store_contents[ADDRESS].reachable
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    run_virtual(work())
    errors = [fields for event, fields in logged if event is Event.INTERNAL_ERROR]
    assert [(each["key"], each["where"]) for each in errors] == [(str(ADDRESS), "follower of a KV store")]
