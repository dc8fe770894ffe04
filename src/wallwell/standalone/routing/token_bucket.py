"""Token bucket by which the standalone router limits requests and bytes per second. Pure: time is passed in.

The concurrency of a tenant is limited in :mod:`wallwell.standalone.cluster.limits`.
"""

from __future__ import annotations

from dataclasses import dataclass

ZERO_RATE_RETRY_S = 1.0
"""Wait in seconds reported for a bucket whose rate is zero and which therefore never refills."""


@dataclass
class TokenBucket:
    """Holds at most ``capacity`` tokens and gains ``rate_per_s`` tokens per second."""

    rate_per_s: float
    capacity: float
    tokens: float
    updated_s: float

    def refill(self, now_s: float) -> None:
        """Add the tokens gained since the last refill."""
        elapsed = max(0.0, now_s - self.updated_s)
        self.tokens = min(self.capacity, self.tokens + elapsed * self.rate_per_s)
        self.updated_s = max(self.updated_s, now_s)

    def try_spend(self, now_s: float, amount: float = 1.0) -> bool:
        """Spend ``amount`` tokens and return True, or return False if there are fewer."""
        self.refill(now_s)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def wait_s(self, amount: float = 1.0) -> float:
        """Return the seconds from the last refill until the bucket has ``amount`` tokens."""
        if self.rate_per_s <= 0:
            return ZERO_RATE_RETRY_S
        return max(0.0, (amount - self.tokens) / self.rate_per_s)
