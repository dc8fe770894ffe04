"""Rows relayed by a peer over sockets: changes arrive at once, and a failing or stale peer is replaced."""

import asyncio
import contextlib
import random
import zlib

import msgspec
import pytest

from tests.unit.storage.memory_rows import MemoryRows, Mirror
from wallwell.clock import boot_time_s
from wallwell.cluster.peer_link import PeerServer
from wallwell.cluster.relay import RelayedRows, rows_handler
from wallwell.cluster.row_messages import RowsReply, RowsRequest, reply_with_rows, unpack_rows
from wallwell.cluster.upstream import NodeRecord, UpstreamOrder
from wallwell.deployment.freshness import StoreClock
from wallwell.errors import PeerUnavailableError, PlatformUnavailableError
from wallwell.storage.feed import RowFollower

WAIT_S = 0.2


class CountingRows(MemoryRows):
    """The store's rows; a write wakes the calls held for a change, and calls are counted."""

    def __init__(self):
        super().__init__()
        self.calls = 0
        self._changed = asyncio.Event()

    def write(self, key, value):
        super().write(key, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def read_all(self):
        self.calls += 1
        return await super().read_all()

    async def changes(self, after, wait_s):
        self.calls += 1
        if self.version == after.version:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
        return await super().changes(after, 0.0)


class Node:
    """A follower of one table that also serves peers, with its own connection to the store."""

    def __init__(self, name, store):
        self.name, self.store = name, store
        self.order = UpstreamOrder(name, "z")
        clock = StoreClock()
        self.rows = RelayedRows("rows", store, self.order, clock, WAIT_S)
        self.mirror = Mirror()
        self.follower = RowFollower("rows", self.rows, self.mirror.apply, WAIT_S, clock, random.Random(5))
        self.server = PeerServer({RowsRequest: rows_handler({"rows": self.rows})})

    async def start(self):
        await self.server.start("127.0.0.1", 0)
        self.task = asyncio.create_task(self.follower.run())

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.rows.close()
        self.server.close()


async def until(condition):
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.fixture
def with_nodes(run_async):
    """Run a scenario with nodes ``n0`` to ``n2`` that know each other, sorted so that the relay is the first."""

    def run(scenario):
        async def work():
            store = CountingRows()
            store.write("a", b"1")
            nodes = [Node(f"n{index}", store) for index in range(3)]
            for node in nodes:
                await node.start()
            await until(lambda: all(node.mirror.rows == {"a": b"1"} for node in nodes))
            members = {node.name: NodeRecord("z", node.server.address) for node in nodes}
            for node in nodes:
                node.order.members = members
            nodes.sort(key=lambda node: len(node.order.candidates(boot_time_s())))
            try:
                return await scenario(store, nodes)
            finally:
                for node in nodes:
                    await node.stop()

        return run_async(work())

    return run


def test_one_node_calls_the_store_and_all_nodes_get_the_changes(with_nodes):
    async def scenario(store, nodes):
        # Each node may still have one call of its own to the store in flight, made before it knew its peers.
        await until(lambda: all(node.rows.links for node in nodes[1:]))
        before = store.calls
        for number in range(20):
            store.write("b", b"%d" % number)
            await until(lambda number=number: all(node.mirror.rows.get("b") == b"%d" % number for node in nodes))
        return store.calls - before

    assert with_nodes(scenario) <= 20 + 5


def test_a_peer_that_stops_is_replaced(with_nodes):
    async def scenario(store, nodes):
        await until(lambda: all(node.rows.links for node in nodes[1:]))
        await nodes[0].stop()
        store.write("b", b"2")
        await until(lambda: all(node.mirror.rows.get("b") == b"2" for node in nodes[1:]))

    with_nodes(scenario)


def test_a_peer_that_the_store_refuses_reports_stale_rows_and_is_replaced(with_nodes):
    async def scenario(store, nodes):
        await until(lambda: all(node.rows.links for node in nodes[1:]))
        refusing = CountingRows()
        refusing.failures = [PlatformUnavailableError("refused")] * 100_000
        nodes[0].rows._store = refusing
        store.write("b", b"2")
        await until(lambda: all(node.mirror.rows.get("b") == b"2" for node in nodes[1:]))
        confirmed_s = min(node.follower.confirmed_at_s for node in nodes[1:])
        await until(lambda: all(node.follower.confirmed_at_s > confirmed_s + 3 * WAIT_S for node in nodes[1:]))

    with_nodes(scenario)


def test_all_rows_are_read_again_when_a_peer_has_lost_the_history(with_nodes):
    async def scenario(store, nodes):
        await until(lambda: all(node.rows.links for node in nodes[1:]))
        store.write("a", None)
        store.write("c", b"3")
        store.drop_history()
        await until(lambda: all(node.mirror.rows == {"c": b"3"} for node in nodes))

    with_nodes(scenario)


def test_a_peer_with_an_older_copy_does_not_set_a_node_back(with_nodes):
    async def scenario(store, nodes):
        store.write("b", b"2")
        await until(lambda: all(node.mirror.rows.get("b") == b"2" for node in nodes))
        await nodes[1].stop()
        behind = nodes[0].rows.replica
        behind.version -= 1
        behind._rows.pop("b")
        page = await nodes[1].rows.read_all()
        return {row.key for row in page.rows}

    assert with_nodes(scenario) == {"a", "b"}


def test_large_rows_are_sent_compressed(with_nodes):
    """A relay sends a configuration to each member of its zone over its own link."""
    value = b'{"tenants":[' + b",".join(b'{"name":"t%d","keys":["k%d"]}' % (n, n) for n in range(500)) + b"]}"

    async def scenario(store, nodes):
        store.write("big", value)
        await until(lambda: all(node.mirror.rows.get("big") == value for node in nodes))
        page = nodes[0].rows.replica.changes_since(store.version - 1)
        return len(msgspec.json.encode(reply_with_rows(page)))

    assert with_nodes(scenario) < len(value) / 3


@pytest.mark.parametrize("packed", [b"nonsense", zlib.compress(b"nonsense"), zlib.compress(b'{"a":1}')])
def test_rows_that_cannot_be_unpacked_count_as_no_answer(packed):
    with pytest.raises(PeerUnavailableError):
        unpack_rows(RowsReply(version=1, packed=packed), "10.0.0.1:1")


def test_malformed_requests_from_a_peer_end_its_connection(with_nodes):
    async def scenario(store, nodes):
        host, _, port = nodes[0].server.address.rpartition(":")
        answers = []
        for line in (b"{}\n", b"no json\n", b'{"type":"RowsRequest","table":"other","wait_s":0}\n'):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(line)
            with contextlib.suppress(ConnectionError):
                answers.append(await reader.read())
            writer.close()
        return answers

    assert not any(with_nodes(scenario))
