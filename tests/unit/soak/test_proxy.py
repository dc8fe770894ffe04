"""Links pass everything on, and each harm does what its name says, to either way alone."""

from __future__ import annotations

import asyncio
import os

import pytest

from wallwell.soak.control import HarmLink, KnowNode, OpenLink
from wallwell.soak.proxy import Link, Nodes, Wire

HELD_S = 0.05
"""Time in which nothing may come; what would come takes well under a millisecond."""


class Ends:
    """A link to a server that repeats what it hears and counts its bytes."""

    def __init__(self):
        self.heard = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._repeat, "127.0.0.1", 0)
        self.target = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.nodes = Nodes()
        self.link = Link(OpenLink("l", "127.0.0.1", region=1), self.nodes)
        self.entry = await self.link.open()
        await self.link.aim(self.target)
        return self

    async def __aexit__(self, *_error):
        await self.link.aim("")
        self.server.close()

    async def _repeat(self, reader, writer):
        try:
            while data := await reader.read(65536):
                self.heard += len(data)
                writer.write(data)
        except (OSError, asyncio.CancelledError):
            pass  # Cancelled at the test's end: asyncio would report that as an error.
        writer.close()

    async def connect(self):
        host, _, port = self.entry.rpartition(":")
        return await asyncio.open_connection(host, int(port))


def through_link(run_async, scenario):
    async def work():
        async with Ends() as ends, asyncio.timeout(10):
            return await scenario(ends)

    return run_async(work())


async def comes(reader, count=1):
    try:
        async with asyncio.timeout(HELD_S):
            return await reader.readexactly(count)
    except TimeoutError:
        return b""


def test_bytes_and_the_end_pass(run_async):
    async def scenario(ends):
        reader, writer = await ends.connect()
        writer.write(b"x" * 300_000)
        writer.write_eof()
        return len(await reader.read(-1))

    assert through_link(run_async, scenario) == 300_000


def test_a_reset_link_ends_what_is_open_and_refuses_the_new_until_it_is_sound(run_async):
    async def scenario(ends):
        reader, writer = await ends.connect()
        writer.write(b"a")
        await reader.readexactly(1)
        ends.link.apply(HarmLink("l", reset=True))
        with pytest.raises(OSError):
            await reader.readexactly(1)
        new_reader, _ = await ends.connect()
        with pytest.raises(OSError):
            await new_reader.readexactly(1)
        ends.link.apply(HarmLink("l"))
        reader, writer = await ends.connect()
        writer.write(b"b")
        return await reader.readexactly(1)

    assert through_link(run_async, scenario) == b"b"


def test_a_silent_link_stays_silent_on_what_was_open_and_new_connections_work(run_async):
    async def scenario(ends):
        old_reader, old_writer = await ends.connect()
        old_writer.write(b"a")
        await old_reader.readexactly(1)
        ends.link.apply(HarmLink("l", silence=True))
        ends.link.apply(HarmLink("l"))
        old_writer.write(b"b")
        reader, writer = await ends.connect()
        writer.write(b"c")
        return await comes(old_reader), await reader.readexactly(1)

    assert through_link(run_async, scenario) == (b"", b"c")


@pytest.mark.parametrize(("harm", "heard"), [({"hold_forth": True}, 1), ({"hold_back": True}, 2)])
def test_a_link_that_is_cut_one_way_goes_on_when_it_is_sound(run_async, harm, heard):
    async def scenario(ends):
        reader, writer = await ends.connect()
        writer.write(b"a")
        await reader.readexactly(1)
        ends.link.apply(HarmLink("l", **harm))
        writer.write(b"b")
        during = await comes(reader), ends.heard
        ends.link.apply(HarmLink("l"))
        return during, await reader.readexactly(1)

    assert through_link(run_async, scenario) == ((b"", heard), b"b")


def test_a_link_that_leads_nowhere_refuses_connections_and_opens_at_the_same_address(run_async):
    async def scenario(ends):
        await ends.link.aim("")
        with pytest.raises(ConnectionRefusedError):
            await ends.connect()
        await ends.link.aim(ends.target)
        reader, writer = await ends.connect()
        writer.write(b"a")
        return await reader.readexactly(1)

    assert through_link(run_async, scenario) == b"a"


def test_delay_and_width_add_up_over_pieces_of_one_way():
    wire = Wire()
    wire.harm = HarmLink("l", delay_s=0.5, bytes_per_s=1000.0)
    due = [wire.due_s(10.0, 200, True), wire.due_s(10.0, 200, True), wire.due_s(10.0, 200, False)]
    assert [round(each, 2) for each in due] == [10.7, 10.9, 10.7]


@pytest.mark.parametrize(("node", "comes_during"), [("us", b""), ("another", b"b")])
def test_a_harm_of_one_node_leaves_the_others_alone(run_async, node, comes_during):
    async def scenario(ends):
        ends.nodes.know(KnowNode("us", os.getpid()))
        reader, writer = await ends.connect()
        writer.write(b"a")
        await reader.readexactly(1)
        ends.link.apply(HarmLink("l", node=node, hold_back=True))
        writer.write(b"b")
        return await comes(reader)

    assert through_link(run_async, scenario) == comes_during


@pytest.mark.parametrize(("region", "comes_during"), [(0, b""), (1, b"b")])
def test_what_lies_between_regions_is_crossed_by_nodes_of_another_region_only(run_async, region, comes_during):
    async def scenario(ends):
        ends.nodes.know(KnowNode("us", os.getpid(), region))
        reader, writer = await ends.connect()
        writer.write(b"a")
        await reader.readexactly(1)
        ends.nodes.between_regions.harm = HarmLink("regions", hold_forth=True)
        writer.write(b"b")
        return await comes(reader)

    assert through_link(run_async, scenario) == comes_during
