"""A fleet of nodes before a back end that states a limit, in virtual time, with the callers that want it.

What the nodes know and report is the product's (:class:`FleetLoad`, :class:`KnownLoads`), and each message is
encoded and decoded. Members report to the first node of their zone, these report to each other, and the first of
each region to the other region, as :mod:`wallwell.cluster.load_reporter` has them do.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

import msgspec

from wallwell.cluster.crash_reports import CrashReports
from wallwell.cluster.fleet_load import FleetLoad
from wallwell.cluster.known_loads import KnownLoads
from wallwell.cluster.load_messages import MemberLoad, OthersLoad, RegionSum, ZoneLoad
from wallwell.cluster.load_reports import REPORT_LIFETIME_S
from wallwell.cluster.region_load_reporter import REGION_INTERVAL_S
from wallwell.deployment.backends import BackendRecord
from wallwell.routing.admission.fleet_limits import FleetLimits
from wallwell.routing.health.request_limit import NO_LIMIT_PER_S, LimitStatement

BACKEND = "i-0"
ZONES = 3
ON_THE_WAY_S = 0.002
REGION_WAY_S = 0.02
ANSWER_S = 0.05
"""Seconds until the head of an answer, of which it states the limit that is in force then."""
CONTACT_S = 3.0
"""Seconds from the first statement after which the limit must hold."""
WINDOW_S = 4.0
PASSED_ON_BEFORE_S = 0.5
"""A node counts from so long after it passed on an answer that states a limit."""


def allowed(per_s):
    """Return how many requests may reach a back end in a window."""
    return 1.5 * per_s * WINDOW_S + 5


@dataclass
class Node:
    """One node; ``cut`` from the other nodes, though not from the back end."""

    name: str
    zone: int
    load: FleetLoad = None
    known: KnownLoads = None
    cut: bool = False
    down: bool = False
    heard_s: float = float("-inf")
    passed_on_s: float = float("inf")
    excused_s: list[tuple[float, float]] = field(default_factory=list)
    """Times in which it was cut, down or had been started a moment ago."""


class LimitNetwork:
    """Runs requests against one back end and records what reaches it."""

    def __init__(
        self, seed, nodes=7, per_s=lambda now_s: NO_LIMIT_PER_S, wanted_per_s=10.0, interval_s=0.05, regions=1
    ):
        self.rng = random.Random(seed)
        self.per_s = per_s
        """What the back end states at a time."""
        self.wanted_per_s = wanted_per_s
        self.interval_s = interval_s
        self.regions = regions
        self.lost_fraction = 0.0
        self.region_cut = False
        self.nodes = [Node(f"n{index}", index % ZONES) for index in range(nodes)]
        for node in self.nodes:
            self.start(node)
        self.weights = [1.0] * nodes
        """How many callers each node has, relative to others."""
        self.arrivals: list[tuple[float, Node]] = []
        self.passed_over_s: list[float] = []
        """When requests went elsewhere for the limit."""
        self._events = []
        self._order = 0

    def start(self, node, now_s=0.0):
        """Start a node, or start it again without anything it knew."""
        node.load = FleetLoad(limits=FleetLimits(random.Random(self.rng.random())))
        node.load.backends.upsert(BackendRecord(BACKEND, "svc", "10.0.0.1:1", "z0", 64, started_unix_ms=5))
        node.load.forget(len(self.nodes))
        node.known = KnownLoads(node.name, node.load, CrashReports(tuple, lambda crash: None))
        node.down = False
        node.passed_on_s = float("inf")

    def at(self, at_s, action):
        heapq.heappush(self._events, (at_s, self._order, action))
        self._order += 1

    def run(self, seconds):
        for node in self.nodes:
            phase_s = self.rng.random() * self.interval_s
            self.at(phase_s, lambda now_s, node=node: self._exchange(node, now_s))
        self.at(0.0, self._arrive)
        if self.regions > 1:
            self.at(0.1, self._exchange_between_regions)
        while self._events and self._events[0][0] < seconds:
            now_s, _, action = heapq.heappop(self._events)
            action(now_s)

    # --- requests ------------------------------------------------------------------------------------------

    def _arrive(self, now_s):
        self.at(now_s + self.rng.expovariate(self.wanted_per_s), self._arrive)
        self.request(now_s)

    def request(self, now_s):
        """A caller wants one request served, by a node that is up."""
        up = [(node, weight) for node, weight in zip(self.nodes, self.weights, strict=True) if not node.down]
        if not up:
            return
        (node,) = self.rng.choices([node for node, _ in up], [weight for _, weight in up])
        backend = node.load.backends.get(BACKEND)
        if node.load.stated_limits.take(backend, now_s) is not None:
            self.passed_over_s.append(now_s)
            return
        node.load.stated_limits.on_sent(BACKEND, now_s)
        self.at(now_s + ON_THE_WAY_S, lambda at_s: self.arrivals.append((at_s, node)))
        load = node.load
        self.at(now_s + ANSWER_S, lambda at_s: self._answer(node, load, now_s, at_s))

    def _answer(self, node, load, sent_s, now_s):
        per_s = self.per_s(now_s)
        load.stated_limits.on_answer(load.backends.get(BACKEND), LimitStatement(per_s, sent_s), now_s)
        if per_s != NO_LIMIT_PER_S and load is node.load:
            node.passed_on_s = min(node.passed_on_s, now_s)

    # --- what nodes report to each other --------------------------------------------------------------------

    def _relay_of(self, zone):
        return next((node for node in self.nodes if node.zone == zone and not (node.down or node.cut)), None)

    def _region_of(self, node):
        return node.zone % self.regions

    def _relays_of_region(self, region):
        relays = [self._relay_of(zone) for zone in range(ZONES) if zone % self.regions == region]
        return [relay for relay in relays if relay is not None]

    def _exchange(self, node, now_s):
        relay = self._relay_of(node.zone)
        pause_s = self.interval_s * (ZONES if relay is node else 1)
        self.at(now_s + pause_s, lambda at_s: self._exchange(node, at_s))
        is_lost = self.lost_fraction and self.rng.random() < self.lost_fraction
        if not (node.down or node.cut or is_lost):
            if relay is node:
                self._exchange_with_relays(node, now_s)
            else:
                self._report(node, relay, now_s)
            node.heard_s = now_s
        if now_s - node.heard_s >= REPORT_LIFETIME_S:
            node.load.forget(len(self.nodes))

    def _report(self, node, relay, now_s):
        limits = node.load.limits
        message = sent(MemberLoad(node.name, node.load.own(now_s), limits.begin_report()), MemberLoad)
        reply = sent(relay.known.on_member(message, now_s), OthersLoad)
        limits.end_report(is_acknowledged=True)
        node.load.learn(reply.load, len(self.nodes), now_s)
        limits.on_levels_report(reply.levels, now_s)

    def _exchange_with_relays(self, node, now_s):
        for other in self._relays_of_region(self._region_of(node)):
            if other is not node:
                other.known.on_relay(sent(node.known.zone_message(now_s), ZoneLoad), now_s)
                node.known.on_relay(sent(other.known.zone_message(now_s), ZoneLoad), now_s)
        node.load.learn(node.known.others(now_s), len(self.nodes), now_s)

    def _exchange_between_regions(self, now_s):
        self.at(now_s + REGION_INTERVAL_S, self._exchange_between_regions)
        if self.region_cut:
            return
        for region in range(self.regions):
            relays = self._relays_of_region(region)
            if relays:
                message = sent(relays[0].known.region_sum(str(region), now_s), RegionSum)
                self.at(now_s + REGION_WAY_S, lambda at_s, message=message: self._hear_region(message, at_s))

    def _hear_region(self, message, now_s):
        for region in range(self.regions):
            if str(region) != message.region:
                for relay in self._relays_of_region(region):
                    relay.known.on_region(message, now_s)

    # --- faults ----------------------------------------------------------------------------------------------

    def cut_off(self, nodes, from_s, to_s):
        """Cut nodes off from all others, not from the back end."""

        def change(value):
            for node in nodes:
                node.cut = value

        self.at(from_s, lambda now_s: change(True))
        self.at(to_s, lambda now_s: change(False))
        for node in nodes:
            node.excused_s.append((from_s, to_s))

    def restart(self, node, at_s, down_s=0.5):
        def stop(now_s):
            node.down = True

        self.at(at_s, stop)
        self.at(at_s + down_s, lambda now_s: self.start(node, now_s))
        node.excused_s.append((at_s, at_s + down_s))

    # --- measures --------------------------------------------------------------------------------------------

    def largest_window(self, from_s, to_s):
        """Return the most requests of nodes that had passed the statement on, in a window ending between two times.

        A node that was cut off or restarted since its window began does not count.
        """
        largest = 0
        for end_s in sorted({min(to_s, max(from_s, at_s)) for at_s, _ in self.arrivals if at_s <= to_s}):
            begin_s = end_s - WINDOW_S
            counted = [
                node
                for at_s, node in self.arrivals
                if begin_s < at_s <= end_s
                and node.passed_on_s <= end_s - PASSED_ON_BEFORE_S
                and not any(excused < end_s and ends_s > begin_s for excused, ends_s in node.excused_s)
            ]
            largest = max(largest, len(counted))
        return largest

    def largest_sum(self, from_s, to_s):
        """Return the most requests of all nodes in a window ending between two times."""
        times = [at_s for at_s, _ in self.arrivals if at_s <= to_s]
        ends = [end_s for end_s in times if end_s >= from_s]
        return max((sum(end_s - WINDOW_S < at_s <= end_s for at_s in times) for end_s in ends), default=0)

    def rate(self, from_s, to_s):
        """Return the requests a second that reached the back end."""
        return sum(from_s <= at_s < to_s for at_s, _ in self.arrivals) / (to_s - from_s)


def sent(message, message_type):
    """Return a message as its receiver reads it."""
    return msgspec.json.decode(msgspec.json.encode(message), type=message_type)
