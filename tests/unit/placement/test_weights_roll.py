"""Plans of weights rolls: one load covers versions named close together, and enough engines keep serving."""

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
from wallwell.routing.health.suspension import FIRST_SUSPENSION_S

MAX_STALENESS_S = 8.0
DUE_S = MAX_STALENESS_S * MAX_START_DELAY_FRACTION


def make_engines(count, version=1):
    return [
        Backend(
            BackendRecord(f"i-{n}", "s", f"10.0.0.{n}:80", "z", 8, versions={"m": version}), versions={"m": version}
        )
        for n in range(count)
    ]


def make_planner(*named):
    targets = WeightsTargets()
    for version, named_at_s in named:
        targets.add_version("m", version, named_at_s)
    return WeightsRollPlanner(targets, MAX_STALENESS_S)


def test_a_weights_roll_waits_for_a_version_expected_soon():
    planner, listed = make_planner((1, -6.4), (2, -3.2), (3, 0.0)), make_engines(6, version=2)
    assert not planner.is_any_load_due(listed, 3.0)
    planner.targets.add_version("m", 4, 3.2)
    assert not planner.is_any_load_due(listed, DUE_S - 0.1)
    assert planner.is_any_load_due(listed, DUE_S)
    assert {task.version for task in planner.begin_due_loads(listed, DUE_S)} == {4}


def test_a_weights_roll_begins_early_when_many_generations_run_on_older_weights():
    planner, listed = make_planner((1, -6.4), (2, -3.2), (3, 0.0)), make_engines(6, version=2)
    planner.generations_per_s = lambda now_s: 40.0
    assert not planner.is_any_load_due(listed, MIN_START_DELAY_S - 0.1)
    assert planner.is_any_load_due(listed, MIN_START_DELAY_S)


@pytest.mark.parametrize("state", ["suspended", "draining"])
def test_a_weights_roll_waits_for_a_suspended_engine_but_not_for_a_draining_one(state):
    planner, listed = make_planner((2, 0.0)), make_engines(6)
    if state == "suspended":
        listed[0].suspended_until_s = 100.0
    else:
        listed[0].record = BackendRecord("i-0", "s", "10.0.0.0:80", "z", 8, True, {"m": 1})
    assert planner.is_any_load_due(listed, MIN_START_DELAY_S) == (state == "draining")
    assert planner.is_any_load_due(listed, DUE_S)


@pytest.mark.parametrize("count", [1, 2, 3, 4, 6, 7, 9, 15])
def test_every_engine_loads_once_while_others_serve(count):
    planner, listed = make_planner((2, 0.0)), make_engines(count)
    now_s, loads = DUE_S, []
    while any(each.believed_version("m") < 2 for each in listed):
        tasks = planner.begin_due_loads(listed, now_s)
        assert tasks
        assert len(tasks) < count or count == 1
        for task in tasks:
            loads.append(task.backend.incarnation)
            planner.end_load(task, True, now_s)
        now_s += 1.0
    assert sorted(loads) == sorted(each.incarnation for each in listed)


def test_a_loaded_engine_does_not_load_again_for_a_version_that_is_not_due():
    planner, listed = make_planner((2, 0.0)), make_engines(3)
    for task in planner.begin_due_loads(listed, DUE_S):
        planner.end_load(task, True, DUE_S + 1)
    planner.targets.add_version("m", 3, DUE_S + 1)
    tasks = planner.begin_due_loads(listed, DUE_S + 1.1)
    assert tasks
    assert all(task.backend.believed_version("m") == 1 for task in tasks)


def test_a_failed_load_is_retried_after_a_delay():
    planner, listed = make_planner((2, 0.0)), make_engines(1)
    (task,) = planner.begin_due_loads(listed, DUE_S)
    assert planner.begin_due_loads(listed, DUE_S + 60) == []
    planner.end_load(task, False, DUE_S)
    assert planner.begin_due_loads(listed, DUE_S + FAILED_LOAD_RETRY_S / 2) == []
    assert len(planner.begin_due_loads(listed, DUE_S + FAILED_LOAD_RETRY_S)) == 1


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_leaving_engines_get_no_loads(state):
    planner, listed = make_planner((2, 0.0)), make_engines(1)
    if state == "gone":
        listed[0].gone = True
    else:
        listed[0].record = BackendRecord("i-0", "s", "10.0.0.0:80", "z", 8, True, {"m": 1})
    assert not planner.is_any_load_due(listed, 100.0)
    assert planner.begin_due_loads(listed, 100.0) == []


def test_overdue_engines_load_at_once_regardless_of_the_concurrency_limit():
    planner, listed = make_planner((2, 0.0)), make_engines(9)
    assert len(planner.begin_due_loads(listed, DUE_S)) == 3
    assert len(planner.begin_due_loads(listed, MAX_STALENESS_S * OVERDUE_FRACTION)) == 6


def test_crashed_engines_reduce_the_number_of_concurrent_loads():
    """Guards against a failure found in a soak run with a fault-free span: of six engines, one had crashed and four
    were loading, so that the sixth served all requests."""
    planner, listed = make_planner((2, 0.0)), make_engines(6)
    for crashed in listed[:2]:
        crashed.suspended_until_s = 1000.0
    tasks = planner.begin_due_loads(listed, DUE_S)
    serving = {each.incarnation for each in listed[2:]} - {task.backend.incarnation for task in tasks}
    assert len(serving) >= 3


@pytest.mark.parametrize("has_returned", [False, True])
def test_a_crashed_engine_counts_as_serving_only_after_it_has_answered_again(has_returned):
    """An engine that serves no requests must not count as serving each time its suspension has just ended."""
    planner, listed = make_planner((2, 0.0)), make_engines(6)
    for crashed in listed[:2]:
        crashed.on_failure(MIN_START_DELAY_S - FIRST_SUSPENSION_S, unreachable=True)
        if has_returned:
            crashed.on_success(MIN_START_DELAY_S)
    assert all(each.is_open(MIN_START_DELAY_S) for each in listed)
    assert planner.is_any_load_due(listed, MIN_START_DELAY_S) == has_returned
    for crashed in listed[:2]:
        crashed.suspended_until_s = DUE_S  # The suspension has just ended.
    ordered = {task.backend for task in planner.begin_due_loads(listed, DUE_S)}
    serving = set(listed if has_returned else listed[2:]) - ordered
    assert len(serving) >= 3


def test_some_engines_of_each_pool_keep_serving():
    planner, listed = make_planner((2, 0.0)), make_engines(9)
    ordered = {task.backend.incarnation for task in planner.begin_due_loads(listed, DUE_S)}
    for pool in pools_by_prompt_length(listed):
        assert any(each.incarnation not in ordered for each in pool)


def test_the_engines_to_load_first_do_not_depend_on_their_order_in_the_list():
    listed = make_engines(9)
    ordered = [
        {task.backend.incarnation for task in make_planner((2, 0.0)).begin_due_loads(each, DUE_S)}
        for each in (listed, listed[::-1])
    ]
    assert ordered[0] == ordered[1]
