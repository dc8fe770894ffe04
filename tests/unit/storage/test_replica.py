"""A replica answers as the store would, or raises an error if it lacks part of the history."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wallwell.errors import HistoryLostError
from wallwell.storage.feed import FeedPage, FeedRow
from wallwell.storage.replica import RowReplica

WRITES = st.lists(st.tuples(st.sampled_from("abcd"), st.booleans()), max_size=25)


@given(writes=WRITES, snapshot_at=st.integers(0, 25), peer_version=st.integers(0, 25), deletions=st.integers(1, 4))
def test_a_peer_that_follows_the_replica_gets_the_rows_of_the_store(writes, snapshot_at, peer_version, deletions):
    """The replica reads a snapshot after some writes and each later write as a change; then a peer asks for
    changes."""
    replica = RowReplica(max_deletions=deletions)
    rows, states = {}, [{}]
    for version, (key, deleted) in enumerate(writes, start=1):
        row = FeedRow(key, None if deleted else b"%d" % version, version)
        rows = {name: each for name, each in rows.items() if name != key}
        if not deleted:
            rows[key] = row
        states.append(rows)
        if version == snapshot_at:
            replica.apply_page(FeedPage(tuple(rows.values()), version, float(version)), is_snapshot=True)
        elif version > snapshot_at:
            replica.apply_page(FeedPage((row,), version, float(version)), is_snapshot=False)
    if snapshot_at > len(writes):
        return
    peer_rows = dict(states[min(peer_version, len(writes))])
    try:
        changes = replica.changes_since(min(peer_version, len(writes)))
    except HistoryLostError:
        peer_rows = {}
        changes = replica.all_rows()
    for row in changes.rows:
        peer_rows.pop(row.key, None)
        if row.value is not None:
            peer_rows[row.key] = row
    assert peer_rows == rows


def test_changes_from_before_the_snapshot_are_lost():
    replica = RowReplica()
    replica.apply_page(FeedPage((FeedRow("a", b"1", 3),), 7, 1.0), is_snapshot=True)
    assert replica.changes_since(7).rows == ()
    with pytest.raises(HistoryLostError):
        replica.changes_since(6)


def test_an_older_snapshot_is_refused():
    replica = RowReplica()
    replica.apply_page(FeedPage((FeedRow("a", b"2", 5),), 5, 2.0), is_snapshot=True)
    replica.apply_page(FeedPage((FeedRow("a", b"1", 3),), 4, 1.0), is_snapshot=True)
    assert replica.all_rows().rows == (FeedRow("a", b"2", 5),)
    assert (replica.version, replica.store_s) == (5, 2.0)


def test_a_snapshot_of_a_later_era_replaces_newer_versions_and_restarts_the_history():
    replica = RowReplica()
    replica.apply_page(FeedPage((FeedRow("a", b"2", 5), FeedRow("b", b"1", 9)), 9, 2.0, era=1), is_snapshot=True)
    replica.apply_page(FeedPage((FeedRow("a", b"1", 3),), 4, 1.0, era=2), is_snapshot=True)
    assert replica.all_rows() == FeedPage((FeedRow("a", b"1", 3),), 4, 1.0, relayed=True, era=2)
    with pytest.raises(HistoryLostError):
        replica.changes_since(3)


@pytest.mark.parametrize("is_snapshot", [False, True])
def test_a_delayed_page_of_an_earlier_era_is_refused(is_snapshot):
    replica = RowReplica()
    replica.apply_page(FeedPage((FeedRow("a", b"2", 5),), 5, 2.0, era=2), is_snapshot=True)
    refused = replica.apply_page(FeedPage((FeedRow("a", b"1", 50),), 60, 9.0, era=1), is_snapshot)
    assert (refused, replica.version, replica.all_rows().rows) == (1, 5, (FeedRow("a", b"2", 5),))


def test_a_change_of_a_later_era_is_not_applied_to_rows_of_an_earlier_era():
    replica = RowReplica()
    replica.apply_page(FeedPage((FeedRow("a", b"2", 5),), 5, 2.0, era=1), is_snapshot=True)
    replica.apply_page(FeedPage((FeedRow("b", b"1", 6),), 6, 9.0, era=2), is_snapshot=False)
    assert (replica.era, replica.version, len(replica.all_rows().rows)) == (1, 5, 1)
