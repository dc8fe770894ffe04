"""Silences of groups are added to what a seed draws without them, at sound workers, in spans that end in time."""

import itertools
import math

import pytest

from tests.unit.soak.records import USUAL_FEATURES
from wallwell.cli.soak import replay_command
from wallwell.soak.drawing import draw_schedule
from wallwell.soak.drawing_silences import CHANGED_BEFORE_S, LASTS_S
from wallwell.soak.schedule import (
    CALM_BEFORE_STOP_S,
    ENGINE_SLOTS,
    FEW_ENGINE_SLOTS,
    RECOVERY_S,
    SHOWN_RECOVERED_S,
    FaultKind,
    OperationKind,
    Shape,
)

SEEDS = range(30)


def drawn(seed, **more):
    """Return schedules without and with silences of groups, and the silences that the second has besides."""
    without = draw_schedule(seed, Shape(**USUAL_FEATURES, **more))
    schedule = draw_schedule(seed, Shape(**USUAL_FEATURES, **more, group_silences=True))
    return without, schedule, [fault for fault in schedule.faults if fault not in without.faults]


def groups_of(silences):
    """Return the names that fall silent together, by the time at which they do."""
    groups = {}
    for silence in silences:
        groups.setdefault(silence.at_s, []).append(silence.target)
    return groups


@pytest.mark.parametrize("seed", SEEDS)
def test_silences_of_groups_are_added_to_what_a_seed_draws_without_them(seed):
    without, schedule, added = drawn(seed, calm_s=12.0)
    assert [fault for fault in schedule.faults if fault in without.faults] == list(without.faults)
    assert set(without.requests) <= set(schedule.requests)
    assert set(without.operations) <= set(schedule.operations)
    assert without.engine_slots == ENGINE_SLOTS
    assert {fault.kind for fault in added} == {FaultKind.SILENCE_WORKER}
    assert all(LASTS_S[0] <= fault.lasts_s <= LASTS_S[1] for fault in added)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_other_fault_strikes_a_worker_while_it_is_silent(seed):
    _, schedule, added = drawn(seed, calm_s=12.0)
    for silence in added:
        others = [fault for fault in schedule.faults if fault.target == silence.target and fault is not silence]
        until_s = silence.at_s + silence.lasts_s
        assert not [each for each in others if each.at_s <= until_s and silence.at_s <= each.at_s + each.lasts_s]


@pytest.mark.parametrize("calm_s", [0.0, 12.0, 18.0])
def test_silences_end_before_all_nodes_are_killed_and_before_a_planned_stop(calm_s):
    for seed in SEEDS:
        _, schedule, added = drawn(seed, calm_s=calm_s)
        shape = schedule.shape
        kill_at_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S
        in_calm = [silence for silence in added if silence.at_s >= shape.seconds]
        assert all(each.at_s + each.lasts_s < kill_at_s for each in added if each not in in_calm)
        latest_s = shape.seconds + min(calm_s, CALM_BEFORE_STOP_S)
        assert all(each.at_s + each.lasts_s < latest_s for each in in_calm)
        assert bool(in_calm) is bool(calm_s)


def test_groups_are_all_workers_of_a_service_three_fifths_of_them_or_one_and_some_fall_silent_twice():
    engines, sizes, pauses_s = Shape().engines, set(), []
    for seed in SEEDS:
        _, _, added = drawn(seed, calm_s=12.0)
        groups = groups_of(added)
        for names in groups.values():
            assert len({name.rpartition("-")[0] for name in names}) == 1
            sizes.add((names[0].rpartition("-")[0], len(names)))
        ends_s = {each.at_s: each.at_s + each.lasts_s for each in added}
        begins_s = sorted(groups)
        pauses_s += [later - ends_s[begin] for begin, later in itertools.pairwise(begins_s)]
    assert {("engine", engines), ("engine", math.ceil(0.6 * engines)), ("engine", 1), ("orders", 2)} <= sizes
    assert any(0.29 <= pause_s <= 0.61 for pause_s in pauses_s)


def test_most_silences_follow_a_change_of_the_configuration_and_some_do_not():
    changed = unchanged = 0
    for seed in SEEDS:
        _, schedule, added = drawn(seed, calm_s=12.0)
        changes_s = [each.at_s for each in schedule.operations if each.kind is OperationKind.ADD_ROUTE]
        earliest_s, latest_s = CHANGED_BEFORE_S[0] - 0.01, CHANGED_BEFORE_S[1] + 0.01
        for at_s in groups_of(added):
            is_changed = any(earliest_s <= at_s - change_s <= latest_s for change_s in changes_s)
            changed, unchanged = changed + is_changed, unchanged + (not is_changed)
    assert changed > unchanged > 0.1 * changed


def test_some_runs_have_engines_with_few_slots():
    slots = {drawn(seed)[1].engine_slots for seed in SEEDS}
    assert slots == {ENGINE_SLOTS, FEW_ENGINE_SLOTS}


@pytest.mark.parametrize("lacking", [{"engines": 0}, {"instances": 0}], ids=["engines", "instances"])
def test_a_run_without_a_kind_of_workers_has_silences_of_the_other(lacking):
    silences = draw_schedule(3, Shape(**lacking, group_silences=True)).faults
    assert any(fault.kind is FaultKind.SILENCE_WORKER for fault in silences)


def test_the_command_that_replays_a_run_names_the_option_only_where_it_was_given():
    without, schedule, _ = drawn(3)
    assert "--group-silences" in replay_command(schedule).split()
    assert "--group-silences" not in replay_command(without)
