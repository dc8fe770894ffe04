"""Schedules are drawn from the seed alone, and leave time to see that the fleet recovers."""

import pytest

from wallwell.soak.drawing import SHORTEST_RUN_S, draw_schedule
from wallwell.soak.schedule import (
    RECOVERY_S,
    REGION_FAULTS,
    SHOWN_RECOVERED_S,
    VERSION_S,
    FaultKind,
    OperationKind,
    Shape,
)
from wallwell.soak.timeline import CONTACT_S

WORKER_DRAIN_S = 3.0
"""Seconds for which a worker that leaves serves on."""


def test_a_seed_draws_the_same_schedule_each_time_and_another_one_another():
    shape = Shape()
    assert draw_schedule(3, shape) == draw_schedule(3, shape)
    assert draw_schedule(3, shape).faults != draw_schedule(4, shape).faults
    assert draw_schedule(3, shape).requests != draw_schedule(4, shape).requests


@pytest.mark.parametrize("seconds", [SHORTEST_RUN_S, 20.0, 60.0])
def test_faults_end_before_all_nodes_are_killed_and_time_is_left_to_recover(seconds):
    for seed in range(50):
        *faults, last = draw_schedule(seed, Shape(seconds=seconds)).faults
        assert last.kind is FaultKind.KILL_ALL_NODES
        assert last.at_s + RECOVERY_S + SHOWN_RECOVERED_S <= seconds
        assert all(fault.at_s + fault.lasts_s < last.at_s for fault in faults)


def test_two_faults_never_strike_one_target_at_once():
    for seed in range(50):
        until_s = {}
        for fault in draw_schedule(seed, Shape(seconds=60.0)).faults:
            assert until_s.get(fault.target, 0.0) <= fault.at_s
            until_s[fault.target] = fault.at_s + fault.lasts_s


def test_every_kind_of_fault_is_drawn_by_some_seed():
    more = {"notices": True, "limits": True, "identities": True, "silences": True, "restores": True}
    shapes = Shape(regions=2, **more), Shape(kept_connections=True)
    drawn = {fault.kind for shape in shapes for seed in range(100) for fault in draw_schedule(seed, shape).faults}
    assert drawn == set(FaultKind)


def test_one_region_has_no_faults_between_regions():
    shape = Shape(notices=True, limits=True, identities=True, silences=True, restores=True)
    drawn = {fault.kind for seed in range(100) for fault in draw_schedule(seed, shape).faults}
    assert drawn == set(FaultKind) - set(REGION_FAULTS) - {FaultKind.RELOAD_NODE}


def test_a_run_without_kept_connections_tells_no_node_to_read_its_settings_again():
    more = {"notices": True, "limits": True, "identities": True, "silences": True, "restores": True}
    shape = Shape(regions=2, **more, group_silences=True, versions=2, calm_s=18.0)
    assert not [fault for fault in draw_schedule(3, shape).faults if fault.kind is FaultKind.RELOAD_NODE]


def test_nodes_and_workers_stand_in_regions_by_turns_and_the_store_in_the_first():
    shape = Shape(regions=2)
    assert [shape.region_of(name) for name in ("node-0", "node-1", "engine-3", "orders-new-1", "store")] == [
        0,
        1,
        1,
        1,
        0,
    ]


def test_some_seeds_have_no_outage_in_which_a_worker_leaves():
    """In the others the store's outage leaves less time for invariants with a time bound."""
    drawn = [{fault.kind for fault in draw_schedule(seed, Shape(notices=True)).faults} for seed in range(100)]
    assert all(FaultKind.SHED_WORKER in kinds for kinds in drawn)
    without = [{fault.kind for fault in draw_schedule(seed, Shape()).faults} for seed in range(100)]
    pairs = zip(drawn, without, strict=True)
    outages = sum(FaultKind.STORE_DOWN in more and FaultKind.STORE_DOWN not in less for more, less in pairs)
    assert 20 < outages < 80


@pytest.mark.parametrize("seed", range(20))
def test_a_worker_that_states_a_limit_is_added_to_what_a_seed_draws_without_it(seed):
    without, drawn = draw_schedule(seed, Shape(notices=True)), draw_schedule(seed, Shape(notices=True, limits=True))
    assert drawn.requests == without.requests
    (added,) = [fault for fault in drawn.faults if fault not in without.faults]
    assert added.kind is FaultKind.LIMIT_WORKER
    assert added.lasts_s > 7.0


