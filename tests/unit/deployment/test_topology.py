"""Distances between zones by the map of the settings; without a map all zones are in one region."""

import pytest

from wallwell.deployment.topology import Distance, Topology

REGION_BY_ZONE = {"a1": "a", "a2": "a", "b1": "b"}
TOPOLOGY = Topology("a1", REGION_BY_ZONE, "a")


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
def test_distance_from_the_nodes_zone(zone, distance):
    assert TOPOLOGY.distance_to(zone) is distance
    assert TOPOLOGY.is_in_own_region(zone) == (distance is not Distance.OTHER_REGION)


@pytest.mark.parametrize(
    "topology", [Topology("z1"), Topology("z1", {}, "r"), Topology("z1", {"z1": "r", "z2": "r"}, "r")]
)
def test_a_single_region_has_no_other_regions(topology):
    assert not topology.has_other_regions
    assert topology.distance_between("z1", "z2") is Distance.SAME_REGION
    assert topology.distance_between("z2", "z2") is Distance.SAME_ZONE


def test_the_nodes_region_is_taken_from_the_map_if_it_is_not_set():
    topology = Topology("a1", REGION_BY_ZONE)
    assert (topology.own_region, topology.has_other_regions) == ("a", True)
    assert topology.distance_between("a2", "b1") is Distance.OTHER_REGION


def test_a_zone_missing_from_the_map_is_in_the_same_region_as_all_others():
    assert [TOPOLOGY.distance_between(zone, "new") for zone in REGION_BY_ZONE] == [Distance.SAME_REGION] * 3
    assert Topology("new", REGION_BY_ZONE, "b").distance_between("new", "a1") is Distance.OTHER_REGION
