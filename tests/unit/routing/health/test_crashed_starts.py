"""Which start of a back end counts as crashed, and until when its entry is not believed.

Guards against an entry of a process that has ended, whose software version is taken for that of the next one.
"""

import dataclasses

import pytest

from wallwell.address import Address
from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health.backend_registry import NEXT_START_LISTED_S, BackendRegistry

FIRST = BackendRecord("i-1", "svc", Address("10.0.0.1", 80), "z1", 8, started_unix_ms=1000, software="v1")


def registry(record=FIRST):
    backends = BackendRegistry()
    return backends, backends.upsert(record)


def test_crash_of_the_listed_start_counts_until_the_next_one_is_listed():
    backends, first = registry()
    backends.on_crashed(first.start_id, 10.0)
    assert first.crashed_at_s == 10.0
    second = backends.upsert(dataclasses.replace(FIRST, started_unix_ms=2000, software="v2"))
    assert second.crashed_at_s is None


@pytest.mark.parametrize("start_id", ["i-1@999", "i-1", "i-2@1000", "", "@", "i-1@1000@"])
def test_crash_of_another_start_changes_nothing(start_id):
    backends, first = registry()
    backends.on_crashed(start_id, 10.0)
    assert first.crashed_at_s is None


def test_back_end_that_states_no_start_is_known_by_its_incarnation():
    backends, first = registry(dataclasses.replace(FIRST, incarnation="i@1", started_unix_ms=None))
    backends.on_crashed("i@1", 10.0)
    assert first.crashed_at_s == 10.0


def test_entry_that_stays_is_believed_again_once_the_store_has_confirmed_it_for_long_enough():
    """Guards against a back end that was taken for crashed and gets no stream to continue ever after."""
    backends, first = registry()
    backends.on_crashed(first.start_id, 10.0)
    backends.on_listing_confirmed(10.0 + NEXT_START_LISTED_S - 0.1)
    assert first.crashed_at_s == 10.0
    backends.on_listing_confirmed(10.0 + NEXT_START_LISTED_S)
    assert first.crashed_at_s is None


def test_further_reports_of_a_crash_do_not_put_the_time_off():
    backends, first = registry()
    for at_s in (10.0, 12.0, 14.0):
        backends.on_crashed(first.start_id, at_s)
    backends.on_listing_confirmed(10.0 + NEXT_START_LISTED_S)
    assert first.crashed_at_s is None


def test_entry_is_not_believed_while_the_store_confirms_nothing():
    """Guards against an outage of the store, in which the entry of the next start cannot arrive."""
    backends, first = registry()
    backends.on_crashed(first.start_id, 10.0)
    backends.on_listing_confirmed(9.0)
    assert first.crashed_at_s == 10.0


def test_crash_of_a_start_stays_known_once_the_next_one_is_listed():
    """Guards against events of an attempt at the start before that are passed on as those of a known version."""
    backends, first = registry()
    backends.on_crashed(first.start_id, 10.0)
    second = backends.upsert(dataclasses.replace(FIRST, started_unix_ms=2000, software="v2"))
    backends.on_listing_confirmed(100.0)
    assert (first.crashed_at_s, second.crashed_at_s) == (10.0, None)


def test_each_unlisted_start_has_an_identity_of_its_own():
    """Guards against crashes of starts that are ended again before they are listed, all counted as one."""
    backends, first = registry()
    backends.on_crashed(first.start_id, 10.0)
    assert [first.start_id_at(at_s) for at_s in (9.0, 11.0)] == ["i-1@1000", "i-1@1000+1"]
    backends.on_crashed("i-1@1000+1", 15.0)
    assert [first.start_id_at(at_s) for at_s in (9.0, 11.0, 16.0)] == ["i-1@1000", "i-1@1000+1", "i-1@1000+2"]
    assert [first.runs_unlisted_start(at_s) for at_s in (9.0, 11.0)] == [False, True]


def test_nodes_that_learn_of_crashes_in_any_order_give_the_next_start_the_same_identity():
    for order in (("i-1@1000", "i-1@1000+1"), ("i-1@1000+1", "i-1@1000"), ("i-1@1000+1",)):
        backends, first = registry()
        for start_id in order:
            backends.on_crashed(start_id, 10.0)
        assert first.start_id_at(11.0) == "i-1@1000+2"


def test_entry_that_is_believed_again_names_its_start_as_before():
    backends, first = registry()
    backends.on_crashed(first.start_id, 10.0)
    backends.on_listing_confirmed(10.0 + NEXT_START_LISTED_S)
    assert first.start_id_at(100.0) == first.start_id


def test_crash_of_an_unlisted_start_puts_off_the_time_at_which_the_entry_is_believed():
    backends, first = registry()
    backends.on_crashed(first.start_id, 10.0)
    backends.on_crashed("i-1@1000+1", 13.0)
    backends.on_listing_confirmed(10.0 + NEXT_START_LISTED_S)
    assert first.crashed_at_s == 13.0


@pytest.mark.parametrize("number", ["", "x", "-1", "1.0", "1000", "9" * 400, "\u0661", "1+1"])
def test_number_of_an_unlisted_start_that_cannot_be_right_changes_nothing(number):
    backends, first = registry()
    backends.on_crashed(f"i-1@1000+{number}", 10.0)
    assert first.crashed_at_s is None
