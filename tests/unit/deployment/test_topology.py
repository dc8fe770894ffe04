"""Zones are near or far by the map of the settings; without one everything is near."""

import pytest

from wallwell.deployment.topology import Distance, Topology

MAP = {"a1": "a", "a2": "a", "b1": "b"}
PLACES = Topology("a1", MAP, "a")


@pytest.mark.parametrize(
    ("zone", "distance"),
    [
        ("a1", Distance.SAME_ZONE),
        ("a2", Distance.SAME_REGION),
        ("b1", Distance.OTHER_REGION),
        ("new", Distance.SAME_REGION),
        ("", Distance.SAME_REGION),
    ],
)
def test_distance_from_the_own_zone(zone, distance):
    assert PLACES.distance_to(zone) is distance
    assert PLACES.is_in_own_region(zone) == (distance is not Distance.OTHER_REGION)


@pytest.mark.parametrize(
    "places", [Topology("z1"), Topology("z1", {}, "r"), Topology("z1", {"z1": "r", "z2": "r"}, "r")]
)
def test_one_region_has_no_other(places):
    assert not places.has_other_regions
    assert places.distance_between("z1", "z2") is Distance.SAME_REGION
    assert places.distance_between("z2", "z2") is Distance.SAME_ZONE


def test_the_own_region_is_read_from_the_map_if_it_is_not_given():
    places = Topology("a1", MAP)
    assert (places.own_region, places.has_other_regions) == ("a", True)
    assert places.distance_between("a2", "b1") is Distance.OTHER_REGION


def test_a_zone_that_is_not_named_is_near_to_zones_of_each_region():
    assert [PLACES.distance_between(zone, "new") for zone in MAP] == [Distance.SAME_REGION] * 3
    assert Topology("new", MAP, "b").distance_between("new", "a1") is Distance.OTHER_REGION
