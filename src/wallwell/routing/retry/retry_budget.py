"""A retry budget that many nodes keep together without asking each other. Pure.

The fleet may retry ``ratio`` x its requests plus ``extra`` in any window. Each node spends ``ratio`` x its own
requests plus its share of ``extra``; the sum over nodes then keeps the fleet's bound. Both are counted in the
window that ends now, so no burst at a window's edge can spend twice. A node that has just started does not know
what it spent before, so its share of ``extra`` begins a window later.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wallwell.routing.sliding_window import SlidingWindow

SAFETY_FACTOR = 0.8
"""Fraction of the budget that is used, since nodes' counts of each other lag."""
RETRY_COST = 1.0
"""What one retry takes of a budget, which is counted in retries."""


@dataclass
class FleetRetryBudget:
    """One service's budget on one node."""

    ratio: float
    extra: float
    window_s: float
    started_s: float = float("-inf")
    _requests: SlidingWindow = field(init=False)
    _retries: SlidingWindow = field(init=False)

    def __post_init__(self) -> None:
        self._requests = SlidingWindow(self.window_s)
        self._retries = SlidingWindow(self.window_s)

    def on_request(self, now_s: float) -> None:
        """Count an admitted request, also one that is then refused before it is sent."""
        self._requests.add(now_s)

    def remaining_retries(self, now_s: float, node_count: int) -> float:
        """Return how many retries this node may still send now."""
        extra = self.extra / max(1, node_count) if now_s - self.started_s >= self.window_s else 0.0
        allowed = self.ratio * self._requests.count(now_s) + extra
        return SAFETY_FACTOR * allowed - self._retries.count(now_s)

    def allows_retry(self, now_s: float, node_count: int) -> bool:
        """Whether one retry may be sent now."""
        return self.remaining_retries(now_s, node_count) >= RETRY_COST

    def try_retry(self, now_s: float, node_count: int) -> bool:
        """Spend one retry if the budget allows it."""
        if not self.allows_retry(now_s, node_count):
            return False
        self._retries.add(now_s)
        return True
