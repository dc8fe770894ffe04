"""Streams that their callers resume after all nodes were killed at once and have started again.

Guards against streams that go on at another software version, since no node remembers the one that has left, and
against refusing all streams instead: those whose version still serves go on.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.platform.conftest import CallersPort
from tests.platform.test_peers import second_node
from tests.platform.test_streams_of_two_versions import EVENTS, STREAMS, VersionedFleet, run_streams
from wallwell.cluster.stream_records import READ_INTERVAL_S

NODES = 2
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
    async def scenario(fleet):
        streams = await fleet.begin_and_break(lambda: None)
        rows = [key for table, key in fleet.harness.store.rows if table == "wallwell-streams"]
        return streams, rows

    streams, rows = run_streams(on_platform, scenario, KilledFleet, ("v1", "v1", "v1", "v1"))
    assert len(gone_on(streams)) == STREAMS
    assert rows == []


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
