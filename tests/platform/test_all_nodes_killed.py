"""Streams that their callers resume after all nodes were killed at once and have started again.

Guards against streams that go on at another software version, since no node remembers the one that has left, and
against refusing all streams instead: those whose version still serves go on.
"""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.platform.conftest import CallersPort
from tests.platform.test_peers import all_know_each_other, second_node
from tests.platform.test_streams_of_two_versions import (
    EVENTS,
    MIN_RESUMED_RATIO,
    STREAMS,
    VersionedFleet,
    run_streams,
)
from wallwell.clock import boot_time_s
from wallwell.cluster.stream_records import READ_INTERVAL_S

NODES = 2
STREAMS_TABLE = "wallwell-streams"
VERSIONS_KEY = "versions/svc"
SLOTS = 2 * STREAMS // 3
"""Of a back end: two hold all streams without refusing any, and one is too busy for all of them."""
LONG_S = 60.0
"""Longer than a stream lasts."""
RECORDED_S = 0.6
"""Seconds in which streams that have begun are in the store: two writes, with a margin."""


class KilledFleet(VersionedFleet):
    """Nodes that are all killed and started again; the harness's own node only takes the place of a client."""

    async def start(self):
        await self.harness.node.stop()
        await self.start_nodes()

    async def start_nodes(self):
        self.nodes = [await second_node(self.harness, f"k{index}") for index in range(NODES)]
        for node in self.nodes:
            node.state.started_s = float("-inf")
        await self.harness.until(lambda: all(node.is_ready() for node in self.nodes))
        self.callers = [CallersPort(node) for node in self.nodes]
        for callers in self.callers:
            await callers.start()
        self.ports = [callers.port for callers in self.callers]

    async def stop(self):
        for index in range(NODES):
            await self.kill(index)

    async def begin_and_break(self, break_off, starts_again_s=0.0):
        """Return what callers got of their streams before ``break_off()`` and the kill of all nodes, and after."""
        reading = await self.begin_streams("/many/a", self.ports[0])
        await asyncio.sleep(RECORDED_S)
        break_off()
        await self.stop()
        begun = await asyncio.gather(*reading)
        await asyncio.sleep(starts_again_s)
        await self.start_nodes()
        resumed = await self.resume_streams(begun, "/many/a", self.ports)
        return [(before, after) for (_, before), (_, after) in zip(begun, resumed, strict=True)]

    def leave(self, *indices):
        """Have back ends end as planned, and their entries go."""
        for index in indices:
            worker = self.harness.workers[index]
            worker.crash()
            self.harness.store.put("servers", worker.incarnation, None)


def versions_of(streams):
    return [{version for _, version in before + after} for before, after in streams]


def gone_on(streams):
    return [before for before, after in streams if len(before + after) == EVENTS]


@pytest.mark.parametrize("starts_again_s", [0.0, 0.3])
def test_no_stream_goes_on_at_another_version_after_its_own_has_left(on_platform, starts_again_s):
    async def scenario(fleet):
        return await fleet.begin_and_break(lambda: fleet.leave(0, 1), starts_again_s)

    streams = run_streams(on_platform, scenario, KilledFleet, ("v1", "v1", "v2", "v2"))
    assert {version for versions in versions_of(streams) for version in versions} == {"v1", "v2"}
    assert all(len(versions) == 1 for versions in versions_of(streams))
    of_staying = [stream for stream in streams if stream[0][0][1] == "v2"]
    assert len(gone_on(of_staying)) == len(of_staying)


def test_streams_of_two_versions_that_both_stay_go_on(on_platform):
    async def scenario(fleet):
        return await fleet.begin_and_break(lambda: None)

    streams = run_streams(on_platform, scenario, KilledFleet, ("v1", "v1", "v2", "v2"))
    assert all(len(versions) == 1 for versions in versions_of(streams))
    assert len(gone_on(streams)) == STREAMS


def test_streams_of_one_version_go_on_and_nothing_is_written_for_them(on_platform):
    """One row names the version of the service; it is written once, and never again while nothing changes."""

    async def scenario(fleet):
        streams = await fleet.begin_and_break(lambda: None)
        await asyncio.sleep(RECORDED_S)
        history = fleet.harness.store.history
        return streams, [(key, is_deleted) for _, table, key, is_deleted in history if table == STREAMS_TABLE]

    streams, writes = run_streams(on_platform, scenario, KilledFleet, ("v1", "v1", "v1", "v1"))
    assert len(gone_on(streams)) == STREAMS
    assert writes == [(VERSIONS_KEY, False)]


