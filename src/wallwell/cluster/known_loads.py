"""What a node knows of the loads, spent limits and crashes of others, and what it reports of them. Pure.

For :mod:`.load_reporter`, which sends and receives the messages. Owns the recent reports of members, of other
relays of the region, and of other regions. Tenants' limits and crashes travel in the same messages; their owners
are called here. Times are seconds on this node's clock.
"""

from __future__ import annotations

from wallwell.cluster.crash_reports import CrashReports
from wallwell.cluster.fleet_load import FleetLoad
from wallwell.cluster.load_messages import MemberLoad, OthersLoad, RegionSum, RelayTotals, ZoneLoad
from wallwell.cluster.load_reports import REPORT_LIFETIME_S, Load, LoadReports, sum_loads


class KnownLoads:
    """One node's knowledge, by the messages that it received."""

    def __init__(self, node: str, load: FleetLoad, crashes: CrashReports) -> None:
        """``load`` is this node's own load and its knowledge of the fleet, ``crashes`` what is reported of
        crashes."""
        self._node = node
        self._load = load
        self._crashes = crashes
        self._members = LoadReports()
        self._relays = LoadReports()
        self._regions = LoadReports()
        self._totals: dict[str, tuple[RelayTotals, float]] = {}
        """What other relays of the region reported last as spent through them, and when."""

    # --- received ----------------------------------------------------------------------------------------

    def on_member(self, message: MemberLoad, now_s: float) -> OthersLoad:
        """Take a member's report and return what all others have in flight."""
        self._members.take(message.node, message.load, now_s)
        self._crashes.receive_from_member(message.crashes, now_s)
        # First, so that what was spent of a limit which is new here is counted.
        self._load.stated_limits.on_reported(message.load.stated_limits, now_s)
        limits = self._load.limits
        limits.on_member_report(message.spent, now_s)
        others = self._members.recent(now_s, without=message.node)
        load = sum_loads((*others, *self._beyond_members(now_s), self._load.own(now_s)))
        return OthersLoad(load, limits.levels(now_s), self._crashes.for_members(now_s))

    def on_relay(self, message: ZoneLoad, now_s: float) -> None:
        """Take the sum of another relay of this region."""
        self._relays.take(message.node, message.load, now_s)
        self._crashes.receive_from_relay(message.crashes, now_s)
        self._load.stated_limits.on_reported(message.load.stated_limits, now_s)
        self._load.limits.on_relay_report(message.node, message.life, message.spent_totals, now_s)
        if message.node not in self._totals:
            # Nodes are replaced under new names, and each has reported all tenants that spend.
            self._totals = {name: known for name, known in self._totals.items() if _is_recent(known[1], now_s)}
        self._totals[message.node] = (RelayTotals(message.node, message.life, message.spent_totals), now_s)

    def on_region(self, received: RegionSum, now_s: float) -> None:
        """Take the sum of another region."""
        self._regions.take(received.region, received.load, now_s)
        self._load.stated_limits.on_reported(received.load.stated_limits, now_s)
        limits = self._load.limits
        for totals in received.relays:
            limits.on_relay_report(totals.relay, totals.life, totals.spent, now_s, is_same_region=False)
        limits.on_region_report(received.region)

    def on_region_lost(self, last: RegionSum, now_s: float) -> None:
        """Another region has been silent for too long; ``last`` is what it reported last."""
        own_nodes = self._of_region(now_s).nodes
        self._load.limits.on_region_lost(last.region, last.load.nodes / own_nodes, now_s)

    # --- reported ----------------------------------------------------------------------------------------

    def others(self, now_s: float) -> Load:
        """Return what all other nodes have in flight, as far as this relay knows."""
        return sum_loads((*self._members.recent(now_s), *self._beyond_members(now_s)))

    def zone_message(self, now_s: float, regions: tuple[RegionSum, ...] = ()) -> ZoneLoad:
        """Return what this relay reports to the others; ``regions`` are sums of other regions to be passed on."""
        limits = self._load.limits
        crashes = self._crashes.for_relays(now_s)
        return ZoneLoad(
            self._node, self._of_zone(now_s), limits.node_incarnation, limits.spent_totals(), regions, crashes
        )

    def region_sum(self, region: str, now_s: float) -> RegionSum:
        """Return what this relay knows of its region, which is called ``region``."""
        limits = self._load.limits
        recent = [totals for totals, at_s in self._totals.values() if _is_recent(at_s, now_s)]
        relays = (RelayTotals(self._node, limits.node_incarnation, limits.spent_totals()), *recent)
        return RegionSum(region, self._of_region(now_s), relays)

    def _of_zone(self, now_s: float) -> Load:
        """Return the load of this node and its members."""
        return sum_loads((*self._members.recent(now_s), self._load.own(now_s)))

    def _of_region(self, now_s: float) -> Load:
        return sum_loads((self._of_zone(now_s), *self._relays.recent(now_s)))

    def _beyond_members(self, now_s: float) -> list[Load]:
        """Return the sums of other relays and regions."""
        return [*self._relays.recent(now_s), *self._regions.recent(now_s)]


def _is_recent(at_s: float, now_s: float) -> bool:
    return now_s - at_s < REPORT_LIFETIME_S
