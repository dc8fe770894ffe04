"""Distance between zones: links to zones of other regions have low bandwidth and high latency. Pure.

Holds the map of zones to regions from the node's settings; without a map, all zones form one region. Used to choose
back ends and KV stores and to order peers.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property


class Distance(enum.IntEnum):
    """Distance between two zones, nearest first."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclass(frozen=True)
class Topology:
    """A node's own zone, and the region of each zone.

    ``region`` is the node's own region; if it is empty, the map gives the region. A zone missing from the map
    counts as being in the same region as any other zone.
    """

    zone: str
    region_by_zone: Mapping[str, str] = field(default_factory=dict)
    region: str = ""

    @cached_property
    def own_region(self) -> str:
        """The region of this node; empty if unknown."""
        return self.region or self.region_by_zone.get(self.zone, "")

    @cached_property
    def has_other_regions(self) -> bool:
        """Whether the map contains a region other than the node's own."""
        return any(region != self.own_region for region in self.region_by_zone.values())

    def region_of(self, zone: str) -> str:
        """Return a zone's region; the node's own region if the map does not contain the zone."""
        return self.own_region if zone == self.zone else self.region_by_zone.get(zone, self.own_region)

    def is_in_own_region(self, zone: str) -> bool:
        """Whether a zone is in the node's region."""
        return self.region_of(zone) == self.own_region

    def distance_to(self, zone: str) -> Distance:
        """Return the distance between this node's zone and another."""
        return self.distance_between(self.zone, zone)

    def distance_between(self, zone_a: str, zone_b: str) -> Distance:
        """Return the distance between two zones."""
        if zone_a == zone_b:
            return Distance.SAME_ZONE
        if not (self._is_mapped(zone_a) and self._is_mapped(zone_b)):
            return Distance.SAME_REGION
        return Distance.SAME_REGION if self.region_of(zone_a) == self.region_of(zone_b) else Distance.OTHER_REGION

    def _is_mapped(self, zone: str) -> bool:
        return zone == self.zone or zone in self.region_by_zone


SINGLE_REGION = Topology("")
"""Topology without a map: all zones are in the same region."""
