"""The token bucket of one limit for the whole fleet, as far as one node knows it. Pure.

Every node keeps such a bucket of each limited tenant and back end. Time fills it, spending anywhere in the fleet
empties it; ``fleet_limits`` decides by it and brings the news of other nodes. Amounts are tokens or requests, by
the limit; thousandths of requests for a back end.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from wallwell.deployment.routes import FleetRate
from wallwell.routing.sliding_window import SlidingWindow

DEMAND_WINDOW_S = 1.0
"""Seconds over which demand is counted; shorter than the time in which a bucket of one second's rate runs empty."""


@dataclass
class FleetBucket:
    """What is left of one limit for the fleet, and what this node has spent and was asked for."""

    limit: FleetRate
    level: float
    """Negative while the fleet has spent more than the limit gave."""
    max_debt: float = math.inf
    """Most that the level may be below zero; what was spent beyond that is not made up for."""
    updated_s: float | None = None
    """When what time has earned was last added; None before the first time."""
    unreported: int = 0
    """Spent by this node and not contained in any report yet."""
    unacknowledged: int = 0
    """Contained in the report under way."""
    spent_total: int = 0
    """Spent by this node and those that report to it, since this node started."""
    region_spent_total: int = 0
    """Spent in this node's region, as far as it was reported; only differences mean anything."""
    demand: SlidingWindow = field(default_factory=lambda: SlidingWindow(DEMAND_WINDOW_S))
    """What this node was asked for."""
    peer_demand: int = 0
    """What all other nodes were asked for in the last window, as they reported."""
    refused_requests: int = 0
    """Requests that this node refused since it started."""

    def refill(self, now_s: float, fraction: float) -> None:
        """Add what time has earned of a fraction of the limit."""
        elapsed_s = max(0.0, now_s - self.updated_s) if self.updated_s is not None else 0.0
        level = self.level + elapsed_s * self.limit.rate_per_s * fraction
        self.level = max(-self.max_debt, min(self.limit.burst * fraction, level))
        self.updated_s = now_s

    def change_limit(self, limit: FleetRate) -> None:
        """Take another limit: what it raises may be spent at once, what it lowers was not saved up."""
        self.level = min(limit.burst, self.level + max(0.0, limit.burst - self.limit.burst))
        self.limit = limit

    def spend(self, tokens: int) -> None:
        """Take tokens for a request of this node, or refund them if negative."""
        self.level -= tokens
        self.unreported += tokens
        self.spent_total += tokens
        self.region_spent_total += tokens

    def add_member_spending(self, tokens: int) -> None:
        """Take what a member that reports to this node has spent: this node passes it on in its totals."""
        self.level -= tokens
        self.spent_total += tokens
        self.region_spent_total += tokens

    def add_relay_spending(self, tokens: int, is_same_region: bool) -> None:
        """Take what was spent through another relay, of this node's region if it is near."""
        self.level -= tokens
        self.region_spent_total += tokens * is_same_region

    def begin_report(self) -> None:
        """What is unreported goes into a report."""
        self.unacknowledged += self.unreported
        self.unreported = 0

    def end_report(self, is_acknowledged: bool) -> None:
        """The report was answered, or may be lost: what it contained is then reported again."""
        if not is_acknowledged:
            self.unreported += self.unacknowledged
        self.unacknowledged = 0
