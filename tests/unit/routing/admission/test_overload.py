"""A fraction of generations is refused while engines have too much in flight, the less urgent first."""

import random

import pytest

from wallwell.routing.admission.overload import (
    BEGIN_REFUSING,
    DEFAULT_GENERATION_S,
    RANK_STEP,
    REFUSE_ALL,
    GenerationTime,
    Occupancy,
    refused_fraction,
    retry_after_s,
)

RAMP = REFUSE_ALL - BEGIN_REFUSING


@pytest.mark.parametrize(
    ("per_slot", "rank", "fraction"),
    [
        (0.5, 0, 0.0),
        (BEGIN_REFUSING, 0, 0.0),
        ((BEGIN_REFUSING + REFUSE_ALL) / 2, 0, 0.5),
        (REFUSE_ALL, 0, 1.0),
        (9.0, 0, 1.0),
        (BEGIN_REFUSING, 1, RANK_STEP / RAMP),
        (BEGIN_REFUSING, 3, 3 * RANK_STEP / RAMP),
        (BEGIN_REFUSING, 9, 3 * RANK_STEP / RAMP),
        (BEGIN_REFUSING - 3 * RANK_STEP, 9, 0.0),
    ],
)
def test_fraction_refused(per_slot, rank, fraction):
    assert refused_fraction(Occupancy(round(per_slot * 1_000), 1_000), rank) == pytest.approx(fraction, abs=1e-6)


def test_engines_without_slots_refuse_nothing():
    assert refused_fraction(Occupancy(5, 0), 0) == 0.0


def returns(rank, per_slot, generation_s=2.0):
    rng = random.Random(1)
    occupancy = Occupancy(round(per_slot * 1_000), 1_000)
    return sorted(retry_after_s(occupancy, rank, generation_s, rng) for _ in range(200))


def test_callers_return_later_the_more_is_under_way_and_not_all_at_once():
    some, more = returns(0, 1.5), returns(0, 2.5)
    assert sum(some) < sum(more)
    assert some[-1] > 1.5 * some[0]


def test_the_urgent_return_first():
    assert sum(returns(0, 1.5)) < sum(returns(1, 1.5))


def test_returns_are_told_in_generations_time():
    assert sum(returns(0, 1.5, generation_s=4.0)) == pytest.approx(2 * sum(returns(0, 1.5)))


def test_the_time_of_a_generation_is_learned():
    time = GenerationTime()
    before = time.seconds
    for _ in range(200):
        time.observe(4.0)
    assert (before, time.seconds) == (DEFAULT_GENERATION_S, pytest.approx(4.0, abs=0.01))
