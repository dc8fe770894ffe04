"""Which versions the store's row of a service names, and when it proves that one version began all streams."""

import pytest

from wallwell.cluster.version_rows import (
    UNREADABLE_VERSION,
    SoleVersion,
    VersionsChange,
    VersionsRow,
    changed_row,
    decode_versions_row,
    only_version,
)
from wallwell.storage.table import Row

ERA = 0
NOW_S = 1000.0
STREAM_TIME_S = 14.0
WHOLE = VersionsRow(["v1"], ERA)


def change(*seen, left=(), is_young=True, **more):
    change = VersionsChange(set(seen), set(left), not is_young, is_young, ERA, "n1/a", NOW_S, STREAM_TIME_S)
    return change._replace(**more)


def test_versions_are_added_and_removed():
    assert changed_row(VersionsRow(["v1", "v2"]), change("v3", left=["v1"])).versions == ["v2", "v3"]


def test_the_first_row_of_nodes_that_started_lately_proves_nothing():
    """Guards against taking a service without a row, as after an upgrade, for one that has had no other version."""
    row = changed_row(None, change("v1"))
    assert only_version(row, ERA) is None
    assert changed_row(row, change("v1", "v2")).sole is None


def test_a_node_that_has_followed_the_listing_for_long_proves_the_only_version():
    row = changed_row(changed_row(None, change("v1")), change("v1", is_young=False))
    assert row == WHOLE
    assert only_version(row, ERA) == "v1"


def test_the_version_that_another_one_joins_has_begun_all_earlier_streams():
    row = changed_row(WHOLE, change("v1", "v2"))
    assert row.sole == SoleVersion("v1", "n1/a", NOW_S + STREAM_TIME_S)
    assert only_version(row, ERA) is None
    assert changed_row(row, change("v3", writer="n2/b")).sole == row.sole


@pytest.mark.parametrize(
    ("row", "more"),
    [
        (VersionsRow(["v1"]), {}),
        (VersionsRow(["v1"], ERA), {"era": ERA + 1}),
        (VersionsRow(["v1"], ERA), {"era": None}),
        (VersionsRow(["v1"], ERA), {"may_tell_sole": False}),
        (VersionsRow(["v1", "v2"], ERA), {}),
        (VersionsRow([UNREADABLE_VERSION]), {}),
    ],
    ids=["not whole", "of an older copy", "era unknown", "not after a start", "several before", "unreadable"],
)
def test_no_version_counts_as_the_only_one_without_proof(row, more):
    assert changed_row(row, change("v1", "v2", "v3", **more)).sole is None


def test_the_proof_ends_with_the_streams_and_with_the_version():
    row = changed_row(WHOLE, change("v1", "v2"))
    assert changed_row(row, change("v1", "v2", "v3", now_s=NOW_S + STREAM_TIME_S)).sole is None
    assert changed_row(row, change("v2", "v3", left=["v1"])).sole is None
    assert changed_row(row, change("v2", left=["v1"])).sole is None


def test_a_row_of_an_older_copy_becomes_whole_by_a_node_that_has_followed_the_listing_for_long():
    copy = VersionsRow(["v1"], ERA)
    assert changed_row(copy, change("v1", era=1)).whole_in_era == ERA
    assert changed_row(copy, change("v1", era=1, is_young=False)).whole_in_era == 1


def test_a_row_that_cannot_be_decoded_names_a_version_that_no_back_end_has():
    assert decode_versions_row(Row("versions/svc", "[]", 1)).versions == [UNREADABLE_VERSION]
