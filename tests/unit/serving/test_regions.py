"""Requests and KV cache stay within a region, unless the gain outweighs the cost of crossing to the other one."""

import asyncio
import dataclasses
import random
from collections import Counter

import msgspec
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
from wallwell.cluster.upstream import UpstreamOrder
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.routes import RouteKind, Service
from wallwell.deployment.topology import Topology
from wallwell.node.kv_store_watch import KvStoreWatch
from wallwell.node.metrics import metrics_text
from wallwell.placement.weights_roll import pools_by_prompt_length
from wallwell.routing.retry.attempt_outcome import AttemptLog
from wallwell.routing.selection.call_choice import choose_backend_for_call
from wallwell.routing.selection.kv_store import CacheEntry, CachePage, CachePosition, KvStoreContents
from wallwell.routing.selection.prefix_home import PromptPart
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.backend_selector import BackendSelector
from wallwell.serving.counters import RequestCounters
from wallwell.serving.pipeline import RequestPipeline

REGION_OF_ZONE = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
STREAM = make_route(RouteKind.STREAM, attempts=1)
STORE_ZONES = ("a1", "a2", "b1", "b2")
STORES = {zone: Address(f"10.9.0.{index}", 1) for index, zone in enumerate(STORE_ZONES)}
PROMPTS = [f"shared{index}" for index in range(40)]


def fleet_state(node_zone, engine_zones, store_zones=STORE_ZONES):
    """Return the state of a node with an engine in each listed zone."""
    state = make_state(STREAM, backends=0)
    state.zone, state.topology = node_zone, Topology(node_zone, REGION_OF_ZONE)
    services = tuple(Service(zone, kv_store_address=STORES[zone], zone=zone) for zone in store_zones)
    state.apply_config(dataclasses.replace(state.config, version=2, services=services))
    for index, zone in enumerate(engine_zones):
        state.backends.upsert(BackendRecord(f"i-{index}", "svc", f"10.0.0.{index}:80", zone, 8, versions={"m": 1}))
    return state


def cache_plans(node_zone, engine_zone, prompts, prepare=lambda state: None, store_zones=STORE_ZONES):
    """Return the cache plan of each prompt on the only engine."""

    async def scenario():
        state = fleet_state(node_zone, [engine_zone], store_zones)
        state.freshness.confirm(boot_time_s())
        prepare(state)
        client = FakeClient(Script(chunks=(event(1),), stream=True))
        for prompt in prompts:
            parts = (PromptPart(prompt, 2000), PromptPart("own", 9))
            generation = msgspec.structs.replace(make_generation(), parts=parts)
            await RequestPipeline(state, client).serve(make_request(generation=generation), FakeReply())
        return [sent.cache for sent in client.sent]

    return run_virtual(scenario())


def store_contents(*parts, tokens=2000):
    cache = KvStoreContents()
    entries = tuple(CacheEntry(1, "m:1", part, tokens) for part in parts)
    cache.apply_page(CachePage(CachePosition(1, 1), entries, whole=True))
    return cache


@pytest.mark.parametrize(("engine_zone", "region"), [("a1", "a"), ("a2", "a"), ("b1", "b")])
def test_parts_are_fetched_within_the_region_of_the_engine_alike_on_all_nodes(engine_zone, region):
    """A transfer between regions takes ten times as long and delays the engine's other transfers."""
    from_a = [plan.fetch_from for plan in cache_plans("a1", engine_zone, PROMPTS)]
    from_b = [plan.fetch_from for plan in cache_plans("b2", engine_zone, PROMPTS)]
    assert from_a == from_b
    assert set(from_a) == {STORES[zone] for zone in STORE_ZONES if REGION_OF_ZONE[zone] == region}


def test_engines_fetch_parts_that_another_zone_of_the_region_saved():
    saved = [plan.save_to for plan in cache_plans("a1", "a1", PROMPTS)]
    found = [plan.fetch_from for plan in cache_plans("a2", "a2", PROMPTS)]
    assert saved == found


