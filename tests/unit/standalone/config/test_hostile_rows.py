"""Rows of the configuration's table that another writer has changed: each costs its own file alone.

Guards against a node that is never ready, or loses the other files of a read, beside a row that it cannot decode.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from tests.faulty_table import FaultyTable
from tests.unit.standalone.hostile_values import HOSTILE_JSON, LONG_DIGITS, ODD_ADDRESSES, hostile_documents, sample
from wallwell.errors import ConfigNotFoundError, ConfigUnavailableError
from wallwell.standalone.config.commit import (
    APPLY_PREFIX,
    FILE_PREFIX,
    HEAD_KEY,
    ApplyRequest,
    ConfigCommitter,
    HeadBody,
)
from wallwell.standalone.config.schema import SPEC_TYPES, FileKey, Kind
from wallwell.standalone.config.store import ConfigDelta, ConfigStore, FileRevision
from wallwell.storage.table import Put, Transaction

ZONE = "kind: zone\nname: {name}\nspec:\n  region: x\n"
POOL = """kind: engine_pool
name: p
spec:
  models: []
  engines: [{name: e1, address: "10.0.0.1:1", zone: a}, {name: e2, address: "10.0.0.2:1", zone: a}]
"""
SERVICE = """kind: service
name: s
spec:
  instances: [{name: s1, address: "10.0.0.3:1", zone: a}, {name: s2, address: "10.0.0.4:1", zone: a}]
"""
STRINGS = {"name": "a", "zone": "a", "region": "a", "models": "a", "services": "a", "priorities": "a"}
STRINGS |= {"default_priority": "a", "token_sha256": "0" * 64}


def new_node(table):
    store = ConfigStore()
    return ConfigCommitter(table, store, store.apply), store


async def table_with_files():
    table = FaultyTable()
    committer, _ = new_node(table)
    for number, body in enumerate((ZONE.format(name="a"), ZONE.format(name="b"), POOL, SERVICE)):
        await committer.apply(ApplyRequest(f"apply-{number}", "op", body))
    return table


async def write(table, key, value):
    await table.transact(Transaction(puts=(Put(key, value),)))


def zones(store):
    return sorted(store.compiled.zones)


FILE_ROW = FileRevision(FileKey(Kind.ZONE, "a"), 1, "d", '{"region":"x"}')


def test_a_row_of_a_file_with_any_hostile_value_costs_that_file_alone(run_async):
    """The error of the decoder ended the read, so that a starting node had no configuration at all."""

    async def scenario():
        table = await table_with_files()
        for document in hostile_documents(FILE_ROW):
            await write(table, FILE_PREFIX + "zone/a", document.decode(errors="replace"))
            committer, store = new_node(table)
            assert await committer.refresh()
            assert "b" in zones(store)
            assert sorted(store.compiled.engines) == ["e1", "e2"]
            assert store.head == 4

    run_async(scenario())


@pytest.mark.parametrize("kind", Kind)
def test_the_content_of_a_file_with_any_hostile_value_costs_that_file_alone(kind):
    """The error left the store after some files had been taken over, and the revision never rose."""
    sound = FileRevision(FileKey(Kind.ZONE, "sound"), 1, "d", '{"region":"x"}')
    for document in hostile_documents(sample(SPEC_TYPES[kind], STRINGS | {"address": "10.0.0.1:1"})):
        store = ConfigStore()
        odd = FileRevision(FileKey(kind, "odd"), 2, "d", document.decode(errors="replace") or " ")
        assert store.apply(ConfigDelta(0, 2, (odd, sound)))
        assert "sound" in zones(store)
        assert store.head == 2


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=ascii)
def test_a_back_end_whose_address_is_none_costs_that_back_end_alone(address, run_async):
    async def scenario():
        table = await table_with_files()
        for key, old in (("engine_pool/p", "10.0.0.1:1"), ("service/s", "10.0.0.3:1")):
            row = msgspec.json.decode((await table.get(FILE_PREFIX + key)).value, type=FileRevision)
            spec = row.spec.replace(f'"{old}"', msgspec.json.encode(address).decode())
            await write(
                table, FILE_PREFIX + key, msgspec.json.encode(msgspec.structs.replace(row, spec=spec)).decode()
            )
        committer, store = new_node(table)
        assert await committer.refresh()
        names = set(store.compiled.engines)
        names.update(each.name for service in store.compiled.services.values() for each in service.instances)
        assert not names & {"e1", "s1"}
        assert zones(store) == ["a", "b"]

    run_async(scenario())


@pytest.mark.parametrize("value", [*HOSTILE_JSON, '{"revision":-1}', f'{{"revision":{LONG_DIGITS}}}'])
def test_a_node_starts_beside_an_unreadable_head_row_and_the_next_change_mends_it(value, run_async):
    async def scenario():
        table = await table_with_files()
        await write(table, HEAD_KEY, value)
        committer, store = new_node(table)
        assert await committer.refresh()
        assert (store.head, zones(store)) == (4, ["a", "b"])
        answer = await committer.apply(ApplyRequest("mends", "op", ZONE.format(name="c")))
        assert answer.revision == 5
        assert msgspec.json.decode((await table.get(HEAD_KEY)).value, type=HeadBody).revision == 5

    run_async(scenario())


@pytest.mark.parametrize("value", ["", "x", LONG_DIGITS])
def test_an_unreadable_row_of_a_change_is_an_error_for_operators(value, run_async):
    async def scenario():
        table = await table_with_files()
        await write(table, APPLY_PREFIX + "odd", value)
        with pytest.raises(ConfigUnavailableError):
            await new_node(table)[0].apply(ApplyRequest("odd", "op", ZONE.format(name="c")))

    run_async(scenario())


@pytest.mark.parametrize("key", ["", "zone", "nothing/x", "/", "zone/none"])
def test_the_removal_of_what_is_no_file_is_an_error_for_operators(key, run_async):
    async def scenario():
        with pytest.raises(ConfigNotFoundError):
            await new_node(await table_with_files())[0].apply(ApplyRequest("r", "op", key=key))

    run_async(scenario())


def test_a_row_written_again_and_again_keeps_no_change_back(run_async):
    async def scenario():
        table = await table_with_files()
        committer, store = new_node(table)
        for number in range(20):
            await write(table, FILE_PREFIX + "zone/a", LONG_DIGITS + str(number))
            await new_node(table)[0].apply(ApplyRequest(f"change-{number}", "op", ZONE.format(name=f"n{number}")))
            assert await committer.refresh()
            assert f"n{number}" in zones(store)
            await asyncio.sleep(0)

    run_async(scenario())
