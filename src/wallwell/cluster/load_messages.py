"""What nodes report to each other of loads, spent limits and crashes: messages, and the compression of sums.

Class names and field names go over the wire. Sent and received by :mod:`.load_reporter` within a region, and by
:mod:`.region_load_reporter` between regions.
"""

from __future__ import annotations

import zlib

import msgspec

from wallwell.cluster.crash_reports import Crash
from wallwell.cluster.load_reports import Load
from wallwell.cluster.peer_link import PeerMessage
from wallwell.errors import PeerUnavailableError

COMPRESSION_LEVEL = 6
"""Level of zlib, its default: between speed and size."""


class RelaySpentTotals(msgspec.Struct, frozen=True, array_like=True):
    """All that was spent of limits through one relay in one of its lives, by tenant."""

    relay: str
    life: int
    spent: dict[str, int]


class RegionSum(msgspec.Struct, frozen=True):
    """What the nodes of a region have in flight, and what was spent through each of its relays."""

    region: str
    load: Load
    relays: tuple[RelaySpentTotals, ...] = ()


class RegionLoad(PeerMessage, frozen=True):
    """A :class:`RegionSum` as compressed JSON; answered with that of the other region."""

    packed: bytes


class RegionReply(msgspec.Struct, frozen=True):
    """Answer to :class:`RegionLoad`; empty if the node relays for nobody and so does not know its region."""

    packed: bytes = b""


class MemberLoad(PeerMessage, frozen=True, omit_defaults=True):
    """A member's own load, and what it spent of tenants' limits since its last report."""

    node: str
    load: Load
    spent: dict[str, int] = {}
    crashes: tuple[Crash, ...] = ()


class OthersLoad(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer to :class:`MemberLoad`: the load of all other nodes, and what is left of limits that are not full."""

    load: Load
    levels: dict[str, int] = {}
    crashes: tuple[Crash, ...] = ()


class ZoneLoad(PeerMessage, frozen=True, omit_defaults=True):
    """The load of a node and the members that report to it, and all that was spent through it in its life.

    Answered with the same of the other node. ``regions`` has the sums of other regions that the asker has received
    since its last message.
    """

    node: str
    load: Load
    life: int = 0
    spent_totals: dict[str, int] = {}
    regions: tuple[RegionSum, ...] = ()
    crashes: tuple[Crash, ...] = ()


def pack_region_sum(region_sum: RegionSum) -> bytes:
    """Return a sum as it is sent between regions."""
    return zlib.compress(msgspec.json.encode(region_sum), COMPRESSION_LEVEL)


def unpack_region_sum(packed: bytes, sender: str) -> RegionSum:
    """Return a sum. Raises :class:`PeerUnavailableError` if it cannot be read."""
    try:
        return msgspec.json.decode(zlib.decompress(packed), type=RegionSum)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise PeerUnavailableError(f"{sender}: {type(error).__name__}") from error