@pytest.mark.parametrize("engine_zone", ["a2", "b1"])
def test_a_node_saves_missing_parts_in_the_stores_of_both_regions(engine_zone):
    """Half of an engine's long prompts come from the other region; only those had been prefilled again."""

    def prepare(state):
        for address in STORES.values():
            state.kv_store_contents[address] = store_contents("known")

    known, lacking = cache_plans("a1", engine_zone, ["known", "lacking"], prepare)
    assert known.save_to is None
    assert lacking.save_to in {
        STORES[zone] for zone in STORE_ZONES if REGION_OF_ZONE[zone] == REGION_OF_ZONE[engine_zone]
    }


def test_an_engine_without_a_store_in_its_region_neither_fetches_nor_saves():
    (plan,) = cache_plans("b1", "b1", ["shared"], store_zones=("a1", "a2"))
    assert (plan.fetch_from, plan.save_to) == (None, None)


@pytest.mark.parametrize(
    ("source_zone", "tokens_near", "from_near"),
    [("a2", 2000, True), ("a2", 1950, True), ("a2", 1500, False), ("b1", 1100, True), ("b1", 900, False)],
    ids=["as much in the zone", "nearly as much", "less", "over half in the region", "under half"],
)
def test_a_nearer_store_is_preferred_unless_it_holds_much_less(source_zone, tokens_near, from_near):
    """A prompt in the other region fetches its parts from its own region, but not while most of them are nearer."""

    def prepare(state):
        for address in STORES.values():
            state.kv_store_contents[address] = store_contents()
        state.kv_store_contents[STORES["a1"]] = store_contents("shared", tokens=tokens_near)
        state.kv_store_contents[STORES[source_zone]] = store_contents("shared")

    (plan,) = cache_plans("a1", "a1", ["shared"], prepare)
    assert plan.fetch_from == STORES["a1" if from_near else source_zone]


def test_without_a_region_map_the_stores_of_all_zones_are_used():
    def forget_regions(state):
        state.topology = Topology("a1")

    plans = cache_plans("a1", "a1", PROMPTS, forget_regions)
    assert {plan.save_to for plan in plans} == set(STORES.values())


class CountingSource:
    """Simulates empty stores and records which addresses are polled."""

    def __init__(self):
        self.polled_addresses = set()

    async def events(self, address, position, wait_s):
        self.polled_addresses.add(address)
        await asyncio.sleep(wait_s)
        return CachePage(CachePosition(1, 0), whole=True)

    async def listing(self, address):
        return await self.events(address, CachePosition(), 0.0)


