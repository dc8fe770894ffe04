"""Limits on retries in the standalone router: backoff, a retry budget, and a circuit breaker per back end.

Pure: time and randomness are passed in. Whether to retry a request is decided in ``retry_decision``.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

_BASE_DELAY_S = 0.02
"""Upper bound in seconds of the first backoff delay; it doubles with each step."""
_MAX_DELAY_S = 1.0
"""Upper bound in seconds of every backoff delay."""
_MAX_DOUBLINGS = 10
"""Bound on the exponent of the backoff: 0.02 s doubled six times already exceeds the maximum delay."""

RETRY_RATIO = 0.1
"""Retries allowed per first attempt: retries amplify the load of an outage by at most a tenth."""
RETRY_RESERVE = 10.0
"""Capacity of the retry budget: the largest burst of retries that a node may send after little traffic."""
MIN_SLOW_START_FRACTION = 0.1
"""Minimum fraction of its requests that a recovered back end gets during slow start."""
OPEN_JITTER = (0.75, 1.25)
"""Random multiples of ``open_s``, so that nodes do not all probe a failed back end at once."""


def full_jitter_delay_s(step: int, rng: random.Random) -> float:
    """Return a delay in seconds, uniform between 0 and a cap that doubles with each ``step`` (from 0)."""
    cap = min(_MAX_DELAY_S, _BASE_DELAY_S * (1 << min(step, _MAX_DOUBLINGS)))
    return rng.uniform(0.0, cap)


class RetryBudget:
    """Limits retries to a fraction of recent requests, so that they cannot amplify an overload.

    Each first attempt deposits ``ratio`` tokens and each retry withdraws one. The budget starts with its maximum,
    ``reserve`` tokens, which lets a node with little traffic retry.
    """

    def __init__(self, ratio: float = RETRY_RATIO, reserve: float = RETRY_RESERVE) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def on_request(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._tokens + self._ratio, self._reserve)

    def try_retry(self) -> bool:
        """Withdraw one retry and return True, or return False if the budget is empty."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass
class CircuitBreaker:
    """Opens after consecutive failures, admits one probe after a jittered delay, and closes with a slow start."""

    failures_to_open: int = 3
    """Consecutive failures that open the breaker."""
    open_s: float = 1.0
    """Mean seconds that the breaker stays open before it admits one probe."""
    slow_start_s: float = 2.0
    """Seconds of slow start, in which a recovered back end returns to its full share of requests."""
    _failures: int = 0
    _open_until_s: float = 0.0
    _recovered_at_s: float = float("-inf")
    _probing: bool = False

    def allows(self, now_s: float, rng: random.Random) -> bool:
        """Return whether a request may be sent now. When half open, the first call claims the single probe."""
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
        """Return whether requests are refused now, without claiming the probe."""
        return self._failures >= self.failures_to_open and (now_s < self._open_until_s or self._probing)

    def on_success(self, now_s: float) -> None:
        """Record an answer of the back end, which closes the breaker."""
        if self._failures >= self.failures_to_open:
            self._recovered_at_s = now_s
        self._failures = 0
        self._probing = False

    def on_no_verdict(self) -> None:
        """Record that a request ended, or was not sent, without showing whether the back end works."""
        self._probing = False

    def on_failure(self, now_s: float, rng: random.Random) -> bool:
        """Record a failure of the back end; return True if it opened the breaker."""
        self._failures += 1
        self._probing = False
        if self._failures >= self.failures_to_open:
            self._open_until_s = now_s + self.open_s * rng.uniform(*OPEN_JITTER)
            return self._failures == self.failures_to_open
        return False
