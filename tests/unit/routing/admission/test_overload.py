"""A fraction of generations is refused while engines have too much in flight, the less urgent first."""

import pytest

from wallwell.routing.admission.overload import (
    BEGIN_REFUSING,
    DEFAULT_GENERATION_S,
    RANK_STEP,
    REFUSE_ALL,
    GenerationTime,
    Occupancy,
    refused_fraction,
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


def test_the_time_of_a_generation_is_learned():
    time = GenerationTime()
    before = time.seconds
    for _ in range(200):
        time.observe(4.0)
    assert (before, time.seconds) == (DEFAULT_GENERATION_S, pytest.approx(4.0, abs=0.01))
