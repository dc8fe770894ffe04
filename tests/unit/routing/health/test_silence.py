"""A back end is probed after a silence that is long in comparison with its past silences."""

import pytest

from wallwell.routing.health.silence import (
    LONG_SILENCE_FACTOR,
    MAX_LONG_SILENCE_S,
    MIN_LONG_SILENCE_S,
    PROBE_INTERVAL_S,
    USUAL_SILENCE_HALF_LIFE_S,
    Silence,
    long_silence_threshold_s,
)


def silence_after(*silences_s):
    silence, now_s = Silence(), 100.0
    silence.on_idle_ended(now_s)
    for silence_s in silences_s:
        now_s += silence_s
        silence.on_received(now_s)
    return silence, now_s


@pytest.mark.parametrize(
    ("silences_s", "expected_s"),
    [
        ([], MAX_LONG_SILENCE_S),
        ([0.02, 0.02], MIN_LONG_SILENCE_S),
        ([0.02, 0.3], 0.3 * LONG_SILENCE_FACTOR),
        ([0.9], MAX_LONG_SILENCE_S),
    ],
    ids=["nothing received", "fast", "prefills long prompts", "slow"],
)
def test_a_long_silence_depends_on_past_silences(silences_s, expected_s):
    silence, now_s = silence_after(*silences_s)
    assert not silence.begin_probe_if_due(now_s + expected_s * 0.9 - 0.01)
    assert silence.begin_probe_if_due(now_s + expected_s + 0.02)


def test_a_large_silence_decays():
    silence, now_s = silence_after(0.4)
    assert silence.usual_silence_s(now_s + USUAL_SILENCE_HALF_LIFE_S) == pytest.approx(0.2)


def test_probes_keep_their_interval():
    silence, now_s = silence_after(0.02)
    probed = [silence.begin_probe_if_due(now_s + 1.0 + tenth / 10) for tenth in range(10)]
    assert probed.count(True) == round(1.0 / PROBE_INTERVAL_S)


def test_idle_time_is_not_counted_as_silence():
    silence, now_s = silence_after(0.02)
    silence.on_idle_ended(now_s + 60.0)
    assert not silence.begin_probe_if_due(now_s + 60.1)
    silence.on_received(now_s + 60.05)
    assert silence.usual_silence_s(now_s + 60.05) == pytest.approx(0.05)


@pytest.mark.parametrize(
    ("usual_silence_s", "expected_s"),
    [(None, 1.0), (0.0, 0.18), (0.1, 0.18), (0.2, 0.3), (0.5, 0.75), (0.7, 1.0), (30.0, 1.0)],
)
def test_the_threshold_is_proportional_to_the_usual_silence_between_two_bounds(usual_silence_s, expected_s):
    assert long_silence_threshold_s(usual_silence_s) == pytest.approx(expected_s)
