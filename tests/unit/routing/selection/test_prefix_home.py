"""Prompts with the same shared parts have the same home, and short prompts use other engines than long ones."""

import pytest

from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health.backend import Backend
from wallwell.routing.selection.prefix_home import (
    PREFILL_CHUNK_TOKENS,
    PromptPart,
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


@pytest.mark.parametrize(("count", "short"), [(1, 1), (2, 2), (3, 1), (6, 2), (9, 3)])
def test_pools_are_disjoint_and_cover_every_engine(count, short):
    listed = engines(count)
    for_short = {each.incarnation for each in engine_pool(listed, PREFILL_CHUNK_TOKENS)}
    for_long = {each.incarnation for each in engine_pool(listed, PREFILL_CHUNK_TOKENS + 1)}
    assert len(for_short) == short
    assert for_short | for_long == {each.incarnation for each in listed}
    assert count < 3 or not for_short & for_long


@pytest.mark.parametrize(
    ("tokens", "load"), [(0, 1), (PREFILL_CHUNK_TOKENS - 1, 1), (PREFILL_CHUNK_TOKENS, 2), (40_000, 10)]
)
def test_a_long_prompt_counts_as_several_load_units(tokens, load):
    assert request_load(tokens) == load
