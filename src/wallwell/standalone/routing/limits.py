"""Token bucket and concurrency of one tenant on one node."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class TokenBucket:
    """Holds at most ``capacity`` tokens and gains ``rate_per_s``."""

    rate_per_s: float
    capacity: float
    tokens: float
    updated_s: float

    def refill(self, now_s: float) -> None:
        """Add what time has earned."""
        elapsed = max(0.0, now_s - self.updated_s)
        self.tokens = min(self.capacity, self.tokens + elapsed * self.rate_per_s)
        self.updated_s = max(self.updated_s, now_s)

    def try_take(self, now_s: float, amount: float = 1.0) -> bool:
        """Take ``amount`` if there is enough."""
        self.refill(now_s)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def wait_s(self, amount: float = 1.0) -> float:
        """Return the time until ``amount`` would be there."""
        return max(0.0, (amount - self.tokens) / self.rate_per_s) if self.rate_per_s > 0 else 1.0
