"""Exchanges sums of loads and spent limits between regions, through one delegate of each region.

The link between two regions has low bandwidth and high latency, so one pair of nodes exchanges for all. The region
whose name sorts first sends the requests. Its delegates are ordered; each exchanges if none before it has
forwarded a sum of the other region for a while. It tries the delegates of the other region in turn until one that
is a relay answers. A node that receives a sum forwards it to the other relays of its region with its next report.

Owns the choice of the delegates that exchange, and the set of silent regions. Relies on :mod:`.upstream` for the
order of delegates, and on :mod:`.load_reporter` for the sums.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wallwell.address import Address
from wallwell.clock import boot_time_s
from wallwell.cluster.load_messages import (
    RegionLoad,
    RegionReply,
    RegionSum,
    pack_region_sum,
    unpack_region_sum,
)
from wallwell.cluster.load_reports import REPORT_LIFETIME_S
from wallwell.cluster.peer_link import PeerLinks, RequestRefusedError
from wallwell.cluster.region_traffic import RegionTraffic
from wallwell.cluster.unexpected_errors import UnexpectedErrors
from wallwell.cluster.upstream import Peer, UpstreamOrder
from wallwell.errors import PeerUnavailableError
from wallwell.events import Event, emit

REGION_INTERVAL_S = 0.25
"""Seconds between two exchanges of a pair of regions; see ``docs/design/regions.md`` for the traffic."""
REGION_REPLY_TIMEOUT_S = 0.6
"""Seconds to wait for a reply: a round trip of twice 20 ms, and half a second for other data (2 MB) queued on a
link of 30 Mbit/s."""
DELEGATE_TAKEOVER_S = 0.6
"""Seconds without a sum of the other region after which the next delegate takes over: slightly over two intervals.

