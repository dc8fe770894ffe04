"""Computes which peers a node follows the store through, and the delegates of a region, without messages. Pure.

Every node computes the same order of the members of a zone: those with the fastest links first, since a relay sends
each change once per member. The first members, one per ``MEMBERS_PER_RELAY``, are the relays of the others. Zones
are ordered as well: relays of the first zones follow the store, relays of later zones follow these. A node only
follows peers that precede it, so that no two nodes can follow each other, and it follows the store when no
preceding peer is believed to work.

With several regions, each has its own order of zones, and no node follows a peer of another region. The first
zone's relay follows the store; later zones' relays follow it, or the second zone's relay while it does not answer.

Owns the order. Relies on the rows in which nodes register themselves, and on :mod:`.peer_health` for which peers
work.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import Annotated, NamedTuple

import msgspec

from wallwell.address import Address, InvalidAddressError, parse_address
from wallwell.cluster.peer_health import PeersHealth
from wallwell.deployment.topology import SINGLE_REGION, Topology
from wallwell.routing.rendezvous import rendezvous_key, rendezvous_score

MEMBERS_PER_RELAY = 40
"""Members of a zone that one relay serves: with 2 KB for each answer to a load report, 40 members take 13 Mbit/s of
its link at 20 reports per second."""
STORE_FOLLOWING_ZONES = 2
"""Zones whose relays follow the store; relays of other zones follow these. Two, so that either zone may fail."""
STORE_FOLLOWING_ZONES_PER_REGION = 1
"""The same number for each of several regions. With one, rows cross the link between regions once per region, and a
call to the store costs at least 40 ms; the second zone's relays are the standby."""
DELEGATES_PER_RELAY = 3
"""Members of each zone, per relay of the zone, that may be delegates of their region: with three zones, nine nodes
must be gone at the same time before the exchange of sums with another region stops."""
MAX_LINK_MBPS = 1e9
"""Fastest link that a node's row may state, in megabits per second."""
_ZONE_ORDER_KEY = rendezvous_key("zones")


class NodeRecord(msgspec.Struct, frozen=True, dict=True):
    """A node's registration row. ``relay`` is its ``IP:port`` for peers, empty if it serves no peers."""

    zone: str
    relay: str = ""
    link_mbps: Annotated[float, msgspec.Meta(ge=0, le=MAX_LINK_MBPS)] = 0.0
    makes_attempts: bool | msgspec.UnsetType = msgspec.UNSET
    """Whether the node makes attempts for peers; omitted if it does not, as in rows of earlier versions."""
    keeps_streams: bool | msgspec.UnsetType = msgspec.UNSET
    """Whether the node answers datagrams about streams at the port of ``relay``; omitted as above."""
    checks_backends: bool | msgspec.UnsetType = msgspec.UNSET
    """Whether the node answers peers if it can connect to a back end; omitted as above."""

    @property
    def address(self) -> Address | None:
        """Where the node serves peers; None if it serves none, or if ``relay`` is no address."""
        return self._parsed_relay[0]

    @property
    def relay_error(self) -> str:
        """Why ``relay`` is no address, so that the node serves no peers; empty if it is one or is empty."""
        return self._parsed_relay[1]

    @cached_property
    def _parsed_relay(self) -> tuple[Address | None, str]:
        """The address and the error; parsed once, as each exchange asks for the addresses of all nodes."""
        if not self.relay:
            return None, ""
        try:
            return parse_address(self.relay), ""
        except InvalidAddressError as error:
            return None, str(error)


class Peer(NamedTuple):
    """Name of another node, and where it serves peers."""

    name: str
    address: Address


