"""Streams that break while back ends of two software versions serve side by side.

Guards against streams that hold events of both versions: what two versions write does not fit together, and back
ends do not check it. A stream may go on only at the version that began it, within one answer and over its caller's
requests.
"""

from __future__ import annotations

import asyncio
import json
import re

import aiohttp
import pytest
from aiohttp import web

from tests.platform.conftest import CallersPort, config, route
from tests.platform.test_peers import all_know_each_other, second_node

SOFTWARE = ("v1", "v1", "v1", "v2", "v2", "v2")
CRASHING = (0, 3)
"""Workers that crash as the streams break off: one of each version, so that two of each still serve."""
STREAMS = 24
"""Streams of a run; each has another prompt, so that they are placed at all back ends."""
EVENTS = 6
EVENTS_BEFORE_BREAK = 2
MIN_RESUMED_RATIO = 0.5
"""Part of the share of new streams that begin, which resumed ones must reach while two back ends of their version
serve."""
ROUTES = [
    route("r-one", "/one/", "stream", attempts=2, can_resume=True, timeout_ms=6000, slo_ms=2000),
    route("r-many", "/many/", "stream", attempts=1, can_resume=True, timeout_ms=6000, slo_ms=2000),
]


class VersionedFleet:
    """Three nodes before back ends of two versions, whose streams pause after some events and then break off."""

    def __init__(self, harness):
        self.harness = harness
        self._break = asyncio.Event()
        self.round = 0
        """Tells streams apart that begin one after another; a test counts it."""
        self.received = 0
        """Events received by callers."""
        for worker in harness.workers:
            worker.respond = self._respond(worker)

    def _respond(self, worker):
        async def respond(request):
            headers = worker.headers(request, **{"Content-Type": "text/event-stream"})
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            first = int(request.headers.get("Last-Event-Id", "0")) + 1
            for number in range(first, EVENTS + 1):
                if first == 1 and number > EVENTS_BEFORE_BREAK:
                    await self._break.wait()
                    request.transport.close()
                    return response
                await response.write(b'id: %d\ndata: "%s"\n\n' % (number, worker.software.encode()))
            return response

        return respond

    async def start(self):
        first = self.harness.node
        await first.listen_for_peers("127.0.0.1", [0])
        others = [await second_node(self.harness, name) for name in ("n2", "n3")]
        self.nodes = [first, *others]
        for node in others:
            # A node that has just started permits few retries, too few for all streams to break at once.
            node.state.started_s = float("-inf")
        await self.harness.until(lambda: all_know_each_other(self.nodes))
        await self.harness.until(lambda: all(node.is_ready() for node in self.nodes))
        self.callers = [None, *(CallersPort(node) for node in others)]
        for callers in self.callers[1:]:
            await callers.start()
        self.ports = [self.harness.port, *(callers.port for callers in self.callers[1:])]

    async def stop(self):
        for index in (1, 2):
            await self.kill(index)

    async def kill(self, index):
        """End a node without a farewell to its peers."""
        await self.callers[index].runner.cleanup()
        await self.nodes[index].stop()

    async def restart(self, index):
        """Start a node that was killed, under its name."""
        node = self.nodes[index] = await second_node(self.harness, f"n{index + 1}")
        await self.harness.until(node.is_ready)
        self.callers[index] = CallersPort(node)
        await self.callers[index].start()
        self.ports[index] = self.callers[index].port

    async def read_stream(self, number, path, port, request_id, **resume):
        """Send one request; return its status and the numbers and versions of the events received."""
        events = []
        headers = {"X-Model": "m", "X-Token-Usage": "300,6", "X-Prefix-Hash": f"a{number:x}:200,b{number:x}:100"}
        try:
            async with self.harness.request(
                path, port=port, X_Request_Id=request_id, X_Deadline_Ms="6000", **headers, **resume
            ) as response:
                buffer = b""
                async for data in response.content.iter_any():
                    *whole, buffer = (buffer + data).split(b"\n\n")
                    events += [_parsed(each) for each in whole]
                    self.received += len(whole)
                return response.status, events
        except (aiohttp.ClientError, ConnectionError):
            return 0, events

    async def begin_streams(self, path, port):
        """Begin all streams at one node; return them once all have paused."""
        self.received = 0
        reading = [
            asyncio.create_task(self.read_stream(number, path, port, f"first-{self.round}-{number}"))
            for number in range(STREAMS)
        ]
        await self.harness.until(lambda: self.received == STREAMS * EVENTS_BEFORE_BREAK)
        return reading

    async def end_streams(self, reading):
        """Break off the streams that have paused and return what each caller has received."""
        for index in CRASHING:
            self.harness.workers[index].crash()
        self._break.set()
        return await asyncio.gather(*reading)

    async def resume_streams(self, begun, path, ports):
        """Take up each stream after its last event, once, at one of the nodes in turn."""
        return await asyncio.gather(
            *(
                self.read_stream(
                    number,
                    path,
                    ports[number % len(ports)],
                    f"second-{self.round}-{number}",
                    Last_Event_Id=str(len(events)),
                    Resumes=f"first-{self.round}-{number}",
                )
                for number, (_, events) in enumerate(begun)
            )
        )


