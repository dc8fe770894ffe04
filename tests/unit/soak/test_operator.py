"""What the operator of a run puts in force, one change after the other."""

import time

from wallwell.soak.configuration import configuration
from wallwell.soak.operator import Operator
from wallwell.soak.schedule import FIRST_KEYS, LATER_KEYS, OperationKind, PlannedOperation


class FleetOfRows:
    """Takes configurations."""

    def __init__(self):
        self.put = []

    async def put_configuration(self, version, keys, more_routes=0, isolated=()):
        self.put.append((version, keys, more_routes, isolated))


def test_each_change_has_a_later_version_and_takes_nothing_away_but_the_keys_of_a_change_of_keys(run_async):
    fleet = FleetOfRows()
    kinds = OperationKind.ADD_ROUTE, OperationKind.CHANGE_KEYS, OperationKind.ADD_ROUTE
    operations = tuple(PlannedOperation(0.05 * number, kind) for number, kind in enumerate(kinds))
    run_async(Operator(fleet).run(operations, time.monotonic()))
    assert fleet.put == [(2, FIRST_KEYS, 1, ()), (3, LATER_KEYS, 1, ()), (4, LATER_KEYS, 2, ())]


def test_tenants_stay_isolated_until_another_change_of_who_is(run_async):
    fleet = FleetOfRows()
    changes = (
        (OperationKind.ISOLATE, ("key-a", "key-d")),
        (OperationKind.CHANGE_KEYS, ()),
        (OperationKind.ISOLATE, ()),
    )
    operations = tuple(PlannedOperation(0.05 * number, kind, keys) for number, (kind, keys) in enumerate(changes))
    run_async(Operator(fleet).run(operations, time.monotonic()))
    isolated = "key-a", "key-d"
    assert fleet.put == [(2, FIRST_KEYS, 0, isolated), (3, LATER_KEYS, 0, isolated), (4, LATER_KEYS, 0, ())]


def test_a_configuration_isolates_the_tenants_of_the_keys_that_it_has():
    tenants = configuration(1, FIRST_KEYS, isolated=("key-a", "key-d"))["tenants"]
    assert [tenant["name"] for tenant in tenants if tenant.get("isolated")] == ["tenant-key-a"]


def test_a_configuration_names_the_kv_store_if_there_is_one():
    addresses = [
        each.get("kv_store_addr") for each in configuration(1, FIRST_KEYS, kv_store="127.0.0.1:1")["services"]
    ]
    assert addresses == [None, None, "127.0.0.1:1"]


def test_a_configuration_with_more_routes_has_all_of_the_one_before():
    before, after = configuration(1, FIRST_KEYS), configuration(2, FIRST_KEYS, more_routes=2)
    assert after["routes"][:-2] == before["routes"]
    assert len({route["path_prefix"] for route in after["routes"]}) == len(after["routes"])
    assert (after["services"], after["tenants"]) == (before["services"], before["tenants"])
