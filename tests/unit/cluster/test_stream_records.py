"""What the store keeps of streams and versions, so that it outlasts all nodes.

Guards against versions and streams that are missing there when all nodes start again, against rows that stay for
good, and against writes while nothing changes.
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
    MIN_RECORDED_S,
    READ_TIMEOUT_S,
    RECORD_TIMEOUT_S,
    STREAMS_PREFIX,
    VERSIONS_PREFIX,
    StreamRecords,
    VersionView,
)
from wallwell.cluster.version_rows import UNREADABLE_VERSION
from wallwell.emulator.platform_server import TableModel
from wallwell.storage.table import Put, Transaction

KEPT_S = 10.0
VERSIONS_KEY = VERSIONS_PREFIX + "svc"


class CountingTable(FaultyTable):
    """Counts all calls, also those that fail."""

    calls = 0

    def _next_fault(self):
        self.calls += 1
        return super()._next_fault()


class SilentTable(FaultyTable):
    """Answers no call."""

    async def transact(self, transaction):
        await asyncio.sleep(3600)

    async def get(self, key):
        await asyncio.sleep(3600)

    async def scan(self, prefix, after_version):
        await asyncio.sleep(3600)


class Node:
    """One node's records on a table that may be shared."""

    def __init__(self, model=None, faults=()):
        self.table = CountingTable(model, faults)
        self.now_s = 1000.0
        self.view = VersionView({"v1"}, is_complete=True)
        self.records = StreamRecords(
            "n1", self.table, lambda: {"svc": self.view}, lambda: self.now_s, lambda: 3, random.Random(1)
        )
        self.records.on_era(0, is_restored=False)

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

    def begin(self, software):
        asyncio.run(self.records.ensure_recorded("svc", software))
        return self

    def later(self, seconds=MIN_RECORDED_S):
        self.now_s += seconds
        return self

    def versions(self):
        """Return what another node reads now."""
        return young(self.table.model).read().versions.get("svc")

    def keys(self, prefix):
        scan = asyncio.run(FaultyTable(self.table.model).scan(prefix, 0))
        return [row.key for row in scan.rows if row.value]


def young(model):
    """Return a node that has just started."""
    return Node(model).sees("v2", is_complete=False)


def test_one_version_costs_one_write_of_all_nodes_and_one_read_of_each():
    first = Node().write(3)
    others = [Node(first.table.model).write(3) for _ in range(5)]
    for node in (first, *others):
        node.begin("v1").later().write(3)
    assert first.keys("") == [VERSIONS_KEY]
    assert first.versions() == {"v1"}
    assert first.table.model.commit == 1
    assert (first.table.calls, {node.table.calls for node in others}) == (2, {1})


def test_a_system_that_starts_for_the_first_time_costs_one_write_more():
    """The second write states that nothing else has served, once a node can know; the others read that once."""
    first = Node().sees("v1", is_complete=False).write()
    others = [Node(first.table.model).sees("v1", is_complete=False).write(2) for _ in range(5)]
    for node in (first, *others):
        node.sees("v1").write(3)
    assert first.table.model.commit == 2
    assert (first.table.calls, {node.table.calls for node in others}) == (4, {2})


def lives_of(*nodes):
    return {node.records.life for node in nodes}


def test_streams_that_nobody_knows_are_of_the_version_that_another_one_has_joined_since():
    """Guards against refusing them although it can be proved which version began them; the proof lasts as long as
    the node that gave it."""
    model = Node().write().table.model
    writer, other = young(model).sees("v1", "v2", is_complete=False), young(model)
    assert other.records.sole_version(other.read().rows["svc"], lives_of(other)) == "v1"
    row = writer.begin("v2") and other.read().rows["svc"]
    assert other.records.sole_version(row, lives_of(other)) is None
    assert other.records.sole_version(row, lives_of(other, writer)) == "v1"
    assert other.later(400.0).records.sole_version(row, lives_of(other, writer)) is None


def test_nothing_is_proved_by_a_node_that_has_begun_a_stream_without_the_store():
    """Guards against a proof that passes over streams which began while the store was away."""
    model = Node().write().table.model
    node = young(model).sees("v1", "v2", is_complete=False)
    node.table.down = True
    node.begin("v2")
    node.table.down = False
    row = node.write().read().rows["svc"]
    assert set(row.versions) == {"v1", "v2"}
    assert node.records.sole_version(row, lives_of(node)) is None


def test_the_only_version_is_known_after_all_nodes_have_ended():
    """Guards against young nodes that take the only version they see for the only one there has been."""
    ended = Node().write()
    assert young(ended.table.model).write().read().versions == {"svc": {"v1", "v2"}}


def test_the_only_version_is_still_known_after_several_ends_of_all_nodes():
    model = Node().write().table.model
    for software in ("v2", "v3", "v2"):
        Node(model).sees(software, is_complete=False).write().later(60.0).write()
    assert young(model).read().versions == {"svc": {"v1", "v2", "v3"}}


