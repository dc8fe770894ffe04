"""Simulates nodes and callers that send requests to one back end with a stated limit, in virtual time.

The nodes use the real :class:`FleetLoad` and :class:`LoadAggregator`, and each message is encoded and decoded.
As in :mod:`wallwell.cluster.load_reporter`, members report to the first node of their zone, these report to each
other, and the first of each region reports to the other region.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

import msgspec

from wallwell.cluster.crash_reports import CrashReports
from wallwell.cluster.fleet_load import FleetLoad
from wallwell.cluster.load_aggregator import LoadAggregator
from wallwell.cluster.load_messages import MemberLoad, OthersLoad, RegionSum, ZoneLoad
from wallwell.cluster.load_reports import REPORT_LIFETIME_S
from wallwell.cluster.region_load_reporter import REGION_INTERVAL_S
from wallwell.deployment.backends import BackendRecord
from wallwell.routing.admission.fleet_limits import FleetLimits
from wallwell.routing.health.request_limit import NO_LIMIT_PER_S, LimitStatement

BACKEND = "i-0"
ZONES = 3
REQUEST_DELAY_S = 0.002
REGION_DELAY_S = 0.02
ANSWER_DELAY_S = 0.05
"""Seconds from a request to the head of its answer, which states the limit in force at that time."""
ENFORCEMENT_DELAY_S = 3.0
"""Seconds from the first statement until the limit must be enforced."""
WINDOW_S = 4.0
STATEMENT_FORWARDED_BEFORE_S = 0.5
"""Seconds after which a node's requests are checked, once it has forwarded an answer that states a limit."""


def max_requests_in_window(per_s):
    """Return the most requests that may reach a back end in a window of ``WINDOW_S``."""
    return 1.5 * per_s * WINDOW_S + 5


@dataclass
class Node:
    """One node; ``is_cut_off`` means from the other nodes, not from the back end."""

    name: str
    zone: int
    load: FleetLoad = None
    aggregator: LoadAggregator = None
    is_cut_off: bool = False
    is_down: bool = False
    last_exchange_s: float = float("-inf")
    statement_forwarded_s: float = float("inf")
    excluded_spans_s: list[tuple[float, float]] = field(default_factory=list)
    """Spans in which the node was cut off or down."""


