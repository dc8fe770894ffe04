"""Reports this node's load to other nodes, and receives the load of all other nodes from one or a few of them.

The choice among back ends, the load beyond which a back end is passed over, and tenants' limits all depend on the
load of the whole fleet. A member of a zone reports to the relay through which it follows the store; relays exchange
the sums of their members. A change of load reaches every node of the region after 0.05 to 0.2 s. Between regions,
:mod:`.region_load_reporter` exchanges sums at the interval that the link between them allows.

Owns the exchange within the region. Relies on :mod:`.upstream` for which node reports to which, and on
:mod:`.load_aggregator` for the contents of the reports.
"""

from __future__ import annotations

import asyncio

from wallwell.clock import boot_time_s
from wallwell.cluster.crash_reports import CrashReports
from wallwell.cluster.fleet_load import FleetLoad
from wallwell.cluster.load_aggregator import LoadAggregator
from wallwell.cluster.load_messages import MemberLoad, OthersLoad, RegionSum, ZoneLoad
from wallwell.cluster.load_reports import REPORT_LIFETIME_S, Load
from wallwell.cluster.peer_link import PeerLinks
from wallwell.cluster.region_load_reporter import RegionLoadReporter
from wallwell.cluster.region_traffic import RegionTraffic
from wallwell.cluster.unexpected_errors import UnexpectedErrors
from wallwell.cluster.upstream import Peer, UpstreamOrder
from wallwell.errors import PeerUnavailableError
from wallwell.number_ranges import limit_amounts

LOAD_REPORT_INTERVAL_S = 0.05
"""Seconds between two reports of a member. A relay waits this long per other relay, so that traffic between
zones grows linearly with the number of zones, not with its square.

The loads that nodes know of each other are one to three intervals old; until then, several nodes may send long
prompts to the same engine, which delay each other."""
LOW_BANDWIDTH_INTERVAL_S = 0.25
"""The same interval where the relay has a low-bandwidth link: it answers 40 members with 2 KB each, which takes
2.6 Mbit/s at this interval and 13 Mbit/s at the shorter one."""
LOW_BANDWIDTH_MBPS = 50.0
"""Links below this many Mbit/s are low-bandwidth: answers at the short interval take a quarter of 50 Mbit/s."""
LOAD_REPORT_TIMEOUT_S = 0.3
"""Seconds to wait for a reply of a peer in the region, 1 ms away: time for a busy processor or a slow link."""


