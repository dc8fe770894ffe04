"""A retry budget that many nodes keep together without asking each other. Pure.

The fleet may repeat ``ratio`` x its requests plus ``extra`` in any window. Each node spends ``ratio`` x its own
requests plus its share of ``extra``; the sum over nodes then keeps the fleet's bound. Both are counted in the
window that ends now, so no burst at a window's edge can spend twice. A node that has just started does not know
what it spent before, so its share of ``extra`` begins a window later.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

SAFETY = 0.8
"""Part of the budget that is used, since nodes' counts of each other lag."""


@dataclass
class FleetRetryBudget:
    """One service's budget on one node."""

    ratio: float
    extra: float
    window_s: float
    started_s: float = float("-inf")
    _requests: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def on_request(self, now_s: float) -> None:
        """Count a request's first dispatch."""
        self._requests.append(now_s)
        self._expire(now_s)

    def left(self, now_s: float, nodes: int) -> float:
        """Return how many repeats this node may still send now."""
        self._expire(now_s)
        extra = self.extra / max(1, nodes) if now_s - self.started_s >= self.window_s else 0.0
        allowed = self.ratio * len(self._requests) + extra
        return SAFETY * allowed - len(self._retries)

    def try_retry(self, now_s: float, nodes: int) -> bool:
        """Spend one repeat if the budget allows it."""
        if self.left(now_s, nodes) < 1.0:
            return False
        self._retries.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()
