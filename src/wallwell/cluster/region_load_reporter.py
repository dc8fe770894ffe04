"""Sums of loads and of what limits were spent, reported between regions by one node of each.

The link between two regions is thin and long, so one pair of nodes exchanges for all. The region whose name is
first asks. Its delegates stand in an order; each of them exchanges if none before it has passed on a sum of the
other region for a while. It asks one delegate of the other region after the other until one answers that relays
for others. Whoever receives a sum passes it on to the other relays of its region with its next report to them.

Owns which delegate exchanges and is asked, and which regions are silent. Relies on :mod:`.upstream` for the order
of delegates, and on :mod:`.load_reporter` for the sums.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wallwell.clock import boot_time_s
from wallwell.cluster.load_messages import (
    RegionLoad,
    RegionReply,
    RegionSum,
    pack_region_sum,
    unpack_region_sum,
)
from wallwell.cluster.load_reports import REPORT_LIFETIME_S
from wallwell.cluster.peer_link import PeerLinks
from wallwell.cluster.region_traffic import RegionTraffic
from wallwell.cluster.upstream import Peer, UpstreamOrder
from wallwell.errors import PeerUnavailableError
from wallwell.events import Event, emit

REGION_INTERVAL_S = 0.25
"""Seconds between two exchanges of a pair of regions, see ``docs/design/regions.md`` for their bytes."""
REGION_REPLY_TIMEOUT_S = 0.6
"""Seconds for an answer: twice 20 ms of way, and half a second of what else may stand in the queue of a link of
30 Mbit/s (2 MB)."""
DELEGATE_TAKEOVER_S = 0.6
"""Seconds without a sum of the other region after which the next delegate exchanges: two exchanges and a little.