A sum from the third delegate arrives 1.45 s after the last one from the first, before the loads expire."""


class RegionLoadReporter:
    """Exchanges load sums with other regions while this node is a delegate, and answers their delegates."""

    def __init__(
        self,
        order: UpstreamOrder,
        own_sum: Callable[[], RegionSum | None],
        on_sum: Callable[[RegionSum], None],
        on_region_lost: Callable[[RegionSum], None],
        traffic: RegionTraffic,
    ) -> None:
        """``own_sum`` returns the sum of this node's region, or None while this node is no relay.

        ``on_sum`` is called with each received sum, ``on_region_lost`` with the last sum of a region that has gone
        silent.
        """
        self._order = order
        self._own_sum = own_sum
        self._on_sum = on_sum
        self._on_region_lost = on_region_lost
        self._traffic = traffic
        self._links = PeerLinks()
        self._unexpected_errors = UnexpectedErrors("load sum of a region")
        self._delegate_index: dict[str, int] = {}
        """For each region, the index of the delegate to ask in that region's order."""
        now_s = boot_time_s()
        self._started_s = now_s
        self._forwarded_at_s: dict[str, float] = {}
        """When another relay of this region last forwarded the sum of a region."""
        self._last_sums: dict[str, tuple[RegionSum, float]] = {}
        """The last sum of each region that is not silent, and when it was received."""
        self._lost_regions: set[str] = set()
        self._unforwarded_sums: dict[str, RegionSum] = {}
        """Sums received from other regions and not forwarded yet."""
        self._unreadable_delegates: set[str] = set()
        """Delegates whose sums could not be decoded since the last readable one, so that each is logged once."""

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            await asyncio.sleep(REGION_INTERVAL_S)
            await self.exchange_once(boot_time_s())

    async def exchange_once(self, now_s: float) -> None:
        """Exchange once with each region for which this node is the active delegate."""
        regions = [region for region in self._order.other_regions() if self.is_delegate_to(region, now_s)]
        own = self._own_sum() if regions else None
        if own is None:
            self._links.keep(set())
            return
        message = RegionLoad(pack_region_sum(own))
        await asyncio.gather(*(self._ask_region_or_log(region, message) for region in regions))
        # The last nodes of a region may have left during the exchange.
        remaining = [region for region in regions if self._order.delegates_of(region)]
        self._links.keep({self._delegate_to_ask(region).name for region in remaining})

    def is_delegate_to(self, region: str, now_s: float) -> bool:
        """Return whether this node is the one to send requests to a region now."""
        own_region = self._order.topology.own_region
        if own_region > region:
            return False
        rank = self._order.delegate_rank(now_s)
        silent_s = now_s - self._forwarded_at_s.get(region, self._started_s)
        return rank is not None and silent_s >= rank * DELEGATE_TAKEOVER_S

    def _delegate_to_ask(self, region: str) -> Peer:
        delegates = self._order.delegates_of(region)
        return delegates[self._delegate_index.get(region, 0) % len(delegates)]

    async def _ask_region_or_log(self, region: str, message: RegionLoad) -> None:
        """Exchange with one region; an unexpected error stops neither the others nor the next exchange."""
        try:
            await self._ask_region(region, message)
        except Exception as error:
            self._delegate_index[region] = self._delegate_index.get(region, 0) + 1
            self._unexpected_errors.record(region, error)

    async def _ask_region(self, region: str, message: RegionLoad) -> None:
        """Ask the delegates of a region in turn until one returns a sum or one does not answer."""
        for _ in self._order.delegates_of(region):
            if not self._order.delegates_of(region):
                return
            try:
                received = await self._ask(*self._delegate_to_ask(region), message)
            except PeerUnavailableError:
                # The next delegate is asked in the next exchange. The link logs a silent delegate once.
                self._delegate_index[region] = self._delegate_index.get(region, 0) + 1
                return
            if received is not None:
                self._receive(received)
                return
            self._delegate_index[region] = self._delegate_index.get(region, 0) + 1

    async def _ask(self, name: str, address: Address, message: RegionLoad) -> RegionSum | None:
        """Return a delegate's sum of its region, None if it is no relay. Raises :class:`PeerUnavailableError`."""
        reply = await self._links.to(name, address).ask(message, RegionReply, REGION_REPLY_TIMEOUT_S)
        self._traffic.count_exchange("loads", len(message.packed) + len(reply.packed))
        return self._unpack_reply(reply, name, str(address)) if reply.packed else None

    def _unpack_reply(self, reply: RegionReply, name: str, address: str) -> RegionSum:
        """Return the sum of a reply. If undecodable, logs that once and raises :class:`PeerUnavailableError`."""
        try:
            received = unpack_region_sum(reply.packed, address)
        except PeerUnavailableError as error:
            if name not in self._unreadable_delegates:
                emit(Event.PEER_REPLY_UNREADABLE, peer=address, request="RegionLoad", reason=error.detail)
            self._unreadable_delegates.add(name)
            raise
        self._unreadable_delegates.clear()
        return received

    def _receive(self, received: RegionSum) -> None:
        """Record a sum received from another region, and queue it for the other relays of this region."""
        self._unforwarded_sums[received.region] = received
        self._record_sum(received)

    def _record_sum(self, received: RegionSum) -> None:
        self._last_sums[received.region] = (received, boot_time_s())
        if received.region in self._lost_regions:
            self._lost_regions.discard(received.region)
            emit(Event.REGION_REGAINED, region=received.region)
        self._on_sum(received)

    def forget_silent_regions(self, now_s: float) -> None:
        """Drop and report as lost the regions that have been silent for ``REPORT_LIFETIME_S``."""
        for region, (last, at_s) in list(self._last_sums.items()):
            if now_s - at_s >= REPORT_LIFETIME_S:
                del self._last_sums[region]
                self._lost_regions.add(region)
                emit(Event.REGION_LOST, region=region)
                self._on_region_lost(last)

    def stop_relaying(self) -> None:
        """Drop all received sums because this node is no longer a relay, and so receives none."""
        self._last_sums.clear()
        self._lost_regions.clear()

    # --- requests of peers --------------------------------------------------------------------------------

    async def on_region_load(self, message: RegionLoad) -> RegionReply:
        """Handle another region's sum and return this region's.

        Raises :class:`RequestRefusedError` if the sum cannot be decoded.
        """
        own = self._own_sum()
        if own is None:
            return RegionReply()
        try:
            self._receive(unpack_region_sum(message.packed, "the asking node"))
        except PeerUnavailableError as error:
            raise RequestRefusedError(str(error)) from error
        reply = RegionReply(pack_region_sum(own))
        self._traffic.count_exchange("loads", len(message.packed) + len(reply.packed))
        return reply

    def on_forwarded_sum(self, forwarded: RegionSum) -> None:
        """Handle a sum of another region that another relay of this region has received and forwarded."""
        self._forwarded_at_s[forwarded.region] = boot_time_s()
        self._record_sum(forwarded)

    def pop_sums_to_forward(self) -> tuple[RegionSum, ...]:
        """Return and clear the sums received since the last call."""
        sums, self._unforwarded_sums = tuple(self._unforwarded_sums.values()), {}
        return sums

    def close(self) -> None:
        """Close the connections to peers."""
        self._links.keep(set())