@dataclass
class UpstreamOrder:
    """One node's choice among its peers, from the registration rows of all nodes and the health of its peers."""

    node: str
    zone: str
    members: Mapping[str, NodeRecord] = field(default_factory=dict)
    topology: Topology = SINGLE_REGION
    health: PeersHealth = field(default_factory=PeersHealth)
    """Which peers answer."""
    copies: PeersHealth = field(default_factory=PeersHealth)
    """Which peers' copies of the store are recent. While the store is away, none is, and peers still exchange
    loads."""

    def candidates(self, now_s: float) -> list[Peer]:
        """Return the peers to follow, best first; empty if this node follows the store itself."""
        in_zone = self._preceding_relays(now_s, self._serves_rows)
        own_record = self.members.get(self.node)
        if in_zone or own_record is None or own_record.address is None:
            return in_zone
        return self._relays_of_earlier_zones(now_s)

    def node_count(self) -> int:
        """Return how many nodes are registered; 0 while this node is not, as it may not know the others then."""
        return len(self.members) if self.node in self.members else 0

    def _relays_of_earlier_zones(self, now_s: float) -> list[Peer]:
        """Return the relays of earlier zones that this node follows as a relay of its own zone."""
        earlier = [
            zone for zone in self._own_zones()[:STORE_FOLLOWING_ZONES] if _zone_rank(zone) < _zone_rank(self.zone)
        ]
        has_other_regions = self.topology.has_other_regions
        if len(earlier) < (STORE_FOLLOWING_ZONES_PER_REGION if has_other_regions else STORE_FOLLOWING_ZONES):
            return []
        relays = [peer for zone in earlier for peer in self._relays_of(zone, now_s, self._serves_rows)]
        relays.sort(key=lambda peer: rendezvous_score(peer.name, rendezvous_key(self.zone)))
        if has_other_regions:
            relays.sort(key=lambda peer: _zone_rank(self.members[peer.name].zone))
        return relays

    def _own_zones(self) -> list[str]:
        """Return the zones of this node's region in order."""
        return self._zones_of(self.topology.own_region)

    def _zones_of(self, region: str) -> list[str]:
        zones = {member.zone for member in self.members.values() if member.address is not None}
        return sorted((zone for zone in zones if self.topology.region_of(zone) == region), key=_zone_rank)

    def is_in_other_zone(self, name: str) -> bool:
        """Return whether a peer is in another zone than this node."""
        member = self.members.get(name)
        return member is not None and member.zone != self.zone

    def followed_peers_in_zone(self, now_s: float) -> list[Peer]:
        """Return the relays of this node's zone that it reports to; empty if it is a relay itself, or if peers
        cannot reach it."""
        return self._preceding_relays(now_s, self.health.is_working)

    def _serves_rows(self, name: str, now_s: float) -> bool:
        return self.health.is_working(name, now_s) and self.copies.is_working(name, now_s)

    def _preceding_relays(self, now_s: float, is_working: Callable[[str, float], bool]) -> list[Peer]:
        same_zone = self._reachable_members(self.zone)
        if self.node not in same_zone:
            return []
        ordered, n_relays = self._ordered_members(self.zone, same_zone)
        preceding = ordered[: ordered.index(self.node)]
        working = [name for name in preceding if is_working(name, now_s)][:n_relays]
        if len(working) < n_relays:
            return []
        working.sort(key=lambda name: rendezvous_score(name, rendezvous_key(self.node)))
        return self._peers(working)

    def other_relays(self, now_s: float) -> list[Peer]:
        """Return the other relays of this node's region."""
        is_working = self.health.is_working
        relays = [relay for zone in self._own_zones() for relay in self._relays_of(zone, now_s, is_working)]
        return [peer for peer in relays if peer.name != self.node]

    def _relays_of(self, zone: str, now_s: float, is_working: Callable[[str, float], bool]) -> list[Peer]:
        """Return the relays of a zone: its first working members; this node always counts as working."""
        ordered, n_relays = self._ordered_members(zone, self._reachable_members(zone))
        working = [name for name in ordered if name == self.node or is_working(name, now_s)][:n_relays]
        return self._peers(working)

    def other_regions(self) -> list[str]:
        """Return the other regions that have reachable members, sorted by name."""
        zones = {member.zone for member in self.members.values() if member.address is not None}
        return sorted({self.topology.region_of(zone) for zone in zones} - {self.topology.own_region})

    def delegates_of(self, region: str) -> list[Peer]:
        """Return the nodes that may be a region's delegate, in order.

        The relays of its zones come first, then their replacements, whether they work or not.
        """
        ranked: list[tuple[int, str]] = []
        for zone in self._zones_of(region):
            ordered, n_relays = self._ordered_members(zone, self._reachable_members(zone))
            ranked += [
                (index // n_relays, name) for index, name in enumerate(ordered[: n_relays * DELEGATES_PER_RELAY])
            ]
        ranked.sort(key=lambda entry: entry[0])
        return self._peers(name for _, name in ranked)

    def delegate_rank(self, now_s: float) -> int | None:
        """Return this node's rank, from 0, among the working delegates of its region; None if it is no delegate."""
        names = [peer.name for peer in self.delegates_of(self.topology.own_region)]
        working = [name for name in names if name == self.node or self.health.is_working(name, now_s)]
        return working.index(self.node) if self.node in working else None

    def _peers(self, names: Iterable[str]) -> list[Peer]:
        """Return the members of these names that serve peers."""
        addresses = ((name, self.members[name].address) for name in names)
        return [Peer(name, address) for name, address in addresses if address is not None]

    def _reachable_members(self, zone: str) -> list[str]:
        """Return the members of a zone that serve peers."""
        return [name for name, member in self.members.items() if member.zone == zone and member.address is not None]

    def _ordered_members(self, zone: str, names: list[str]) -> tuple[list[str], int]:
        """Return the members of a zone in order, and how many of them, from the first, are relays."""
        key = rendezvous_key(zone)
        ordered = sorted(
            names, key=lambda name: (self.members[name].link_mbps, rendezvous_score(name, key), name), reverse=True
        )
        return ordered, -(-len(names) // MEMBERS_PER_RELAY)

    def on_failure(self, name: str, now_s: float) -> None:
        """Pause a peer that did not answer."""
        self.health.on_failure(name, now_s)

    def on_stale_copy(self, name: str, now_s: float) -> None:
        """Do not follow a peer for a while, since its copy of the store is stale."""
        self.copies.on_failure(name, now_s)

    def on_zone_returned(self, zone: str) -> None:
        """End the pauses of the nodes of a zone that answers again, so that they are asked at once."""
        for name, member in self.members.items():
            if member.zone == zone:
                self.on_rows(name)

    def on_success(self, name: str) -> None:
        """Reset the failures of a peer that answered."""
        self.health.on_success(name)

    def on_rows(self, name: str) -> None:
        """Reset the failures of a peer that answered with rows of a recent copy."""
        self.health.on_success(name)
        self.copies.on_success(name)


def _zone_rank(zone: str) -> tuple[int, str]:
    return rendezvous_score(zone, _ZONE_ORDER_KEY), zone
