"""Registration of a node while the store accepts no writes, and member rows that cannot be decoded."""

import asyncio

import msgspec
import pytest

from tests.unit.serving.fakes import make_state
from wallwell.cluster.upstream import NodeRecord, UpstreamOrder
from wallwell.errors import PlatformUnavailableError
from wallwell.events import Event
from wallwell.node import member_rows
from wallwell.node.member_rows import MEMBER_PREFIX, MemberRows
from wallwell.storage.feed import FeedPage, FeedRow, FollowedPage

OWN = NodeRecord("z1", "127.0.0.1:9")


class FailingTable:
    """Fails the first ``failures`` transactions."""

    def __init__(self, failures):
        self.failures = failures
        self.calls = 0

    async def transact(self, transaction):
        self.calls += 1
        if self.calls <= self.failures:
            raise PlatformUnavailableError("away")


def make_rows(monkeypatch, table, listeners=()):
    events = []
    monkeypatch.setattr(member_rows, "emit", lambda event, **fields: events.append(event))
    state = make_state(backends=0)
    order = UpstreamOrder(state.node, state.zone)
    return MemberRows(state, table, order, listeners), order, events


def page(*rows):
    return FollowedPage(FeedPage(rows, 1, 0.0), True, 0.0, 0.0)


def test_a_registration_that_fails_is_tried_again_and_logged_once(monkeypatch):
    async def scenario():
        table = FailingTable(failures=3)
        rows, _, events = make_rows(monkeypatch, table)
        rows.apply(page())
        for _ in range(4):
            await rows.register(OWN)
        return table.calls, events

    assert asyncio.run(scenario()) == (4, [Event.MEMBER_NOT_REGISTERED])


def test_a_node_does_not_register_before_it_has_read_the_rows(monkeypatch):
    async def scenario():
        table = FailingTable(failures=0)
        rows, _, _ = make_rows(monkeypatch, table)
        await rows.register(OWN)
        return table.calls, rows.has_been_read

    assert asyncio.run(scenario()) == (0, False)


def test_a_member_whose_row_cannot_be_decoded_counts_without_an_address(monkeypatch):
    rows, order, events = make_rows(monkeypatch, FailingTable(failures=0))
    rows.apply(page(FeedRow(MEMBER_PREFIX + "other", b"{", 1)))
    assert order.members == {"other": NodeRecord(zone="")}
    assert events == [Event.MEMBER_ROW_UNREADABLE]


class Listener:
    """Records the keys of applied rows; cannot decode rows with the value ``unreadable``."""

    def __init__(self):
        self.applied_keys = []

    def on_era(self, era, is_restored):
        pass

    def on_row(self, row, now_s):
        if row.value == b"unreadable":
            raise msgspec.ValidationError("not as expected")
        self.applied_keys.append(row.key)


def test_undecodable_row_does_not_affect_other_rows(monkeypatch):
    first, second = Listener(), Listener()
    rows, order, events = make_rows(monkeypatch, FailingTable(failures=0), (first, second))
    unreadable = FeedRow("progress/m", b"unreadable", 1)
    rows.apply(
        page(unreadable, FeedRow("lease/x", b"{}", 2), FeedRow(MEMBER_PREFIX + "n2", msgspec.json.encode(OWN), 3))
    )
    assert first.applied_keys == second.applied_keys == ["lease/x"]
    assert set(order.members) == {"n2"}
    assert events == [Event.OWN_ROW_UNREADABLE] * 2


@pytest.mark.parametrize(("is_restored", "gone"), [(False, ["crash/c/1"]), (True, [])])
def test_row_deleted_during_a_gap_in_the_feed_is_reported_as_deleted(monkeypatch, is_restored, gone):
    """A quarantine lifted by operators stayed in force at nodes whose feed had lost its history meanwhile."""
    received = []

    class Listener:
        def on_row(self, row, now_s):
            received.append((row.key, row.value))

        def on_era(self, era, is_restored):
            pass

    rows, _, _ = make_rows(monkeypatch, FailingTable(failures=0), (Listener(),))
    rows.apply(page(FeedRow("crash/c/1", b"n", 1), FeedRow("crash/c/2", b"n", 2), FeedRow("crash/c/3", b"n", 3)))
    deleted = FeedRow("crash/c/3", None, 4)
    rows.apply(FollowedPage(FeedPage((deleted,), 4, 0.0), False, 0.0, 0.0))
    received.clear()
    snapshot = FeedPage((FeedRow("crash/c/2", b"n", 2),), 5, 0.0)
    rows.apply(FollowedPage(snapshot, True, 0.0, 0.0, is_restored))
    assert [key for key, value in received if value is None] == gone


def test_a_member_at_an_odd_address_is_told_once_and_still_shares_the_budgets(monkeypatch):
    """Guards against a node that peers silently pass over, since its row names no address."""
    rows, order, events = make_rows(monkeypatch, FailingTable(failures=0))
    odd = msgspec.json.encode(NodeRecord("z1", "node..example:9"))
    for version in (1, 2, 3):
        rows.apply(page(FeedRow(MEMBER_PREFIX + "n2", odd, version)))
    assert events == [Event.MEMBER_ROW_UNREADABLE]
    assert order.members["n2"].address is None
