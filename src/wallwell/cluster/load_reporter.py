"""Reports what this node has in flight to other nodes, and receives the same of all of them from one or a few.

For the bound beyond which a back end is passed over, the choice among back ends and tenants' limits, which count
what the whole fleet does. A member of a zone reports to the node that it follows the store through; relays
exchange the sums of their members. Within a region every node is known after 0.05 to 0.2 s; between regions
:mod:`.region_load_reporter` exchanges sums at the interval that the link between them allows.

Owns the exchange within the region. Relies on :mod:`.upstream` for who reports to whom, and on :mod:`.known_loads`
for what is known and reported.
"""

from __future__ import annotations

import asyncio

from wallwell.clock import boot_time_s
from wallwell.cluster.crash_reports import CrashReports
from wallwell.cluster.fleet_load import FleetLoad
from wallwell.cluster.known_loads import KnownLoads
from wallwell.cluster.load_messages import MemberLoad, OthersLoad, RegionSum, ZoneLoad
from wallwell.cluster.load_reports import REPORT_LIFETIME_S, Load
from wallwell.cluster.peer_link import PeerLinks
from wallwell.cluster.region_load_reporter import RegionLoadReporter
from wallwell.cluster.region_traffic import RegionTraffic
from wallwell.cluster.upstream import Peer, UpstreamOrder
from wallwell.errors import PeerUnavailableError

INTERVAL_S = 0.05
"""Seconds between two reports of a member; between those of a relay for each other relay, so that bytes between
zones grow with the zones and not with their square.

What nodes know of each other's load is one to three times as old, and long prompts that meet at an engine unseen
delay each other."""
THIN_LINK_INTERVAL_S = 0.25
"""The same where the node that is reported to has a thin link: it answers 40 members with 2 KB each, which is 2.6
Mbit/s at this interval and 13 at the other."""
THIN_LINK_MBPS = 50.0
"""Links below this are thin, in Mbit/s: the answers at the short interval take a quarter."""
ANSWER_TIMEOUT_S = 0.3
"""Seconds within which a peer of the region answers, 1 ms away: what its processor or a thin link may take."""


class LoadReporter:
    """One node's part: reports to its relay as a member, or exchanges sums with other relays if it is one."""

    def __init__(
        self,
        node: str,
        load: FleetLoad,
        order: UpstreamOrder,
        traffic: RegionTraffic | None = None,
        crashes: CrashReports | None = None,
    ) -> None:
        self._node = node
        self._crashes = crashes or CrashReports(tuple, lambda crash: None)
        self._load = load
        self._order = order
        self._known = KnownLoads(node, load, self._crashes)
        self.between_regions = RegionLoadReporter(
            order, self._region_sum, self._on_region, self._on_region_lost, traffic or RegionTraffic()
        )
        self._links = PeerLinks()
        self._received_at_s = float("-inf")
        """When this node last learned the load of others."""

    async def run(self) -> None:
        """Exchange within the region until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s(boot_time_s()))
            await self.step()

    def _interval_s(self, now_s: float) -> float:
        """Return how long to wait for the next exchange, by the link of the node whose answers fill it."""
        candidates = self._order.followed_in_zone(now_s)
        relay = self._order.members.get(candidates[0].name if candidates else self._node)
        is_thin = relay is not None and 0 < relay.link_mbps < THIN_LINK_MBPS
        interval_s = THIN_LINK_INTERVAL_S if is_thin else INTERVAL_S
        return interval_s if candidates else interval_s * max(1, len(self._order.relays(now_s)))

    async def step(self) -> None:
        """Exchange once, and take what other nodes have in flight."""
        now_s = boot_time_s()
        candidates = self._order.followed_in_zone(now_s)
        if candidates:
            self.between_regions.stand_down()
            await self._report_to(candidates[0])
        else:
            await self._exchange_with(self._order.relays(now_s))
        if boot_time_s() - self._received_at_s >= REPORT_LIFETIME_S:
            self._load.forget(self._order.fleet_size())

    # --- as a member -------------------------------------------------------------------------------------

    async def _report_to(self, relay: Peer) -> None:
        self._links.keep({relay.name})
        reply = await self._send_report(relay)
        if reply is None:
            return
        now_s = boot_time_s()
        self._learn(reply.load)
        self._load.limits.on_levels_report(reply.levels, now_s)
        self._crashes.receive_from_relay(reply.crashes, now_s)

    async def _send_report(self, relay: Peer) -> OthersLoad | None:
        """Report to the relay and return its reply, None if there is none: what was spent is then reported
        again."""
        limits = self._load.limits
        message = MemberLoad(
            self._node, self._load.own(boot_time_s()), limits.begin_report(), self._crashes.for_relay()
        )
        taken = False
        try:
            reply = await self._links.to(relay.name, relay.address).ask(message, OthersLoad, ANSWER_TIMEOUT_S)
            taken = True
            return reply
        except PeerUnavailableError:
            # The link has logged it. Whether the relay is passed over is decided by the rows that come from it.
            return None
        finally:
            limits.end_report(taken)

    # --- as a relay --------------------------------------------------------------------------------------

    async def _exchange_with(self, relays: list[Peer]) -> None:
        self._links.keep({relay.name for relay in relays})
        message = self._known.zone_message(boot_time_s(), self.between_regions.to_pass_on())
        await asyncio.gather(*(self._exchange_sums(relay, message) for relay in relays))
        now_s = boot_time_s()
        self.between_regions.forget_silent_regions(now_s)
        self._learn(self._known.others(now_s))

    async def _exchange_sums(self, relay: Peer, message: ZoneLoad) -> None:
        try:
            reply = await self._links.to(relay.name, relay.address).ask(message, ZoneLoad, ANSWER_TIMEOUT_S)
        except PeerUnavailableError:
            self._order.on_failure(relay.name, boot_time_s())  # The link has logged it.
            return
        self._order.on_success(relay.name)
        self._on_relay(reply)

    def _on_relay(self, message: ZoneLoad) -> None:
        self._known.on_relay(message, boot_time_s())
        for region_sum in message.regions:
            self.between_regions.on_passed_on(region_sum)

    def _region_sum(self) -> RegionSum | None:
        """Return what this node knows of its region; None if it relays for nobody."""
        now_s = boot_time_s()
        if self._order.followed_in_zone(now_s) or not self._order.fleet_size():
            return None
        return self._known.region_sum(self._order.topology.own_region, now_s)

    def _on_region(self, received: RegionSum) -> None:
        self._known.on_region(received, boot_time_s())

    def _on_region_lost(self, last: RegionSum) -> None:
        self._known.on_region_lost(last, boot_time_s())

    def _learn(self, load: Load) -> None:
        self._received_at_s = boot_time_s()
        self._load.learn(load, self._order.fleet_size(), self._received_at_s)

    # --- requests of peers -------------------------------------------------------------------------------

    async def on_member(self, message: MemberLoad) -> OthersLoad:
        """Take a member's report and return what all others have in flight."""
        return self._known.on_member(message, boot_time_s())

    async def on_zone(self, message: ZoneLoad) -> ZoneLoad:
        """Take another relay's sum and return this one's; a relay that asks works, so its pause ends."""
        self._order.on_success(message.node)
        self._on_relay(message)
        return self._known.zone_message(boot_time_s())

    def close(self) -> None:
        """Close the connections to peers."""
        self._links.keep(set())
        self.between_regions.close()
