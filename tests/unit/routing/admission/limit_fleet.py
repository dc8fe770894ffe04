"""Simulates in virtual time a fleet whose nodes enforce a tenant's limit together, and the callers' requests.

The limits of each node are the product's own :class:`FleetLimits`. Their reports follow the same paths as in
:mod:`wallwell.cluster.load_reporter`: members report to their zone's relay four times a second, and relays report
their sums to each other. Between regions, one pair of relays exchanges the sums of the regions over a link with a
delay, which may be cut or lose exchanges, as in :mod:`wallwell.cluster.region_load_reporter`.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field

from wallwell.cluster.load_reports import REPORT_LIFETIME_S, Load, sum_loads
from wallwell.cluster.region_load_reporter import REGION_INTERVAL_S
from wallwell.deployment.routes import TenantLimit
from wallwell.routing.admission.fleet_limits import Admitted, FleetLimits

REPORT_INTERVAL_S = 0.25
FORWARDING_DELAY_S = 0.1
"""Seconds until a relay has forwarded another region's report to the other relays of its region."""
TENANT = "t"
OVERRUN_WINDOW_S = 8.0
ALLOWED_OVERRUN = 0.1
ALLOWED_EXTRA_TOKENS = 110_000
NORMAL_DEMAND_FRACTION = 1 / 1.8
"""Normal demand of a tenant as a fraction of its limit."""


@dataclass
class Node:
    """One node; while ``is_unreachable`` is set, it is cut off from all others."""

    name: str
    zone: int
    limits: FleetLimits
    first_report_s: float
    is_unreachable: bool = False
    is_down: bool = False
    last_contact_s: float = float("-inf")
    members: dict[str, tuple[Load, float]] = field(default_factory=dict)
    regions: dict[int, tuple[int, float]] = field(default_factory=dict)
    """By connected other region: its number of nodes and the time of its last report."""

    def recent_loads(self, now_s, excluded=""):
        items = self.members.items()
        return [load for name, (load, at_s) in items if name != excluded and now_s - at_s < REPORT_LIFETIME_S]


