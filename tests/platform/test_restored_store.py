"""A store that is unavailable for a moment and is then restored from a copy that is some seconds old.

Guards against comparing row versions of different eras. After a restore, three or four of seven nodes missed rows
for up to 2.2 s: a leaving engine got requests, and a newly added route answered 404. The store continues to count
from the copy's versions, while a node forwarded to its peers only rows above the highest version that it had ever
seen. Those nodes received all missed rows with the first write whose version exceeded the count before the restore.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.platform.conftest import CallersPort, config, route
from tests.platform.fakes import PAGE_ROWS, own_table
from tests.platform.test_node import with_store
from tests.platform.test_peers import all_know_each_other, second_node
from wallwell.deployment.store_era import StorePosition
from wallwell.errors import HistoryLostError, PlatformUnavailableError
from wallwell.events import Event
from wallwell.platform import store as platform_store
from wallwell.platform.store import TableRows

SOON_S = 1.0
"""Seconds within which every node must have a change: half of what operators allow."""
AWAY_S = 0.6
"""Seconds for which the store is unavailable: long enough for every follower to notice."""
FOLLOWED_S = 1.2
"""Seconds after which each node has followed a write to a table that it does not read."""
OPERATORS_LATE_CALLS = 150
"""Calls, 20 ms apart, until operators rewrite the lost rows: three times as long as nodes wait for them."""
LOST_WRITES = 40
"""Transactions missing from the copy: more than the test makes after the restore."""


async def three_nodes(harness):
    await harness.node.listen_for_peers("127.0.0.1", [0])
    nodes = [harness.node, *[await second_node(harness, name) for name in ("n2", "n3")]]
    await harness.until(lambda: all_know_each_other(nodes))
    await harness.until(lambda: all(node.is_ready() for node in nodes))
    return nodes


async def restore_older_copy(harness, away_s=AWAY_S):
    """Restore the store from a copy that lacks ``LOST_WRITES`` transactions that all nodes have followed."""
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
def test_configuration_written_after_the_restore_applies_at_every_node(on_platform, settled_s):
    async def scenario(harness):
        nodes = await three_nodes(harness)
        await restore_older_copy(harness)
        await asyncio.sleep(settled_s)
        harness.store.put("op", "config", config(7, [route(prefix="/new/")]))
        await asyncio.sleep(SOON_S)
        known = [node.state.config.version for node in nodes]
        await stop_others(nodes)
        return known

    assert on_platform(scenario) == [7, 7, 7]


@pytest.mark.parametrize("settled_s", [0.0, 1.5], ids=["at once", "once nodes follow each other again"])
def test_back_end_that_leaves_after_the_restore_gets_no_requests_from_any_node(on_platform, settled_s):
    async def scenario(harness):
        nodes = await three_nodes(harness)
        await restore_older_copy(harness)
        await asyncio.sleep(settled_s)
        leaving = harness.workers[0]
        harness.store.put("servers", leaving.incarnation, {**leaving.entry(), "state": "draining"})
        await asyncio.sleep(SOON_S)
        known = [node.state.backends.get(leaving.incarnation).has_announced_leave for node in nodes]
        await stop_others(nodes)
        return known

    assert on_platform(scenario) == [True, True, True]


def test_pages_of_two_eras_are_not_combined(run_async):
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


def test_feed_request_held_during_a_restore_raises_history_lost(run_async):
    """The restored store assigns the requested version again and passes it, so it does not answer 410."""

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


@pytest.mark.parametrize("text", ["three", "-4", "+4", "1_0", "\u0664", str(2**31 + 1), "9" * 19, "9" * 4000])
def test_invalid_era_is_logged_once_and_the_current_era_is_used(run_async, monkeypatch, text):
    """An era of thousands of digits was believed: every later answer counted as one from before a restore."""

    async def scenario(fake_store, store):
        events = []
        monkeypatch.setattr(platform_store, "emit", lambda event, **fields: events.append((event, fields["era"])))
        fake_store.put("wallwell", "k", "v")
        fake_store.era = 3
        await own_table(store).get("k")
        fake_store.era = text
        values = [(await own_table(store).get("k")).value for _ in range(3)]
        return values, store.era.observed_era, events

    assert with_store(run_async, scenario) == (["v"] * 3, 3, [(Event.STORE_ERA_UNREADABLE, text[:40])])


def test_late_answer_of_an_earlier_era_is_discarded(run_async):
    async def scenario(fake_store, store):
        fake_store.put("wallwell", "k", "v")
        store.era.observe(fake_store.era + 1, 0.0)
        with pytest.raises(PlatformUnavailableError):
            await own_table(store).get("k")

    with_store(run_async, scenario)


def test_node_started_after_the_restore_refuses_a_revoked_key(on_platform):
    """The copy still lists the key; the operators rewrite their configuration half a second later."""

    async def scenario(harness):
        copy = harness.store.copy()
        revoked = config(2, tenants=[{"name": "t1", "api_keys": ["k1"], "isolated": False}])
        harness.store.put("op", "config", revoked)
        harness.store.restore(copy)
        late = await second_node(harness, "late")
        callers = CallersPort(late)
        await callers.start()
        statuses = set()
        for number in range(50):
            status, *_ = await harness.call(port=callers.port, X_Credential="k2", X_Request_Id=f"req-{number}")
            statuses.add(status)
            if number == 25:
                harness.store.put("op", "config", revoked)
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


def test_key_revoked_according_to_peers_is_refused_until_operators_rewrite_the_configuration(on_platform):
    """Guards against a node that starts after the restore and trusts the copy, as the operators are late."""

    async def scenario(harness):
        nodes = await three_nodes(harness)
        copy = harness.store.copy()
        revoked = config(2, tenants=[{"name": "t1", "api_keys": ["k1"], "isolated": False}])
        harness.store.put("op", "config", revoked)
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
        harness.store.put("op", "config", revoked)
        await harness.until(late.is_ready)
        granted, *_ = await harness.call(port=callers.port, X_Credential="k1")
        await callers.runner.cleanup()
        await stop_others([*nodes, late])
        return statuses, granted

    statuses, granted = on_platform(scenario)
    assert statuses <= {401, 503}
    assert granted == 200


def test_callers_get_no_errors_from_an_outage_and_restore_of_some_seconds(on_platform):
    """Credentials stay valid for the revocation bound after the last confirmation before the outage."""

    async def scenario(harness):
        await asyncio.sleep(1.5)
        statuses = set()
        restoring = asyncio.create_task(restore_older_copy(harness, away_s=2.0))
        for number in range(250):
            status, *_ = await harness.call(X_Request_Id=f"req-{number}")
            statuses.add(status)
            await asyncio.sleep(0.02)
        await restoring
        return statuses

    assert on_platform(scenario) == {200}
