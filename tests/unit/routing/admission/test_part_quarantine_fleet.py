"""A whole fleet refuses a part that crashes back ends, and little else: a model at 7, 79 and 410 nodes.

Guards against quarantines that come too late in a large fleet, and against sound requests that are refused since
their parts ran beside the cause, or beside crashes with other causes.
"""

import pytest

from tests.unit.routing.admission.part_fleet import ModelFleet, Traffic

CONTACT_S = 3.0
COUNTED_CRASHES, MAX_SENT_LATE = 5, 3
MIN_SOUND_SHARE = 0.5
SECONDS = 18.0
SMALL, MEDIUM, LARGE = (7, 6, 30.0), (79, 45, 200.0), (410, 60, 300.0)
"""Nodes, back ends and sound requests a second."""
HOW = {"inner": {}, "first": {"is_first_part_bad": True}, "sound before": {"is_part_sound_before": True}}
CHANCE = {"crashes_by_chance_per_s": 0.2, "zone_outages_s": (6.0, 9.0, 14.0)}


def play(size, crashing_share, seed, **traffic):
    nodes, workers, sound_per_s = size
    return ModelFleet(nodes, workers, Traffic(sound_per_s, crashing_share * sound_per_s, **traffic), seed).play(
        SECONDS
    )


def check(figures):
    assert figures.crashes_s
    assert figures.sent_late(COUNTED_CRASHES, CONTACT_S) <= MAX_SENT_LATE
    assert figures.late_share("refused") <= 1 - MIN_SOUND_SHARE


@pytest.mark.parametrize("how", HOW)
@pytest.mark.parametrize(
    ("size", "share", "seed"),
    [
        *((SMALL, share, seed) for share in (0.01, 0.1) for seed in range(5)),
        *((MEDIUM, share, 0) for share in (0.001, 0.01, 0.1)),
        (LARGE, 0.03, 0),
    ],
)
def test_a_bad_part_soon_reaches_no_back_end_and_sound_requests_are_served(size, share, seed, how):
    check(play(size, share, seed, **HOW[how]))


@pytest.mark.parametrize("how", ["inner", "first"])
@pytest.mark.parametrize(("size", "seed"), [*((SMALL, seed) for seed in range(5)), (MEDIUM, 0)])
def test_a_bad_part_in_a_third_of_the_traffic(size, seed, how):
    check(play(size, 1 / 3, seed, **HOW[how]))


@pytest.mark.parametrize(("size", "seed"), [*((SMALL, seed) for seed in range(5)), (MEDIUM, 0)])
def test_a_part_of_a_third_of_the_traffic_that_was_sound_before(size, seed):
    check(play(size, 1 / 3, seed, **HOW["sound before"]))


@pytest.mark.parametrize(("size", "seed"), [*((SMALL, seed) for seed in range(5)), (MEDIUM, 0), (LARGE, 0)])
def test_crashes_by_chance_and_outages_of_a_zone_beside_a_bad_part(size, seed):
    check(play(size, 0.1, seed, **CHANCE))


@pytest.mark.parametrize(("size", "seed"), [*((SMALL, seed) for seed in range(5)), (MEDIUM, 0), (LARGE, 0)])
def test_without_a_bad_part_hardly_anything_is_refused(size, seed):
    """A back end crashes by chance every five seconds, and a zone three times: no part is to blame."""
    figures = play(size, 0.1, seed, crashing_from_s=SECONDS, **CHANCE)
    assert figures.late_share("refused") <= 0.02
