"""The load limit of long prompts follows from the observed times to the first token."""

import pytest

from wallwell.routing.selection.prefill_rate import DEFAULT_SECONDS_PER_UNIT, PrefillRate


@pytest.mark.parametrize("seconds_per_unit", [0.02, 0.08, 0.3])
def test_the_rate_converges_at_any_load(seconds_per_unit):
    rate = PrefillRate()
    for index in range(100):
        load = 3 + index % 12
        rate.observe(load, load * seconds_per_unit)
    assert rate.seconds_per_unit == pytest.approx(seconds_per_unit, rel=0.02)
    assert rate.load_limit(0.6) == pytest.approx(0.6 / seconds_per_unit, rel=0.02)


def test_one_observation_has_a_small_effect_and_the_limit_stays_finite():
    rate = PrefillRate()
    rate.observe(3, 30.0)
    assert rate.seconds_per_unit < 20 * DEFAULT_SECONDS_PER_UNIT
    for _ in range(100):
        rate.observe(0, 0.0)
    assert rate.load_limit(0.6) < 200