The third in the order is heard 1.45 s after the first was, before loads of the other region are forgotten."""


class RegionLoadReporter:
    """One node's part in the exchange between regions."""

    def __init__(
        self,
        order: UpstreamOrder,
        own_sum: Callable[[], RegionSum | None],
        on_sum: Callable[[RegionSum], None],
        on_region_lost: Callable[[RegionSum], None],
        traffic: RegionTraffic,
    ) -> None:
        """``own_sum`` is None while this node relays for nobody.

        ``on_sum`` is called with each sum that is received, ``on_region_lost`` with a region's last one when it
        has gone silent.
        """
        self._order = order
        self._own_sum = own_sum
        self._on_sum = on_sum
        self._on_region_lost = on_region_lost
        self._traffic = traffic
        self._links = PeerLinks()
        self._delegate_index: dict[str, int] = {}
        """By region, the rank in its order of the delegate that is asked."""
        now_s = boot_time_s()
        self._started_s = now_s
        self._forwarded_at_s: dict[str, float] = {}
        """When another node of this region last passed on the sum of a region."""
        self._last_sums: dict[str, tuple[RegionSum, float]] = {}
        """The last sum of each region that is not silent, and when it came."""
        self._lost_regions: set[str] = set()
        self._unforwarded_sums: dict[str, RegionSum] = {}
        """Sums received and not passed on yet."""
        self._unreadable_delegates: set[str] = set()
        """Delegates whose sums could not be decoded since one could, so that each is logged once."""

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            await asyncio.sleep(REGION_INTERVAL_S)
            await self.exchange_once(boot_time_s())

    async def exchange_once(self, now_s: float) -> None:
        """Exchange once with each region for which this node is the delegate."""
        regions = [region for region in self._order.other_regions() if self.is_delegate_to(region, now_s)]
        own = self._own_sum() if regions else None
        if own is None:
            self._links.keep(set())
            return
        message = RegionLoad(pack_region_sum(own))
        await asyncio.gather(*(self._ask_region(region, message) for region in regions))
        # The last nodes of a region may have gone while they were asked.
        remaining = [region for region in regions if self._order.delegates_of(region)]
        self._links.keep({self._delegate_to_ask(region).name for region in remaining})

    def is_delegate_to(self, region: str, now_s: float) -> bool:
        """Whether it is this node that exchanges with a region now."""
        own_region = self._order.topology.own_region
        if own_region > region:
            return False
        rank = self._order.delegate_rank(now_s)
        silent_s = now_s - self._forwarded_at_s.get(region, self._started_s)
        return rank is not None and silent_s >= rank * DELEGATE_TAKEOVER_S

    def _delegate_to_ask(self, region: str) -> Peer:
        delegates = self._order.delegates_of(region)
        return delegates[self._delegate_index.get(region, 0) % len(delegates)]

    async def _ask_region(self, region: str, message: RegionLoad) -> None:
        """Ask delegates of a region one after the other until one knows it, or one does not answer."""
        for _ in self._order.delegates_of(region):
            if not self._order.delegates_of(region):
                return
            try:
                received = await self._ask(*self._delegate_to_ask(region), message)
            except PeerUnavailableError:
                # The next one is asked at the next step. The link logs a delegate that is silent, once.
                self._delegate_index[region] = self._delegate_index.get(region, 0) + 1
                return
            if received is not None:
                self._receive(received)
                return
            self._delegate_index[region] = self._delegate_index.get(region, 0) + 1

    async def _ask(self, name: str, address: str, message: RegionLoad) -> RegionSum | None:
        """Return what a node knows of its region, None if nothing. Raises :class:`PeerUnavailableError`."""
        reply = await self._links.to(name, address).ask(message, RegionReply, REGION_REPLY_TIMEOUT_S)
        self._traffic.count_exchange("loads", len(message.packed) + len(reply.packed))
        return self._unpack_reply(reply, name, address) if reply.packed else None

    def _unpack_reply(self, reply: RegionReply, name: str, address: str) -> RegionSum:
        """Return the sum of a reply. Raises :class:`PeerUnavailableError` if it cannot be decoded, and logs that
        once."""
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
        """Take a sum from the other region, to be passed on."""
        self._unforwarded_sums[received.region] = received
        self._record_sum(received)

    def _record_sum(self, received: RegionSum) -> None:
        self._last_sums[received.region] = (received, boot_time_s())
        if received.region in self._lost_regions:
            self._lost_regions.discard(received.region)
            emit(Event.REGION_REGAINED, region=received.region)
        self._on_sum(received)

    def forget_silent_regions(self, now_s: float) -> None:
        """Forget the regions that have been silent for too long."""
        for region, (last, at_s) in list(self._last_sums.items()):
            if now_s - at_s >= REPORT_LIFETIME_S:
                del self._last_sums[region]
                self._lost_regions.add(region)
                emit(Event.REGION_LOST, region=region)
                self._on_region_lost(last)

    def stop_relaying(self) -> None:
        """This node relays for nobody any more, and so receives sums of no region."""
        self._last_sums.clear()
        self._lost_regions.clear()

    # --- requests of peers --------------------------------------------------------------------------------

    async def on_region_load(self, message: RegionLoad) -> RegionReply:
        """Take another region's sum and return this one's. Raises ValueError if it cannot be read."""
        own = self._own_sum()
        if own is None:
            return RegionReply()
        try:
            self._receive(unpack_region_sum(message.packed, "the asking node"))
        except PeerUnavailableError as error:
            raise ValueError(str(error)) from error
        reply = RegionReply(pack_region_sum(own))
        self._traffic.count_exchange("loads", len(message.packed) + len(reply.packed))
        return reply

    def on_forwarded_sum(self, forwarded: RegionSum) -> None:
        """Take a sum that another relay of this region has received."""
        self._forwarded_at_s[forwarded.region] = boot_time_s()
        self._record_sum(forwarded)

    def pop_sums_to_forward(self) -> tuple[RegionSum, ...]:
        """Return the sums received since the last call."""
        sums, self._unforwarded_sums = tuple(self._unforwarded_sums.values()), {}
        return sums

    def close(self) -> None:
        """Close the connections to peers."""
        self._links.keep(set())
