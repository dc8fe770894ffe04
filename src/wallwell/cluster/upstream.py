"""Which peer a node follows the store's rows through, and who stands for a region: agreed without messages. Pure.

The members of a zone stand in an order that every node works out alike: those with the fastest links first, since a
relay sends each change once for each member. The first ones, one for so many members, relay for the others. Zones
stand in an order as well: relays of the first zones follow the store, those of later zones follow these. A node
only follows a peer that stands before it, so that no two nodes can follow each other, and it follows the store when
no peer before it is believed to work.

Where there are regions, each one has an order of zones of its own, and nobody follows a peer of another region: the
first zone's relay follows the store, those of later zones follow it, or the second zone's while it does not answer.

Owns the order. Relies on the rows in which nodes register themselves, and on :mod:`.peer_health` for which peers
work.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from wallwell.cluster.peer_health import PeersHealth
from wallwell.deployment.topology import SINGLE_REGION, Topology
from wallwell.routing.rendezvous import key_of, rendezvous_score

MEMBERS_PER_RELAY = 40
"""Members of a zone that one relay serves: at 2 KB for each answer of a load report, 40 take 13 Mbit/s of its link
at 20 reports a second."""
FOLLOWING_ZONES = 2
"""Zones whose relays follow the store; those of other zones follow these. Two, so that either may be lost."""
FOLLOWING_ZONES_OF_REGION = 1
"""The same for each of several regions. Rows cross the link between regions once for each region, and a call to the
store costs 40 ms at least; the relays of the second zone stand by."""
DELEGATES_PER_RELAY = 3
"""Members of each zone, by the number of its relays, that may be delegates of their region: with three zones nine
nodes have to be gone at once before no sums are exchanged with another region."""
_ZONES_KEY = key_of("zones")


class NodeRecord(msgspec.Struct, frozen=True):
    """A node as it registers itself. ``relay`` is ``IP:port`` for peers, empty if it serves none."""

    zone: str
    relay: str = ""
    link_mbps: float = 0.0


class Peer(NamedTuple):
    """Another node, and where it serves its peers: ``IP:port``."""

    name: str
    address: str


@dataclass
class UpstreamOrder:
    """One node's choice among its peers, by the rows of all nodes and by which peers work."""

    node: str
    zone: str
    members: Mapping[str, NodeRecord] = field(default_factory=dict)
    topology: Topology = SINGLE_REGION
    health: PeersHealth = field(default_factory=PeersHealth)

    def candidates(self, now_s: float) -> list[Peer]:
        """Return the peers to follow, best first; empty if the store is to be followed."""
        in_zone = self.followed_in_zone(now_s)
        own = self.members.get(self.node)
        if in_zone or own is None or not own.relay:
            return in_zone
        return self._of_earlier_zones(now_s)

    def fleet_size(self) -> int:
        """Return how many nodes are registered; 0 while this one is not: it may not know the others then."""
        return len(self.members) if self.node in self.members else 0

    def _of_earlier_zones(self, now_s: float) -> list[Peer]:
        """Return the relays that this node follows for its zone."""
        earlier = [zone for zone in self._zones()[:FOLLOWING_ZONES] if _zone_rank(zone) < _zone_rank(self.zone)]
        has_regions = self.topology.has_other_regions
        if len(earlier) < (FOLLOWING_ZONES_OF_REGION if has_regions else FOLLOWING_ZONES):
            return []
        relays = [peer for zone in earlier for peer in self._relays_of(zone, now_s)]
        relays.sort(key=lambda peer: rendezvous_score(peer.name, key_of(self.zone)))
        if has_regions:
            relays.sort(key=lambda peer: _zone_rank(self.members[peer.name].zone))
        return relays

    def _zones(self) -> list[str]:
        """Return the zones of the own region in their order."""
        return self._zones_of(self.topology.own_region)

    def _zones_of(self, region: str) -> list[str]:
        zones = {member.zone for member in self.members.values() if member.relay}
        return sorted((zone for zone in zones if self.topology.region_of(zone) == region), key=_zone_rank)

    def is_in_other_zone(self, name: str) -> bool:
        """Whether a peer is in another zone."""
        member = self.members.get(name)
        return member is not None and member.zone != self.zone

    def followed_in_zone(self, now_s: float) -> list[Peer]:
        """Return the peers of the own zone that this node follows; empty if it relays for others."""
        same_zone = self._reachable_in(self.zone)
        if self.node not in same_zone:
            return []
        ordered, relays = self._order_of(self.zone, same_zone)
        before = ordered[: ordered.index(self.node)]
        working = [name for name in before if self.health.is_working(name, now_s)][:relays]
        if len(working) < relays:
            return []
        working.sort(key=lambda name: rendezvous_score(name, key_of(self.node)))
        return [self._peer(name) for name in working]

    def relays(self, now_s: float) -> list[Peer]:
        """Return the other nodes of this region that relay for their members."""
        found = [each for zone in self._zones() for each in self._relays_of(zone, now_s)]
        return [peer for peer in found if peer.name != self.node]

    def _relays_of(self, zone: str, now_s: float) -> list[Peer]:
        """Return the working nodes that stand first in a zone, this node among them."""
        ordered, relays = self._order_of(zone, self._reachable_in(zone))
        working = [name for name in ordered if name == self.node or self.health.is_working(name, now_s)][:relays]
        return [self._peer(name) for name in working]

    def other_regions(self) -> list[str]:
        """Return the regions beside the own one that have members."""
        zones = {member.zone for member in self.members.values() if member.relay}
        return sorted({self.topology.region_of(zone) for zone in zones} - {self.topology.own_region})

    def delegates_of(self, region: str) -> list[Peer]:
        """Return the nodes that may be a region's delegate, in their order.

        These are the relays of its zones, then those who replace them; which of them work is not known here.
        """
        ranked: list[tuple[int, str]] = []
        for zone in self._zones_of(region):
            ordered, relays = self._order_of(zone, self._reachable_in(zone))
            ranked += [
                (index // relays, name) for index, name in enumerate(ordered[: relays * DELEGATES_PER_RELAY])
            ]
        ranked.sort(key=lambda entry: entry[0])
        return [self._peer(name) for _, name in ranked]

    def delegate_rank(self, now_s: float) -> int | None:
        """Return this node's rank among the working delegates of its region, from 0; None if it is none of them."""
        names = [peer.name for peer in self.delegates_of(self.topology.own_region)]
        working = [name for name in names if name == self.node or self.health.is_working(name, now_s)]
        return working.index(self.node) if self.node in working else None

    def _peer(self, name: str) -> Peer:
        return Peer(name, self.members[name].relay)

    def _reachable_in(self, zone: str) -> list[str]:
        """Return the members of a zone that peers can reach."""
        return [name for name, member in self.members.items() if member.zone == zone and member.relay]

    def _order_of(self, zone: str, names: list[str]) -> tuple[list[str], int]:
        """Return a zone's members in their order, and how many of them relay for the others: the first ones."""
        key = key_of(zone)
        ordered = sorted(
            names, key=lambda name: (self.members[name].link_mbps, rendezvous_score(name, key), name), reverse=True
        )
        return ordered, -(-len(names) // MEMBERS_PER_RELAY)

    def on_failure(self, name: str, now_s: float) -> None:
        """A peer did not answer or its copy of the store is old: pass it over for a while."""
        self.health.on_failure(name, now_s)

    def on_zone_returned(self, zone: str) -> None:
        """Another zone answers again: its nodes are asked at once, and not after their pauses."""
        for name, member in self.members.items():
            if member.zone == zone:
                self.health.on_success(name)

    def on_success(self, name: str) -> None:
        """A peer answered."""
        self.health.on_success(name)


def _zone_rank(zone: str) -> tuple[int, str]:
    return rendezvous_score(zone, _ZONES_KEY), zone
