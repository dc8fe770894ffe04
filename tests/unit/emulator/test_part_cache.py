"""Stand-ins that keep parts of prompts: what is found under which scope, who made it, how many tokens are read."""

import pytest

from wallwell.address import parse_address
from wallwell.emulator.kv_store import EngineCache, KvStoreEmulator
from wallwell.emulator.part_cache import CachedRun, KeptPart, PartCache, parse_parts
from wallwell.platform import names
from wallwell.platform.cache_events import CacheEventsClient
from wallwell.platform.worker_client import make_worker_pool
from wallwell.routing.selection.kv_store import CachePosition

PARTS = parse_parts("a:800, b:400,own:100")


def test_parts_are_found_up_to_the_first_gap_under_the_scope_that_stored_them():
    cache = PartCache()
    assert cache.run("s", PARTS, "t") == CachedRun((), 1300)
    again = cache.run("s", parse_parts("a:800,b:400,other:50"), "u")
    assert again == CachedRun((KeptPart(800, "t"), KeptPart(400, "t")), 50)
    assert again.makers_beside("u") == ("t",)
    assert again.makers_beside("t") == ()
    assert cache.run("s", parse_parts("b:400,x:1"), "u").found == ()
    assert cache.run("other", PARTS, "u") == CachedRun((), 1300)


def test_part_stays_as_it_was_first_made():
    cache = PartCache()
    cache.run("s", PARTS, "t")
    assert cache.keep("s", PARTS, [KeptPart(800, "u")]) == []
    assert cache.find("s", PARTS)[0].maker == "t"


def test_fetched_parts_count_as_their_makers_and_only_beyond_what_is_kept():
    cache = PartCache()
    cache.run("s", parse_parts("a:800,x:1"), "t")
    ran = cache.run("s", PARTS, "u", (KeptPart(800, "v"), KeptPart(400, "w")))
    assert ran == CachedRun((KeptPart(800, "t"), KeptPart(400, "w")), 100)


@pytest.mark.parametrize("saves", [True, False])
def test_engine_finds_in_a_kv_store_what_another_one_saved_there(run_async, saves):
    async def work():
        store = KvStoreEmulator()
        await store.start()
        pool = make_worker_pool()
        try:
            headers = {names.CACHE_SALT: "s", names.PROMPT_PARTS: "a:800,own:100", names.TENANT: "t"}
            await EngineCache().run({**headers, **({names.KV_SAVE: store.address} if saves else {})})
            fetching = {**headers, names.TENANT: "u", names.KV_FETCH: store.address}
            ran = await EngineCache().run(fetching)
            address = parse_address(store.address)
            client = CacheEventsClient(pool)
            listed = await client.events(address, CachePosition(), 0.0)
            changed = await client.events(address, CachePosition(1, 0), 0.0)
            return ran, [(each.scope, each.part, each.tokens) for each in listed.entries], len(changed.entries)
        finally:
            pool.close()
            await store.stop()

    ran, listed, changed = run_async(work())
    assert ran.makers_beside("u") == (("t",) if saves else ())
    assert listed == ([("s", "a", 800), ("s", "own", 100)] if saves else [])
    assert changed == len(listed)


def test_dead_kv_store_costs_no_run(run_async):
    headers = {
        names.CACHE_SALT: "s",
        names.PROMPT_PARTS: "a:8",
        names.KV_FETCH: "127.0.0.1:1",
        names.KV_SAVE: "127.0.0.1:1",
    }
    assert run_async(EngineCache().run(headers)) == CachedRun((), 8)