class LoadReporter:
    """Reports one node's load: as a member to its relay, or as a relay in an exchange of sums with other relays."""

    def __init__(
        self,
        node: str,
        load: FleetLoad,
        order: UpstreamOrder,
        traffic: RegionTraffic | None = None,
        crashes: CrashReports | None = None,
    ) -> None:
        self._node = node
        self._crashes = crashes or CrashReports(tuple, lambda crash, age_s: None)
        self._load = load
        self._order = order
        self._aggregator = LoadAggregator(node, load, self._crashes)
        self.region_reporter = RegionLoadReporter(
            order, self._own_region_sum, self._on_region_report, self._on_region_lost, traffic or RegionTraffic()
        )
        self._links = PeerLinks()
        self._unexpected_errors = UnexpectedErrors("load report of a peer")
        self._peers_load_received_at_s = float("-inf")
        """When this node last received the load of other nodes."""

    async def run(self) -> None:
        """Exchange within the region until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s(boot_time_s()))
            await self.exchange_once()

    def _interval_s(self, now_s: float) -> float:
        """Return the seconds until the next exchange, by the bandwidth of the answering relay's link."""
        candidates = self._order.followed_peers_in_zone(now_s)
        relay = self._order.members.get(candidates[0].name if candidates else self._node)
        is_low_bandwidth = relay is not None and 0 < relay.link_mbps < LOW_BANDWIDTH_MBPS
        interval_s = LOW_BANDWIDTH_INTERVAL_S if is_low_bandwidth else LOAD_REPORT_INTERVAL_S
        return interval_s if candidates else interval_s * max(1, len(self._order.other_relays(now_s)))

    async def exchange_once(self) -> None:
        """Exchange loads once, and apply the load of the other nodes that was received."""
        now_s = boot_time_s()
        candidates = self._order.followed_peers_in_zone(now_s)
        if candidates:
            self.region_reporter.stop_relaying()
            await self._report_to(candidates[0])
        else:
            await self._exchange_with(self._order.other_relays(now_s))
        if boot_time_s() - self._peers_load_received_at_s >= REPORT_LIFETIME_S:
            self._load.forget_peers(self._order.node_count())

    # --- as a member -------------------------------------------------------------------------------------

    async def _report_to(self, relay: Peer) -> None:
        self._links.keep({relay.name})
        reply = await self._send_report(relay)
        if reply is None:
            return
        now_s = boot_time_s()
        self._update_from_peers(reply.load)
        self._load.limits.on_levels_report(reply.levels, now_s)
        self._crashes.on_relay_report(reply.crashes, now_s, reply.crash_ages_s)

    async def _send_report(self, relay: Peer) -> OthersLoad | None:
        """Report to the relay; return its reply, or None without one: the spending is then reported again."""
        limits = self._load.limits
        crashes = self._crashes.crashes_for_own_relay()
        message = MemberLoad(
            self._node,
            self._load.own_load(boot_time_s()),
            limit_amounts(limits.begin_report()),
            crashes,
            self._crashes.ages_s(crashes),
        )
        was_received = False
        try:
            reply = await self._links.to(relay.name, relay.address).ask(message, OthersLoad, LOAD_REPORT_TIMEOUT_S)
            was_received = True
            return reply
        except PeerUnavailableError:
            # The link has logged the failure. Only failures to relay rows decide whether the relay is passed over.
            return None
        finally:
            limits.end_report(was_received)

    # --- as a relay --------------------------------------------------------------------------------------

    async def _exchange_with(self, relays: list[Peer]) -> None:
        self._links.keep({relay.name for relay in relays})
        message = self._aggregator.zone_message(boot_time_s(), self.region_reporter.pop_sums_to_forward())
        await asyncio.gather(*(self._exchange_or_log(relay, message) for relay in relays))
        now_s = boot_time_s()
        self.region_reporter.forget_silent_regions(now_s)
        self._update_from_peers(self._aggregator.others_load(now_s))

    async def _exchange_or_log(self, relay: Peer, message: ZoneLoad) -> None:
        """Exchange sums with one relay; an unexpected error stops neither the others nor the reports to come."""
        try:
            await self._exchange_sums(relay, message)
        except Exception as error:
            self._order.on_failure(relay.name, boot_time_s())
            self._unexpected_errors.record(relay.name, error)

    async def _exchange_sums(self, relay: Peer, message: ZoneLoad) -> None:
        try:
            reply = await self._links.to(relay.name, relay.address).ask(message, ZoneLoad, LOAD_REPORT_TIMEOUT_S)
        except PeerUnavailableError:
            self._order.on_failure(relay.name, boot_time_s())  # The link has logged the failure.
            return
        self._order.on_success(relay.name)
        self._on_zone_load(reply)

    def _on_zone_load(self, message: ZoneLoad) -> None:
        self._aggregator.on_zone_load(message, boot_time_s())
        for region_sum in message.regions:
            self.region_reporter.on_forwarded_sum(region_sum)

    def _own_region_sum(self) -> RegionSum | None:
        """Return the sum of this node's region; None if the node is no relay."""
        now_s = boot_time_s()
        if self._order.followed_peers_in_zone(now_s) or not self._order.node_count():
            return None
        return self._aggregator.region_sum(self._order.topology.own_region, now_s)

    def _on_region_report(self, received: RegionSum) -> None:
        self._aggregator.on_region_report(received, boot_time_s())

    def _on_region_lost(self, last: RegionSum) -> None:
        self._aggregator.on_region_lost(last, boot_time_s())

    def _update_from_peers(self, load: Load) -> None:
        self._peers_load_received_at_s = boot_time_s()
        self._load.update_from_peers(load, self._order.node_count(), self._peers_load_received_at_s)

    # --- requests of peers -------------------------------------------------------------------------------

    async def on_member_load(self, message: MemberLoad) -> OthersLoad:
        """Handle a member's report and return the load of all other nodes."""
        return self._aggregator.on_member_load(message, boot_time_s())

    async def on_zone_load(self, message: ZoneLoad) -> ZoneLoad:
        """Handle another relay's sum and return this one's. The other relay works, so its pause ends."""
        self._order.on_success(message.node)
        self._on_zone_load(message)
        return self._aggregator.zone_message(boot_time_s())

    def close(self) -> None:
        """Close the connections to peers."""
        self._links.keep(set())
        self.region_reporter.close()
