"""A node's registry of rollouts, for orders, records and listings that arrive in any order."""

import pytest

from wallwell.deployment.store_era import StorePosition
from wallwell.rollout.model import Phase, RolloutBounds, RolloutOrder, RolloutRecord
from wallwell.rollout.records import UNANNOUNCED_WAIT_S, RolloutRegistry, exclude_replaced, opening_record

ORDER = RolloutOrder("svc", "v2", 30.0, 10)


def record(phase=Phase.CANARY, share=0.05, order=10, target="v2", barred=()):
    return RolloutRecord("svc", target, order, 0.0, 30.0, phase, share, barred=barred)


def make_registry(*records, order=None):
    registry = RolloutRegistry(RolloutBounds(rollback_s=5.0))
    if order is not None:
        registry.on_order(order, 1.0)
    for version, each in enumerate(records, 1):
        registry.on_record(each, StorePosition(0, version), record_written_s=50.0)
    return registry


def test_without_orders_and_records_nothing_is_active():
    registry = make_registry()
    registry.on_backend_listed("svc", "v1", 0.0, at_start=True)
    assert registry.active == {}


def test_an_order_without_a_record_is_a_canary_without_requests():
    effective = make_registry(order=ORDER).effective_record("svc")
    assert (effective.phase, effective.share, effective.target_version) == (Phase.CANARY, 0.0, "v2")


def test_an_older_order_changes_nothing():
    registry = make_registry(order=ORDER)
    assert not registry.on_order(RolloutOrder("svc", "v9", 30.0, 9), 2.0)
    assert registry.effective_record("svc").target_version == "v2"


def test_an_older_row_of_a_record_changes_nothing():
    registry = make_registry(record())
    registry.on_record(record(Phase.ROLLED_BACK), StorePosition(0, 5), 51.0)
    registry.on_record(record(share=0.1), StorePosition(0, 4), 52.0)
    assert registry.effective_record("svc").phase is Phase.ROLLED_BACK


def test_a_new_order_excludes_the_earlier_target_at_once():
    registry = make_registry(record(Phase.SWITCHING), order=ORDER)
    registry.on_order(RolloutOrder("svc", "v3", 30.0, 11), 2.0)
    effective = registry.effective_record("svc")
    assert (effective.target_version, effective.share, effective.barred) == ("v3", 0.0, ("v2",))


@pytest.mark.parametrize(
    ("phase", "target", "barred", "expected"),
    [
        (Phase.ROLLED_BACK, "v3", (), ("v2",)),
        (Phase.ROLLED_BACK, "v2", (), ()),
        (Phase.ROLLED_BACK, "v3", ("v0",), ("v0", "v2")),
        (Phase.COMPLETE, "v3", ("v1",), ("v1",)),
        (Phase.COMPLETE, "v1", ("v1",), ()),
    ],
)
def test_versions_excluded_by_earlier_rollouts_stay_excluded_unless_named_again(phase, target, barred, expected):
    opened = opening_record(RolloutOrder("svc", target, 9.0, 11), record(phase, barred=barred), 3.0)
    assert opened.barred == expected


def test_a_complete_rollout_excludes_all_versions_that_it_replaces():
    assert exclude_replaced(record(barred=("v0",)), {"v1", "v2"}) == ("v0", "v1")


@pytest.mark.parametrize(("phase", "software"), [(Phase.ROLLED_BACK, "v2"), (Phase.COMPLETE, "v1")])
def test_back_ends_that_leave_after_a_rollout_get_no_requests(phase, software):
    registry = make_registry(record(phase, barred=("v1",) if phase is Phase.COMPLETE else ()))
    assert registry.is_excluded("svc", software)
    assert not registry.is_excluded("svc", "v7")


def test_a_record_that_is_written_again_stays_fresh():
    registry = make_registry(record())
    rollout = registry.active["svc"]
    assert not rollout.has_fresh_record(52.6)
    registry.on_record(record(), StorePosition(0, 2), 52.0)
    assert registry.active["svc"] is rollout
    assert rollout.has_fresh_record(52.6)


def test_counting_begins_with_the_order_and_ends_with_the_rollout():
    registry = make_registry(order=ORDER)
    tally = registry.tally.by_service["svc"]
    registry.on_record(record(), StorePosition(0, 1), 50.0)
    assert registry.tally.by_service["svc"] is tally
    registry.on_record(record(Phase.ROLLED_BACK), StorePosition(0, 2), 50.0)
    assert registry.tally.by_service == {}


def test_an_unannounced_version_waits_for_its_order():
    registry = make_registry()
    registry.on_backend_listed("svc", "v1", 0.0, at_start=True)
    registry.on_backend_listed("svc", "v2", 10.0, at_start=False)
    assert registry.active["svc"].unannounced_until_s == {"v2": 10.0 + UNANNOUNCED_WAIT_S}
    registry.on_order(ORDER, 10.5)
    assert registry.effective_record("svc").target_version == "v2"


def test_an_unannounced_version_is_used_after_its_waiting_time():
    registry = make_registry()
    registry.on_backend_listed("svc", "v1", 0.0, at_start=True)
    registry.on_backend_listed("svc", "v2", 10.0, at_start=False)
    registry.on_backend_listed("svc", "v2", 11.0, at_start=False)
    registry.release_unannounced_versions(10.0 + UNANNOUNCED_WAIT_S)
    assert registry.active == {}


@pytest.mark.parametrize("at_start", [True, False])
def test_versions_listed_at_the_start_and_the_first_of_a_service_do_not_wait(at_start):
    registry = make_registry()
    registry.on_backend_listed("svc", "v1", 10.0, at_start)
    if at_start:
        registry.on_backend_listed("svc", "v2", 10.0, at_start)
    assert registry.active == {}


def test_a_version_that_an_order_has_named_does_not_wait():
    registry = make_registry(order=ORDER)
    registry.on_backend_listed("svc", "v1", 0.0, at_start=True)
    registry.on_backend_listed("svc", "v2", 10.0, at_start=False)
    assert registry.active["svc"].unannounced_until_s == {}


def test_an_unannounced_version_does_not_count_as_replaced():
    registry = make_registry(record())
    registry.on_backend_listed("svc", "v1", 0.0, at_start=True)
    registry.on_backend_listed("svc", "v3", 10.0, at_start=False)
    assert registry.announced_versions("svc") == {"v1"}
