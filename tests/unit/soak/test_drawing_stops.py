"""Planned stops in series and callers that keep their connections are drawn from the seed and added to the rest."""

import itertools

import pytest

from tests.unit.soak.records import USUAL_FEATURES
from wallwell.cli.soak import replay_command
from wallwell.soak.drawing import draw_schedule
from wallwell.soak.drawing_stops import AFTER_LAST_STOP_S, CALLERS_PER_NODE
from wallwell.soak.history import RequestKind
from wallwell.soak.kept_requests import CALL_S, KEYS, STREAM_S, draw_kept_request
from wallwell.soak.schedule import (
    FIRST_KEYS,
    GRACE_S,
    KEPT_GRACE_S,
    LATER_KEYS,
    MANY_ENGINE_SLOTS,
    PLANNED_WORK,
    FaultKind,
    GoesOn,
    KeptCaller,
    OperationKind,
    Shape,
)
from wallwell.soak.timeline import FAULTS_OF_WORKERS

SEEDS = range(30)
CALLER = KeptCaller("1-kept-0-0", 0, 0.1, 18.0, GoesOn.AT_ONCE)


def drawn(seed, **more):
    """Return schedules without and with kept connections."""
    shapes = (Shape(**USUAL_FEATURES, **more, kept_connections=kept) for kept in (False, True))
    return tuple(draw_schedule(seed, shape) for shape in shapes)


def added_stops(without, schedule):
    return [each for each in schedule.faults if each.kind is FaultKind.STOP_NODE and each not in without.faults]


@pytest.mark.parametrize("more", [{}, {"versions": 2}, {"group_silences": True, "calm_s": 7.0}])
@pytest.mark.parametrize("seed", range(5))
def test_the_same_seed_draws_the_same_and_requests_as_without(seed, more):
    without, schedule = drawn(seed, **more)
    assert drawn(seed, **more)[1] == schedule
    assert schedule.requests == without.requests
    assert (without.kept_callers, without.shape.grace_s) == ((), GRACE_S)
    assert (schedule.engine_slots, schedule.shape.grace_s) == (MANY_ENGINE_SLOTS, KEPT_GRACE_S)
    assert set(without.operations) <= set(schedule.operations) or more.get("group_silences")


def test_most_runs_have_no_unplanned_fault_on_nodes_links_and_the_store_and_some_have_all():
    quiet = 0
    for seed in SEEDS:
        without, schedule = drawn(seed)
        unplanned = [
            each
            for each in schedule.faults
            if each.kind.value not in FAULTS_OF_WORKERS and each.kind not in PLANNED_WORK
        ]
        if unplanned:
            assert set(without.faults) <= set(schedule.faults)
        else:
            quiet += 1
            kept = [each for each in without.faults if each.kind.value in FAULTS_OF_WORKERS]
            assert set(kept) <= set(schedule.faults)
    assert 0.5 * len(SEEDS) < quiet < len(SEEDS)


@pytest.mark.parametrize("seconds", [15.0, 20.0, 60.0])
@pytest.mark.parametrize("nodes", [2, 3, 5])
def test_a_node_is_left_at_any_time_and_callers_are_there_to_the_end_of_each_stop(seconds, nodes):
    with_stops = 0
    for seed in SEEDS:
        stops = added_stops(*drawn(seed, seconds=seconds, nodes=nodes))
        with_stops += bool(stops)  # A planned stop among the other faults may leave no time in a short run.
        for stop in stops:
            stopping = {each.target for each in stops if 0.0 <= stop.at_s - each.at_s < KEPT_GRACE_S}
            assert len(stopping) < nodes
            assert stop.at_s + AFTER_LAST_STOP_S <= seconds
    assert with_stops >= 0.9 * len(SEEDS)


def test_no_node_is_stopped_again_while_it_stops():
    for seed in SEEDS:
        without, schedule = drawn(seed, seconds=60.0)
        all_stops = [each for each in schedule.faults if each.kind is FaultKind.STOP_NODE]
        for stop in added_stops(without, schedule):
            others = [each for each in all_stops if each.target == stop.target and each is not stop]
            assert all(abs(stop.at_s - each.at_s) > KEPT_GRACE_S for each in others)


def test_some_stops_overlap_and_some_begin_together():
    overlapping = together = 0
    for seed in SEEDS:
        stops = added_stops(*drawn(seed, seconds=30.0))
        for first, second in itertools.pairwise(stops):
            overlapping += first.at_s < second.at_s < first.at_s + KEPT_GRACE_S
            together += first.at_s == second.at_s
    assert overlapping > together > 5


def test_reloads_leaves_and_changes_come_beside_some_stops():
    reloads = leaves = changes = stops = 0
    for seed in SEEDS:
        without, schedule = drawn(seed)
        times_s = {each.at_s: each.target for each in added_stops(without, schedule)}
        added = [each for each in schedule.faults if each not in without.faults]
        for reload in (each for each in added if each.kind is FaultKind.RELOAD_NODE):
            assert any(
                at_s < reload.at_s < at_s + KEPT_GRACE_S for at_s, node in times_s.items() if node == reload.target
            ) or sum(at_s < reload.at_s < at_s + KEPT_GRACE_S for at_s in times_s)
            reloads += 1
        leaves += sum(each.kind is FaultKind.DRAIN_WORKER for each in added)
        changes += sum(each.kind is OperationKind.ADD_ROUTE for each in schedule.operations)
        stops += len(added_stops(without, schedule))
    assert 0 < leaves < reloads < changes < stops


def test_callers_go_on_in_every_way_and_are_as_many_at_each_node():
    callers = drawn(3)[1].kept_callers
    assert [sum(each.node == node for each in callers) for node in range(3)] == [CALLERS_PER_NODE] * 3
    assert {each.goes_on for seed in SEEDS for each in drawn(seed)[1].kept_callers} == set(GoesOn)
    assert len({each.caller for each in callers}) == len(callers)


def test_the_requests_of_a_caller_are_drawn_from_its_name_alone():
    first = [draw_kept_request(CALLER, number) for number in range(20)]
    assert first == [draw_kept_request(CALLER, number) for number in range(20)]
    assert len({each.request for each in first}) == 20


def test_streams_last_from_a_moment_to_most_of_the_grace_time():
    requests = [draw_kept_request(CALLER, number) for number in range(500)]
    streams_s = [each.events * each.pace_s for each in requests if each.kind.is_stream]
    calls_s = [each.pace_s for each in requests if not each.kind.is_stream]
    assert min(streams_s) < 0.4 and max(streams_s) > 0.8 * STREAM_S[1]
    assert max(streams_s) < KEPT_GRACE_S < requests[0].deadline_s
    assert all(CALL_S[0] <= call_s <= CALL_S[1] for call_s in calls_s)
    assert {each.kind for each in requests} == set(RequestKind)


def test_no_configuration_takes_the_keys_of_these_callers_away():
    assert set(KEYS) <= set(FIRST_KEYS) & set(LATER_KEYS)


def test_the_command_that_replays_a_run_names_the_option_only_where_it_was_given():
    without, schedule = drawn(3)
    assert "--kept-connections" in replay_command(schedule).split()
    assert "--kept-connections" not in replay_command(without)
