"""What the store keeps of streams and versions, so that it outlasts all nodes.

Guards against versions and streams that are missing there when all nodes start again, against rows that stay for
good, and against writes while a service has one version.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.faulty_table import REPLY_LOST, REQUEST_LOST, FaultyTable
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.cluster.stream_records import (
    MAX_UNWRITTEN_STREAMS,
    READ_TIMEOUT_S,
    STREAMS_PREFIX,
    VERSIONS_PREFIX,
    StreamRecords,
    VersionView,
)
from wallwell.emulator.platform_server import TableModel
from wallwell.storage.table import Put, Transaction

KEPT_S = 10.0
VERSIONS_KEY = VERSIONS_PREFIX + "svc"


class Node:
    """One node's records on a table that may be shared."""

    def __init__(self, model=None, faults=()):
        self.table = FaultyTable(model, faults)
        self.now_s = 1000.0
        self.view = VersionView({"v1"}, is_complete=True)
        self.records = StreamRecords(
            "n1", self.table, lambda: {"svc": self.view}, lambda: self.now_s, lambda: 3, random.Random(1)
        )

    def sees(self, *versions, is_complete=True):
        self.view = VersionView(set(versions), is_complete)
        return self

    def write(self, times=1):
        for _ in range(times):
            asyncio.run(self.records.write_once())
        return self

    def add(self, *streams, software="v1"):
        for each in streams:
            self.records.add(each, software, KEPT_S)
        return self

    def read(self):
        self.records._read_at_s = float("-inf")  # As after READ_INTERVAL_S.
        return asyncio.run(self.records.read())

    def keys(self, prefix):
        scan = asyncio.run(FaultyTable(self.table.model).scan(prefix, 0))
        return [row.key for row in scan.rows if row.value]


def young(model):
    """Return a node that has just started."""
    return Node(model).sees("v2", is_complete=False)


def test_nothing_is_written_while_a_service_has_one_version():
    node = Node().write(3)
    assert node.table.model.commit == 0


def test_a_new_node_learns_the_versions_and_streams_of_nodes_that_have_ended():
    ended = Node().sees("v1", "v2").add("s1").add("s2", software="v2").write()
    records = young(ended.table.model).read()
    assert records.versions == {"svc": {"v1", "v2"}}
    assert records.software == {"s1": "v1", "s2": "v2"}


@pytest.mark.parametrize("fault", [REQUEST_LOST, REPLY_LOST])
def test_what_the_store_did_not_accept_is_written_again(fault):
    ended = Node(faults=["ok", fault, "ok", fault]).sees("v1", "v2").add("s1").write(3)
    records = young(ended.table.model).read()
    assert (records.versions, records.software) == ({"svc": {"v1", "v2"}}, {"s1": "v1"})


def test_versions_of_several_nodes_are_added_up():
    first = Node().sees("v1", "v2").write()
    second = Node(first.table.model).sees("v2", "v3").write()
    first.sees("v1", "v2", "v4").write(2)
    assert young(second.table.model).read().versions == {"svc": {"v1", "v2", "v3", "v4"}}


def test_the_row_of_versions_goes_once_streams_of_the_others_have_ended():
    node = Node().sees("v1", "v2").write()
    assert node.sees("v2", is_complete=False).write().keys(VERSIONS_PREFIX) == [VERSIONS_KEY]
    assert node.sees("v2").write().keys(VERSIONS_PREFIX) == []


def test_the_row_of_versions_goes_though_the_store_was_away_once():
    """Guards against a row that stays, so that nodes that start later refuse streams they know nothing of."""
    node = Node().sees("v1", "v2").write().sees("v2")
    node.table.down = True
    node.write()
    node.table.down = False
    assert node.write().keys(VERSIONS_PREFIX) == []


def test_a_node_that_read_the_row_of_ended_nodes_removes_it_in_time():
    ended = Node().sees("v1", "v2").write()
    node = young(ended.table.model)
    node.read()
    assert node.write().keys(VERSIONS_PREFIX) == [VERSIONS_KEY]
    assert node.sees("v2").write().keys(VERSIONS_PREFIX) == []


def test_a_row_to_which_another_node_has_added_a_version_stays():
    node = Node().sees("v1", "v2").write()
    Node(node.table.model).sees("v2", "v3").write()
    node.sees("v2").write()
    assert young(node.table.model).read().versions == {"svc": {"v1", "v2", "v3"}}


def test_rows_of_streams_go_when_their_time_is_over():
    ended, node = Node().sees("v1", "v2").add("s1").write(), Node().sees("v1", "v2")
    node.table = node.records._table = FaultyTable(ended.table.model)
    node.add("s2").write()
    for each in (ended, node):
        each.now_s += KEPT_S + 1
    node.read()
    assert len(node.write(2).keys(STREAMS_PREFIX)) == 0


def test_all_is_written_again_after_a_restore():
    node = Node().sees("v1", "v2").add("s1").write()
    node.table.model = TableModel()
    node.records.on_era(2, is_restored=True)
    records = young(node.write().table.model).read()
    assert (records.versions, records.software) == ({"svc": {"v1", "v2"}}, {"s1": "v1"})


def test_streams_that_wait_for_the_store_are_bounded():
    node = Node().sees("v1", "v2")
    node.table.down = True
    node.add(*(f"s{number}" for number in range(MAX_UNWRITTEN_STREAMS + 10))).write()
    node.table.down = False
    node.write(MAX_UNWRITTEN_STREAMS // 500 + 1)
    known = young(node.table.model).read().software
    assert len(known) == MAX_UNWRITTEN_STREAMS and "s9" not in known and "s10" in known


def test_a_store_that_does_not_answer_is_not_taken_for_one_without_rows():
    node = Node()
    node.table.down = True
    assert node.read() is None


def test_streams_that_wait_together_for_a_silent_store_wait_once():
    """Guards against streams that are resumed together and each wait for a time-out of their own."""

    class SilentTable(FaultyTable):
        async def scan(self, prefix, after_version):
            await asyncio.sleep(3600)

    async def work():
        node = Node()
        node.records._table = SilentTable()
        began_s = boot_time_s()
        found = await asyncio.gather(*(node.records.read() for _ in range(10)))
        return found, boot_time_s() - began_s

    found, took_s = run_virtual(work())
    assert found == [None] * 10
    assert took_s < 2 * READ_TIMEOUT_S


def test_a_row_that_cannot_be_decoded_hides_no_other():
    node = Node().sees("v1", "v2").add("s1").write()
    foreign = Put(f"{STREAMS_PREFIX}x/1/1", "{"), Put(f"{VERSIONS_PREFIX}other", "[]")
    asyncio.run(node.table.transact(Transaction((), foreign)))
    assert young(node.table.model).read().software == {"s1": "v1"}
