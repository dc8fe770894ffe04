"""What limits retries in the standalone router: pauses, a budget, and a circuit breaker per back end.

Pure: time and randomness are passed in. Whether one request is sent again is decided in ``retry_decision``.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

_BASE_DELAY_S = 0.02
"""Seconds up to which the first pause is drawn; doubled with each step."""
_MAX_DELAY_S = 1.0
"""Seconds up to which any pause is drawn at most."""
_MAX_DOUBLINGS = 10
"""Steps after which the cap grows no more: 0.02 s doubled six times exceeds the largest cap already."""

RETRY_RATIO = 0.1
"""Retries for each first attempt, so that an outage is not amplified by more than a tenth."""
RETRY_RESERVE = 10.0
"""Retries that a node may send at once after a quiet time, and the most that it saves up."""
MIN_SLOW_START_FRACTION = 0.1
"""Least fraction of its requests that a back end gets while it starts slowly after a failure."""
OPEN_JITTER = (0.75, 1.25)
"""Multiples of the pause over which nodes spread their probes of a failed back end."""


def full_jitter_delay_s(step: int, rng: random.Random) -> float:
    """Return a pause in seconds, uniform from 0 up to a cap that doubles with each ``step`` (from 0)."""
    cap = min(_MAX_DELAY_S, _BASE_DELAY_S * (1 << min(step, _MAX_DOUBLINGS)))
    return rng.uniform(0.0, cap)


class RetryBudget:
    """Retries as a fraction of recent requests, so that retries cannot multiply an overload.

    Each first attempt deposits ``ratio`` tokens, each retry withdraws one; ``reserve`` lets a quiet node
    retry.
    """

    def __init__(self, ratio: float = RETRY_RATIO, reserve: float = RETRY_RESERVE) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def on_request(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._tokens + self._ratio, self._reserve)

    def try_retry(self) -> bool:
        """Withdraw one retry if the budget allows it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass
class CircuitBreaker:
    """Opens after consecutive failures; lets one probe through after a jittered pause; starts slowly."""

    failures_to_open: int = 3
    """Consecutive failures that open it."""
    open_s: float = 1.0
    """Seconds before one probe is let through."""
    slow_start_s: float = 2.0
    """Seconds in which a recovered back end returns to its full share."""
    _failures: int = 0
    _open_until_s: float = 0.0
    _recovered_at_s: float = float("-inf")
    _probing: bool = False

    def allows(self, now_s: float, rng: random.Random) -> bool:
        """Whether a request may be sent now; claims the single probe when half open."""
        if self._failures >= self.failures_to_open:
            if now_s < self._open_until_s or self._probing:
                return False
            self._probing = True
            return True
        recovered_for_s = now_s - self._recovered_at_s
        if recovered_for_s >= self.slow_start_s:
            return True
        return rng.random() < max(MIN_SLOW_START_FRACTION, recovered_for_s / self.slow_start_s)

    def is_open(self, now_s: float) -> bool:
        """Whether requests are refused now, without claiming the probe."""
        return self._failures >= self.failures_to_open and (now_s < self._open_until_s or self._probing)

    def on_success(self, now_s: float) -> None:
        """The back end answered."""
        if self._failures >= self.failures_to_open:
            self._recovered_at_s = now_s
        self._failures = 0
        self._probing = False

    def on_failure(self, now_s: float, rng: random.Random) -> bool:
        """The back end did not answer; returns True when this opened the breaker."""
        self._failures += 1
        self._probing = False
        if self._failures >= self.failures_to_open:
            self._open_until_s = now_s + self.open_s * rng.uniform(*OPEN_JITTER)
            return self._failures == self.failures_to_open
        return False
