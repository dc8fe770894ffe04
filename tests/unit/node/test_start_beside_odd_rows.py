"""A node that starts beside odd rows, which their writer writes again and again, in virtual time.

Each odd row ended the follower of its table, which was started again behind the page a second later: the starting
node had no back ends or was never ready, and a back end that came or left meanwhile went unnoticed.
"""

import asyncio
import random

import msgspec
import pytest

from tests.hostile_values import all_hostile_values, sound_document
from tests.unit.node.test_row_isolation import ADDRESSES, ODD, Sources, encoded
from tests.unit.storage.memory_rows import MemoryRows
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.cluster.upstream import UpstreamOrder
from wallwell.deployment.freshness import StoreClock
from wallwell.http_connection import ConnectionPool
from wallwell.node.backend_rows import BackendRows
from wallwell.node.member_rows import MemberRows
from wallwell.node.operator_rows import OperatorRows
from wallwell.node.state import FleetBounds, NodeState
from wallwell.node.supervision import run_supervised
from wallwell.platform.rows import BackendRow, ConfigRow, WeightsVersionRow
from wallwell.storage.feed import RowFollower

REWRITE_INTERVAL_S = 0.3
ODD_ENTRIES = [ODD, *(value for _, value in all_hostile_values(BackendRow, ADDRESSES))]
ODD_VERSIONS = [ODD, *(value for _, value in all_hostile_values(WeightsVersionRow))]


class FailingListener:
    """A listener of the nodes' own table with a fault, which it meets at each row."""

    def on_era(self, era, is_restored):
        raise ZeroDivisionError("scripted")

    def on_row(self, row, now_s):
        raise ZeroDivisionError("scripted")


class StartingNode:
    """The rows of one node and their followers, over a store in memory."""

    def __init__(self):
        self.backends, self.operators, self.own = MemoryRows(), MemoryRows(), MemoryRows()
        self.state = NodeState("n1", "z1", FleetBounds(), random.Random(1))
        self._clock = StoreClock()
        self.members = MemberRows(self.state, None, UpstreamOrder("n1", "z1"), [FailingListener()])
        self._readers = (
            (self.operators, OperatorRows(self.state, Sources)),
            (self.backends, BackendRows(self.state, Sources, ConnectionPool("X", 1.0, 1.0))),
            (self.own, self.members),
        )

    def start(self):
        followers = [
            RowFollower("rows", source, reader.apply, 0.8, self._clock, random.Random(1))
            for source, reader in self._readers
        ]
        return [asyncio.create_task(run_supervised(each.run)) for each in followers]

    def is_ready(self):
        return self.members.has_been_read and self.state.is_ready(boot_time_s())

    def used(self):
        return {each.incarnation for each in self.state.backends.all_backends()}


def write_odd_rows(node, number):
    """Write some odd rows of each table, others each time."""
    for offset in range(8):
        index = 8 * number + offset
        node.backends.write(f"odd-{offset}", ODD_ENTRIES[index % len(ODD_ENTRIES)])
        node.operators.write(f"version/odd-{offset}", ODD_VERSIONS[index % len(ODD_VERSIONS)])
        node.own.write(f"odd-{offset}", ODD)


async def write_odd_rows_for_ever(node):
    number = 0
    while True:
        write_odd_rows(node, number)
        number += 1
        await asyncio.sleep(REWRITE_INTERVAL_S)


def write_sound_rows(node):
    node.operators.write("config", encoded(ConfigRow))
    node.backends.write("stays", encoded(BackendRow, addr="10.0.0.7:80"))
    node.backends.write("leaves", encoded(BackendRow, addr="10.0.0.8:80"))


def start_of_a_node(has_odd_rows, is_odd_first=True):
    """Start a node; return when it was ready and which back ends it uses after one has come and one has left."""

    async def work():
        node = StartingNode()
        if not is_odd_first:
            write_sound_rows(node)
        writer = asyncio.create_task(write_odd_rows_for_ever(node)) if has_odd_rows else None
        await asyncio.sleep(0)
        if is_odd_first:
            write_sound_rows(node)
        started_s = boot_time_s()
        tasks = node.start()
        while not node.is_ready():
            assert boot_time_s() - started_s < 30.0, "not ready"
            await asyncio.sleep(0.05)
        ready_s = boot_time_s() - started_s
        await asyncio.sleep(5.0)
        node.backends.write("comes", encoded(BackendRow, addr="10.0.0.9:80"))
        node.backends.write("leaves", None)
        await asyncio.sleep(5.0)
        was_ready = node.is_ready()
        for task in [*tasks, *([writer] if writer else [])]:
            task.cancel()
        return ready_s, was_ready, {each for each in node.used() if not each.startswith("odd")}

    return run_virtual(work())


@pytest.mark.parametrize("is_odd_first", [True, False], ids=["odd rows before", "odd rows behind"])
def test_a_node_is_ready_as_fast_beside_odd_rows_as_without_them(is_odd_first):
    ready_s, _, _ = start_of_a_node(has_odd_rows=False)
    odd_ready_s, is_still_ready, used = start_of_a_node(has_odd_rows=True, is_odd_first=is_odd_first)
    assert odd_ready_s == ready_s
    assert is_still_ready
    assert used == {"stays", "comes"}


def test_an_unreadable_configuration_makes_no_node_ready():
    """Guards against a node that confirms what it does not know."""

    async def work():
        node = StartingNode()
        node.operators.write("config", b"{")
        node.start()
        await asyncio.sleep(3.0)
        is_ready = node.is_ready()
        node.operators.write("config", msgspec.json.encode(sound_document(ConfigRow, ADDRESSES)))
        await asyncio.sleep(2.0)
        return is_ready, node.is_ready()

    assert run_virtual(work()) == (False, True)
