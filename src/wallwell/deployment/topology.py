"""How far zones are from each other: in the same region, or in another one behind a thin and long link. Pure.

Owns the map of zones to regions from the node's settings; without one everything is one region. Read by the choice
of back ends, the order of peers, and the choice of KV stores.
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
    """Where a node is, and which region each zone belongs to.

    ``region`` is the node's own, empty if it follows from the map. A zone that the map does not name counts
    as being in the same region as any other.
    """

    zone: str
    region_by_zone: Mapping[str, str] = field(default_factory=dict)
    region: str = ""

    @cached_property
    def own_region(self) -> str:
        """The region of this node; empty if none is known."""
        return self.region or self.region_by_zone.get(self.zone, "")

    @cached_property
    def has_other_regions(self) -> bool:
        """Whether there is a region besides the own one."""
        return any(region != self.own_region for region in self.region_by_zone.values())

    def region_of(self, zone: str) -> str:
        """Return a zone's region."""
        return self.own_region if zone == self.zone else self.region_by_zone.get(zone, self.own_region)

    def is_in_own_region(self, zone: str) -> bool:
        """Whether a zone is in the node's region."""
        return self.region_of(zone) == self.own_region

    def distance_to(self, zone: str) -> Distance:
        """Return how far a zone is from this node."""
        return self.distance_between(self.zone, zone)

    def distance_between(self, first_zone: str, second_zone: str) -> Distance:
        """Return how far two zones are from each other."""
        if first_zone == second_zone:
            return Distance.SAME_ZONE
        if not (self._is_mapped(first_zone) and self._is_mapped(second_zone)):
            return Distance.SAME_REGION
        return (
            Distance.SAME_REGION
            if self.region_of(first_zone) == self.region_of(second_zone)
            else Distance.OTHER_REGION
        )

    def _is_mapped(self, zone: str) -> bool:
        return zone == self.zone or zone in self.region_by_zone


SINGLE_REGION = Topology("")
"""No map: every zone is near."""