def test_streams_are_refused_while_a_new_node_cannot_read_which_versions_served(on_platform):
    """The store is asked again with each try, so that they go on once it answers."""

    async def scenario(fleet):
        reading = await fleet.begin_streams("/many/a", fleet.ports[0])
        await fleet.stop()
        begun = await asyncio.gather(*reading)
        await fleet.start_nodes()
        fleet.harness.store.refuse_status = 503
        refused = await fleet.resume_streams(begun, "/many/a", fleet.ports)
        fleet.harness.store.refuse_status = 0
        await asyncio.sleep(READ_INTERVAL_S)  # Sooner than the Retry-After of the refusals.
        resumed = await fleet.resume_streams(begun, "/many/a", fleet.ports)
        return [status for status, _ in refused], [status for status, _ in resumed]

    refused, resumed = run_streams(on_platform, scenario, KilledFleet, ("v1", "v1", "v1", "v1"))
    assert refused == [503] * STREAMS
    assert resumed == [200] * STREAMS


class ReplacedFleet(KilledFleet):
    """Nodes that first see the back ends of ``SERVING`` alone; the others take their place while no node runs."""

    SERVING = (0, 1)

    async def start(self):
        """Begin with a store in which the harness's own node, which saw all back ends, has left nothing."""
        await self.harness.node.stop()
        for index, worker in enumerate(self.harness.workers):
            worker.slots = SLOTS
            if index in self.SERVING:
                self.list(index)
            else:
                self.unlist(index)
        for table, key in [each for each in self.harness.store.rows if each[0] == STREAMS_TABLE]:
            self.harness.store.put(table, key, None)
        await self.start_nodes()

    def list(self, *indices):
        for index in indices:
            self.harness.publish(self.harness.workers[index])

    def unlist(self, *indices):
        for index in indices:
            self.harness.store.put("servers", self.harness.workers[index].incarnation, None)

    def reborn(self, index, software_of):
        """Have a back end end, and another process take its identity, at the address of that of ``software_of``."""
        ended, successor = self.harness.workers[index], self.harness.workers[software_of]
        ended.crash()
        self.harness.store.put("servers", ended.incarnation, {**successor.entry(), "seq": 2})

    def age_nodes(self):
        """Have the nodes have followed the listing for longer than a stream lasts."""
        for node in self.nodes:
            node.state.software_history.on_confirmed(float("-inf"), boot_time_s() - LONG_S)

    def row_is_whole(self):
        row = json.loads(self.harness.store.value(STREAMS_TABLE, VERSIONS_KEY) or "{}")
        return row.get("whole_in_era") is not None

    async def begin_others(self):
        """Have as many other streams begin at all back ends, and go on."""
        kept, self.round = self.round, self.round + 1
        self.others = await self.begin_streams("/many/a", self.ports[0])
        self.round = kept

    async def begin_and_kill(self, before_kill=None, after_kill=None, recorded_s=RECORDED_S):
        """Begin streams and kill all nodes; return what their callers got. Hooks are called around the kill."""
        self.round += 1
        reading = await self.begin_streams("/many/a", self.ports[0])
        await asyncio.sleep(recorded_s)
        if before_kill is not None:
            before_kill(self)
        await self.stop()
        if after_kill is not None:
            after_kill(self)
        return await asyncio.gather(*reading)

    async def resume(self, begun):
        """Return each stream's events from before the kill, and those that its caller gets now."""
        resumed = await self.resume_streams(begun, "/many/a", self.ports)
        return [(before, after) for (_, before), (_, after) in zip(begun, resumed, strict=True)]

    async def over_a_kill(self, before_kill=None, after_kill=None):
        begun = await self.begin_and_kill(before_kill, after_kill)
        await self.start_nodes()
        return await self.resume(begun)


def replace_all(fleet):
    fleet.leave(0, 1)
    fleet.list(2, 3)


def replace_one(fleet):
    fleet.leave(0)
    fleet.list(2)


def give_identities_to_others(fleet):
    fleet.reborn(0, 2)
    fleet.reborn(1, 3)


def add_others(fleet):
    fleet.list(2, 3)


def remove_first(fleet):
    fleet.leave(0, 1)


REPLACEMENTS = {
    "while no node runs": (None, replace_all),
    "as the nodes are killed": (replace_all, None),
    "listed before the kill and the old ones leave after it": (add_others, remove_first),
    "one of two, while no node runs": (None, replace_one),
    "reborn under their identities": (None, give_identities_to_others),
}


def assert_not_mixed(streams):
    assert [versions for versions in versions_of(streams) if len(versions) > 1] == []


@pytest.mark.parametrize(("before_kill", "after_kill"), REPLACEMENTS.values(), ids=REPLACEMENTS)
def test_no_stream_of_the_only_version_goes_on_at_the_one_that_replaced_it(on_platform, before_kill, after_kill):
    """Guards against young nodes that take the only version they see for the only one there has been."""

    async def scenario(fleet):
        return await fleet.over_a_kill(before_kill, after_kill)

    streams = run_streams(on_platform, scenario, ReplacedFleet, ("v1", "v1", "v2", "v2"))
    assert [versions for versions in versions_of(streams) if versions != {"v1"}] == []


