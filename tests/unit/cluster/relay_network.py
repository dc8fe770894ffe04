"""Simulates nodes that follow a store through each other in virtual time, with cut links and store failures."""

import asyncio
import random

from tests.unit.storage.memory_rows import MemoryRows
from wallwell.clock import boot_time_s
from wallwell.cluster.peer_link import PeerLinks
from wallwell.cluster.relay import RelayedRows
from wallwell.cluster.upstream import NodeRecord, UpstreamOrder
from wallwell.deployment.freshness import StoreClock
from wallwell.deployment.topology import Topology
from wallwell.errors import PeerUnavailableError, PlatformUnavailableError
from wallwell.storage.feed import RowFollower

NODES = 4
WAIT_S = 0.8
ROUND_TRIP_S = 0.004
STORE_OFFSET_S = -900.0
BEFORE_ALL_POSITIONS = (0, 0)
"""A store position lower than any real one."""
SETTLE_S = 25.0


class Store(MemoryRows):
    """The store's rows with the times of their writes; a write wakes the calls held for a change."""

    def __init__(self):
        super().__init__()
        self.calls = 0
        self.written = {}
        """Time and position of the last write of each row; a restore brings back those of the copy."""
        self.restored_s = float("-inf")
        self._changed = asyncio.Event()

    def write(self, key, value):
        super().write(key, value)
        self.written[key] = (boot_time_s(), (self.era, self.version))
        self._wake()

    def copy(self):
        return super().copy(), dict(self.written)

    def restore(self, copy):
        rows, written = copy
        super().restore(rows)
        self.written = dict(written)
        self.restored_s = boot_time_s()
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, after, wait_s):
        try:
            async with asyncio.timeout(wait_s):
                while self.era == after.era and self.version <= after.version:
                    await self._changed.wait()
        except TimeoutError:
            return


class StoreOfNode:
    """One node's connection to the store, whose mode is well (working), refusing or silent."""

    def __init__(self, store):
        self.store = store
        self.mode = "well"
        self.round_trip_s = ROUND_TRIP_S
        self.loses_call = lambda: False
        self.calls = 0

    async def _call(self, read):
        self.store.calls += 1
        self.calls += 1
        mode = self.mode
        if self.loses_call():
            mode = "silent"
        await asyncio.sleep(self.round_trip_s / 2)
        if mode == "refusing":
            raise PlatformUnavailableError("refused")
        page = await read()
        if "silent" in (mode, self.mode):
            await asyncio.sleep(1.5)
            raise PlatformUnavailableError("no answer in time")
        await asyncio.sleep(self.round_trip_s / 2)
        return page

    async def read_all(self):
        return await self._call(self.store.read_all)

    async def changes(self, after, wait_s):
        async def read():
            await self.store.wait_for_change(after, wait_s)
            return await self.store.changes(after, 0.0)

        return await self._call(read)


class VirtualLink:
    """A link to a node in this process: a cut link never answers, a killed node refuses at once."""

    def __init__(self, network, asker, name):
        self._network, self._asker, self._name = network, asker, name

    async def ask(self, request, reply_type, timeout_s):
        peer = self._network.nodes[self._name]
        await asyncio.sleep(ROUND_TRIP_S / 2)
        if not peer.alive:
            raise PeerUnavailableError("refused")
        if self._network.is_cut(self._asker, self._name):
            await asyncio.sleep(timeout_s)
            raise PeerUnavailableError("silent")
        try:
            async with asyncio.timeout(timeout_s):
                reply = await peer.rows.answer(request)
        except TimeoutError as error:
            raise PeerUnavailableError("no answer in time") from error
        if not peer.alive or self._network.is_cut(self._asker, self._name):
            raise PeerUnavailableError("lost on the way")
        assert isinstance(reply, reply_type)
        await asyncio.sleep(ROUND_TRIP_S / 2)
        return reply


class VirtualLinks(PeerLinks):
    def __init__(self, network, asker):
        super().__init__()
        self._network, self._asker = network, asker

    def to(self, name, address):
        return VirtualLink(self._network, self._asker, name)


class Node:
    def __init__(self, network, name):
        self.name = name
        self.alive = True
        self.store = StoreOfNode(network.store)
        zone = network.members[name].zone
        self.order = UpstreamOrder(name, zone, network.members, Topology(zone, network.regions))
        self.rng = random.Random(name)
        self._network = network
        self._start()

    def _start(self):
        self.clock = StoreClock()
        self.known_rows = {}
        """Position and value of each received row, by key."""
        self.era = 0
        self.rows = RelayedRows("rows", self.store, self.order, self.clock, WAIT_S)
        self.rows.links = VirtualLinks(self._network, self.name)
        self.follower = RowFollower("rows", self.rows, self._apply, WAIT_S, self.clock, self.rng)
        self.task = asyncio.create_task(self._run())

    async def _run(self):
        # Nodes start at different times, so that their held calls do not end at the same time.
        await asyncio.sleep(self.rng.uniform(0.0, WAIT_S))
        await self.follower.run()

    def _apply(self, followed):
        if followed.is_snapshot:
            self.known_rows = {}
        assert followed.page.era >= self.era, "an earlier era came after a later one"
        self.era = followed.page.era
        for row in followed.page.rows:
            position = (self.era, row.version)
            assert position >= self.known_rows.get(row.key, (BEFORE_ALL_POSITIONS, b""))[0], "a row went back"
            self.known_rows[row.key] = (position, row.value)
        self.check(followed.confirmed_at_s)

    def check(self, confirmed_at_s):
        """Assert that every row written before ``confirmed_at_s`` is here, and that no time after the end of an era
        counts as confirmed in it."""
        if self.era < self._network.store.era:
            assert confirmed_at_s <= self._network.store.restored_s, "a past era is confirmed after its end"
            return  # This node may still see a row as deleted that the restored copy contains.
        for key in self._network.store.rows:
            written_s, position = self._network.store.written[key]
            if written_s < confirmed_at_s:
                assert self.known_rows.get(key, (BEFORE_ALL_POSITIONS, b""))[0] >= position, (
                    "the node lacks a row that it counts as confirmed"
                )

    def kill(self):
        self.alive = False
        self.task.cancel()

    def restart(self):
        if not self.alive:
            self.alive = True
            self._start()


class Network:
    def __init__(self, zones="zzzz", regions=None):
        """``zones`` has one letter per node; ``regions`` maps zones to regions."""
        self.regions = regions or {}
        self.store = Store()
        self.store._now_s = lambda: boot_time_s() + STORE_OFFSET_S
        self.members = {f"n{index}": NodeRecord(zone, f"10.0.0.{index}:1") for index, zone in enumerate(zones)}
        self.cut = set()
        self.nodes = {name: Node(self, name) for name in self.members}

    def is_cut(self, one, other):
        return frozenset((one, other)) in self.cut

    def heal(self):
        self.cut.clear()
        for node in self.nodes.values():
            node.store.mode = "well"
            node.restart()

    def node_following_store(self, region=None):
        return next(
            node
            for node in self.nodes.values()
            if not node.order.candidates(boot_time_s())
            and (region is None or self.regions[node.order.zone] == region)
        )

    def nodes_of_region(self, region):
        return [node for node in self.nodes.values() if self.regions[node.order.zone] == region]
