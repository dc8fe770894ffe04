"""Which software versions may have begun a stream: those listed now and those listed not long ago."""

import pytest

from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health.backend import Backend
from wallwell.routing.selection.software_history import MAX_LISTING_AGE_S, MAX_REMEMBERED_S, SoftwareHistory

STREAM_S = 8.0


def listed(*versions):
    return [Backend(BackendRecord(f"i-{each}", "svc", "a:1", "z1", 8, software=each)) for each in versions]


@pytest.mark.parametrize(
    ("now_s", "versions"), [(10.0, {"v1", "v2"}), (18.0, {"v1", "v2"}), (18.1, {"v2"}), (200.0, {"v2"})]
)
def test_a_version_counts_for_the_time_of_a_stream_after_its_last_back_end(now_s, versions):
    history = SoftwareHistory()
    history.on_unlisted("svc", "v1", 10.0)
    history.on_unlisted("other", "v9", 10.0)
    assert history.versions("svc", listed("v2"), now_s, STREAM_S) == versions


def test_versions_of_long_ago_are_forgotten():
    history = SoftwareHistory()
    for number in range(100):
        history.on_unlisted("svc", f"v{number}", float(number * MAX_REMEMBERED_S))
    assert len(history._last_listed_s["svc"]) <= 2


@pytest.mark.parametrize(
    ("observed_since_s", "confirmed_at_s", "now_s", "complete"),
    [
        (0.0, 20.0, 20.0, True),
        (0.0, 20.0, 20.0 + MAX_LISTING_AGE_S, True),
        (0.0, 20.0, 20.1 + MAX_LISTING_AGE_S, False),
        (13.0, 20.0, 20.0, False),
        (12.0, 20.0, 20.0, True),
    ],
)
def test_the_history_is_complete_if_the_listing_was_followed_for_long_and_is_recent(
    observed_since_s, confirmed_at_s, now_s, complete
):
    history = SoftwareHistory()
    history.on_confirmed(observed_since_s, observed_since_s)
    history.on_confirmed(confirmed_at_s, confirmed_at_s)
    assert history.is_complete(now_s, STREAM_S) is complete


def test_the_history_of_a_node_that_has_read_no_listing_is_not_complete():
    assert not SoftwareHistory().is_complete(100.0, STREAM_S)