class LimitNetwork:
    """Runs requests against one back end and records what reaches it."""

    def __init__(
        self, seed, nodes=7, per_s=lambda now_s: NO_LIMIT_PER_S, requested_per_s=10.0, interval_s=0.05, regions=1
    ):
        self.rng = random.Random(seed)
        self.per_s = per_s
        """Returns the limit that the back end states at a time."""
        self.requested_per_s = requested_per_s
        self.interval_s = interval_s
        self.regions = regions
        self.lost_fraction = 0.0
        self.region_cut = False
        self.nodes = [Node(f"n{index}", index % ZONES) for index in range(nodes)]
        for node in self.nodes:
            self.start(node)
        self.weights = [1.0] * nodes
        """Relative share of the callers of each node."""
        self.arrivals: list[tuple[float, Node]] = []
        self.passed_over_s: list[float] = []
        """Times at which requests were not sent to the back end because of its limit."""
        self._events = []
        self._order = 0

    def start(self, node, now_s=0.0):
        """Start a node, or restart it without its previous state."""
        node.load = FleetLoad(limits=FleetLimits(random.Random(self.rng.random())))
        node.load.backends.upsert(BackendRecord(BACKEND, "svc", "10.0.0.1:1", "z0", 64, started_unix_ms=5))
        node.load.forget_peers(len(self.nodes))
        node.aggregator = LoadAggregator(node.name, node.load, CrashReports(tuple, lambda crash, age_s: None))
        node.is_down = False
        node.statement_forwarded_s = float("inf")

    def schedule(self, at_s, action):
        heapq.heappush(self._events, (at_s, self._order, action))
        self._order += 1

    def run(self, seconds):
        for node in self.nodes:
            phase_s = self.rng.random() * self.interval_s
            self.schedule(phase_s, lambda now_s, node=node: self._exchange(node, now_s))
        self.schedule(0.0, self._arrive)
        if self.regions > 1:
            self.schedule(0.1, self._exchange_between_regions)
        while self._events and self._events[0][0] < seconds:
            now_s, _, action = heapq.heappop(self._events)
            action(now_s)

    # --- requests ------------------------------------------------------------------------------------------

    def _arrive(self, now_s):
        self.schedule(now_s + self.rng.expovariate(self.requested_per_s), self._arrive)
        self.request(now_s)

    def request(self, now_s):
        """Send one caller's request through a random node that is up."""
        up = [(node, weight) for node, weight in zip(self.nodes, self.weights, strict=True) if not node.is_down]
        if not up:
            return
        (node,) = self.rng.choices([node for node, _ in up], [weight for _, weight in up])
        backend = node.load.backends.get(BACKEND)
        if node.load.stated_limits.admit(backend, now_s) is not None:
            self.passed_over_s.append(now_s)
            return
        node.load.stated_limits.on_sent(BACKEND, now_s)
        self.schedule(now_s + REQUEST_DELAY_S, lambda at_s: self.arrivals.append((at_s, node)))
        load = node.load
        self.schedule(now_s + ANSWER_DELAY_S, lambda at_s: self._answer(node, load, now_s, at_s))

    def _answer(self, node, load, sent_s, now_s):
        per_s = self.per_s(now_s)
        load.stated_limits.on_answer(load.backends.get(BACKEND), LimitStatement(per_s, sent_s), now_s)
        if per_s != NO_LIMIT_PER_S and load is node.load:
            node.statement_forwarded_s = min(node.statement_forwarded_s, now_s)

    # --- reports between nodes ------------------------------------------------------------------------------

    def _relay_of(self, zone):
        return next(
            (node for node in self.nodes if node.zone == zone and not (node.is_down or node.is_cut_off)), None
        )

    def _region_of(self, node):
        return node.zone % self.regions

    def _relays_of_region(self, region):
        relays = [self._relay_of(zone) for zone in range(ZONES) if zone % self.regions == region]
        return [relay for relay in relays if relay is not None]

    def _exchange(self, node, now_s):
        relay = self._relay_of(node.zone)
        pause_s = self.interval_s * (ZONES if relay is node else 1)
        self.schedule(now_s + pause_s, lambda at_s: self._exchange(node, at_s))
        is_lost = self.lost_fraction and self.rng.random() < self.lost_fraction
        if not (node.is_down or node.is_cut_off or is_lost):
            if relay is node:
                self._exchange_with_relays(node, now_s)
            else:
                self._report(node, relay, now_s)
            node.last_exchange_s = now_s
        if now_s - node.last_exchange_s >= REPORT_LIFETIME_S:
            node.load.forget_peers(len(self.nodes))

    def _report(self, node, relay, now_s):
        limits = node.load.limits
        message = encode_and_decode(
            MemberLoad(node.name, node.load.own_load(now_s), limits.begin_report()), MemberLoad
        )
        reply = encode_and_decode(relay.aggregator.on_member_load(message, now_s), OthersLoad)
        limits.end_report(is_acknowledged=True)
        node.load.update_from_peers(reply.load, len(self.nodes), now_s)
        limits.on_levels_report(reply.levels, now_s)

    def _exchange_with_relays(self, node, now_s):
        for other in self._relays_of_region(self._region_of(node)):
            if other is not node:
                other.aggregator.on_zone_load(
                    encode_and_decode(node.aggregator.zone_message(now_s), ZoneLoad), now_s
                )
                node.aggregator.on_zone_load(
                    encode_and_decode(other.aggregator.zone_message(now_s), ZoneLoad), now_s
                )
        node.load.update_from_peers(node.aggregator.others_load(now_s), len(self.nodes), now_s)

    def _exchange_between_regions(self, now_s):
        self.schedule(now_s + REGION_INTERVAL_S, self._exchange_between_regions)
        if self.region_cut:
            return
        for region in range(self.regions):
            relays = self._relays_of_region(region)
            if relays:
                message = encode_and_decode(relays[0].aggregator.region_sum(str(region), now_s), RegionSum)
                self.schedule(
                    now_s + REGION_DELAY_S, lambda at_s, message=message: self._deliver_region_sum(message, at_s)
                )

    def _deliver_region_sum(self, message, now_s):
        for region in range(self.regions):
            if str(region) != message.region:
                for relay in self._relays_of_region(region):
                    relay.aggregator.on_region_report(message, now_s)

    # --- faults ----------------------------------------------------------------------------------------------

    def cut_off(self, nodes, from_s, to_s):
        """Cut nodes off from all other nodes, but not from the back end."""

        def change(value):
            for node in nodes:
                node.is_cut_off = value

        self.schedule(from_s, lambda now_s: change(True))
        self.schedule(to_s, lambda now_s: change(False))
        for node in nodes:
            node.excluded_spans_s.append((from_s, to_s))

    def restart(self, node, at_s, down_s=0.5):
        def stop(now_s):
            node.is_down = True

        self.schedule(at_s, stop)
        self.schedule(at_s + down_s, lambda now_s: self.start(node, now_s))
        node.excluded_spans_s.append((at_s, at_s + down_s))

    # --- measurements-----------------------------------------------------------------------------------------

    def largest_window_of_informed_nodes(self, from_s, to_s):
        """Return the most requests in a window ending between two times, from nodes that had forwarded a statement.

        Nodes that were cut off or down at any time during the window do not count.
        """
        largest = 0
        for end_s in sorted({min(to_s, max(from_s, at_s)) for at_s, _ in self.arrivals if at_s <= to_s}):
            begin_s = end_s - WINDOW_S
            counted = [
                node
                for at_s, node in self.arrivals
                if begin_s < at_s <= end_s
                and node.statement_forwarded_s <= end_s - STATEMENT_FORWARDED_BEFORE_S
                and not any(
                    excluded_from_s < end_s and ends_s > begin_s
                    for excluded_from_s, ends_s in node.excluded_spans_s
                )
            ]
            largest = max(largest, len(counted))
        return largest

    def largest_window_of_all_nodes(self, from_s, to_s):
        """Return the most requests from all nodes in a window ending between two times."""
        times = [at_s for at_s, _ in self.arrivals if at_s <= to_s]
        ends = [end_s for end_s in times if end_s >= from_s]
        return max((sum(end_s - WINDOW_S < at_s <= end_s for at_s in times) for end_s in ends), default=0)

    def rate(self, from_s, to_s):
        """Return the requests per second that reached the back end."""
        return sum(from_s <= at_s < to_s for at_s, _ in self.arrivals) / (to_s - from_s)


def encode_and_decode(message, message_type):
    """Return a message as its receiver decodes it."""
    return msgspec.json.decode(msgspec.json.encode(message), type=message_type)
