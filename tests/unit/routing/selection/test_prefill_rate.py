"""The load up to which a long prompt begins in time follows from what first pieces took."""

import pytest

from wallwell.routing.selection.prefill_rate import DEFAULT_S, PrefillRate


@pytest.mark.parametrize("seconds_per_unit", [0.02, 0.08, 0.3])
def test_the_pace_is_learned_whatever_the_load(seconds_per_unit):
    pace = PrefillRate()
    for index in range(100):
        load = 3 + index % 12
        pace.observe(load, load * seconds_per_unit)
    assert pace.seconds_per_unit == pytest.approx(seconds_per_unit, rel=0.02)
    assert pace.room(0.6) == pytest.approx(0.6 / seconds_per_unit, rel=0.02)


def test_one_observation_changes_little_and_none_makes_room_for_everything():
    pace = PrefillRate()
    pace.observe(3, 30.0)
    assert pace.seconds_per_unit < 20 * DEFAULT_S
    for _ in range(100):
        pace.observe(0, 0.0)
    assert pace.room(0.6) < 200
