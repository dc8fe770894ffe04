"""The streams whose software version this node knows, and which nodes know a stream. No I/O.

Owns a bounded table in memory. Relies on members' rows for which nodes keep streams.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from wallwell.address import Address
from wallwell.cluster.upstream import NodeRecord
from wallwell.deployment.topology import Topology
from wallwell.routing.rendezvous import owners

MAX_STREAMS = 10_000
"""Streams remembered at most, about 3 MB. At the fleet's largest planned load a node keeps some hundred."""
HOLDERS = 2
"""Nodes besides the one that began a stream which are told of it: both may be gone when the caller resumes it, but
then three nodes failed within the time of one stream."""
ASKED_HOLDERS = 4
"""Nodes that are asked about a stream in the own region: more than are told, since the node that began it comes
first for some, and others may have joined since."""
ASKED_HOLDERS_ELSEWHERE = 2
"""Nodes that are asked in each other region: a caller may come from there after the loss of its own."""


@dataclass
class StreamOrigin:
    """Which version began a stream. Times are in seconds on this node's clock."""

    service: str
    """Empty if another node told of the stream."""
    software: str
    learned_s: float
    expires_s: float
    is_told: bool = False
    """Whether other nodes have been told of the stream."""


class StreamOrigins:
    """The streams known to one node, oldest first."""

    def __init__(self) -> None:
        self._by_stream: dict[str, StreamOrigin] = {}

    def __len__(self) -> int:
        return len(self._by_stream)

    def add(self, stream: str, origin: StreamOrigin) -> None:
        """Remember a stream; one that is known keeps its version."""
        known = self._by_stream.get(stream)
        if known is not None and known.expires_s > origin.learned_s:
            known.expires_s = max(known.expires_s, origin.expires_s)
            return
        self._by_stream.pop(stream, None)
        self._by_stream[stream] = origin
        self._drop_expired(origin.learned_s)

    def _drop_expired(self, now_s: float) -> None:
        while self._by_stream:
            oldest = next(iter(self._by_stream))
            if self._by_stream[oldest].expires_s > now_s and len(self._by_stream) <= MAX_STREAMS:
                return
            del self._by_stream[oldest]

    def get(self, stream: str, now_s: float) -> StreamOrigin | None:
        """Return what is known of a stream; None if nothing is, or if it was remembered for its whole time."""
        origin = self._by_stream.get(stream)
        return origin if origin is not None and now_s < origin.expires_s else None

    def untold(self, services: Iterable[str], now_s: float) -> list[tuple[str, StreamOrigin]]:
        """Return this node's own streams of some services of which no other node has been told."""
        wanted = set(services)
        return [
            (stream, origin)
            for stream, origin in self._by_stream.items()
            if origin.service in wanted and not origin.is_told and now_s < origin.expires_s
        ]

    def services(self) -> set[str]:
        """Return the services of this node's own streams."""
        return {origin.service for origin in self._by_stream.values() if origin.service}


class Holder(NamedTuple):
    """A node that keeps streams, and where datagrams for it are sent."""

    name: str
    address: Address


def holders_to_tell(stream: str, members: Mapping[str, NodeRecord], topology: Topology, node: str) -> list[Holder]:
    """Return the nodes of the own region that are told of a stream which began at ``node``."""
    near = [name for name in _keepers(members) if topology.region_of(members[name].zone) == topology.own_region]
    return _holders(stream, near, members, node, HOLDERS)


def holders_to_ask(stream: str, members: Mapping[str, NodeRecord], topology: Topology, node: str) -> list[Holder]:
    """Return the nodes that are asked about a stream, nearest first."""
    by_region: dict[str, list[str]] = {topology.own_region: []}
    for name in _keepers(members):
        by_region.setdefault(topology.region_of(members[name].zone), []).append(name)
    asked: list[Holder] = []
    for region, names in by_region.items():
        count = ASKED_HOLDERS if region == topology.own_region else ASKED_HOLDERS_ELSEWHERE
        asked += _holders(stream, names, members, node, count)
    return asked


def _keepers(members: Mapping[str, NodeRecord]) -> list[str]:
    return [name for name, member in members.items() if member.keeps_streams is True and member.address]


def _holders(
    stream: str, names: Iterable[str], members: Mapping[str, NodeRecord], node: str, count: int
) -> list[Holder]:
    """Return the first nodes for a stream by rendezvous hashing, other than ``node``."""
    ordered = [name for name in owners(names, int(stream, 16), count + 1) if name != node]
    addresses = ((name, members[name].address) for name in ordered[:count])
    return [Holder(name, address) for name, address in addresses if address is not None]
