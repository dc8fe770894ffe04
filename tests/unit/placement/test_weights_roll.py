"""Weights rolls: one load covers versions named close together, and enough engines keep serving."""

import pytest

from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.weights import OVERDUE_FRACTION, WeightsTargets
from wallwell.placement.weights_roll import (
    FAILED_LOAD_RETRY_S,
    MAX_START_DELAY_FRACTION,
    WeightsRollPlanner,
    pools_by_prompt_length,
)
from wallwell.placement.weights_roll_timing import MIN_START_DELAY_S
from wallwell.routing.health.backend import Backend
from wallwell.routing.health.suspension import FIRST_PAUSE_S

ALLOWANCE_S = 8.0
DUE_S = ALLOWANCE_S * MAX_START_DELAY_FRACTION


def engines(count, version=1):
    return [
        Backend(
            BackendRecord(f"i-{n}", "s", f"10.0.0.{n}:80", "z", 8, versions={"m": version}), versions={"m": version}
        )
        for n in range(count)
    ]


def planner(*named):
    targets = WeightsTargets()
    for version, since_s in named:
        targets.add_version("m", version, since_s)
    return WeightsRollPlanner(targets, ALLOWANCE_S)


def test_a_weights_roll_waits_for_a_version_that_is_expected_soon():
    plan, listed = planner((1, -6.4), (2, -3.2), (3, 0.0)), engines(6, version=2)
    assert not plan.is_any_load_due(listed, 3.0)
    plan.targets.add_version("m", 4, 3.2)
    assert not plan.is_any_load_due(listed, DUE_S - 0.1)
    assert plan.is_any_load_due(listed, DUE_S)
    assert {task.version for task in plan.begin_due_loads(listed, DUE_S)} == {4}


def test_a_weights_roll_begins_soon_when_much_is_served_on_older_weights():
    plan, listed = planner((1, -6.4), (2, -3.2), (3, 0.0)), engines(6, version=2)
    plan.generations_per_s = lambda now_s: 40.0
    assert not plan.is_any_load_due(listed, MIN_START_DELAY_S - 0.1)
    assert plan.is_any_load_due(listed, MIN_START_DELAY_S)


@pytest.mark.parametrize("out", ["suspended", "draining"])
def test_a_weights_roll_waits_while_an_engine_is_out_of_service_but_not_for_one_that_leaves(out):
    plan, listed = planner((2, 0.0)), engines(6)
    if out == "suspended":
        listed[0].suspended_until_s = 100.0
    else:
        listed[0].record = BackendRecord("i-0", "s", "10.0.0.0:80", "z", 8, True, {"m": 1})
    assert plan.is_any_load_due(listed, MIN_START_DELAY_S) == (out == "draining")
    assert plan.is_any_load_due(listed, DUE_S)


@pytest.mark.parametrize("count", [1, 2, 3, 4, 6, 7, 9, 15])
def test_every_engine_gets_one_load_while_others_serve(count):
    plan, listed = planner((2, 0.0)), engines(count)
    now_s, loads = DUE_S, []
    while any(each.believed_version("m") < 2 for each in listed):
        tasks = plan.begin_due_loads(listed, now_s)
        assert tasks
        assert len(tasks) < count or count == 1
        for task in tasks:
            loads.append(task.backend.incarnation)
            plan.end_load(task, True, now_s)
        now_s += 1.0
    assert sorted(loads) == sorted(each.incarnation for each in listed)


def test_an_engine_already_loaded_is_not_loaded_again_for_a_version_that_is_not_due():
    plan, listed = planner((2, 0.0)), engines(3)
    for task in plan.begin_due_loads(listed, DUE_S):
        plan.end_load(task, True, DUE_S + 1)
    plan.targets.add_version("m", 3, DUE_S + 1)
    tasks = plan.begin_due_loads(listed, DUE_S + 1.1)
    assert tasks
    assert all(task.backend.believed_version("m") == 1 for task in tasks)


def test_a_failed_load_is_tried_again_after_a_pause():
    plan, listed = planner((2, 0.0)), engines(1)
    (task,) = plan.begin_due_loads(listed, DUE_S)
    assert plan.begin_due_loads(listed, DUE_S + 60) == []
    plan.end_load(task, False, DUE_S)
    assert plan.begin_due_loads(listed, DUE_S + FAILED_LOAD_RETRY_S / 2) == []
    assert len(plan.begin_due_loads(listed, DUE_S + FAILED_LOAD_RETRY_S)) == 1


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_engines_that_leave_get_no_orders(state):
    plan, listed = planner((2, 0.0)), engines(1)
    if state == "gone":
        listed[0].gone = True
    else:
        listed[0].record = BackendRecord("i-0", "s", "10.0.0.0:80", "z", 8, True, {"m": 1})
    assert not plan.is_any_load_due(listed, 100.0)
    assert plan.begin_due_loads(listed, 100.0) == []


def test_an_engine_that_gets_nothing_new_any_more_is_ordered_at_once():
    plan, listed = planner((2, 0.0)), engines(9)
    assert len(plan.begin_due_loads(listed, DUE_S)) == 3
    assert len(plan.begin_due_loads(listed, ALLOWANCE_S * OVERDUE_FRACTION)) == 6


def test_crashed_engines_leave_less_to_be_loaded_at_once():
    """Found on a calm day: with one engine crashed and four under order, the sixth served everybody."""
    plan, listed = planner((2, 0.0)), engines(6)
    for crashed in listed[:2]:
        crashed.suspended_until_s = 1000.0
    tasks = plan.begin_due_loads(listed, DUE_S)
    serving = {each.incarnation for each in listed[2:]} - {task.backend.incarnation for task in tasks}
    assert len(serving) >= 3


@pytest.mark.parametrize("has_returned", [False, True])
def test_a_crashed_engine_counts_as_serving_only_once_it_has_answered_again(has_returned):
    """Guards against one that is counted each time its suspension has just run out, and serves nobody."""
    plan, listed = planner((2, 0.0)), engines(6)
    for crashed in listed[:2]:
        crashed.on_failure(MIN_START_DELAY_S - FIRST_PAUSE_S, unreachable=True)
        if has_returned:
            crashed.on_success(MIN_START_DELAY_S)
    assert all(each.is_open(MIN_START_DELAY_S) for each in listed)
    assert plan.is_any_load_due(listed, MIN_START_DELAY_S) == has_returned
    for crashed in listed[:2]:
        crashed.suspended_until_s = DUE_S  # It has just run out.
    ordered = {task.backend for task in plan.begin_due_loads(listed, DUE_S)}
    serving = set(listed if has_returned else listed[2:]) - ordered
    assert len(serving) >= 3


def test_some_engines_of_each_pool_go_on_serving():
    plan, listed = planner((2, 0.0)), engines(9)
    ordered = {task.backend.incarnation for task in plan.begin_due_loads(listed, DUE_S)}
    for pool in pools_by_prompt_length(listed):
        assert any(each.incarnation not in ordered for each in pool)


def test_the_engines_ordered_first_do_not_depend_on_the_order_of_the_listing():
    listed = engines(9)
    ordered = [
        {task.backend.incarnation for task in planner((2, 0.0)).begin_due_loads(each, DUE_S)}
        for each in (listed, listed[::-1])
    ]
    assert ordered[0] == ordered[1]