class LimitFleet:
    """Sends requests to the fleet and records which of them it admits."""

    def __init__(self, seed, nodes=79, zones=3, limit=None, limits_type=FleetLimits, mean_tokens=None, regions=1):
        self.rng = random.Random(seed)
        self.limit = limit or TenantLimit(307_096, 307_096, counts_tokens=True)
        self._limits_type = limits_type
        self.nodes = [
            Node(f"n{index}", index % zones, None, self.rng.random() * REPORT_INTERVAL_S) for index in range(nodes)
        ]
        for node in self.nodes:
            self.start(node)
        self.zones = zones
        self.regions = regions
        self.link_delay_s = 0.02
        self.is_link_cut = False
        self.link_lost_fraction = 0.0
        self.link_rng = random.Random(seed)
        self.demand_factor = lambda now_s: 1.0
        self.choose_node = lambda now_s: self.rng.choice([node for node in self.nodes if not node.is_down])
        self.requests: list[tuple[float, int, bool]] = []
        self._events = []
        self._order = 0

    def start(self, node):
        """Start a node, or restart it without any of its former state."""
        node.limits = self._limits_type(random.Random(self.rng.random()))
        node.limits.set_limits({TENANT: self.limit})
        node.limits.forget_fleet_report(len(self.nodes))
        node.members, node.regions = {}, {}
        node.is_down = False

    def change_limit(self, limit, nodes):
        """Set another limit at some nodes."""
        self.limit = limit
        for node in nodes:
            node.limits.set_limits({TENANT: limit})

    def schedule(self, at_s, action):
        heapq.heappush(self._events, (at_s, self._order, action))
        self._order += 1

    def run(self, seconds):
        for node in self.nodes:
            self.schedule(node.first_report_s, lambda now_s, node=node: self._exchange_reports(node, now_s))
        self.schedule(0.0, self._send_request)
        if self.regions > 1:
            self.schedule(0.1, self._exchange_between_regions)
        while self._events and self._events[0][0] < seconds:
            now_s, _, action = heapq.heappop(self._events)
            action(now_s)

    # --- requests --------------------------------------------------------------------------------------

    def _send_request(self, now_s):
        tokens = 9_200 if self.rng.random() < 0.33 else 875
        if tokens > 5_000:
            tokens = 6_300 + min(39_600, int(self.rng.lognormvariate(7.6, 0.83)))
        node = self.choose_node(now_s)
        admitted = node.limits.admit(TENANT, tokens, now_s)
        self.requests.append((now_s, tokens, isinstance(admitted, Admitted)))
        per_s = self.limit.rate_per_s * NORMAL_DEMAND_FRACTION * self.demand_factor(now_s) / 3_600
        self.schedule(now_s + self.rng.expovariate(per_s), self._send_request)

    # --- reports between nodes -------------------------------------------------------------------------

    def _relay_of(self, zone, now_s):
        return next((n for n in self.nodes if n.zone == zone and not n.is_down and not n.is_unreachable), None)

    def _exchange_reports(self, node, now_s):
        self.schedule(now_s + REPORT_INTERVAL_S, lambda later_s: self._exchange_reports(node, later_s))
        if node.is_down:
            return
        relay = self._relay_of(node.zone, now_s)
        if node.is_unreachable:
            if now_s - node.last_contact_s >= REPORT_LIFETIME_S:
                node.limits.on_fleet_report({}, 0, len(self.nodes))
        elif relay is node:
            self._exchange_with_relays(node, now_s)
            node.last_contact_s = now_s
        else:
            self._report_to_relay(node, relay, now_s)
            node.last_contact_s = now_s

    def _own_load(self, node, now_s):
        return Load(asked=node.limits.own_demand(now_s), nodes=1)

    def _zone_load(self, node, now_s):
        members = [each for name, each in node.members.items() if not name.startswith("relay ")]
        recent_loads = [load for load, at_s in members if now_s - at_s < REPORT_LIFETIME_S]
        return sum_loads((*recent_loads, self._own_load(node, now_s)))

    def _exchange_with_relays(self, node, now_s):
        for zone in range(self.zones):
            other = self._relay_of(zone, now_s)
            if other is None or other is node or self._region(other) != self._region(node):
                continue
            other.members["relay " + node.name] = (self._zone_load(node, now_s), now_s)
            other.limits.on_relay_report(node.name, node.limits.node_incarnation, node.limits.spent_totals(), now_s)
            node.members["relay " + other.name] = (self._zone_load(other, now_s), now_s)
            node.limits.on_relay_report(
                other.name, other.limits.node_incarnation, other.limits.spent_totals(), now_s
            )
        self._detect_lost_regions(node, now_s)
        others = sum_loads(node.recent_loads(now_s))
        node.limits.on_fleet_report(others.asked, others.nodes, len(self.nodes))

    def _detect_lost_regions(self, node, now_s):
        for region, (nodes, last_contact_s) in list(node.regions.items()):
            if now_s - last_contact_s >= REPORT_LIFETIME_S:
                del node.regions[region]
                own_nodes = sum(self._region(each) == self._region(node) for each in self.nodes)
                node.limits.on_region_lost(str(region), nodes / own_nodes, now_s)

    def _region(self, node):
        return node.zone % self.regions

    def _relays_of_region(self, region, now_s):
        relays = (self._relay_of(zone, now_s) for zone in range(self.zones) if zone % self.regions == region)
        return [relay for relay in relays if relay is not None]

    def _exchange_between_regions(self, now_s):
        """Exchange reports between the first relays of all regions, as a request and an answer over the link."""
        self.schedule(now_s + REGION_INTERVAL_S, self._exchange_between_regions)
        if self.is_link_cut or self.link_rng.random() < self.link_lost_fraction:
            return
        for region in range(self.regions):
            relays = self._relays_of_region(region, now_s)
            load = sum_loads([self._zone_load(relay, now_s) for relay in relays])
            totals = [(relay.name, relay.limits.node_incarnation, relay.limits.spent_totals()) for relay in relays]

            def deliver(at_s, region=region, load=load, totals=totals):
                if not self.is_link_cut:
                    self._deliver_region_report(region, load, totals, at_s)

            self.schedule(now_s + self.link_delay_s * (1 + region), deliver)

    def _deliver_region_report(self, region, load, totals, now_s):
        for other in range(self.regions):
            for index, relay in enumerate(self._relays_of_region(other, now_s)):
                if other != region:
                    self.schedule(
                        now_s + (FORWARDING_DELAY_S if index else 0.0),
                        lambda at_s, relay=relay: self._apply_region_report(relay, region, load, totals, at_s),
                    )

    def _apply_region_report(self, relay, region, load, totals, now_s):
        relay.members[f"relay region {region}"] = (load, now_s)
        relay.regions[region] = (load.nodes, now_s)
        for name, incarnation, spent in totals:
            relay.limits.on_relay_report(name, incarnation, spent, now_s, is_same_region=False)
        relay.limits.on_region_report(str(region))

    def _report_to_relay(self, node, relay, now_s):
        relay.members[node.name] = (self._own_load(node, now_s), now_s)
        relay.limits.on_member_report(node.limits.begin_report(), now_s)
        node.limits.end_report(is_acknowledged=True)
        others = sum_loads((*relay.recent_loads(now_s, excluded=node.name), self._own_load(relay, now_s)))
        node.limits.on_fleet_report(others.asked, others.nodes, len(self.nodes))
        node.limits.on_levels_report(relay.limits.levels(now_s), now_s)

    # --- measures --------------------------------------------------------------------------------------

    def largest_overrun(self, limit=None, from_s=0.0):
        """Return the largest number of tokens admitted in a window, as a fraction of what a window may admit."""
        limit = limit or self.limit
        allowed = (limit.rate_per_s * OVERRUN_WINDOW_S + limit.burst) * (1 + ALLOWED_OVERRUN) + ALLOWED_EXTRA_TOKENS
        window, total, largest = deque(), 0, 0
        for at_s, tokens, admitted in self.requests:
            if not admitted or at_s < from_s:
                continue
            window.append((at_s, tokens))
            total += tokens
            while window[0][0] <= at_s - OVERRUN_WINDOW_S:
                total -= window.popleft()[1]
            largest = max(largest, total)
        return largest / allowed

    def refused_fraction(self, from_s=0.0, to_s=float("inf")):
        """Return the fraction of the tokens within the limit that were refused anyway."""
        level, updated_s, allowed, admitted_tokens = self.limit.burst, 0.0, 0.0, 0.0
        for at_s, tokens, admitted in self.requests:
            level = min(self.limit.burst, level + (at_s - updated_s) * self.limit.rate_per_s)
            updated_s = at_s
            is_allowed = level >= min(tokens, self.limit.burst)
            if is_allowed:
                level -= tokens
            if from_s <= at_s < to_s:
                allowed += tokens * is_allowed
                admitted_tokens += tokens * admitted
        return max(0.0, allowed - admitted_tokens) / max(1.0, allowed)
