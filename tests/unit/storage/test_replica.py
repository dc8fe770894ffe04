"""A copy of the rows says what the store would say, or that it does not know."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wallwell.errors import HistoryLostError
from wallwell.storage.feed import FeedPage, FeedRow
from wallwell.storage.replica import RowReplica

WRITES = st.lists(st.tuples(st.sampled_from("abcd"), st.booleans()), max_size=25)


@given(writes=WRITES, read_whole_at=st.integers(0, 25), asked_from=st.integers(0, 25), deletions=st.integers(1, 4))
def test_who_follows_the_copy_knows_what_the_store_knows(writes, read_whole_at, asked_from, deletions):
    """The copy reads everything after some writes and each later one as a change; then a peer asks."""
    replica = RowReplica(max_deletions=deletions)
    rows, states = {}, [{}]
    for version, (key, deleted) in enumerate(writes, start=1):
        row = FeedRow(key, None if deleted else b"%d" % version, version)
        rows = {name: each for name, each in rows.items() if name != key}
        if not deleted:
            rows[key] = row
        states.append(rows)
        if version == read_whole_at:
            replica.apply_page(FeedPage(tuple(rows.values()), version, float(version)), is_snapshot=True)
        elif version > read_whole_at:
            replica.apply_page(FeedPage((row,), version, float(version)), is_snapshot=False)
    if read_whole_at > len(writes):
        return
    known = dict(states[min(asked_from, len(writes))])
    try:
        changes = replica.changes_since(min(asked_from, len(writes)))
    except HistoryLostError:
        known = {}
        changes = replica.all_rows()
    for row in changes.rows:
        known.pop(row.key, None)
        if row.value is not None:
            known[row.key] = row
    assert known == rows


def test_changes_from_before_the_whole_reading_are_not_known():
    replica = RowReplica()
    replica.apply_page(FeedPage((FeedRow("a", b"1", 3),), 7, 1.0), is_snapshot=True)
    assert replica.changes_since(7).rows == ()
    with pytest.raises(HistoryLostError):
        replica.changes_since(6)


def test_an_older_whole_page_changes_nothing():
    replica = RowReplica()
    replica.apply_page(FeedPage((FeedRow("a", b"2", 5),), 5, 2.0), is_snapshot=True)
    replica.apply_page(FeedPage((FeedRow("a", b"1", 3),), 4, 1.0), is_snapshot=True)
    assert replica.all_rows().rows == (FeedRow("a", b"2", 5),)
    assert (replica.version, replica.store_s) == (5, 2.0)


def test_a_whole_page_of_a_later_era_replaces_newer_versions_and_begins_history_anew():
    replica = RowReplica()
    replica.apply_page(FeedPage((FeedRow("a", b"2", 5), FeedRow("b", b"1", 9)), 9, 2.0, era=1), is_snapshot=True)
    replica.apply_page(FeedPage((FeedRow("a", b"1", 3),), 4, 1.0, era=2), is_snapshot=True)
    assert replica.all_rows() == FeedPage((FeedRow("a", b"1", 3),), 4, 1.0, relayed=True, era=2)
    with pytest.raises(HistoryLostError):
        replica.changes_since(3)


@pytest.mark.parametrize("whole", [False, True])
def test_a_late_page_of_an_earlier_era_changes_nothing(whole):
    replica = RowReplica()
    replica.apply_page(FeedPage((FeedRow("a", b"2", 5),), 5, 2.0, era=2), is_snapshot=True)
    refused = replica.apply_page(FeedPage((FeedRow("a", b"1", 50),), 60, 9.0, era=1), whole)
    assert (refused, replica.version, replica.all_rows().rows) == (1, 5, (FeedRow("a", b"2", 5),))


def test_a_change_of_a_later_era_is_not_joined_to_the_rows_of_an_earlier_one():
    replica = RowReplica()
    replica.apply_page(FeedPage((FeedRow("a", b"2", 5),), 5, 2.0, era=1), is_snapshot=True)
    replica.apply_page(FeedPage((FeedRow("b", b"1", 6),), 6, 9.0, era=2), is_snapshot=False)
    assert (replica.era, replica.version, len(replica.all_rows().rows)) == (1, 5, 1)
