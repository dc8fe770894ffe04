"""Which KV store parts come from and go to."""

import pytest

from wallwell.deployment.routes import Service
from wallwell.deployment.topology import SINGLE_REGION, Topology
from wallwell.routing.selection.kv_store import CacheEntry, CachePage, CachePosition, KvStoreContents
from wallwell.routing.selection.kv_store_choice import (
    SAVE_FRESHNESS_S,
    KvStores,
    begins_save,
    best_source,
    home_store,
    is_unreachable,
    may_save,
)
from wallwell.routing.selection.prefix_home import PromptPart

PARTS = (PromptPart("shared", 2000), PromptPart("own", 9))
REGIONS = Topology("z1", {"z1": "a", "z2": "a", "z3": "b"})
ZONES = {"s1": "z1", "s2": "z2", "s3": "z3"}


def stores(contents=None, topology=REGIONS):
    listed = tuple(Service(address, kv_store_address=address, zone=zone) for address, zone in ZONES.items())
    return KvStores(listed, contents or {}, topology)


def holding(tokens=0):
    contents = KvStoreContents()
    entries = (CacheEntry(1, "m:1", "shared", tokens),) if tokens else ()
    contents.take(CachePage(CachePosition(1, 1), entries, whole=True))
    return contents


def homes(topology, engine_zone):
    return {home_store(stores(topology=topology), key, engine_zone) for key in range(50)}


def test_homes_are_stores_of_the_engines_region():
    assert homes(REGIONS, "z1") == homes(REGIONS, "z2") == {"s1", "s2"}
    assert homes(REGIONS, "z3") == {"s3"}
    assert homes(SINGLE_REGION, "z1") == set(ZONES)
    assert home_store(KvStores((), {}, SINGLE_REGION), 1, "z1") == ""


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
    ids=["unknown", "nowhere", "both", "elsewhere", "nearly", "less", "over half", "under half", "home unknown"],
)
def test_parts_come_from_the_store_that_holds_most_weighed_by_distance(held, source):
    known = stores({address: holding(tokens) for address, tokens in held.items()})
    assert best_source(known, "s1", "m:1", PARTS, "z1") == source


@pytest.mark.parametrize(
    ("is_about_to_load", "age_s", "saves"),
    [(False, SAVE_FRESHNESS_S, True), (True, 0.0, False), (False, SAVE_FRESHNESS_S + 0.01, False)],
)
def test_nothing_is_saved_that_may_be_made_by_two_versions_of_weights(is_about_to_load, age_s, saves):
    assert may_save(is_about_to_load, 100.0, 100.0 + age_s) is saves


def test_a_store_that_lacks_parts_is_sent_them_once_and_one_that_is_unknown_each_time():
    known = stores({"s1": holding(), "s2": holding(2000)})
    assert [begins_save(known, "s1", "m:1", PARTS, at_s) for at_s in (0.0, 0.1)] == [True, False]
    assert not begins_save(known, "s2", "m:1", PARTS, 0.0)
    assert [begins_save(known, "s3", "m:1", PARTS, at_s) for at_s in (0.0, 0.1)] == [True, True]


def test_only_a_store_that_was_seen_to_fail_is_unreachable():
    silent = holding()
    silent.reachable = False
    known = stores({"s1": silent, "s2": holding()})
    assert [is_unreachable(known, address) for address in ZONES] == [True, False, False]
