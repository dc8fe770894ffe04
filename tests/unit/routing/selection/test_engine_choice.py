"""Every node chooses the same engine for a shared prefix, and skips overloaded engines."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.unit.routing.selection.fleet_strategies import backends, topologies
from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health.backend import Backend
from wallwell.routing.selection.engine_choice import (
    FleetView,
    Prompt,
    choose_engine_by_key,
    choose_engine_for_generation,
    choose_from_tiers,
)
from wallwell.routing.selection.prefill_rate import PrefillRate
from wallwell.routing.selection.prefix_home import PREFILL_CHUNK_TOKENS, PromptPart, engine_pool, placement_key


def engines(count):
    return [Backend(BackendRecord(f"i-{index}", "s", f"10.0.0.{index}:80", "z", 64)) for index in range(count)]


def parts(*identities):
    return tuple(PromptPart(identity, 100) for identity in identities)


def test_the_choice_does_not_depend_on_the_order_of_the_engines():
    listed = engines(6)
    key = placement_key(parts("a", "b", "own"), "")
    assert choose_engine_by_key(listed, key) is choose_engine_by_key(listed[::-1], key)


def test_removing_an_engine_moves_only_its_own_prefixes():
    listed = engines(6)
    keys = [placement_key(parts(f"p{index}", "own"), "") for index in range(200)]
    before = [choose_engine_by_key(listed, key) for key in keys]
    after = [choose_engine_by_key(listed[1:], key) for key in keys]
    assert all(new is old for old, new in zip(before, after, strict=True) if old is not listed[0])


def test_a_loaded_home_is_skipped_for_the_next_engine_in_the_order():
    listed = engines(4)
    key = placement_key(parts("hot", "own"), "")
    home = choose_engine_by_key(listed, key)
    home.load = 40
    second = choose_engine_by_key(listed, key)
    assert second is not home
    second.load = 41
    home.load = 0
    assert choose_engine_by_key(listed, key) is home


def test_the_choice_is_none_without_engines():
    assert choose_engine_by_key([], 1) is None


def test_requests_overflow_to_the_next_tier_when_the_first_is_full():
    """Guards against 109 short prompts of 2 s going to the only engine of their pool while others are idle."""
    first, second = engines(4)[:1], engines(4)[1:]
    assert choose_from_tiers((first, second), 1, node_count=7) is first[0]
    first[0].load = first[0].record.slots // 7 + 1
    assert choose_from_tiers((first, second), 1, node_count=7) in second


@pytest.mark.parametrize("idle", [0, 1, 3, 10])
def test_prompts_spread_over_all_engines_if_too_few_have_headroom(idle):
    """Guards against all nodes choosing the same engine by outdated loads.

    In a deployment of 59 engines, 23 prompts within 0.4 s went to the only engine that looked idle.
    """
    listed = engines(59)
    for number, engine in enumerate(listed):
        engine.peers_load = 70 + number % 7 if number >= idle else 1
    chosen = Counter(
        choose_from_tiers((listed[20:], listed), key, node_count=195).incarnation for key in range(300)
    )
    assert max(chosen.values()) <= 20


def test_an_engine_with_far_more_load_than_the_others_gets_nothing_even_if_all_are_full():
    listed = engines(9)
    for engine in listed:
        engine.peers_load = 70
    listed[4].peers_load = 140
    chosen = {choose_from_tiers((listed,), key, node_count=3).incarnation for key in range(200)}
    assert chosen == {each.incarnation for each in listed} - {"i-4"}


def test_the_choice_from_empty_tiers_is_none():
    assert choose_from_tiers(((), ()), 1, node_count=1) is None


def test_the_load_of_other_nodes_is_counted():
    listed = engines(4)
    for engine in listed:
        engine.peers_load = 2
    key = placement_key(parts("hot", "own"), "")
    home = choose_from_tiers((listed,), key, node_count=79)
    home.peers_load = 30
    second = choose_from_tiers((listed,), key, node_count=79)
    assert second is not home
    home.peers_load = 3
    assert choose_from_tiers((listed,), key, node_count=79) is home


def test_a_prefix_stays_at_its_home_in_a_large_fleet_while_the_home_has_headroom():
    """Guards against the own load being multiplied by the number of nodes although their loads are known.

    In a deployment of 79 nodes, one own request counted as 79, so the next one went to another engine.
    """
    listed = engines(45)
    for engine in listed:
        engine.peers_load = 1
    key = placement_key(parts("shared", "own"), "")
    home = choose_from_tiers((listed,), key, node_count=79)
    home.load = 1
    assert choose_from_tiers((listed,), key, node_count=79) is home


def test_a_long_prompt_goes_to_another_pool_if_it_would_miss_its_objective():
    listed = engines(6)
    pool = engine_pool(listed, PREFILL_CHUNK_TOKENS + 1)
    others = [each for each in listed if each not in pool]
    for each in pool:
        each.load = 10
    for each in others:
        each.load = 4
    assert choose_from_tiers((pool, listed), 7, 1, load_limit=9.0) in others
    assert choose_from_tiers((pool, listed), 7, 1, load_limit=11.0) in pool


def test_an_engine_below_the_load_bound_is_chosen_if_none_has_headroom():
    listed = engines(6)
    for engine in listed:
        engine.load = 20
    listed[0].load = 50
    chosen = {choose_from_tiers((listed[3:], listed), key, 1, load_limit=9.0).incarnation for key in range(100)}
    assert chosen == {f"i-{index}" for index in range(1, 6)}


@given(
    backends(min_size=1, all_open=True),
    st.data(),
    topologies(),
    st.integers(0, 2**64 - 1),
    st.sampled_from([100, 2000, PREFILL_CHUNK_TOKENS + 1, 20_000]),
)
def test_the_choice_is_a_candidate_and_does_not_depend_on_their_order(listed, data, topology, key, tokens):
    candidates = data.draw(st.lists(st.sampled_from(listed), min_size=1, unique=True))
    fleet = FleetView(3, topology, PrefillRate())
    prompt = Prompt(key, tokens, tokens // 2, 0.4)
    chosen = choose_engine_for_generation(prompt, candidates, listed, fleet)
    assert chosen in candidates
    assert chosen is choose_engine_for_generation(prompt, candidates[::-1], listed, fleet)
