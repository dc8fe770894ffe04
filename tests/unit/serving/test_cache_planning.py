"""Which prompt parts an engine fetches from a KV store and saves there, also around changes of weights."""

import dataclasses

import pytest

from tests.unit.serving.fakes import (
    FakeClient,
    FakeReply,
    Script,
    event,
    make_generation,
    make_request,
    make_route,
    make_state,
)
from tests.virtual_time import run_virtual
from wallwell.address import Address
from wallwell.clock import boot_time_s
from wallwell.deployment.routes import RouteKind, Service
from wallwell.routing.health.backend import ExpectedWeightsLoad
from wallwell.routing.retry.first_token import DelayCounts
from wallwell.routing.selection.kv_store import CacheEntry, CachePage, CachePosition, KvStoreContents
from wallwell.routing.selection.kv_store_choice import MIN_FETCH_TOKENS, home_store_address
from wallwell.routing.selection.prefix_home import placement_key
from wallwell.serving.pipeline import RequestPipeline

STORE = Address("10.9.0.1", 80)
ROUTE = make_route(RouteKind.STREAM, attempts=1)


def store_contents(*parts):
    contents = KvStoreContents()
    contents.apply_page(
        CachePage(CachePosition(1, 1), tuple(CacheEntry(1, "m:1", each, 2000) for each in parts), whole=True)
    )
    return contents


def cache_plan_for(prepare, tokens=2000):
    """Serve a generation on the only engine and return the store it fetches from and the store it saves to."""

    async def scenario():
        node_state = make_state(ROUTE, versions={"m": 1}, backends=1)
        services = (Service("kv", kv_store_address=STORE),)
        node_state.apply_config(dataclasses.replace(node_state.config, version=2, services=services))
        prepare(node_state)
        client = FakeClient(Script(chunks=(event(1),), stream=True))
        await RequestPipeline(node_state, client).serve(
            make_request(generation=make_generation(tokens)), FakeReply()
        )
        cache = client.sent[0].cache
        return cache.fetch_from, cache.save_to

    return run_virtual(scenario())


def store_holding(*parts, reachable=True):
    def prepare(node_state):
        node_state.kv_store_contents[STORE] = store_contents(*parts)
        node_state.kv_store_contents[STORE].reachable = reachable

    return prepare


def engine_loading_weights(node_state):
    node_state.backends.get("i-0").expected_load = ExpectedWeightsLoad("m", 2, boot_time_s() + 1.0)


def stale_confirmation(node_state):
    node_state.freshness.confirmed_at_s = boot_time_s() - 2.5


@pytest.mark.parametrize(
    ("prepare", "fetches", "saves"),
    [
        (lambda node_state: None, True, True),
        (store_holding(), True, True),
        (store_holding("shared"), True, False),
        (store_holding("shared", reachable=False), False, False),
        (engine_loading_weights, True, False),
        (stale_confirmation, True, False),
    ],
    ids=["unknown", "missing", "held", "unreachable", "about to load", "stale confirmation"],
)
def test_fetch_and_save_by_store_contents_and_engine_state(prepare, fetches, saves):
    assert cache_plan_for(prepare) == (STORE if fetches else None, STORE if saves else None)


def test_concurrent_requests_save_a_prefix_once():
    async def scenario():
        node_state = make_state(ROUTE, versions={"m": 1})
        services = (Service("kv", kv_store_address=STORE),)
        node_state.apply_config(dataclasses.replace(node_state.config, version=2, services=services))
        node_state.kv_store_contents[STORE] = store_contents()
        client = FakeClient(Script(chunks=(event(1),), stream=True))
        for _ in range(3):
            await RequestPipeline(node_state, client).serve(make_request(generation=make_generation()), FakeReply())
        return [bool(sent.cache.save_to) for sent in client.sent]

    assert run_virtual(scenario()) == [True, False, False]


def store_holding_and_fleet_behind(node_state):
    store_holding("shared")(node_state)
    node_state.first_token_delays.peer_counts = DelayCounts(100, 60)


@pytest.mark.parametrize(
    ("prepare", "tokens", "fetches"),
    [
        (store_holding("shared"), MIN_FETCH_TOKENS - 1, True),
        (store_holding_and_fleet_behind, MIN_FETCH_TOKENS - 1, False),
        (store_holding_and_fleet_behind, MIN_FETCH_TOKENS, True),
    ],
    ids=["short, in time", "short, behind", "long, behind"],
)
def test_short_shared_parts_are_not_fetched_while_the_fleet_is_behind(prepare, tokens, fetches):
    """In a deployment of 195 nodes, prompts of 800 tokens had waited 2 s in the queue to transfer 200 tokens."""
    assert cache_plan_for(prepare, tokens)[0] == (STORE if fetches else None)


OTHER_STORE = Address("10.9.0.2", 80)


def two_stores(home_parts, other_parts, other_reachable=True):
    """Return a preparation with two stores that hold these parts: the prompt's home store and another one."""

    def prepare(node_state):
        services = tuple(Service(str(each), kv_store_address=each) for each in (STORE, OTHER_STORE))
        node_state.apply_config(dataclasses.replace(node_state.config, version=3, services=services))
        placement = placement_key(make_generation(2000).parts, "")
        home = home_store_address(node_state.kv_stores, placement, "z1")
        other = OTHER_STORE if home == STORE else STORE
        node_state.kv_store_contents[home], node_state.kv_store_contents[other] = (
            store_contents(*home_parts),
            store_contents(*other_parts),
        )
        node_state.kv_store_contents[other].reachable = other_reachable
        node_state.home = home

    return prepare


@pytest.mark.parametrize(
    ("home_parts", "other_parts", "other_reachable", "from_home"),
    [
        ((), (), True, True),
        (("shared",), ("shared",), True, True),
        (("shared",), (), True, True),
        ((), ("shared",), True, False),
        ((), ("shared",), False, True),
    ],
    ids=["nowhere", "both", "home", "elsewhere", "elsewhere, unreachable"],
)
def test_parts_are_fetched_from_any_store_that_holds_them_and_saved_at_their_home_store(
    home_parts, other_parts, other_reachable, from_home
):
    """After a change of weights, engines had prefilled parts again that a store other than the home store held."""
    homes = []

    def prepare(node_state):
        two_stores(home_parts, other_parts, other_reachable)(node_state)
        homes.append(node_state.home)

    fetch_from, save_to = cache_plan_for(prepare)
    assert (fetch_from == homes[0]) == from_home
    assert save_to == (None if "shared" in home_parts else homes[0])
