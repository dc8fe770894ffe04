"""The token bucket of one limit for the whole fleet, as estimated by one node. Pure.

Every node has such a bucket for each limited tenant and back end. Time refills it, spending anywhere in the fleet
drains it. ``fleet_limits`` decides with it and adds the reports of other nodes. Amounts are tokens or requests,
depending on the limit, and thousandths of requests for a back end.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from wallwell.deployment.tenants import FleetRate
from wallwell.routing.sliding_window import SlidingWindow

DEMAND_WINDOW_S = 1.0
"""Seconds over which demand is counted, shorter than a bucket with a burst of one second's rate takes to drain."""


@dataclass
class FleetBucket:
    """The level of one limit for the fleet, and the spending of and demand at this node."""

    limit: FleetRate
    level: float
    """Negative while the fleet has spent more than the limit allowed."""
    max_debt: float = math.inf
    """How far the level may be below zero; anything spent beyond that is not worked off."""
    updated_s: float | None = None
    """When the bucket was last refilled; None before the first time."""
    unreported: int = 0
    """Spent by this node and not yet part of any report."""
    unacknowledged: int = 0
    """Part of the report in flight."""
    spent_total: int = 0
    """Spent by this node and the members that report to it, since this node started."""
    region_spent_total: int = 0
    """Spent in this node's region, as far as reported; only differences of this counter are meaningful."""
    demand: SlidingWindow = field(default_factory=lambda: SlidingWindow(DEMAND_WINDOW_S))
    """Amounts requested at this node."""
    peer_demand: int = 0
    """Amount requested at all other nodes in the last window, from their reports."""
    refused_requests: int = 0
    """Requests that this node has refused since it started."""

    def refill(self, now_s: float, fraction: float) -> None:
        """Refill the bucket for the time since the last refill, at a fraction of the limit's rate."""
        elapsed_s = max(0.0, now_s - self.updated_s) if self.updated_s is not None else 0.0
        level = self.level + elapsed_s * self.limit.rate_per_s * fraction
        self.level = max(-self.max_debt, min(self.limit.burst * fraction, level))
        self.updated_s = now_s

    def change_limit(self, limit: FleetRate) -> None:
        """Change the limit: a larger burst may be spent at once, and the level is cut to a smaller burst."""
        self.level = min(limit.burst, self.level + max(0.0, limit.burst - self.limit.burst))
        self.limit = limit

    def spend(self, tokens: int) -> None:
        """Spend tokens for a request of this node; a negative number refunds them."""
        self.level -= tokens
        self.unreported += tokens
        self.spent_total += tokens
        self.region_spent_total += tokens

    def add_member_spending(self, tokens: int) -> None:
        """Count what a member has spent that reports to this node, which includes it in its own totals."""
        self.level -= tokens
        self.spent_total += tokens
        self.region_spent_total += tokens

    def add_relay_spending(self, tokens: int, is_same_region: bool) -> None:
        """Count what another relay reports as spent; ``is_same_region`` if it is of this node's region."""
        self.level -= tokens
        self.region_spent_total += tokens * is_same_region

    def begin_report(self) -> None:
        """Move the unreported amount into a report."""
        self.unacknowledged += self.unreported
        self.unreported = 0

    def end_report(self, is_acknowledged: bool) -> None:
        """End the report in flight; unless it was acknowledged, its amount is reported again."""
        if not is_acknowledged:
            self.unreported += self.unacknowledged
        self.unacknowledged = 0
