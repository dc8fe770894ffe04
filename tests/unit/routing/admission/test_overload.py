"""A fraction of generations is refused while engines are overloaded; less urgent ranks are refused first."""

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

REFUSAL_RAMP = REFUSE_ALL_LOAD - REFUSAL_BEGIN_LOAD


@pytest.mark.parametrize(
    ("load_per_slot", "rank", "fraction"),
    [
        (0.5, 0, 0.0),
        (REFUSAL_BEGIN_LOAD, 0, 0.0),
        ((REFUSAL_BEGIN_LOAD + REFUSE_ALL_LOAD) / 2, 0, 0.5),
        (REFUSE_ALL_LOAD, 0, 1.0),
        (9.0, 0, 1.0),
        (REFUSAL_BEGIN_LOAD, 1, RANK_LOAD_STEP / REFUSAL_RAMP),
        (REFUSAL_BEGIN_LOAD, 3, 3 * RANK_LOAD_STEP / REFUSAL_RAMP),
        (REFUSAL_BEGIN_LOAD, 9, 3 * RANK_LOAD_STEP / REFUSAL_RAMP),
        (REFUSAL_BEGIN_LOAD - 3 * RANK_LOAD_STEP, 9, 0.0),
    ],
)
def test_refused_fraction_by_load_and_rank(load_per_slot, rank, fraction):
    assert refused_fraction(Occupancy(round(load_per_slot * 1_000), 1_000), rank) == pytest.approx(
        fraction, abs=1e-6
    )


def test_nothing_is_refused_for_engines_without_slots():
    assert refused_fraction(Occupancy(5, 0), 0) == 0.0


def test_average_converges_to_the_observed_duration():
    average = AverageDuration()
    before = average.seconds
    for _ in range(200):
        average.observe(4.0)
    assert (before, average.seconds) == (DEFAULT_GENERATION_S, pytest.approx(4.0, abs=0.01))
