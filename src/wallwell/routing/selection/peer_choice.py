"""Which peers are asked to make an attempt that this node cannot make, and in which order. Pure.

Owns for how long peers that declined or did not answer are remembered. Inputs are the peers that make attempts for
others, the zones of the back end and of this node, the time in seconds on its clock, and a random generator.

Peers of this node's zone or of the back end's come first: either way one link between zones is crossed. Among them
the choice is random, so that many nodes that lose their links together spread over all others.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from wallwell.address import Address
from wallwell.deployment.topology import Distance, Topology

MAX_PEERS_ASKED = 3
"""Peers that are asked for one attempt at most; each takes a round trip."""
MAX_WITNESSES = 6
"""Peers that are asked together about one back end at most: half of all nodes may have lost their links to it."""
UNREACHABLE_MEMORY_S = 1.0
"""Seconds for which a peer that cannot connect to a service either is not asked for it again. Longer would miss a
peer whose links are back, shorter costs a round trip more often."""
SILENT_MEMORY_S = 2.0
"""Seconds for which a peer that could not be connected to is not asked."""
MAX_REMEMBERED = 1000
"""Most peers and services remembered; more peers than a fleet has."""


class PeerNode(NamedTuple):
    """A node that makes attempts for others, and where: its name and zone, and where it serves peers."""

    name: str
    zone: str
    address: Address


def choose_witnesses(peers: Iterable[PeerNode], own_zone: str, rng: random.Random) -> list[PeerNode]:
    """Return the peers, :data:`MAX_WITNESSES` at most, that are asked whether a back end refuses them too.

    Of as many zones as possible, and of this node's own last, since a fault may cut off a whole zone.
    """
    candidates = list(peers)
    rng.shuffle(candidates)
    chosen_of_zone: Counter[str] = Counter()
    ranked: list[tuple[bool, int, PeerNode]] = []
    for peer in candidates:
        ranked.append((peer.zone == own_zone, chosen_of_zone[peer.zone], peer))
        chosen_of_zone[peer.zone] += 1
    ranked.sort(key=lambda each: each[:2])
    return [peer for _, _, peer in ranked[:MAX_WITNESSES]]


class PeerChoice:
    """One node's choice among its peers."""

    def __init__(self, topology: Topology, rng: random.Random) -> None:
        self._topology = topology
        self._rng = rng
        self._unreachable_until_s: dict[tuple[str, str], float] = {}
        """Until when a peer is not asked for a service, by both names."""
        self._silent_until_s: dict[str, float] = {}

    def choose(self, peers: Iterable[PeerNode], service: str, backend_zone: str, now_s: float) -> list[PeerNode]:
        """Return the peers to ask, best first; empty if there is none."""
        candidates = [peer for peer in peers if self._may_ask(peer.name, service, now_s)]
        self._rng.shuffle(candidates)
        candidates.sort(key=lambda peer: self._distance(peer.zone, backend_zone))
        return candidates[:MAX_PEERS_ASKED]

    def on_unreachable(self, peer: str, service: str, now_s: float) -> None:
        """Record that a peer cannot connect to a service either."""
        self._unreachable_until_s.pop((peer, service), None)
        self._unreachable_until_s[peer, service] = now_s + UNREACHABLE_MEMORY_S
        if len(self._unreachable_until_s) > MAX_REMEMBERED:
            del self._unreachable_until_s[next(iter(self._unreachable_until_s))]

    def on_silent(self, peer: str, now_s: float) -> None:
        """Record that no connection to a peer could be made."""
        self._silent_until_s.pop(peer, None)
        self._silent_until_s[peer] = now_s + SILENT_MEMORY_S
        if len(self._silent_until_s) > MAX_REMEMBERED:
            del self._silent_until_s[next(iter(self._silent_until_s))]

    def _may_ask(self, peer: str, service: str, now_s: float) -> bool:
        is_unreachable = now_s < self._unreachable_until_s.get((peer, service), 0.0)
        return not is_unreachable and now_s >= self._silent_until_s.get(peer, 0.0)

    def _distance(self, peer_zone: str, backend_zone: str) -> int:
        if peer_zone in (self._topology.zone, backend_zone):
            return 0
        is_far = self._topology.distance_to(peer_zone) is Distance.OTHER_REGION
        return 2 if is_far else 1
