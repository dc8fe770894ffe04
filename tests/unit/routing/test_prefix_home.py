"""Every node places a shared prefix on the same engine, short prompts apart from long ones."""

import pytest

from wallwell.deployment.backends import Backend, BackendRecord
from wallwell.routing.prefix_home import (
    CHUNK_TOKENS,
    PromptPart,
    choose_engine,
    choose_from_tiers,
    engine_pool,
    placement_key,
    request_load,
)


def engines(count):
    return [Backend(BackendRecord(f"i-{index}", "s", f"10.0.0.{index}:80", "z", 64)) for index in range(count)]


def parts(*identities):
    return tuple(PromptPart(identity, 100) for identity in identities)


def test_prompts_with_the_same_shared_parts_have_the_same_key():
    assert placement_key(parts("a", "b", "own1"), "") == placement_key(parts("a", "b", "own2"), "")
    assert placement_key(parts("a", "b", "own"), "") != placement_key(parts("a", "c", "own"), "")
    assert placement_key(parts("a", "b", "own"), "") != placement_key(parts("a", "b", "own"), "tenant")


def test_the_order_of_the_list_does_not_matter():
    listed = engines(6)
    key = placement_key(parts("a", "b", "own"), "")
    assert choose_engine(listed, key) is choose_engine(listed[::-1], key)


def test_losing_an_engine_moves_only_its_own_prefixes():
    listed = engines(6)
    keys = [placement_key(parts(f"p{index}", "own"), "") for index in range(200)]
    before = [choose_engine(listed, key) for key in keys]
    after = [choose_engine(listed[1:], key) for key in keys]
    assert all(new is old for old, new in zip(before, after, strict=True) if old is not listed[0])


def test_a_loaded_home_is_passed_over_for_the_next_in_order():
    listed = engines(4)
    key = placement_key(parts("hot", "own"), "")
    home = choose_engine(listed, key)
    home.load = 40
    second = choose_engine(listed, key)
    assert second is not home
    second.load = 41
    home.load = 0
    assert choose_engine(listed, key) is home


@pytest.mark.parametrize(("count", "short"), [(1, 1), (2, 2), (3, 1), (6, 2), (9, 3)])
def test_pools_are_apart_and_cover_every_engine(count, short):
    listed = engines(count)
    for_short = {each.incarnation for each in engine_pool(listed, CHUNK_TOKENS)}
    for_long = {each.incarnation for each in engine_pool(listed, CHUNK_TOKENS + 1)}
    assert len(for_short) == short
    assert for_short | for_long == {each.incarnation for each in listed}
    assert count < 3 or not for_short & for_long


def test_no_engine_gives_no_choice():
    assert choose_engine([], 1) is None


def test_requests_overflow_to_the_next_tier_when_the_first_is_full():
    """Found by a hunt: 109 short prompts of 2 s went to the one engine of their pool while others stood idle."""
    first, second = engines(4)[:1], engines(4)[1:]
    assert choose_from_tiers((first, second), 1, nodes=7) is first[0]
    first[0].load = first[0].record.slots // 7 + 1
    assert choose_from_tiers((first, second), 1, nodes=7) in second


def test_the_least_loaded_engine_takes_what_fits_nowhere():
    listed = engines(3)
    for load, engine in enumerate(listed, start=100):
        engine.load = load
    assert choose_from_tiers((listed[2:], listed), 1, nodes=1) is listed[0]
    assert choose_from_tiers(((), ()), 1, nodes=1) is None


@pytest.mark.parametrize(("tokens", "load"), [(0, 1), (CHUNK_TOKENS - 1, 1), (CHUNK_TOKENS, 2), (40_000, 10)])
def test_long_prompts_count_several_times(tokens, load):
    assert request_load(tokens) == load


def test_the_load_of_other_nodes_counts():
    listed = engines(4)
    for engine in listed:
        engine.peers_load = 2
    key = placement_key(parts("hot", "own"), "")
    home = choose_from_tiers((listed,), key, nodes=79)
    home.peers_load = 30
    second = choose_from_tiers((listed,), key, nodes=79)
    assert second is not home
    home.peers_load = 3
    assert choose_from_tiers((listed,), key, nodes=79) is home


def test_a_prefix_stays_at_its_home_in_a_large_fleet_while_the_home_has_room():
    """Found on a deployment of 79 nodes: one request of a node's own counted as 79 and moved the next one away."""
    listed = engines(45)
    for engine in listed:
        engine.peers_load = 1
    key = placement_key(parts("shared", "own"), "")
    home = choose_from_tiers((listed,), key, nodes=79)
    home.load = 1
    assert choose_from_tiers((listed,), key, nodes=79) is home


def test_a_long_prompt_goes_to_another_pool_rather_than_wait_beyond_its_objective():
    listed = engines(6)
    pool = engine_pool(listed, CHUNK_TOKENS + 1)
    others = [each for each in listed if each not in pool]
    for each in pool:
        each.load = 10
    for each in others:
        each.load = 4
    assert choose_from_tiers((pool, listed), 7, 1, room=9.0) in others
    assert choose_from_tiers((pool, listed), 7, 1, room=11.0) in pool


def test_without_room_anywhere_the_least_loaded_is_taken():
    listed = engines(6)
    for load, each in enumerate(listed, start=20):
        each.load = load
    assert choose_from_tiers((listed[3:], listed), 7, 1, room=9.0) is listed[0]
