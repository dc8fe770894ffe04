"""A fraction of generations is refused while engines have too much in flight, the less urgent first."""

import pytest

from wallwell.routing.admission.overload import (
    DEFAULT_GENERATION_S,
    RANK_LOAD_STEP,
    REFUSAL_BEGIN_LOAD,
    REFUSE_ALL_LOAD,
    AverageDuration,
    Occupancy,
    refused_fraction,
)

RAMP = REFUSE_ALL_LOAD - REFUSAL_BEGIN_LOAD


@pytest.mark.parametrize(
    ("per_slot", "rank", "fraction"),
    [
        (0.5, 0, 0.0),
        (REFUSAL_BEGIN_LOAD, 0, 0.0),
        ((REFUSAL_BEGIN_LOAD + REFUSE_ALL_LOAD) / 2, 0, 0.5),
        (REFUSE_ALL_LOAD, 0, 1.0),
        (9.0, 0, 1.0),
        (REFUSAL_BEGIN_LOAD, 1, RANK_LOAD_STEP / RAMP),
        (REFUSAL_BEGIN_LOAD, 3, 3 * RANK_LOAD_STEP / RAMP),
        (REFUSAL_BEGIN_LOAD, 9, 3 * RANK_LOAD_STEP / RAMP),
        (REFUSAL_BEGIN_LOAD - 3 * RANK_LOAD_STEP, 9, 0.0),
    ],
)
def test_fraction_refused(per_slot, rank, fraction):
    assert refused_fraction(Occupancy(round(per_slot * 1_000), 1_000), rank) == pytest.approx(fraction, abs=1e-6)


def test_engines_without_slots_refuse_nothing():
    assert refused_fraction(Occupancy(5, 0), 0) == 0.0


def test_the_time_of_a_generation_is_learned():
    time = AverageDuration()
    before = time.seconds
    for _ in range(200):
        time.observe(4.0)
    assert (before, time.seconds) == (DEFAULT_GENERATION_S, pytest.approx(4.0, abs=0.01))
