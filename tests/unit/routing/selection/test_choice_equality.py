"""Which candidate gets a request: the pure modules beside the methods that they replace."""

import copy
import random
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from tests.unit.routing.selection.drawn_fleet import MODEL, NOW_S, ZONES, backends, topologies
from wallwell.deployment.routes import DeploymentConfig, Service
from wallwell.node.state import FleetBounds, NodeState
from wallwell.routing.retry.first_token import Delays
from wallwell.routing.selection.call_choice import choose_for_call
from wallwell.routing.selection.engine_choice import FleetView, Prompt, choose_for_generation
from wallwell.routing.selection.kv_store import CacheEntry, CachePage, CachePosition, KvStoreContents
from wallwell.routing.selection.kv_store_choice import (
    KvStores,
    begins_save,
    best_source,
    home_store,
    is_unreachable,
    is_worth_fetching,
    may_save,
)
from wallwell.routing.selection.prefix_home import PromptPart, placement_key, shared_parts
from wallwell.serving.backend_choice import BackendChoice
from wallwell.serving.cache_planning import CachePlanner
from wallwell.serving.messages import Generation

NODE_COUNTS = st.sampled_from([1, 3, 200])
SEEDS = st.integers(0, 1000)


def state_of(topology, nodes, seed=0):
    state = NodeState("n0", topology.zone, FleetBounds(), random.Random(seed))
    state.places = topology
    state.members = {f"n{index}" for index in range(nodes)}
    return state


@given(backends(min_size=1, all_open=True), topologies(), NODE_COUNTS, SEEDS)
def test_the_same_back_end_gets_a_call_with_the_same_draws(candidates, topology, nodes, seed):
    state = state_of(topology, nodes, seed)
    rng = copy.deepcopy(state.rng)
    for _ in range(5):
        new = choose_for_call(candidates, nodes, topology.zone, topology, rng)
        assert new is state.least_loaded(candidates)
        assert rng.getstate() == state.rng.getstate()


@st.composite
def prompts(draw):
    shared = [
        PromptPart(draw(st.sampled_from("abcdefgh")), draw(st.sampled_from([10, 600, 1024, 3000])))
        for _ in range(draw(st.integers(0, 2)))
    ]
    return (*shared, PromptPart("own", draw(st.sampled_from([1, 500, 5000, 20_000]))))


@given(
    backends(min_size=1, all_open=True),
    st.data(),
    topologies(),
    NODE_COUNTS,
    prompts(),
    st.sampled_from([0.02, 0.4, 2.0]),
    st.sampled_from([0.005, 0.07, 0.3]),
)
def test_the_same_engine_gets_a_generation(listed, data, topology, nodes, parts, objective_s, rate_s):
    candidates = data.draw(st.lists(st.sampled_from(listed), min_size=1, unique=True))
    state = state_of(topology, nodes)
    state.pace.seconds_per_unit = rate_s
    generation = Generation(MODEL, parts, None)
    key = placement_key(parts, "")
    active = SimpleNamespace(
        request=SimpleNamespace(generation=generation),
        route=SimpleNamespace(objective_s=objective_s),
        service="svc",
        placement=key,
    )
    shared_tokens = sum(part.tokens for part in shared_parts(parts))
    prompt = Prompt(key, generation.prompt_tokens, shared_tokens, objective_s)
    new = choose_for_generation(prompt, candidates, listed, FleetView(nodes, topology, state.pace))
    assert new is BackendChoice(state).choose(active, candidates, listed)


@st.composite
def store_contents(draw):
    contents = KvStoreContents()
    contents.reachable = draw(st.booleans())
    if draw(st.booleans()):
        kept = draw(st.dictionaries(st.sampled_from("abcdefgh"), st.sampled_from([5, 600, 1024, 3000])))
        entries = tuple(CacheEntry(1, "m:1", part, tokens) for part, tokens in kept.items())
        contents.take(CachePage(CachePosition(1, 1), entries, whole=True))
    return contents


@given(st.data(), topologies(), prompts(), backends(min_size=1, max_size=1, all_open=True))
def test_the_same_stores_are_chosen(data, topology, parts, engines):
    engine = engines[0]
    engine.versions = {MODEL: 1}
    count = data.draw(st.integers(0, 4))
    services = tuple(
        Service(f"kv{index}", kv_store_address=f"10.9.0.{index}:1", zone=data.draw(st.sampled_from(ZONES)))
        for index in range(count)
    )
    state = state_of(topology, 1)
    state.apply_config(DeploymentConfig(1, (), services=services))
    state.freshness.confirmed_at_s = data.draw(st.sampled_from([NOW_S - 3, NOW_S - 2, NOW_S]))
    for service in services:
        if data.draw(st.booleans()):
            state.kv_store_contents[service.kv_store_address] = data.draw(store_contents())
    if data.draw(st.booleans()):
        state.first_token_delays.peers = Delays(100, 60)
    stores = KvStores(state.kv_stores(), copy.deepcopy(state.kv_store_contents), topology)
    active = SimpleNamespace(
        request=SimpleNamespace(generation=Generation(MODEL, parts, None)),
        placement=placement_key(parts, ""),
        tenant=None,
    )
    for now_s in (NOW_S, NOW_S + 0.1):
        old = CachePlanner(state).plan(active, engine, now_s)
        home = home_store(stores, active.placement, engine.record.zone)
        fetch_from = save_to = ""
        if home and not is_unreachable(stores, home):
            if is_worth_fetching(parts, state.first_token_delays, now_s):
                fetch_from = best_source(stores, home, "m:1", parts, engine.record.zone)
            is_safe = may_save(engine.is_about_to_load(now_s), state.freshness.confirmed_at_s, now_s)
            if is_safe and begins_save(stores, home, "m:1", parts, now_s):
                save_to = home
        assert (fetch_from, save_to) == (old.fetch_from, old.save_to)
