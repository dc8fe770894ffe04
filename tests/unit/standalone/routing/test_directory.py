"""Prefix directory: entries of dead incarnations, other tenants and older weights never match."""

import random

import pytest

from wallwell.standalone.routing.blocks import CHECKPOINT_STRIDE, CacheKey, checkpoint_depths, hash_chain
from wallwell.standalone.routing.directory import EngineIncarnation, PrefixDirectory

SECRET = b"secret-of-the-cluster"
PROMPT = bytes(range(256)) * 40
OLD = EngineIncarnation("e1", "old")
NEW = EngineIncarnation("e1", "new")
OTHER = EngineIncarnation("e2", "x")


def chain_of(tenant="t", weights="w1", adapter="", prompt=PROMPT):
    return hash_chain(CacheKey(tenant, "m", weights, adapter).seed(SECRET), prompt, 64)


def directory_with(holder, chain):
    directory = PrefixDirectory()
    directory.observe_incarnation(*holder)
    directory.add(holder, [chain[depth] for depth in checkpoint_depths(len(chain))], random.Random(1))
    return directory


@pytest.mark.parametrize(
    "changed", [{"tenant": "other"}, {"weights": "w2"}, {"adapter": "a@1"}, {"prompt": b"x" + PROMPT[1:]}]
)
def test_a_different_cache_key_never_matches(changed):
    directory = directory_with(OLD, chain_of())
    assert directory.lookup_chain(chain_of(**changed)) == []
    assert directory.lookup_chain(chain_of())[0].holder == OLD


def test_different_secrets_give_different_seeds():
    key = CacheKey("t", "m", "w", "")
    assert key.seed(b"a") != key.seed(b"b")


def test_a_new_incarnation_drops_the_old_ones_entries_at_once():
    chain = chain_of()
    directory = directory_with(OLD, chain)
    assert directory.observe_incarnation(*NEW)
    assert directory.lookup_chain(chain) == []


def test_a_late_report_of_a_dead_incarnation_is_ignored():
    chain = chain_of()
    directory = directory_with(OLD, chain)
    directory.observe_incarnation(*NEW)
    directory.add(OLD, chain, random.Random(1))
    assert directory.lookup_chain(chain) == []


def test_a_reused_slot_does_not_revive_entries_of_a_dead_incarnation():
    chain = chain_of()
    directory = directory_with(OLD, chain)
    directory.observe_incarnation(*NEW)
    directory.sweep()
    directory.add(OTHER, [12345], random.Random(1))
    assert directory.lookup_chain(chain) == []
    assert directory.holders(12345) == [OTHER]


def test_longest_contiguous_prefix_per_holder():
    chain = chain_of()
    directory = directory_with(OLD, chain)
    second, third = CHECKPOINT_STRIDE - 1, 2 * CHECKPOINT_STRIDE - 1
    directory.add(OTHER, [chain[0], chain[second]], random.Random(1))
    held = {each.holder: each.blocks for each in directory.lookup_chain(chain)}
    assert held == {OLD: checkpoint_depths(len(chain))[-1] + 1, OTHER: second + 1}
    directory.remove(OLD, [chain[third]])
    held = {each.holder: each.blocks for each in directory.lookup_chain(chain)}
    assert held == {OLD: second + 1, OTHER: second + 1}


def test_partial_blocks_have_no_hash():
    assert len(hash_chain(1, b"x" * 130, 64)) == 2
    assert hash_chain(1, b"x" * 63, 64) == []


def test_entry_count_is_bounded():
    directory = PrefixDirectory(max_entries=500)
    rng = random.Random(3)
    for start in range(0, 5000, 100):
        directory.add(OLD, range(start + 1, start + 101), rng)
    assert len(directory) <= 600
