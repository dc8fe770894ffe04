"""A store that is away for a moment and comes back from a copy some seconds old.

Seen: three or four of seven nodes knew nothing of what was written after the store's return, for up to 2.2 s: an
engine that had said that it leaves got requests, a route that had been added answered 404.
How it came about: the store counts versions on from those of the copy, and a node passed on to its peers the
highest version that it had ever seen, and only rows above it.
Cause: versions were compared without regard to which life of the store gave them out.
Proof: the nodes that missed rows learned of all of them at the first write beyond the count from before.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.platform.conftest import CallersPort, config, route
from tests.platform.fakes import PAGE_ROWS
from tests.platform.test_node import with_store
from tests.platform.test_peers import both_know_each_other, second_node
from wallwell.deployment.store_era import StorePosition
from wallwell.errors import HistoryLostError, PlatformUnavailableError
from wallwell.events import Event
from wallwell.platform import store as platform_store
from wallwell.platform.store import TableRows

SOON_S = 1.0
"""Within which a change is known at each node: half of what operators allow."""
AWAY_S = 0.6
"""Seconds for which the store is away: long enough for every follower to notice."""
FOLLOWED_S = 1.2
"""After which each node has followed a write that concerns none of its tables."""
OPERATORS_LATE_CALLS = 150
"""Calls, 20 ms apart, until operators write again what is lost: three times as long as nodes wait for them."""
LOST_WRITES = 40
"""Transactions that the copy lacks: more than the test makes after the restore."""


async def three_nodes(harness):
    await harness.node.listen_for_peers("127.0.0.1", [0])
    nodes = [harness.node, *[await second_node(harness, name) for name in ("n2", "n3")]]
    await harness.until(lambda: both_know_each_other(nodes))
    await harness.until(lambda: all(node.is_ready() for node in nodes))
    return nodes


async def lose_some_seconds(harness, away_s=AWAY_S):
    """Restore the store from a copy that lacks ``LOST_WRITES`` transactions, which the nodes have all followed."""
    store = harness.store
    copy = store.copy()
    for number in range(LOST_WRITES):
        store.put("status", "count", number)
    await asyncio.sleep(FOLLOWED_S)
    store.refuse_status = 503
    await asyncio.sleep(away_s)
    store.restore(copy)
    store.refuse_status = 0


async def stop_others(nodes):
    for node in nodes[1:]:
        await node.stop()


@pytest.mark.parametrize("settled_s", [0.0, 1.5], ids=["at once", "once nodes follow each other again"])
def test_a_configuration_written_after_the_restore_is_in_force_at_every_node(on_platform, settled_s):
    async def scenario(harness):
        nodes = await three_nodes(harness)
        await lose_some_seconds(harness)
        await asyncio.sleep(settled_s)
        harness.store.put("op", "config", config(7, [route(prefix="/new/")]))
        await asyncio.sleep(SOON_S)
        known = [node.state.config.version for node in nodes]
        await stop_others(nodes)
        return known

    assert on_platform(scenario) == [7, 7, 7]


@pytest.mark.parametrize("settled_s", [0.0, 1.5], ids=["at once", "once nodes follow each other again"])
def test_a_back_end_that_says_after_the_restore_that_it_leaves_gets_nothing_from_any_node(on_platform, settled_s):
    async def scenario(harness):
        nodes = await three_nodes(harness)
        await lose_some_seconds(harness)
        await asyncio.sleep(settled_s)
        leaving = harness.workers[0]
        harness.store.put("servers", leaving.incarnation, {**leaving.entry(), "state": "draining"})
        await asyncio.sleep(SOON_S)
        known = [node.state.backends.get(leaving.incarnation).has_announced_leave for node in nodes]
        await stop_others(nodes)
        return known

    assert on_platform(scenario) == [True, True, True]


def test_pages_of_two_eras_are_not_joined_to_one_reading(run_async):
    async def scenario(fake_store, store):
        for number in range(PAGE_ROWS + 1):
            fake_store.put("op", f"k{number}", "before")
        copy = fake_store.copy()
        read_page = store.read_rows

        async def restore_after_the_first_page(*args):
            page = await read_page(*args)
            fake_store.restore(copy)
            return page

        store.read_rows = restore_after_the_first_page
        with pytest.raises(HistoryLostError):
            await TableRows(store, "op").read_all()

    with_store(run_async, scenario)


def test_a_reading_held_over_a_restore_is_not_continued_though_the_count_has_passed_it(run_async):
    """The store gives out the version again that the reading goes on from, so it does not answer 410."""

    async def scenario(fake_store, store):
        copy = fake_store.copy()
        fake_store.put("op", "k", "lost")
        after = StorePosition(fake_store.era, fake_store.version)
        held = asyncio.create_task(TableRows(store, "op").changes(after, 1.0))
        await asyncio.sleep(0.1)
        fake_store.restore(copy)
        fake_store.put("op", "k", "missed")
        fake_store.put("op", "k", "read")
        with pytest.raises(HistoryLostError):
            await held

    with_store(run_async, scenario)


def test_an_era_that_cannot_be_read_is_logged_once_and_taken_as_before(run_async, monkeypatch):
    async def scenario(fake_store, store):
        events = []
        monkeypatch.setattr(platform_store, "emit", lambda event, **fields: events.append((event, fields["era"])))
        fake_store.put("wallwell", "k", "v")
        fake_store.era = 3
        await store.get("k")
        fake_store.era = "three"
        values = [(await store.get("k")).value for _ in range(3)]
        return values, store.era.observed_era, events

    assert with_store(run_async, scenario) == (["v"] * 3, 3, [(Event.STORE_ERA_UNREADABLE, "three")])


def test_a_late_answer_of_an_earlier_era_counts_as_none(run_async):
    async def scenario(fake_store, store):
        fake_store.put("wallwell", "k", "v")
        store.era.observe(fake_store.era + 1, 0.0)
        with pytest.raises(PlatformUnavailableError):
            await store.get("k")

    with_store(run_async, scenario)


def test_a_node_that_starts_on_the_copy_does_not_take_a_key_that_had_been_taken_away(on_platform):
    """The copy still grants it; the operators write their configuration again half a second later."""

    async def scenario(harness):
        copy = harness.store.copy()
        taken = config(2, tenants=[{"name": "t1", "api_keys": ["k1"], "isolated": False}])
        harness.store.put("op", "config", taken)
        harness.store.restore(copy)
        late = await second_node(harness, "late")
        callers = CallersPort(late)
        await callers.start()
        statuses = set()
        for number in range(50):
            status, *_ = await harness.call(port=callers.port, X_Credential="k2", X_Request_Id=f"req-{number}")
            statuses.add(status)
            if number == 25:
                harness.store.put("op", "config", taken)
            await asyncio.sleep(0.02)
        await harness.until(late.is_ready)
        last, *_ = await harness.call(port=callers.port, X_Credential="k2")
        granted, *_ = await harness.call(port=callers.port, X_Credential="k1")
        await callers.runner.cleanup()
        await late.stop()
        return statuses, last, granted

    statuses, last, granted = on_platform(scenario)
    assert statuses <= {401, 503}
    assert (last, granted) == (401, 200)


def test_a_key_that_peers_know_to_be_taken_away_is_not_accepted_before_operators_write_again(on_platform):
    """Guards against a node that starts on the copy and takes it for the newest word: operators are late."""

    async def scenario(harness):
        nodes = await three_nodes(harness)
        copy = harness.store.copy()
        taken = config(2, tenants=[{"name": "t1", "api_keys": ["k1"], "isolated": False}])
        harness.store.put("op", "config", taken)
        await harness.until(lambda: all(node.state.config.version == 2 for node in nodes))
        harness.store.restore(copy)
        late = await second_node(harness, "late")
        callers = CallersPort(late)
        await callers.start()
        statuses = set()
        for number in range(OPERATORS_LATE_CALLS):
            status, *_ = await harness.call(port=callers.port, X_Credential="k2", X_Request_Id=f"req-{number}")
            statuses.add(status)
            await asyncio.sleep(0.02)
        harness.store.put("op", "config", taken)
        await harness.until(late.is_ready)
        granted, *_ = await harness.call(port=callers.port, X_Credential="k1")
        await callers.runner.cleanup()
        await stop_others([*nodes, late])
        return statuses, granted

    statuses, granted = on_platform(scenario)
    assert statuses <= {401, 503}
    assert granted == 200


def test_callers_notice_nothing_of_a_restore_after_some_seconds(on_platform):
    """Credentials hold for the revocation bound after the last confirmation of before."""

    async def scenario(harness):
        await asyncio.sleep(1.5)
        statuses = set()
        restoring = asyncio.create_task(lose_some_seconds(harness, away_s=2.0))
        for number in range(250):
            status, *_ = await harness.call(X_Request_Id=f"req-{number}")
            statuses.add(status)
            await asyncio.sleep(0.02)
        await restoring
        return statuses

    assert on_platform(scenario) == {200}
