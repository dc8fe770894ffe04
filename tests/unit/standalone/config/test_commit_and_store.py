"""Tests atomic commits of configuration files, concurrent operators, lost responses and rising revisions."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.faulty_table import OK, REPLY_LOST, REQUEST_DELAYED, REQUEST_LOST, FaultyTable
from wallwell.errors import (
    ConfigConflictError,
    ConfigInvalidError,
    ConfigNotFoundError,
    ConfigUnavailableError,
)
from wallwell.standalone.config.commit import ApplyRequest, ConfigCommitter
from wallwell.standalone.config.schema import FileKey, Kind
from wallwell.standalone.config.store import ConfigDelta, ConfigStore, FileRevision

ZONE = "kind: zone\nname: a\nspec:\n  region: {region}\n"
POOL = """kind: engine_pool
name: p
spec:
  models: [m]
  engines:
    - {name: e1, address: "10.0.0.1:1", zone: missing}
    - {name: e2, address: "10.0.0.1:1", zone: a, colour: red}
  max_concurrent_loads: 0
"""


def new_committer(table):
    store = ConfigStore()
    return ConfigCommitter(table, store, store.apply), store


def zone(region="x"):
    return ZONE.format(region=region)


@pytest.mark.parametrize(
    "script", list(itertools.product([OK, REQUEST_LOST, REPLY_LOST, REQUEST_DELAYED], repeat=4))
)
def test_a_change_is_applied_once_and_an_unconfirmed_change_can_be_repeated(script, run_async):
    async def scenario():
        table = FaultyTable(faults=script)
        committer, store = new_committer(table)
        request = ApplyRequest("apply-1", "op", zone())
        try:
            answer = await committer.apply(request)
        except ConfigUnavailableError:
            answer = await committer.apply(request)
        assert store.revision_of(FileKey(Kind.ZONE, "a")).revision == answer.revision
        return answer.revision, table.model.rows["config/head"].value

    assert run_async(scenario()) == (1, '{"revision":1}')


def test_a_change_from_an_outdated_revision_is_refused_with_the_other_operators_name(run_async):
    async def scenario():
        table = FaultyTable()
        (first, _), (second, store) = new_committer(table), new_committer(table)
        await first.apply(ApplyRequest("a0", "anna", zone()))
        await first.apply(ApplyRequest("a1", "anna", zone("north"), base_revision=1))
        with pytest.raises(ConfigConflictError, match=r"revision 2 by anna won"):
            await second.apply(ApplyRequest("b1", "bert", zone("south"), base_revision=1))
        return store.files[FileKey(Kind.ZONE, "a")].spec.region

    assert run_async(scenario()) == "north"


def test_a_change_committed_between_read_and_commit_is_reported_as_a_conflict(run_async):
    async def scenario():
        table = FaultyTable()
        (first, _), (second, _) = new_committer(table), new_committer(table)
        other = first.apply(ApplyRequest("a", "anna", zone("north")))

        def interfere():
            table.before_transact = lambda: None
            with pytest.raises(StopIteration):
                other.send(None)

        table.before_transact = interfere
        with pytest.raises(ConfigConflictError, match="by anna won"):
            await second.apply(ApplyRequest("b", "bert", zone("south")))

    run_async(scenario())


def test_changes_to_different_files_do_not_conflict(run_async):
    async def scenario():
        table = FaultyTable()
        (first, _), (second, _) = new_committer(table), new_committer(table)
        await first.apply(ApplyRequest("a", "anna", zone()))
        answer = await second.apply(ApplyRequest("b", "bert", zone().replace("name: a", "name: b")))
        return answer.revision

    assert run_async(scenario()) == 2


def test_a_refused_file_lists_every_problem_and_changes_nothing(run_async):
    table = FaultyTable()
    committer, store = new_committer(table)
    with pytest.raises(ConfigInvalidError) as error:
        run_async(committer.apply(ApplyRequest("a", "op", POOL)))
    text = str(error.value)
    assert "spec.engines[1].colour (line 7): unknown_key" in text
    assert "spec.max_concurrent_loads (line 8): wrong_type" in text
    with_valid_types = POOL.replace(", colour: red", "").replace(
        "max_concurrent_loads: 0", "max_concurrent_loads: 1"
    )
    with pytest.raises(ConfigInvalidError) as error:
        run_async(committer.apply(ApplyRequest("b", "op", with_valid_types)))
    text = str(error.value)
    for expected in ("spec.models[0] (line 4): unknown_reference", "spec.engines[0].zone", "duplicate"):
        assert expected in text
    assert (store.head, table.model.rows) == (0, {})


def test_a_removal_needs_an_existing_file_and_is_a_revision(run_async):
    async def scenario():
        committer, store = new_committer(FaultyTable())
        await committer.apply(ApplyRequest("1", "op", zone()))
        with pytest.raises(ConfigNotFoundError):
            await committer.apply(ApplyRequest("2", "op", key="zone/none"))
        answer = await committer.apply(ApplyRequest("3", "op", key="zone/a"))
        return answer.revision, dict(store.files), store.head

    assert run_async(scenario()) == (2, {}, 2)


KEY = FileKey(Kind.ZONE, "a")
HISTORY = [FileRevision(KEY, n, f"d{n}", f'{{"region": "r{n}"}}') for n in range(1, 9)]


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 8), st.integers(0, 8)), max_size=30))
def test_revisions_only_rise_whatever_deltas_arrive_in_whatever_order(pairs):
    store = ConfigStore()
    for after, head in pairs:
        before = store.head
        files = tuple(entry for entry in HISTORY if entry.revision == head and head > after)
        store.apply(ConfigDelta(after, head, files))
        assert store.head >= before
        if store.head:
            assert store.files[KEY].spec.region == f"r{store.head}"


def test_a_delta_that_skips_revisions_is_not_applied():
    store = ConfigStore()
    assert not store.apply(ConfigDelta(3, 5, (HISTORY[4],)))
    assert store.head == 0