def _parsed(event):
    fields = dict(line.split(b": ", 1) for line in event.split(b"\n"))
    return int(fields[b"id"]), json.loads(fields[b"data"])


async def _streams_in_one_answer(fleet):
    """Return the events of each stream before and after it broke."""
    begun = await fleet.end_streams(await fleet.begin_streams("/one/a", fleet.ports[1]))
    return [(events[:EVENTS_BEFORE_BREAK], events[EVENTS_BEFORE_BREAK:]) for _, events in begun]


async def _streams_over_requests(fleet, where):
    """Return the events of each stream from its first request, and from the one that resumes it."""
    reading = await fleet.begin_streams("/many/a", fleet.ports[1])
    ports = {"same node": [fleet.ports[1]], "other nodes": [fleet.ports[0], fleet.ports[2]]}.get(where)
    if ports is None:
        await fleet.kill(1)
        ports = [fleet.ports[0], fleet.ports[2]]
    if where == "node restarted":
        await fleet.restart(1)
        ports = [fleet.ports[1]]
    begun = await fleet.end_streams(reading)
    resumed = await fleet.resume_streams(begun, "/many/a", ports)
    return [(before, after) for (_, before), (_, after) in zip(begun, resumed, strict=True)]


def run_streams(on_platform, play, fleet_of=VersionedFleet, software=SOFTWARE):
    """Return what ``play`` returns of a started fleet of this kind, before back ends of these versions."""

    async def scenario(harness):
        fleet = fleet_of(harness)
        await fleet.start()
        try:
            return await play(fleet)
        finally:
            await fleet.stop()

    return on_platform(scenario, config(routes=ROUTES), software=software)


def test_resumed_streams_are_counted(on_platform):
    async def play(fleet):
        await _streams_over_requests(fleet, "other nodes")
        return [node.metrics_text().decode() for node in (fleet.nodes[0], fleet.nodes[2])]

    for metrics in run_streams(on_platform, play):
        (resumed,) = re.findall(r'wallwell_streams_resumed_total\{by="caller"\} (\d+)', metrics)
        (known,) = re.findall(r'wallwell_stream_lookups_total\{result="known"\} (\d+)', metrics)
        assert int(resumed) > 0
        assert int(known) == STREAMS / 2


def assert_streams_keep_their_version(streams):
    begun = [(before, after) for before, after in streams if before]
    assert len(begun) == STREAMS
    versions_by_stream = [{version for _, version in before + after} for before, after in begun]
    assert {version for versions in versions_by_stream for version in versions} == {"v1", "v2"}
    assert [versions for versions in versions_by_stream if len(versions) > 1] == []
    gone_on = [before + after for before, after in begun if after]
    assert len(gone_on) >= MIN_RESUMED_RATIO * len(begun)
    for events in gone_on:
        assert [number for number, _ in events] == list(range(1, EVENTS + 1))


def test_a_broken_stream_goes_on_only_at_its_software_version_within_one_answer(on_platform):
    assert_streams_keep_their_version(run_streams(on_platform, _streams_in_one_answer))


@pytest.mark.parametrize("where", ["same node", "other nodes", "node killed", "node restarted"])
def test_a_broken_stream_goes_on_only_at_its_software_version_over_requests(on_platform, where):
    assert_streams_keep_their_version(run_streams(on_platform, lambda fleet: _streams_over_requests(fleet, where)))


def test_stream_does_not_go_on_at_a_back_end_that_started_again_before_its_entry_is_written(on_platform):
    """Guards against events of two versions while engines are replaced under their identities: each serves, at
    another version, before the store has its new entry."""

    async def scenario(harness):
        fleet = VersionedFleet(harness)
        first, second = harness.workers[:2]
        for worker in harness.workers:
            harness.store.put("servers", worker.incarnation, {**worker.entry(), "born": 1000})
        state = harness.node.state
        await harness.until(lambda: state.backends.get(second.incarnation).record.started_unix_ms == 1000)
        # The first one crashes, as the node finds out by a broken attempt, and serves again as v2.
        address = first.address
        first.crash()
        harness.node._pipeline.feedback._crash_observer.on_broken_run("c", state.backends.get(first.incarnation))
        await harness.until(lambda: state.backends.get(first.incarnation).crashed_at_s is not None)
        host, _, port = address.rpartition(":")
        again = type(first)(first.incarnation, software="v2")
        again.respond = fleet._respond(again)
        await again.start(host, int(port))
        # Streams that began at the other one of v1 break off with it.
        second.respond = fleet._respond(second)
        streams = await fleet.begin_streams("/one/", harness.port)
        second.crash()
        fleet._break.set()
        ended = await asyncio.gather(*streams)
        await again.stop()
        return [{software for _, software in events} for _, events in ended], again.requests

    versions, at_next_start = on_platform(
        scenario, config(routes=ROUTES), workers=4, software=("v1", "v1", "v2", "v2")
    )
    assert all(len(each) <= 1 for each in versions), versions
    assert not [request for request in at_next_start if "Last-Event-Id" in request.headers]
