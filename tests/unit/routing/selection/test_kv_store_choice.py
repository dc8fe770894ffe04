"""From which KV store the parts of a prompt are fetched, and to which one they are saved."""

import pytest

from wallwell.address import Address
from wallwell.deployment.routes import Service
from wallwell.deployment.topology import SINGLE_REGION, Topology
from wallwell.routing.selection.kv_store import CacheEntry, CachePage, CachePosition, KvStoreContents
from wallwell.routing.selection.kv_store_choice import (
    MAX_CONFIRMATION_AGE_S,
    KvStores,
    begin_store_save_if_needed,
    best_source_address,
    home_store_address,
    is_store_unreachable,
    may_save,
)
from wallwell.routing.selection.prefix_home import PromptPart

PARTS = (PromptPart("shared", 2000), PromptPart("own", 9))
REGIONS = Topology("z1", {"z1": "a", "z2": "a", "z3": "b"})
ZONES = {"s1": "z1", "s2": "z2", "s3": "z3"}
ADDRESSES = {name: Address(f"10.9.0.{index}", 80) for index, name in enumerate(ZONES)}


def stores(contents=None, topology=REGIONS):
    listed = tuple(Service(name, kv_store_address=ADDRESSES[name], zone=zone) for name, zone in ZONES.items())
    return KvStores(listed, {ADDRESSES[name]: each for name, each in (contents or {}).items()}, topology)


def holding(tokens=0):
    contents = KvStoreContents()
    entries = (CacheEntry(1, "m:1", "shared", tokens),) if tokens else ()
    contents.apply_page(CachePage(CachePosition(1, 1), entries, whole=True))
    return contents


def homes(topology, engine_zone):
    found = {home_store_address(stores(topology=topology), key, engine_zone) for key in range(50)}
    return {name for name, address in ADDRESSES.items() if address in found}


def test_home_stores_are_in_the_region_of_the_engine():
    assert homes(REGIONS, "z1") == homes(REGIONS, "z2") == {"s1", "s2"}
    assert homes(REGIONS, "z3") == {"s3"}
    assert homes(SINGLE_REGION, "z1") == set(ZONES)
    assert home_store_address(KvStores((), {}, SINGLE_REGION), 1, "z1") is None


@pytest.mark.parametrize(
    ("held", "source"),
    [
        ({}, "s1"),
        ({"s1": 0, "s2": 0}, "s1"),
        ({"s1": 2000, "s2": 2000}, "s1"),
        ({"s1": 0, "s2": 2000}, "s2"),
        ({"s1": 1950, "s2": 2000}, "s1"),
        ({"s1": 1500, "s2": 2000}, "s2"),
        ({"s1": 1100, "s3": 2000}, "s1"),
        ({"s1": 900, "s3": 2000}, "s3"),
        ({"s2": 2000}, "s1"),
    ],
    ids=["unknown", "nowhere", "both", "elsewhere", "nearly", "less", "over half", "under half", "home not read"],
)
def test_parts_are_fetched_from_the_store_with_most_tokens_weighted_by_distance(held, source):
    kv_stores = stores({address: holding(tokens) for address, tokens in held.items()})
    assert best_source_address(kv_stores, ADDRESSES["s1"], "m:1", PARTS, "z1") == ADDRESSES[source]


@pytest.mark.parametrize(
    ("has_pending_weights_load", "age_s", "saves"),
    [(False, MAX_CONFIRMATION_AGE_S, True), (True, 0.0, False), (False, MAX_CONFIRMATION_AGE_S + 0.01, False)],
)
def test_nothing_is_saved_that_may_mix_two_weights_versions(has_pending_weights_load, age_s, saves):
    assert may_save(has_pending_weights_load, 100.0, 100.0 + age_s) is saves


def test_missing_parts_are_saved_once_or_each_time_if_the_index_was_not_read():
    kv_stores = stores({"s1": holding(), "s2": holding(2000)})

    def begins_save(store, at_s):
        return begin_store_save_if_needed(kv_stores, ADDRESSES[store], "m:1", PARTS, at_s)

    assert [begins_save("s1", at_s) for at_s in (0.0, 0.1)] == [True, False]
    assert not begins_save("s2", 0.0)
    assert [begins_save("s3", at_s) for at_s in (0.0, 0.1)] == [True, True]


def test_only_a_store_that_failed_to_answer_is_unreachable():
    silent = holding()
    silent.reachable = False
    kv_stores = stores({"s1": silent, "s2": holding()})
    assert [is_store_unreachable(kv_stores, address) for address in ADDRESSES.values()] == [True, False, False]