@pytest.mark.parametrize("starts_between", [0.0, 0.1, 1.0])
def test_no_stream_of_the_only_version_goes_on_at_another_after_two_kills(on_platform, starts_between):
    """Guards against a row that nodes which lived for a moment have replaced."""

    async def scenario(fleet):
        begun = await fleet.begin_and_kill(after_kill=replace_all)
        await fleet.start_nodes()
        await asyncio.sleep(starts_between)
        await fleet.stop()
        await fleet.start_nodes()
        return await fleet.resume(begun)

    assert_not_mixed(run_streams(on_platform, scenario, ReplacedFleet, ("v1", "v1", "v2", "v2")))


def test_streams_of_the_version_that_replaced_another_go_on_after_the_next_kill(on_platform):
    """Guards against streams that are not written as their node sees one version while the store names two."""

    async def scenario(fleet):
        first = await fleet.over_a_kill(after_kill=replace_all)
        return first, await fleet.over_a_kill()

    first, second = run_streams(on_platform, scenario, ReplacedFleet, ("v1", "v1", "v2", "v2"))
    assert_not_mixed(first + second)
    assert {version for versions in versions_of(second) for version in versions} == {"v2"}
    assert len(gone_on(second)) == STREAMS


def test_no_stream_goes_on_at_a_third_version(on_platform):
    async def scenario(fleet):
        first = await fleet.over_a_kill(after_kill=replace_all)
        second = await fleet.over_a_kill(after_kill=lambda fleet: (fleet.leave(2, 3), fleet.list(4, 5)))
        return first + second

    software = ("v1", "v1", "v2", "v2", "v3", "v3")
    assert_not_mixed(run_streams(on_platform, scenario, ReplacedFleet, software))


def test_no_stream_of_a_version_that_left_goes_on_at_one_that_comes_back(on_platform):
    """The first version comes back in the second end of all nodes, and the other one leaves in it."""

    async def scenario(fleet):
        await fleet.over_a_kill(after_kill=lambda fleet: (fleet.unlist(0, 1), fleet.list(2, 3)))
        return await fleet.over_a_kill(after_kill=lambda fleet: (fleet.leave(2, 3), fleet.list(0, 1)))

    assert_not_mixed(run_streams(on_platform, scenario, ReplacedFleet, ("v1", "v1", "v2", "v2")))


@pytest.mark.parametrize("is_silent", [True, False])
def test_no_stream_of_the_only_version_goes_on_at_another_while_the_store_fails(on_platform, is_silent):
    """The nodes have read the listing, and then the store fails until after the streams are resumed."""

    async def scenario(fleet):
        begun = await fleet.begin_and_kill(after_kill=replace_all)
        await fleet.start_nodes()
        store = fleet.harness.store
        store.silent, store.refuse_status = is_silent, 0 if is_silent else 503
        refused = await fleet.resume(begun)
        store.silent, store.refuse_status = False, 0
        return refused

    assert_not_mixed(run_streams(on_platform, scenario, ReplacedFleet, ("v1", "v1", "v2", "v2")))


@pytest.mark.parametrize("listed", ["while no node runs", "as the nodes are killed"])
def test_streams_of_the_only_version_go_on_though_another_was_listed_meanwhile(on_platform, listed):
    """Guards against refusing all streams of a version that stays, since another one begins streams beside it."""

    async def scenario(fleet):
        fleet.age_nodes()
        await fleet.harness.until(fleet.row_is_whole)
        hooks = (None, add_others) if listed == "while no node runs" else (add_others, None)
        begun = await fleet.begin_and_kill(*hooks)
        await fleet.start_nodes()
        await fleet.harness.until(lambda: all_know_each_other(fleet.nodes))
        await fleet.begin_others()
        return await fleet.resume(begun)

    streams = run_streams(on_platform, scenario, ReplacedFleet, ("v1", "v1", "v2", "v2"))
    assert_not_mixed(streams)
    assert len(gone_on(streams)) >= MIN_RESUMED_RATIO * STREAMS


def test_streams_that_begin_beside_the_only_version_are_not_taken_for_its_own_after_the_next_kill(on_platform):
    """Guards against a row whose proof outlives the nodes that know what began since: the second kill comes before
    the streams are written, and their version leaves in it."""

    async def scenario(fleet):
        fleet.age_nodes()
        await fleet.harness.until(fleet.row_is_whole)
        # The back end that stays has not room for all streams, so that some begin at the others.
        await fleet.over_a_kill(after_kill=lambda fleet: (fleet.leave(0), fleet.list(2, 3)))
        begun = await fleet.begin_and_kill(after_kill=lambda fleet: fleet.leave(2, 3), recorded_s=0.0)
        await fleet.start_nodes()
        await fleet.harness.until(lambda: all_know_each_other(fleet.nodes))
        return await fleet.resume(begun)

    streams = run_streams(on_platform, scenario, ReplacedFleet, ("v1", "v1", "v2", "v2"))
    assert {"v2"} in versions_of(streams)
    assert_not_mixed(streams)
