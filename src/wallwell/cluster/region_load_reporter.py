"""Sums of loads and of what limits were spent, told between regions by one node of each.

The link between two regions is thin and long, so one pair of nodes exchanges for all. The region whose name is
first asks. Its nodes that may speak stand in an order; each of them speaks if none before it was heard to speak for
a while. It asks one node of the other region after the other until one answers that relays for others. Whoever
hears a sum passes it on to the other relays of its region with its next word to them.
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
from wallwell.cluster.upstream import UpstreamOrder
from wallwell.errors import PeerUnavailableError
from wallwell.events import Event, emit

REGION_INTERVAL_S = 0.25
"""Time between two exchanges of a pair of regions, see ``docs/design/regions.md`` for their bytes."""
REGION_ANSWER_TIMEOUT_S = 0.6
"""Twice 20 ms of way, and half a second of what else may stand in the queue of a link of 30 Mbit/s (2 MB)."""
TAKE_OVER_S = 0.6
"""Time without word of the other region after which the next node in the order speaks: two exchanges and a little.

The third in the order is heard 1.45 s after the first was, before loads of the other region are forgotten."""


class RegionLoadReporter:
    """One node's part in the exchange between regions."""

    def __init__(
        self,
        order: UpstreamOrder,
        own_sum: Callable[[], RegionSum | None],
        take: Callable[[RegionSum], None],
        forget: Callable[[RegionSum], None],
        traffic: RegionTraffic,
    ) -> None:
        """``own_sum`` is None while this node relays for nobody.

        ``take`` is called with each sum that is heard, ``forget`` with a region's last one when it has gone silent.
        """
        self._order = order
        self._own_sum = own_sum
        self._take = take
        self._forget = forget
        self._traffic = traffic
        self._links = PeerLinks()
        self._asked: dict[str, int] = {}
        """By region, the place in its order of the node that is asked."""
        now_s = boot_time_s()
        self._started_s = now_s
        self._passed_on_at_s: dict[str, float] = {}
        """When another node of this region last passed on the word of a region."""
        self._received: dict[str, tuple[RegionSum, float]] = {}
        """The last sum of each region that is in touch, and when it came."""
        self._lost: set[str] = set()
        self._fresh: dict[str, RegionSum] = {}

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            await asyncio.sleep(REGION_INTERVAL_S)
            await self.step(boot_time_s())

    async def step(self, now_s: float) -> None:
        """Exchange once with each region for which it is this node's turn."""
        regions = [region for region in self._order.other_regions() if self.is_delegate_to(region, now_s)]
        own = self._own_sum() if regions else None
        if own is None:
            self._links.keep(set())
            return
        message = RegionLoad(pack_region_sum(own))
        await asyncio.gather(*(self._ask_region(region, message) for region in regions))
        # The last nodes of a region may have gone while they were asked.
        left = [region for region in regions if self._order.delegates_of(region)]
        self._links.keep({self._next_asked(region)[0] for region in left})

    def is_delegate_to(self, region: str, now_s: float) -> bool:
        """Whether it is this node that exchanges with a region now."""
        own_region = self._order.topology.own_region
        if own_region > region:
            return False
        place = self._order.delegate_rank(now_s)
        silent_s = now_s - self._passed_on_at_s.get(region, self._started_s)
        return place is not None and silent_s >= place * TAKE_OVER_S

    def _next_asked(self, region: str) -> tuple[str, str]:
        delegates = self._order.delegates_of(region)
        return delegates[self._asked.get(region, 0) % len(delegates)]

    async def _ask_region(self, region: str, message: RegionLoad) -> None:
        """Ask nodes of a region by turns until one knows it, or one does not answer."""
        for _ in self._order.delegates_of(region):
            if not self._order.delegates_of(region):
                return
            try:
                heard = await self._ask(*self._next_asked(region), message)
            except PeerUnavailableError:
                # The next one is asked at the next step. The log names the region once, not each node of it.
                self._asked[region] = self._asked.get(region, 0) + 1
                return
            if heard is not None:
                self._receive(heard)
                return
            self._asked[region] = self._asked.get(region, 0) + 1

    async def _ask(self, name: str, address: str, message: RegionLoad) -> RegionSum | None:
        """Return what a node knows of its region, None if nothing. Raises :class:`PeerUnavailableError`."""
        reply = await self._links.to(name, address).ask(message, RegionReply, REGION_ANSWER_TIMEOUT_S)
        self._traffic.add("loads", len(message.packed) + len(reply.packed))
        return unpack_region_sum(reply.packed, address) if reply.packed else None

    def _receive(self, heard: RegionSum) -> None:
        """Take a sum from the other region, to be passed on."""
        self._fresh[heard.region] = heard
        self._note(heard)

    def _note(self, heard: RegionSum) -> None:
        self._received[heard.region] = (heard, boot_time_s())
        if heard.region in self._lost:
            self._lost.discard(heard.region)
            emit(Event.REGION_REGAINED, region=heard.region)
        self._take(heard)

    def forget_silent_regions(self, now_s: float) -> None:
        """Forget the regions that were not heard for too long."""
        for region, (last, at_s) in list(self._received.items()):
            if now_s - at_s >= REPORT_LIFETIME_S:
                del self._received[region]
                self._lost.add(region)
                emit(Event.REGION_LOST, region=region)
                self._forget(last)

    def stand_down(self) -> None:
        """This node relays for nobody any more, and so hears of no region."""
        self._received.clear()
        self._lost.clear()

    # --- what peers say --------------------------------------------------------------------------------

    async def on_region(self, message: RegionLoad) -> RegionReply:
        """Take another region's sum and return this one's. Raises ValueError if it cannot be read."""
        own = self._own_sum()
        if own is None:
            return RegionReply()
        try:
            self._receive(unpack_region_sum(message.packed, "the asking node"))
        except PeerUnavailableError as error:
            raise ValueError(str(error)) from error
        reply = RegionReply(pack_region_sum(own))
        self._traffic.add("loads", len(message.packed) + len(reply.packed))
        return reply

    def on_passed_on(self, heard: RegionSum) -> None:
        """Another relay of this region has heard a sum."""
        self._passed_on_at_s[heard.region] = boot_time_s()
        self._note(heard)

    def to_pass_on(self) -> tuple[RegionSum, ...]:
        """Return the sums heard since the last call."""
        fresh, self._fresh = tuple(self._fresh.values()), {}
        return fresh

    def close(self) -> None:
        """Close the connections to peers."""
        self._links.keep(set())
