"""Tells other nodes what this one has under way, and learns the same of all of them from one or a few.

Within a region every member is heard within a tenth of a second; between regions sums are told by
:mod:`wallwell.cluster.region_load_reporter` at the pace that their link allows.
"""

from __future__ import annotations

import asyncio

from wallwell.clock import boot_time_s
from wallwell.cluster.crash_reports import CrashReports
from wallwell.cluster.fleet_load import FleetLoad
from wallwell.cluster.load_messages import MemberLoad, OthersLoad, RegionSum, RelayTotals, ZoneLoad
from wallwell.cluster.load_reports import REPORT_LIFETIME_S, Load, LoadReports, sum_loads
from wallwell.cluster.peer_link import PeerLinks
from wallwell.cluster.region_load_reporter import RegionLoadReporter
from wallwell.cluster.region_traffic import RegionTraffic
from wallwell.cluster.upstream import UpstreamOrder
from wallwell.errors import PeerUnavailableError

INTERVAL_S = 0.05
"""Time between two reports of a member; between those of a relay for each other relay, so that bytes between zones
grow with the zones and not with their square.

What nodes know of each other's load is one to three times as old, and long prompts that meet at an engine unseen
make each other late. With 79 nodes before 45 engines, 87 in 100 of a day's worth were served at 0.25 s, 91 at 0.1 s
and 92 at 0.05 s."""
THIN_LINK_INTERVAL_S = 0.25
"""The same where the node that is reported to has a thin link: it answers 40 members with 2 KB each."""
THIN_LINK_MBPS = 50.0
ANSWER_TIMEOUT_S = 0.3
"""Time within which a peer of the region answers, 1 ms away: what its processor or a thin link may take."""


