"""Crashes that count against a request, what clears a request, and for how long."""

import pytest

from tests.suspects import suspected_content_digests
from wallwell.routing.admission.quarantine import (
    CLEARANCE_S,
    CRASHES_TO_QUARANTINE,
    MAX_CLEARED_REQUESTS,
    MAX_SUSPECTS,
    QUARANTINE_S,
    SUSPECT_S,
    Quarantine,
)

QUARANTINED_BY = [f"i-{number}" for number in range(CRASHES_TO_QUARANTINE)]


def with_crashes(incarnations, content_digest="c", now_s=0.0, quarantine=None):
    quarantine = quarantine or Quarantine()
    for incarnation in incarnations:
        quarantine.on_crash(content_digest, incarnation, now_s)
    return quarantine


@pytest.mark.parametrize(
    ("incarnations", "is_quarantined"),
    [
        ([], False),
        (QUARANTINED_BY[:-1], False),
        (QUARANTINED_BY[:-1] * 3, False),
        (QUARANTINED_BY, True),
        ([*QUARANTINED_BY, "i-9"], True),
    ],
)
def test_crashes_of_different_back_ends_count(incarnations, is_quarantined):
    quarantine = with_crashes(incarnations)
    assert (quarantine.remaining_s("c", 1.0) > 0, quarantine.quarantined_count) == (
        is_quarantined,
        int(is_quarantined),
    )
    assert quarantine.remaining_s("other", 1.0) == 0


def test_an_answer_clears_earlier_crashes_and_those_that_follow_soon():
    quarantine = with_crashes(QUARANTINED_BY[:-1])
    assert set(quarantine.on_answered("c", 1.0)) == set(QUARANTINED_BY[:-1])
    with_crashes(QUARANTINED_BY, now_s=CLEARANCE_S, quarantine=quarantine)
    assert (quarantine.remaining_s("c", CLEARANCE_S), quarantine.suspect_count) == (0, 0)
    with_crashes(QUARANTINED_BY, now_s=CLEARANCE_S + 2.0, quarantine=quarantine)
    assert quarantine.remaining_s("c", CLEARANCE_S + 2.0) == QUARANTINE_S


def test_an_answer_ends_a_quarantine():
    quarantine = with_crashes(QUARANTINED_BY)
    assert set(quarantine.on_answered("c", 1.0)) == set(QUARANTINED_BY)
    assert (quarantine.remaining_s("c", 1.0), quarantine.quarantined_count) == (0, 0)


@pytest.mark.parametrize(
    ("incarnations", "lasts_s"), [(QUARANTINED_BY[:1], SUSPECT_S), (QUARANTINED_BY, QUARANTINE_S)]
)
def test_crashes_expire(incarnations, lasts_s):
    quarantine = with_crashes(incarnations, now_s=10.0)
    assert list(quarantine.expired_crashes(10.0 + lasts_s - 1)) == []
    expired = list(quarantine.expired_crashes(10.0 + lasts_s))
    assert sorted(expired) == [("c", incarnation) for incarnation in incarnations]
    assert quarantine.remaining_s("c", 10.0 + lasts_s) == 0
    for content_digest, incarnation in expired:
        quarantine.forget_crash(content_digest, incarnation)
    assert (quarantine.quarantined_count, quarantine.suspect_count) == (0, 0)


def test_removing_a_crash_ends_the_quarantine_and_has_no_effect_the_second_time():
    quarantine = with_crashes(QUARANTINED_BY)
    for _ in range(2):
        quarantine.forget_crash("c", QUARANTINED_BY[0])
    quarantine.forget_crash("unknown", QUARANTINED_BY[0])
    assert (quarantine.quarantined_count, quarantine.suspect_count) == (0, 1)


def test_number_of_suspects_is_bounded_and_quarantined_ones_stay():
    quarantine = with_crashes(QUARANTINED_BY)
    for number in range(MAX_SUSPECTS + 5):
        quarantine.on_crash(f"other-{number}", "i-1", 0.0)
    assert quarantine.suspect_count == MAX_SUSPECTS
    assert quarantine.remaining_s("c", 1.0) > 0
    suspected = suspected_content_digests(quarantine)
    assert "other-0" not in suspected
    assert f"other-{MAX_SUSPECTS + 4}" in suspected


def test_number_of_cleared_requests_is_bounded():
    quarantine = Quarantine()
    for number in range(MAX_CLEARED_REQUESTS + 5):
        quarantine.on_answered(f"c-{number}", 0.0)
    assert not quarantine.is_cleared("c-0", 1.0)
    assert quarantine.is_cleared(f"c-{MAX_CLEARED_REQUESTS + 4}", 1.0)
    quarantine.on_answered("last", CLEARANCE_S)
    assert not quarantine.is_cleared(f"c-{MAX_CLEARED_REQUESTS + 4}", CLEARANCE_S)