def test_a_version_is_in_the_store_before_its_first_stream_begins():
    node = young(Node().write().table.model).begin("v2")
    assert node.versions() == {"v1", "v2"}


def test_a_version_that_comes_back_is_written_again():
    node = Node().sees("v1", "v2").write().later().sees("v2").write()
    assert node.versions() == {"v2"}
    assert node.sees("v1", "v2").begin("v1").versions() == {"v1", "v2"}


def test_a_version_that_two_nodes_write_at_the_same_moment_is_not_lost():
    model = Node().write().table.model
    other = Node(model)
    node = Node(model)

    def other_writes_first():
        node.table.before_transact = lambda: None
        row = model.rows[VERSIONS_KEY]
        model.transact(Transaction((), (Put(VERSIONS_KEY, '{"versions":["v1","v3"]}'),)))
        assert row.version < model.rows[VERSIONS_KEY].version

    node.table.before_transact = other_writes_first
    node.sees("v1", "v2").begin("v2")
    assert other.versions() == {"v1", "v2", "v3"}


@pytest.mark.parametrize("is_silent", [True, False])
def test_streams_do_not_wait_long_for_a_store_that_does_not_answer(is_silent):
    """Guards against streams that each wait for a store which is away, and against one that never recovers."""

    async def work():
        node = Node()
        node.records._table = SilentTable() if is_silent else node.table
        node.table.down = True
        began_s = boot_time_s()
        await asyncio.gather(*(node.records.ensure_recorded("svc", "v1") for _ in range(10)))
        first_s = boot_time_s() - began_s
        await node.records.ensure_recorded("svc", "v1")
        rest_s = boot_time_s() - began_s - first_s
        node.records._table, node.table.down = node.table, False
        await node.records.write_once()
        return first_s, rest_s, node

    first_s, rest_s, node = run_virtual(work())
    assert first_s < 2 * RECORD_TIMEOUT_S
    assert rest_s == 0
    assert list(node.table.model.rows) == [VERSIONS_KEY]


def test_a_row_that_an_earlier_build_has_deleted_is_written_again_once_that_is_seen():
    node = Node().write()
    asyncio.run(node.table.transact(Transaction((), (), (VERSIONS_KEY,))))
    node.read()
    assert node.write().versions() == {"v1"}


def test_a_row_of_versions_that_cannot_be_decoded_counts_as_several_until_their_streams_have_ended():
    """Guards against a row that is damaged and is taken for none, or stops all writes."""
    node = young(Node().table.model)
    asyncio.run(node.table.transact(Transaction((), (Put(VERSIONS_KEY, "[]"),))))
    assert node.read().versions == {"svc": {UNREADABLE_VERSION}}
    assert node.add("s1", software="v2").write().read().software == {"s1": "v2"}
    assert node.versions() == {UNREADABLE_VERSION, "v2"}
    assert node.sees("v2").later().write().versions() == {"v2"}


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


def test_a_version_goes_once_its_streams_have_ended():
    node = Node().sees("v1", "v2", "v3").write().later()
    assert node.sees("v2", "v3", is_complete=False).write().versions() == {"v1", "v2", "v3"}
    assert node.sees("v2", "v3").write().versions() == {"v2", "v3"}
    assert node.later().sees("v2").write().versions() == {"v2"}


def test_a_version_goes_though_the_store_was_away_once():
    """Guards against one that stays, so that nodes that start later refuse streams they know nothing of."""
    node = Node().sees("v1", "v2").write().later().sees("v2")
    node.table.down = True
    node.write()
    node.table.down = False
    assert node.write().versions() == {"v2"}


def test_a_node_that_read_the_row_of_ended_nodes_removes_their_version_in_time():
    ended = Node().sees("v1", "v2").write()
    node = young(ended.table.model)
    node.read()
    assert node.write().later().write().versions() == {"v1", "v2"}
    assert node.sees("v2").write().versions() == {"v2"}


def test_a_version_that_another_node_has_added_stays():
    node = Node().sees("v1", "v2").write().later()
    Node(node.table.model).sees("v2", "v3").write()
    assert node.sees("v2").write(3).versions() == {"v2", "v3"}


def test_a_version_that_another_node_has_removed_costs_one_read():
    node = Node().sees("v1", "v2").write()
    other = Node(node.table.model)
    other.read()
    node.later().sees("v2").write()
    commit = node.table.model.commit
    other.later().sees("v2").write(3)
    assert (other.table.calls, node.table.model.commit) == (2, commit)


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


def test_what_a_row_of_an_older_copy_proved_counts_no_more():
    """Guards against a copy from before a version served, by which its streams would be of the one before."""
    node = Node().write()
    row = node.read().rows["svc"]
    assert node.records.sole_version(row, ()) == "v1"
    node.records.on_era(1, is_restored=True)
    assert node.records.sole_version(row, ()) is None
    assert node.records.sole_version(node.write().read().rows["svc"], ()) == "v1"


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