@pytest.mark.parametrize("seed", range(20))
def test_restarts_under_an_identity_are_added_to_what_a_seed_draws_without_them(seed):
    without, drawn = draw_schedule(seed, Shape()), draw_schedule(seed, Shape(identities=True))
    assert drawn.requests == without.requests
    added = [fault for fault in drawn.faults if fault not in without.faults]
    assert sorted(fault.kind.value for fault in added) == ["restart_worker", "restart_worker", "spoil_entry"]
    assert len({fault.target for fault in added}) == len(added)


@pytest.mark.parametrize("seed", range(20))
def test_silences_of_sound_workers_are_added_to_what_a_seed_draws_without_them(seed):
    without, drawn = draw_schedule(seed, Shape()), draw_schedule(seed, Shape(silences=True))
    assert drawn.requests == without.requests
    added = [fault for fault in drawn.faults if fault not in without.faults]
    assert {fault.kind for fault in added} == {FaultKind.SILENCE_WORKER}
    assert all(0.6 <= fault.lasts_s <= 1.5 for fault in added)


@pytest.mark.parametrize("lacking", [{"engines": 0}, {"instances": 0}], ids=["engines", "instances"])
def test_a_run_without_a_kind_of_workers_is_drawn_all_the_same(lacking):
    assert draw_schedule(3, Shape(notices=True, **lacking)).faults == draw_schedule(3, Shape(**lacking)).faults


@pytest.mark.parametrize("seed", range(20))
def test_workers_that_state_something_are_added_to_what_a_seed_draws_without_them(seed):
    """Kept runs are drawn without; what else a seed draws stays the same."""
    without, drawn = draw_schedule(seed, Shape()), draw_schedule(seed, Shape(notices=True))
    assert drawn.requests == without.requests
    added = [fault for fault in drawn.faults if fault not in without.faults]
    kinds = {fault.kind for fault in added}
    assert kinds in (
        {FaultKind.SHED_WORKER},
        {FaultKind.SHED_WORKER, FaultKind.DRAIN_WORKER, FaultKind.STORE_DOWN},
    )
    for outage in (fault for fault in added if fault.kind is FaultKind.STORE_DOWN):
        leave = next(fault for fault in added if fault.kind is FaultKind.DRAIN_WORKER)
        assert outage.at_s < leave.at_s < leave.at_s + WORKER_DRAIN_S < outage.at_s + outage.lasts_s


def test_a_rollout_in_a_run_with_a_calm_end_is_ordered_in_it_and_over_before_the_planned_stop():
    """Guards against invariants of rollouts that no run puts to the test: they need a span without faults."""
    shape = Shape(rollout="failing", calm_s=18.0)
    schedule = draw_schedule(1, shape)
    (order,) = [each for each in schedule.operations if each.kind is OperationKind.ROLL_OUT]
    stop = schedule.faults[-1]
    assert stop.kind is FaultKind.STOP_NODE
    assert all(fault.at_s + fault.lasts_s + CONTACT_S < order.at_s for fault in schedule.faults[:-1])
    assert order.at_s + shape.rollout_duration_s() < stop.at_s


@pytest.mark.parametrize("seed", range(20))
def test_a_calm_end_is_added_to_what_a_seed_draws_without_it_and_leaves_time_for_weights(seed):
    """No run put the bound on weights to the test: faults and restores left no span without a disturbance."""
    more = {"notices": True, "limits": True, "identities": True, "restores": True}
    without, drawn = draw_schedule(seed, Shape(**more)), draw_schedule(seed, Shape(**more, calm_s=18.0))
    *same, stop = drawn.faults
    assert tuple(same) == without.faults
    assert stop.kind is FaultKind.STOP_NODE
    assert drawn.requests[: len(without.requests)] == without.requests
    last_fault_ends_s = max(fault.at_s + fault.lasts_s for fault in same)
    (named_s,) = (each.at_s for each in drawn.operations if each.kind is OperationKind.NAME_WEIGHTS)
    assert named_s > last_fault_ends_s + CONTACT_S
    assert sum(named_s + VERSION_S < request.at_s < stop.at_s - 1.0 for request in drawn.requests) > 50
    assert sum(request.at_s > stop.at_s for request in drawn.requests) > 50
