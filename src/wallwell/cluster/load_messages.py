"""Messages in which nodes report loads, spent limits and crashes to each other, and the compression of region sums.

Class names and field names go over the wire. Sent and received by :mod:`.load_reporter` within a region, and by
:mod:`.region_load_reporter` between regions.
"""

from __future__ import annotations

import zlib

import msgspec

from wallwell.cluster.crash_reports import Crash
from wallwell.cluster.load_reports import Load
from wallwell.cluster.message_decoding import unpack_message
from wallwell.cluster.peer_link import PeerMessage
from wallwell.number_ranges import Amount, Duration

COMPRESSION_LEVEL = 6
"""Compression level of zlib: its default, a balance of speed and size."""


class RelaySpentTotals(msgspec.Struct, frozen=True, array_like=True):
    """All that was spent of limits through one relay since its start ``life``, by tenant or back end."""

    relay: str
    life: int
    spent: dict[str, Amount]


class RegionSum(msgspec.Struct, frozen=True):
    """The summed load of the nodes of a region, and what was spent of limits through each of its relays."""

    region: str
    load: Load
    relays: tuple[RelaySpentTotals, ...] = ()


class RegionLoad(PeerMessage, frozen=True):
    """A :class:`RegionSum` as compressed JSON; answered with the sum of the other region."""

    packed: bytes


class RegionReply(msgspec.Struct, frozen=True):
    """Answer to :class:`RegionLoad`; empty if the node is no relay and so has no sum of its region."""

    packed: bytes = b""


class MemberLoad(PeerMessage, frozen=True, omit_defaults=True):
    """A member's own load, and what it spent of limits since its last report."""

    node: str
    load: Load
    spent: dict[str, Amount] = {}
    crashes: tuple[Crash, ...] = ()
    crash_ages_s: tuple[Duration, ...] = ()
    """Seconds since each of the crashes happened; omitted if that does not matter, as by earlier versions."""


class OthersLoad(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer to :class:`MemberLoad`: the load of all other nodes, and the levels of limits that are not full."""

    load: Load
    levels: dict[str, Amount] = {}
    crashes: tuple[Crash, ...] = ()
    crash_ages_s: tuple[Duration, ...] = ()
    """Seconds since each of the crashes happened; omitted if that does not matter, as by earlier versions."""


class ZoneLoad(PeerMessage, frozen=True, omit_defaults=True):
    """The load of a relay and its members, and all that was spent of limits through it since its start ``life``.

    Answered with the other relay's :class:`ZoneLoad`. ``regions`` has the sums of other regions that the sender has
    received since its last message.
    """

    node: str
    load: Load
    life: int = 0
    spent_totals: dict[str, Amount] = {}
    regions: tuple[RegionSum, ...] = ()
    crashes: tuple[Crash, ...] = ()
    crash_ages_s: tuple[Duration, ...] = ()
    """Seconds since each of the crashes happened; omitted if that does not matter, as by earlier versions."""


_region_sum_decoder = msgspec.json.Decoder(RegionSum)


def pack_region_sum(region_sum: RegionSum) -> bytes:
    """Return the compressed JSON of a sum, as sent between regions."""
    return zlib.compress(msgspec.json.encode(region_sum), COMPRESSION_LEVEL)


def unpack_region_sum(packed: bytes, sender: str) -> RegionSum:
    """Return the sum that ``sender`` packed. Raises ``PeerUnavailableError`` if it cannot be decoded."""
    return unpack_message(_region_sum_decoder, packed, sender)