def test_stores_of_all_regions_are_polled():
    """Nodes send long prompts to engines of both regions, and have them save only the parts their stores lack."""

    async def scenario():
        source = CountingSource()
        state = fleet_state("b1", [])
        state.rng = random.Random(1)
        watch = KvStoreWatch(state, source, UpstreamOrder("n1", "b1"))
        running = asyncio.create_task(watch.run())
        await asyncio.sleep(3.0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return source.polled_addresses

    assert run_virtual(scenario()) == set(STORES.values())


def active_generation(prompt, tokens=100, own=9):
    """Return an active generation request whose shared prompt part has this name."""
    parts = (PromptPart(prompt, tokens), PromptPart("own", own))
    request = make_request(generation=msgspec.structs.replace(make_generation(), parts=parts))
    return ActiveRequest(request, None, STREAM, None, "svc", 1e9, AttemptLog(repeatable=True))


ENGINE_ZONES = ("a1", "a2", "b1", "b2") * 3
LONG = 9_000
SLOTS = 8


def chosen_regions(node_zone, loads, tokens=100, prompts=100, without=(), shared=100):
    """Return how many prompts go to engines of each region; ``loads`` are the engines' loads by region.

    ``shared`` of a prompt's ``tokens`` are shared; the rest is its own.
    """

    async def scenario():
        state = fleet_state(node_zone, ENGINE_ZONES)
        for engine in state.backends.all_backends():
            engine.peers_load = loads[REGION_OF_ZONE[engine.record.zone]]
        candidates = [
            each
            for each in state.backends.backends_of_service("svc")
            if REGION_OF_ZONE[each.record.zone] not in without
        ]
        state.prefill_rate.seconds_per_unit = 0.095
        choice = BackendSelector(state)
        chosen = Counter()
        for number in range(prompts):
            active = active_generation(f"p{number}", shared, tokens - shared)
            chosen[REGION_OF_ZONE[choice.choose(active, candidates).record.zone]] += 1
        return chosen

    return run_virtual(scenario())


@pytest.mark.parametrize("tokens", [100, LONG])
@pytest.mark.parametrize(("zone", "region"), [("a1", "a"), ("b2", "b")])
def test_prompts_stay_in_the_region_while_it_has_headroom(zone, region, tokens):
    assert set(chosen_regions(zone, {"a": 2, "b": 2}, tokens)) == {region}


@pytest.mark.parametrize(
    ("loads", "region"),
    [
        ({"a": SLOTS - 1, "b": 0}, "a"),
        ({"a": SLOTS, "b": 0}, "b"),
        ({"a": SLOTS, "b": SLOTS - 1}, "a"),
        ({"a": 3 * SLOTS, "b": 3 * SLOTS}, "a"),
    ],
    ids=["one free slot", "full", "other nearly full", "both full"],
)
def test_prompts_go_to_the_other_region_only_while_it_has_more_headroom(loads, region):
    assert set(chosen_regions("a1", loads)) == {region}


@pytest.mark.parametrize(
    ("loads", "least", "most"),
    [
        ({"a": 60, "b": 50}, 0, 0),
        ({"a": 60, "b": 40}, 50, 180),
        ({"a": 90, "b": 30}, 350, 550),
        ({"a": 40, "b": 60}, 0, 0),
    ],
    ids=["similar", "one and a half times", "three times", "less"],
)
def test_a_fraction_of_prompts_leaves_a_region_with_higher_load(loads, least, most):
    """With 7 of 15 engines of a region missing, its engines had loads of 61 to 92 and the other region's 47."""
    assert least <= chosen_regions("a1", loads, prompts=1000)["b"] <= most


def test_a_long_prompt_crosses_regions_if_only_that_meets_the_objective():
    """At 95 ms per load unit, an engine starts a prompt in 0.4 s up to load 4.2; in the other region up to 3.8."""
    assert set(chosen_regions("a1", {"a": 4, "b": 3}, LONG)) == {"a"}
    assert set(chosen_regions("a1", {"a": 5, "b": 3}, LONG)) == {"b"}
    assert set(chosen_regions("a1", {"a": 5, "b": 4}, LONG)) == {"a"}


def test_prompts_that_leave_the_region_spread_over_the_other_one():
    """All nodes see the same delayed loads of the other region, and must not all choose its least loaded engine."""

    async def scenario():
        state = fleet_state("a1", ENGINE_ZONES)
        for engine in state.backends.all_backends():
            engine.peers_load = SLOTS if REGION_OF_ZONE[engine.record.zone] == "a" else 2
        state.backends.get("i-2").peers_load = 0
        choice = BackendSelector(state)
        chosen = Counter()
        for number in range(300):
            chosen[
                choice.choose(
                    active_generation(f"p{number}"), state.backends.backends_of_service("svc")
                ).incarnation
            ] += 1
        return chosen

    chosen = run_virtual(scenario())
    assert len(chosen) == 2  # The pool for short prompts in the other region.
    assert max(chosen.values()) < 0.65 * 300


@pytest.mark.parametrize("tokens", [100, LONG])
def test_without_engines_in_the_region_all_prompts_go_to_the_other_one(tokens):
    assert set(chosen_regions("a1", {"a": 0, "b": 3}, tokens, without=("a",))) == {"b"}
    assert set(chosen_regions("a1", {"a": 0, "b": 30}, tokens, without=("a",))) == {"b"}


def engines_of_prompts(zone, tokens, loads=None):
    """Return the record of each prompt's engine; all but a few of a prompt's tokens are shared."""

    async def scenario():
        state = fleet_state(zone, ENGINE_ZONES)
        for engine in state.backends.all_backends():
            engine.peers_load = (loads or {}).get(REGION_OF_ZONE[engine.record.zone], 0)
        choice = BackendSelector(state)
        candidates = state.backends.backends_of_service("svc")
        return [choice.choose(active_generation(f"p{number}", tokens), candidates).record for number in range(50)]

    return run_virtual(scenario())


def test_a_short_prefix_has_a_home_engine_in_each_region():
    first, second, other = (engines_of_prompts(zone, 100) for zone in ("a1", "a2", "b1"))
    assert first == second
    assert {REGION_OF_ZONE[each.zone] for each in first} == {"a"}
    assert {REGION_OF_ZONE[each.zone] for each in other} == {"b"}


def test_a_long_prefix_has_one_home_engine_for_all_nodes():
    first, second, other = (engines_of_prompts(zone, LONG) for zone in ("a1", "a2", "b1"))
    assert first == second == other
    by_region = Counter(REGION_OF_ZONE[each.zone] for each in first)
    assert min(by_region.values()) >= 15


def test_a_long_prefix_leaves_its_home_region_while_that_is_full():
    assert {REGION_OF_ZONE[each.zone] for each in engines_of_prompts("a1", LONG, {"a": 3 * SLOTS})} == {"b"}


def test_each_region_has_its_own_engines_for_short_prompts():
    state = run_virtual(state_with_all_engines())
    listed = state.backends.backends_of_service("svc")
    short, long = pools_by_prompt_length(listed, state.topology)
    for region in ("a", "b"):
        assert sum(REGION_OF_ZONE[each.record.zone] == region for each in short) == 2
        assert sum(REGION_OF_ZONE[each.record.zone] == region for each in long) == 4


def test_the_first_half_of_a_pool_covers_both_regions():
    """Weights are loaded on half a pool at a time, which must never be all engines of a region."""
    state = run_virtual(state_with_all_engines())
    for pool in pools_by_prompt_length(state.backends.backends_of_service("svc"), state.topology):
        first_half = pool[: len(pool) // 2]
        assert len({REGION_OF_ZONE[each.record.zone] for each in first_half}) == 2


async def state_with_all_engines():
    return fleet_state("a1", ENGINE_ZONES)


CALL_SLOTS = 6


def call_shares(node_zone, loads):
    """Return the number of calls that each zone's back end gets; ``loads`` are those of the other nodes by zone."""

    async def scenario():
        state = fleet_state(node_zone, ())
        for index, (zone, load) in enumerate(loads.items()):
            record = BackendRecord(f"b{index}", "calls", f"10.0.1.{index}:1", zone, CALL_SLOTS)
            state.backends.upsert(record).peers_load = load
        candidates = state.backends.backends_of_service("calls")
        return Counter(
            choose_backend_for_call(candidates, state.node_count, state.zone, state.topology, state.rng).record.zone
            for _ in range(400)
        )

    return run_virtual(scenario())


@pytest.mark.parametrize(
    ("loads", "zones"),
    [
        ({"a1": 1, "a2": 0, "b1": 0, "b2": 0}, {"a1"}),
        ({"a1": 5, "a2": 3, "b1": 0, "b2": 0}, {"a1", "a2"}),
        ({"a2": 2, "b1": 0, "b2": 0}, {"a2"}),
        ({"b1": 0, "b2": 0}, {"b1", "b2"}),
    ],
    ids=["own zone", "own region", "none in the zone", "none in the region"],
)
def test_calls_prefer_the_own_zone_then_the_own_region(loads, zones):
    assert set(call_shares("a1", loads)) == zones


def test_calls_leave_a_region_that_is_nearly_full():
    shares = call_shares("a1", {"a1": 6, "a2": 5, "b1": 1, "b2": 1})
    assert shares["b1"] + shares["b2"] > 300


@pytest.mark.parametrize(("engine_zone", "crosses"), [("a2", False), ("b1", True)])
def test_traffic_between_regions_is_counted_by_cause(engine_zone, crosses):
    async def scenario():
        state = fleet_state("a1", [engine_zone])
        state.freshness.confirm(boot_time_s())
        client = FakeClient(Script(chunks=(event(1), event(2)), stream=True))
        request = make_request(generation=make_generation(), body=b"x" * 100)
        await RequestPipeline(state, client).serve(request, FakeReply())
        return state, metrics_text(RequestCounters(), {}, state, is_ready=True).decode()

    state, text = run_virtual(scenario())
    size = 100 + len(event(1)) + len(event(2))
    assert state.region_traffic.exchanges == ({"stream": 1} if crosses else {})
    assert state.region_traffic.bytes == ({"stream": size} if crosses else {})
    assert (f'wallwell_region_bytes_total{{cause="stream"}} {float(size)}' in text) is crosses
    assert ('wallwell_region_exchanges_total{cause="stream"} 1.0' in text) is crosses
