"""Which back ends may get a request, and which ones only as a last resort."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.unit.routing.selection.fleet_strategies import MODEL, NOW_S, ZONES, backends, weights_targets
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.weights import OVERDUE_FRACTION, WeightsTargets
from wallwell.routing.health.backend import Backend, ExpectedWeightsLoad
from wallwell.routing.selection.candidates import (
    BEGIN_MARGIN_S,
    LAST_RESORT_FRACTION,
    LEAVING_GRACE_S,
    WeightsRequirement,
    begin_by_s,
    candidates_from_tiers,
    earliest_backoff_end_s,
    exclude_unresponsive_zones,
    usable_backends,
)

ALLOWANCE_S = 8.0


def engine(name, version=1, zone="z1", **observed):
    backend = Backend(BackendRecord(name, "svc", f"{name}:80", zone, 8, versions={MODEL: version}), **observed)
    backend.versions = {MODEL: version}
    return backend


def requirement(named_s=None, version=2):
    """Return the requirement of generations ``named_s`` seconds after a version was named."""
    targets = WeightsTargets()
    if named_s is not None:
        targets.add_version(MODEL, version, NOW_S - named_s)
    return WeightsRequirement(targets, MODEL, ALLOWANCE_S)


def names(backends_found):
    return [each.incarnation for each in backends_found]


def draining(name):
    backend = engine(name)
    backend.record = dataclasses.replace(backend.record, draining=True)
    return backend


OPEN, SUSPENDED = engine("open"), engine("suspended", suspended_until_s=NOW_S + 1)
LEAVING = (
    engine("gone", gone=True),
    engine("superseded", superseded=True),
    engine("lapsed", lapses_at_s=NOW_S),
    engine("announced", leaving_since_s=NOW_S - LEAVING_GRACE_S),
    draining("draining"),
)


def backing_off(name, ends_in_s, **observed):
    backend = engine(name, **observed)
    backend.backoff.on_requested(ends_in_s + 1.0, NOW_S - 1.0)
    return backend


def on_trial(name):
    """Return a back end whose back-off is over and whose trial request is in flight."""
    backend = backing_off(name, -0.1)
    backend.backoff.on_sent(NOW_S - 0.05)
    return backend


JUST_LEAVING = engine("just leaving", leaving_since_s=NOW_S - LEAVING_GRACE_S + 0.01)
BACKING_OFF, ON_TRIAL = backing_off("backing off", 2.0), on_trial("on trial")


@pytest.mark.parametrize(
    ("listed", "usable"),
    [
        ((OPEN, SUSPENDED, *LEAVING), ["open"]),
        ((SUSPENDED, *LEAVING), ["suspended"]),
        (LEAVING, []),
        ((), []),
        ((OPEN, BACKING_OFF, ON_TRIAL, JUST_LEAVING), ["open"]),
        ((ON_TRIAL, BACKING_OFF, JUST_LEAVING), ["on trial"]),
        ((SUSPENDED, BACKING_OFF, JUST_LEAVING), ["suspended"]),
        ((BACKING_OFF, JUST_LEAVING), []),
        ((JUST_LEAVING, *LEAVING), ["just leaving"]),
        ((backing_off("both", 2.0, leaving_since_s=NOW_S),), []),
        ((backing_off("over", -0.5),), ["over"]),
    ],
    ids=[
        "open",
        "suspended as last resort",
        "leaving ones never",
        "none",
        "open before all others",
        "on trial as last resort",
        "suspended before leaving",
        "back-off is respected although another leaves",
        "all leave, one of them within the grace",
        "leaving and backing off",
        "back-off is over",
    ],
)
@pytest.mark.parametrize("is_generation", [False, True])
def test_suspended_back_ends_are_a_last_resort_and_leaving_ones_get_nothing(listed, usable, is_generation):
    assert names(usable_backends(listed, requirement() if is_generation else None, NOW_S)) == usable


OLD, NEW = engine("old", 1), engine("new", 2)
LOADING = engine("loading", 1, expected_load=ExpectedWeightsLoad(MODEL, 2, NOW_S + 1))
OVERDUE_S = ALLOWANCE_S * OVERDUE_FRACTION + 0.001
LAST_RESORT_S = ALLOWANCE_S * LAST_RESORT_FRACTION + 0.001


@pytest.mark.parametrize(
    ("listed", "named_s", "usable"),
    [
        ((OLD, NEW), OVERDUE_S - 0.1, ["old", "new"]),
        ((OLD, NEW), OVERDUE_S, ["new"]),
        ((OLD,), OVERDUE_S, ["old"]),
        ((OLD,), LAST_RESORT_S - 0.1, ["old"]),
        ((OLD,), LAST_RESORT_S, []),
        ((OLD, LOADING), 1.0, ["old"]),
        ((LOADING,), 1.0, ["loading"]),
    ],
    ids=["not due", "due", "last resort", "last moment", "too old", "loading", "loading only"],
)
def test_generations_go_to_engines_with_the_due_weights_version(listed, named_s, usable):
    assert names(usable_backends(listed, requirement(named_s), NOW_S)) == usable


def test_calls_need_no_weights():
    assert names(usable_backends((OLD, NEW, LOADING), None, NOW_S)) == ["old", "new", "loading"]


@pytest.mark.parametrize(
    ("tiers", "listed", "usable"),
    [
        (([OPEN], [NEW]), ["open"], ["open"]),
        (([SUSPENDED], [NEW]), ["new"], ["new"]),
        (([], [SUSPENDED]), ["suspended"], ["suspended"]),
        (([*LEAVING], [SUSPENDED]), ["suspended"], ["suspended"]),
        (([SUSPENDED], []), ["suspended"], ["suspended"]),
        (([], [*LEAVING]), [], []),
    ],
    ids=["first", "first is suspended", "first is empty", "first leaves", "second is empty", "all leave"],
)
def test_the_first_tier_that_can_serve_is_chosen(tiers, listed, usable):
    found = candidates_from_tiers(tiers, None, NOW_S)
    assert (names(found.listed), names(found.usable)) == (listed, usable)


def test_a_generation_on_older_weights_begins_before_their_allowance_ends():
    weights_requirement = requirement(named_s=1.0)
    assert begin_by_s(OLD, weights_requirement) == NOW_S - 1.0 + ALLOWANCE_S - BEGIN_MARGIN_S
    assert begin_by_s(NEW, weights_requirement) == float("inf")


@pytest.mark.parametrize(
    ("unresponsive", "expected"),
    [
        (set(), ["a", "b", "c"]),
        ({"z2"}, ["a"]),
        ({"z1"}, ["b", "c"]),
        ({"z1", "z2"}, ["c"]),
        ({"z1", "z2", "z3"}, ["a", "b", "c"]),
    ],
)
def test_unresponsive_zones_are_excluded_and_then_the_own_zone_is_preferred(unresponsive, expected):
    listed = [engine("a", zone="z1"), engine("b", zone="z2"), engine("c", zone="z3")]
    assert names(exclude_unresponsive_zones(listed, unresponsive, "z1")) == expected


@given(backends(), weights_targets(), st.booleans())
def test_usable_back_ends_are_listed_and_not_leaving(listed, targets, is_generation):
    weights_requirement = WeightsRequirement(targets, MODEL, ALLOWANCE_S) if is_generation else None
    usable = usable_backends(listed, weights_requirement, NOW_S)
    assert usable == [each for each in listed if each in usable]
    assert not any(each.backoff.is_in_force(NOW_S) for each in usable)
    not_leaving = [each for each in listed if not each.is_leaving(NOW_S)]
    for each in usable:
        assert each in not_leaving or (not not_leaving and each.leaving_since_s + LEAVING_GRACE_S > NOW_S)
    if any(each.is_open(NOW_S) for each in listed):
        assert all(each.is_open(NOW_S) for each in usable)
    if not is_generation and not_leaving:
        assert bool(usable) == (earliest_backoff_end_s(listed, NOW_S) is None)


@pytest.mark.parametrize(
    ("listed", "ends_in_s"),
    [
        ((BACKING_OFF, backing_off("later", 3.0), *LEAVING), 2.0),
        ((BACKING_OFF, OPEN), None),
        ((BACKING_OFF, SUSPENDED), None),
        (LEAVING, None),
        ((), None),
    ],
)
def test_the_earliest_back_off_end_is_returned_if_all_that_do_not_leave_asked_for_one(listed, ends_in_s):
    ends_s = earliest_backoff_end_s(listed, NOW_S)
    assert (None if ends_s is None else ends_s - NOW_S) == pytest.approx(ends_in_s)


@given(backends(min_size=1), st.sets(st.sampled_from(ZONES)), st.sampled_from(ZONES))
def test_excluding_zones_never_excludes_all_back_ends(listed, unresponsive, own_zone):
    assert exclude_unresponsive_zones(listed, unresponsive, own_zone)