class LoadReporter:
    """One node's part: reports upwards as a member, or exchanges sums with its like if members report to it."""

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
        self._members = LoadReports()
        self._zones = LoadReports()
        self._regions = LoadReports()
        self._totals: dict[str, tuple[RelayTotals, float]] = {}
        """What other relays of the region told last, and when."""
        self.between_regions = RegionLoadReporter(
            order, self._region_sum, self._take_region, self._forget_region, traffic or RegionTraffic()
        )
        self._links = PeerLinks()
        self._heard_at_s = float("-inf")

    async def run(self) -> None:
        """Exchange within the region until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s(boot_time_s()))
            await self.step()

    def _interval_s(self, now_s: float) -> float:
        """Return how long to wait for the next exchange, by the link of the node whose answers fill it."""
        candidates = self._order.in_zone(now_s)
        relay = self._order.members.get(candidates[0][0] if candidates else self._node)
        is_thin = relay is not None and 0 < relay.link_mbps < THIN_LINK_MBPS
        interval_s = THIN_LINK_INTERVAL_S if is_thin else INTERVAL_S
        return interval_s if candidates else interval_s * max(1, len(self._order.relays(now_s)))

    async def step(self) -> None:
        """Exchange once, and give the back ends what their load from other nodes is."""
        now_s = boot_time_s()
        candidates = self._order.in_zone(now_s)
        if candidates:
            self.between_regions.stand_down()
            await self._report_to(*candidates[0])
        else:
            await self._exchange_with(self._order.relays(now_s))
        if boot_time_s() - self._heard_at_s >= REPORT_LIFETIME_S:
            self._load.forget(self._order.fleet_size())

    async def _report_to(self, name: str, address: str) -> None:
        self._links.keep({name})
        limits = self._load.limits
        message = MemberLoad(self._node, self._own_load(), limits.begin_report(), self._crashes.for_relay())
        taken = False
        try:
            reply = await self._links.to(name, address).ask(message, OthersLoad, ANSWER_TIMEOUT_S)
            taken = True
        except PeerUnavailableError:
            return  # The rows that come the same way decide whether the peer is passed over.
        finally:
            limits.end_report(taken)
        self._learn(reply.load)
        limits.learn_levels(reply.levels, boot_time_s())
        self._crashes.hear_relay(reply.crashes, boot_time_s())

    async def _exchange_with(self, relays: list[tuple[str, str]]) -> None:
        self._links.keep({name for name, _ in relays})
        message = self._zone_message(self.between_regions.to_pass_on())
        await asyncio.gather(*(self._exchange_sums(name, address, message) for name, address in relays))
        now_s = boot_time_s()
        self.between_regions.notice_silence(now_s)
        members, others = self._members.recent(now_s), self._of_other_zones(now_s)
        self._learn(sum_loads((*members, *others)))

    def _of_other_zones(self, now_s: float) -> list[Load]:
        return [*self._zones.recent(now_s), *self._regions.recent(now_s)]

    async def _exchange_sums(self, name: str, address: str, message: ZoneLoad) -> None:
        try:
            reply = await self._links.to(name, address).ask(message, ZoneLoad, ANSWER_TIMEOUT_S)
        except PeerUnavailableError:
            self._order.on_failure(name, boot_time_s())
            return
        self._order.on_success(name)
        self._take_zone(reply)

    def _own_load(self) -> Load:
        return self._load.own(boot_time_s())

    def _zone_load(self) -> Load:
        return sum_loads((*self._members.recent(boot_time_s()), self._own_load()))

    def _zone_message(self, regions: tuple[RegionSum, ...] = ()) -> ZoneLoad:
        limits = self._load.limits
        crashes = self._crashes.for_relays(boot_time_s())
        return ZoneLoad(self._node, self._zone_load(), limits.life, limits.spent_totals(), regions, crashes)

    def _take_zone(self, message: ZoneLoad) -> None:
        now_s = boot_time_s()
        self._zones.take(message.node, message.load, now_s)
        self._crashes.hear_relay(message.crashes, now_s)
        self._load.limits.take_relay(message.node, message.life, message.spent_totals, now_s)
        if message.node not in self._totals:
            # Nodes are replaced under new names, and each told all tenants that spend.
            self._totals = {
                name: told for name, told in self._totals.items() if now_s - told[1] < REPORT_LIFETIME_S
            }
        self._totals[message.node] = (RelayTotals(message.node, message.life, message.spent_totals), now_s)
        for region_sum in message.regions:
            self.between_regions.on_passed_on(region_sum)

    def _region_sum(self) -> RegionSum | None:
        """Return what this node knows of its region; None if it relays for nobody."""
        now_s = boot_time_s()
        if self._order.in_zone(now_s) or not self._order.fleet_size():
            return None
        limits = self._load.limits
        recent = [totals for totals, at_s in self._totals.values() if now_s - at_s < REPORT_LIFETIME_S]
        relays = (RelayTotals(self._node, limits.life, limits.spent_totals()), *recent)
        load = sum_loads((self._zone_load(), *self._zones.recent(now_s)))
        return RegionSum(self._order.places.own_region, load, relays)

    def _take_region(self, heard: RegionSum) -> None:
        now_s = boot_time_s()
        self._regions.take(heard.region, heard.load, now_s)
        for totals in heard.relays:
            self._load.limits.take_relay(totals.relay, totals.life, totals.spent, now_s, is_near=False)
        self._load.limits.on_region_heard(heard.region)

    def _forget_region(self, last: RegionSum) -> None:
        now_s = boot_time_s()
        own_nodes = sum_loads((self._zone_load(), *self._zones.recent(now_s))).nodes
        self._load.limits.on_region_lost(last.region, last.load.nodes / own_nodes, now_s)

    def _learn(self, load: Load) -> None:
        self._heard_at_s = boot_time_s()
        self._load.learn(load, self._order.fleet_size())

    # --- what peers say --------------------------------------------------------------------------------

    async def on_member(self, message: MemberLoad) -> OthersLoad:
        """Take a member's report and return what all others have under way."""
        now_s = boot_time_s()
        self._members.take(message.node, message.load, now_s)
        self._crashes.hear_member(message.crashes, now_s)
        limits = self._load.limits
        limits.take_member(message.spent, now_s)
        others = self._members.recent(now_s, without=message.node)
        load = sum_loads((*others, *self._of_other_zones(now_s), self._own_load()))
        return OthersLoad(load, limits.levels(now_s), self._crashes.for_members(now_s))

    async def on_zone(self, message: ZoneLoad) -> ZoneLoad:
        """Take another relay's sum and return this one's; a relay that asks is there, whatever was seen of it."""
        self._order.on_success(message.node)
        self._take_zone(message)
        return self._zone_message()

    def close(self) -> None:
        """Close the connections to peers."""
        self._links.keep(set())
        self.between_regions.close()
