"""A retry budget that many nodes keep together without coordination. Pure.

In any window, the fleet may retry ``ratio`` x its requests plus ``extra``. Each node spends at most ``ratio`` x its
own requests plus its share of ``extra``, so the sum over all nodes stays within the fleet's bound. Requests and
retries are counted in the window that ends now, so a burst at the edge of a window cannot spend the budget twice. A
node that has just started does not know what it spent before, so it gets its share of ``extra`` one window later.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wallwell.routing.sliding_window import SlidingWindow

SAFETY_FACTOR = 0.8
"""Fraction of the budget that nodes spend, since their counts of the fleet's nodes are delayed."""
RETRY_COST = 1.0
"""Cost of one retry; a budget is counted in retries."""


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
        """Count an admitted request, including one that is refused later without being sent."""
        self._requests.add(now_s)

    def remaining_retries(self, now_s: float, node_count: int) -> float:
        """Return how many retries this node may still send now."""
        extra = self.extra / max(1, node_count) if now_s - self.started_s >= self.window_s else 0.0
        allowed = self.ratio * self._requests.count(now_s) + extra
        return SAFETY_FACTOR * allowed - self._retries.count(now_s)

    def allows_retry(self, now_s: float, node_count: int) -> bool:
        """Whether the budget allows a retry now; does not spend it."""
        return self.remaining_retries(now_s, node_count) >= RETRY_COST

    def try_retry(self, now_s: float, node_count: int) -> bool:
        """Spend one retry if the budget allows it; returns whether it does."""
        if not self.allows_retry(now_s, node_count):
            return False
        self._retries.add(now_s)
        return True
