"""Combines the loads, spent limits and crashes that other nodes report into the reports of this node. Pure.

Used by :mod:`.load_reporter`, which sends and receives the messages. Owns the recent reports of members, of other
relays of the region, and of other regions. The same messages carry tenants' limits and crashes, which are handed to
:class:`FleetLimits` and :class:`CrashReports`. Times are seconds on this node's clock.
"""

from __future__ import annotations

from wallwell.cluster.crash_reports import CrashReports
from wallwell.cluster.fleet_load import FleetLoad
from wallwell.cluster.load_messages import MemberLoad, OthersLoad, RegionSum, RelaySpentTotals, ZoneLoad
from wallwell.cluster.load_reports import REPORT_LIFETIME_S, Load, LoadReports, sum_loads
from wallwell.number_ranges import limit_amounts


class LoadAggregator:
    """The recent load reports that one node has received, and the sums that it reports."""

    def __init__(self, node: str, load: FleetLoad, crashes: CrashReports) -> None:
        """``load`` is this node's own load and its view of the fleet, ``crashes`` has the crashes to report."""
        self._node = node
        self._load = load
        self._crashes = crashes
        self._members = LoadReports()
        self._relays = LoadReports()
        self._regions = LoadReports()
        self._totals: dict[str, tuple[RelaySpentTotals, float]] = {}
        """The last spent totals of each other relay of the region, and when they were received."""

    # --- received ----------------------------------------------------------------------------------------

    def on_member_load(self, message: MemberLoad, now_s: float) -> OthersLoad:
        """Handle a member's report and return the load of all other nodes."""
        self._members.record(message.node, message.load, now_s)
        self._crashes.on_member_report(message.crashes, now_s, message.crash_ages_s)
        # Done first: a limit new to this node must exist before the member's spending of it can be counted.
        self._load.stated_limits.on_peer_report(message.load.stated_limits, now_s)
        limits = self._load.limits
        limits.on_member_report(message.spent, now_s)
        others = self._members.recent(now_s, excluding=message.node)
        load = sum_loads((*others, *self._other_relays_and_regions(now_s), self._load.own_load(now_s)))
        crashes = self._crashes.crashes_for_members(now_s)
        return OthersLoad(load, limit_amounts(limits.levels(now_s)), crashes, self._crashes.ages_s(crashes))

    def on_zone_load(self, message: ZoneLoad, now_s: float) -> None:
        """Handle the sum of another relay of this region."""
        self._relays.record(message.node, message.load, now_s)
        self._crashes.on_relay_report(message.crashes, now_s, message.crash_ages_s)
        self._load.stated_limits.on_peer_report(message.load.stated_limits, now_s)
        self._load.limits.on_relay_report(message.node, message.life, message.spent_totals, now_s)
        if message.node not in self._totals:
            # Nodes are replaced under new names, and an entry lists every tenant that spends: drop old entries.
            self._totals = {name: entry for name, entry in self._totals.items() if _is_recent(entry[1], now_s)}
        self._totals[message.node] = (RelaySpentTotals(message.node, message.life, message.spent_totals), now_s)

    def on_region_report(self, received: RegionSum, now_s: float) -> None:
        """Handle the sum of another region."""
        self._regions.record(received.region, received.load, now_s)
        self._load.stated_limits.on_peer_report(received.load.stated_limits, now_s)
        limits = self._load.limits
        for totals in received.relays:
            limits.on_relay_report(totals.relay, totals.life, totals.spent, now_s, is_same_region=False)
        limits.on_region_report(received.region)

    def on_region_lost(self, last: RegionSum, now_s: float) -> None:
        """Handle the loss of a region that was silent for too long; ``last`` is the last sum that it reported."""
        own_nodes = self._region_load(now_s).nodes
        self._load.limits.on_region_lost(last.region, last.load.nodes / own_nodes, now_s)

    # --- reported ----------------------------------------------------------------------------------------

    def others_load(self, now_s: float) -> Load:
        """Return the load of all other nodes, by the recent reports that this relay has received."""
        return sum_loads((*self._members.recent(now_s), *self._other_relays_and_regions(now_s)))

    def zone_message(self, now_s: float, regions: tuple[RegionSum, ...] = ()) -> ZoneLoad:
        """Return this relay's report to other relays; ``regions`` are sums of other regions to be forwarded."""
        limits = self._load.limits
        crashes = self._crashes.crashes_for_other_relays(now_s)
        spent = limit_amounts(limits.spent_totals())
        return ZoneLoad(
            self._node,
            self._zone_load(now_s),
            limits.node_incarnation,
            spent,
            regions,
            crashes,
            self._crashes.ages_s(crashes),
        )

    def region_sum(self, region: str, now_s: float) -> RegionSum:
        """Return the sum of this relay's own region, whose name is ``region``."""
        limits = self._load.limits
        recent = [totals for totals, at_s in self._totals.values() if _is_recent(at_s, now_s)]
        relays = (
            RelaySpentTotals(self._node, limits.node_incarnation, limit_amounts(limits.spent_totals())),
            *recent,
        )
        return RegionSum(region, self._region_load(now_s), relays)

    def _zone_load(self, now_s: float) -> Load:
        """Return the load of this node and its members."""
        return sum_loads((*self._members.recent(now_s), self._load.own_load(now_s)))

    def _region_load(self, now_s: float) -> Load:
        return sum_loads((self._zone_load(now_s), *self._relays.recent(now_s)))

    def _other_relays_and_regions(self, now_s: float) -> list[Load]:
        """Return the sums of other relays and regions."""
        return [*self._relays.recent(now_s), *self._regions.recent(now_s)]


def _is_recent(at_s: float, now_s: float) -> bool:
    return now_s - at_s < REPORT_LIFETIME_S
