"""Corrupt entries of back ends: the back end under the key is removed, and all other rows of the page apply.

A value with invalid base64 stopped the follower of its table at each read, so that no listing was applied; one with
invalid UTF-8 kept a relay from answering its followers. An undecodable entry was ignored, so that the back end
listed under its key stayed in use. Only missing and undecodable JSON had been expected in a table that others
write.
"""

import msgspec
import pytest

from tests.unit.serving.fakes import make_state
from wallwell.clock import boot_time_s
from wallwell.http_connection import ConnectionPool
from wallwell.node.backend_rows import LAPSE_GRACE_S, MAX_UNREADABLE_LOGGED, BackendRows
from wallwell.platform.rows import decode_backend
from wallwell.platform.store_wire import StoredRow, encode_value, to_feed_row
from wallwell.storage.feed import FeedPage, FeedRow, FollowedPage

INVALID_BASE64, INVALID_UTF8, INVALID_JSON = "%", "/w==", encode_value("{")
MISSING_ADDRESS = encode_value('{"service":"svc"}')


class Sources:
    decode_backend = staticmethod(decode_backend)


def entry(number, **changes):
    fields = {"service": "svc", "addr": f"10.0.0.{number}:80", "zone": "z1", "slots": 4, "born": 1000, **changes}
    return encode_value(msgspec.json.encode(fields).decode())


class Listing:
    def __init__(self):
        self.state = make_state(backends=0)
        self.rows = BackendRows(self.state, Sources, ConnectionPool("X", 1.0, 1.0))
        self.version = 0

    def apply_page(self, is_snapshot=False, **values):
        stored = []
        for key, value in values.items():
            self.version += 1
            stored.append(to_feed_row(StoredRow(key, value, self.version)))
        self.rows.apply(FollowedPage(FeedPage(tuple(stored), self.version, 0.0), is_snapshot, 0.0, 0.0))

    def names(self):
        return [each.incarnation for each in self.state.backends.backends_of_service("svc")]


@pytest.mark.parametrize("is_snapshot", [True, False], ids=["snapshot", "a change"])
@pytest.mark.parametrize(
    "corrupt",
    [INVALID_BASE64, INVALID_UTF8, INVALID_JSON, MISSING_ADDRESS],
    ids=["invalid base64", "invalid UTF-8", "invalid JSON", "missing address"],
)
def test_back_end_with_a_corrupt_entry_is_removed_and_others_stay(corrupt, is_snapshot, warning_events):
    listing = Listing()
    listing.apply_page(True, a=entry(1), b=entry(2))
    known = listing.state.backends.get("b")
    listing.apply_page(is_snapshot, a=entry(1), b=corrupt, c=entry(3))
    assert listing.names() == ["a", "c"]
    assert known.gone
    assert [(each["event"], each["backend"], each["further"]) for each in warning_events] == [(6023, "b", 0)]


def test_a_back_end_that_lists_itself_again_is_used_again():
    listing = Listing()
    listing.apply_page(True, a=entry(1))
    listing.apply_page(a=INVALID_JSON)
    listing.apply_page(a=entry(1))
    assert listing.names() == ["a"]


def test_a_thousand_corrupt_entries_are_logged_in_a_few_lines(warning_events):
    listing = Listing()
    listing.apply_page(True, good=entry(1), **{f"corrupt-{number}": INVALID_JSON for number in range(1000)})
    assert listing.names() == ["good"]
    assert len(warning_events) == MAX_UNREADABLE_LOGGED
    assert warning_events[-1]["further"] == 1000 - MAX_UNREADABLE_LOGGED


def test_back_end_of_an_unconfigured_service_serves_no_route():
    listing = Listing()
    listing.apply_page(True, a=entry(1), b=entry(2, service="unknown"))
    assert listing.names() == ["a"]


@pytest.mark.parametrize(("value", "may_have_left"), [(INVALID_JSON, False), (None, True)], ids=["odd", "removed"])
def test_an_unreadable_entry_does_not_say_that_its_back_end_leaves(value, may_have_left):
    """Guards against a stream of a killed engine that is called whole, and a crash that is not counted."""
    listing = Listing()
    listing.apply_page(True, a=entry(1))
    backend = listing.state.backends.get("a")
    if value is None:
        removed = FeedPage((FeedRow("a", None, 9),), 9, 0.0)
        listing.rows.apply(FollowedPage(removed, False, boot_time_s(), boot_time_s()))
    else:
        listing.apply_page(a=value)
    lapsed_s = boot_time_s() + LAPSE_GRACE_S
    listing.rows.drop_lapsed(lapsed_s)
    status = backend.listing_status(lapsed_s)
    assert listing.names() == []
    assert (status.is_leaving, status.unlisted_since_s is not None) == (may_have_left, may_have_left)


def test_an_entry_that_is_sound_again_says_what_it_says():
    listing = Listing()
    listing.apply_page(True, a=entry(1))
    listing.apply_page(a=INVALID_JSON)
    listing.apply_page(a=entry(1, state="draining"))
    assert listing.state.backends.get("a").listing_status(boot_time_s()).is_leaving
