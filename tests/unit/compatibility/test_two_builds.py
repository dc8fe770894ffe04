"""How the current build and a previous one without store eras read each other's messages and rows."""

import asyncio
import random

import msgspec
import pytest

from tests.unit.storage.memory_rows import MemoryRows
from wallwell.cluster.leases import LeaseBody
from wallwell.cluster.relay import RelayedRows
from wallwell.cluster.row_messages import RelayedRow, RowsReply, RowsRequest
from wallwell.cluster.upstream import NodeRecord, UpstreamOrder
from wallwell.deployment.freshness import StoreClock
from wallwell.deployment.store_era import era_received
from wallwell.rollout.model import Phase, RolloutOrder, RolloutRecord
from wallwell.storage.feed import RowFollower


class OlderRequest(msgspec.Struct, frozen=True, tag="RowsRequest"):
    """A type of the previous build, as test data."""

    table: str
    wait_s: float
    after: int | None = None


class OlderReply(msgspec.Struct, frozen=True):
    """A type of the previous build, as test data."""

    version: int = -1
    store_s: float = 0.0
    rows: tuple[RelayedRow, ...] = ()
    packed: bytes = b""
    stale: bool = False
    history_lost: bool = False


class OlderLease(msgspec.Struct, frozen=True):
    """A type of the previous build, as test data."""

    holder: str
    fence: int
    ttl_s: float
    released: bool = False


ROW = RelayedRow("k", "v", 7)
PAIRS = [
    (RowsRequest("op", 0.8, 7, 2), OlderRequest, OlderRequest("op", 0.8, 7)),
    (RowsReply(9, 1.0, (ROW,), era=2), OlderReply, OlderReply(9, 1.0, (ROW,))),
    (LeaseBody("n1", 0, 1.2, fence_offset=5, era=2), OlderLease, OlderLease("n1", 0, 1.2)),
]


@pytest.mark.parametrize(("today", "older_type", "older"), PAIRS, ids=lambda each: type(each).__name__)
def test_an_older_build_passes_over_what_it_does_not_know(today, older_type, older):
    assert msgspec.json.decode(msgspec.json.encode(today), type=older_type) == older


@pytest.mark.parametrize(("today", "older_type", "older"), PAIRS, ids=lambda each: type(each).__name__)
def test_what_an_older_build_sends_names_no_era(today, older_type, older):
    again = msgspec.json.decode(msgspec.json.encode(older), type=type(today))
    assert era_received(again.era) == 0


def test_nothing_is_added_while_the_store_counts_no_eras():
    for today, older in (
        (RowsRequest("op", 0.8, 7), OlderRequest("op", 0.8, 7)),
        (RowsReply(9, 1.0, (ROW,)), OlderReply(9, 1.0, (ROW,))),
        (LeaseBody("n1", 0, 1.2), OlderLease("n1", 0, 1.2)),
    ):
        assert msgspec.json.encode(today) == msgspec.json.encode(older)


@pytest.mark.parametrize(("duration_s", "covers"), [(30.0, True), (60.0, False)])
def test_a_record_of_an_older_build_is_told_from_a_new_order_by_what_it_asks_for(duration_s, covers):
    record = RolloutRecord("svc", "v2", 60, 0.0, 30.0, Phase.CANARY)
    assert record.covers(RolloutOrder("svc", "v2", duration_s, 48, era=1)) is covers


class OlderPeer:
    """A relay of the previous build, whose copy still has a version from before the restore."""

    def __init__(self, rows):
        self.rows = rows
        self.asked = 0

    async def ask(self, request, reply_type, timeout_s):
        self.asked += 1
        await asyncio.sleep(0.01)
        rows = tuple(RelayedRow(row.key, row.value.decode(), row.version) for row in self.rows.rows.values())
        return RowsReply(50, asyncio.get_running_loop().time() - 900.0, rows if request.after is None else ())


class Links:
    """Returns the same peer for every name."""

    def __init__(self, peer):
        self.peer = peer

    def keep(self, names):
        pass

    def to(self, name, address):
        return self.peer


@pytest.mark.parametrize(("restored", "follows"), [(False, True), (True, False)])
def test_a_relay_that_knows_no_eras_is_followed_only_while_the_store_has_never_come_back(restored, follows):
    async def work():
        store = MemoryRows()
        store.era = 0
        store.write("k", b"1")
        peer = OlderPeer(store)
        order = UpstreamOrder(
            "n2", "z", {"n1": NodeRecord("z", "10.0.0.1:1", 100.0), "n2": NodeRecord("z", "10.0.0.2:1", 1.0)}
        )
        assert [name for name, _ in order.candidates(0.0)] == ["n1"]
        clock = StoreClock()
        rows = RelayedRows("rows", store, order, clock, 0.1)
        rows.links = Links(peer)
        sent_s = asyncio.get_running_loop().time()
        page = await store.read_all()
        clock.confirmed_s(sent_s, page.store_s, page.era)
        if restored:
            store.restore(store.copy())
            rows._era.observe(store.era, sent_s)
        taken = []
        follower = RowFollower(
            "rows", rows, lambda followed: taken.append(followed.page), 0.1, clock, random.Random(1)
        )
        following = asyncio.create_task(follower.run())
        await asyncio.sleep(0.5)
        following.cancel()
        return peer.asked, [page.relayed for page in taken], {page.era for page in taken}

    asked, relayed, eras = asyncio.run(work())
    assert asked
    assert all(relayed) is follows
    assert eras == ({0} if follows else {1})
