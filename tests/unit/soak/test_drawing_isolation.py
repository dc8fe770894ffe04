"""Changes of who is isolated: in series, with sets that come again, and drawn apart from all else of a run."""

from itertools import pairwise

import msgspec

from wallwell.soak.drawing import draw_schedule
from wallwell.soak.drawing_isolation import MOST_ISOLATED, SHOWN_S
from wallwell.soak.schedule import FIRST_KEYS, OperationKind, Shape

SEEDS = range(50)


def sets_of(schedule):
    return [each.keys for each in schedule.operations if each.kind is OperationKind.ISOLATE]


def test_nothing_else_of_a_run_depends_on_the_changes():
    """Guards against kept seeds that draw other requests and faults than they did."""
    for seed in SEEDS:
        without, schedule = (draw_schedule(seed, Shape(isolation=each)) for each in (False, True))
        assert (without.requests, without.faults) == (schedule.requests, schedule.faults)
        others = tuple(each for each in schedule.operations if each.kind is not OperationKind.ISOLATE)
        assert others == without.operations


def test_each_change_changes_who_is_isolated_and_leaves_others_to_share():
    for seed in SEEDS:
        schedule = draw_schedule(seed, Shape(isolation=True))
        sets = [(), *sets_of(schedule)]
        assert all(one != other for one, other in pairwise(sets))
        assert all(len(each) <= MOST_ISOLATED for each in sets)
        assert all(each.at_s < 20.0 - SHOWN_S for each in schedule.operations if each.kind is OperationKind.ISOLATE)


def test_tenants_are_isolated_released_and_isolated_again():
    drawn = [sets_of(draw_schedule(seed, Shape(isolation=True))) for seed in SEEDS]
    assert sum(len(sets) > len(set(sets)) for sets in drawn) > len(SEEDS) // 4
    for key in FIRST_KEYS:
        times = [[key in each for each in sets] for sets in drawn]
        assert any(True in each and False in each[each.index(True) :] for each in times)


def test_schedule_survives_its_file():
    schedule = draw_schedule(3, Shape(isolation=True))
    assert msgspec.json.decode(msgspec.json.encode(schedule), type=type(schedule)) == schedule
