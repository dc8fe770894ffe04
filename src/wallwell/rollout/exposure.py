"""Plans how many requests the target version of a rollout may get, and when it may get all of them. No I/O.

The bound is ``B = exposure_share x N + exposure_requests``, with ``N`` the number of requests between order and
deadline. Inputs: totals of requests, the time left and the share in force. Owns the totals of the last seconds. The
plan is logged as ``exposure_...`` among the inputs of ``ROLLOUT_DECIDED`` (7008).
"""

from __future__ import annotations

import math
from collections import deque

import msgspec

from wallwell.rollout.model import RolloutBounds

CANARY_FRACTION = 0.5
"""Fraction of the bound that the canary uses up if requests are few."""
HIGH_TRAFFIC_CANARY_FRACTION = 0.25
"""Fraction of the bound that the canary uses up if requests are many."""
HIGH_TRAFFIC_CANARY_REQUESTS = 600.0
"""Canary requests above which the canary uses only :data:`HIGH_TRAFFIC_CANARY_FRACTION`: 400 answers reveal a
failure rate of 5 in 100. The rest of the bound lengthens the switch, so that more of the requests in flight at
current back ends finish."""
PLANNED_FRACTION = 0.8
"""Fraction of the bound that plans may use up; the rest is a reserve for bursts and for counts that lag."""
LAST_DECISION_FRACTION = 0.95
"""Fraction of the bound that the last decision before the deadline may use up: little can change after it."""
LAST_DECISION_S = 0.4
"""Seconds before the deadline in which a decision is the last one in time: over two driver steps of 0.15 s."""
COUNT_LAG_S = 1.0
"""Age in seconds of the oldest counts: nodes send them every 0.3 s, in a large fleet up to every second."""
RATE_WINDOW_S = 1.0
"""Seconds over which a request rate is measured: several reports of each node."""
RATE_HISTORY_S = 10.0
"""Seconds for which totals are kept, and so for which a burst raises the highest rate."""
MAX_RATE_FACTOR = 3.0
"""Cap on a measured rate, as a multiple of the mean rate since the order: higher rates are an effect of counts that
arrived late at a new lease holder."""
MIN_SHARE_FRACTION = 0.2
"""Fraction of ``exposure_share`` that a canary still gets when its budget is used up, to detect a version that
turns bad late."""
MAX_CANARY_SHARE = 0.3
"""Largest canary share before the deadline: it is adapted to a burst only after counts and record have arrived."""
OVERDUE_SHARE = 0.25
"""Share of a canary after the deadline, when no bound applies and more answers are needed."""
SHARE_TOLERANCE = 0.25
"""Relative change up to which the share is not changed: each change costs a write and a row sent to all nodes."""
MAX_SWITCH_S = 5.0
"""Earliest begin of the switch, in seconds before the deadline: a longer canary detects more late defects."""
ARRIVAL_DEVIATIONS = 2.0
"""Standard deviations added to the expected number of arrivals: for a normal distribution the sum is exceeded in
about 1 of 40 plans."""


class Traffic(msgspec.Struct, frozen=True):
    """Requests sent to each version since the order; mean, highest recent and lowest recent rate per second."""

    current: int
    target: int
    mean_rate: float
    high_rate: float
    low_rate: float

    @property
    def total(self) -> int:
        """Number of requests sent to both versions."""
        return self.current + self.target


class TrafficLog:
    """Totals of requests in the last :data:`RATE_HISTORY_S` seconds, from which rates are computed."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, int]] = deque()

    def observe(self, since_order_s: float, current: int, target: int) -> Traffic:
        """Record the totals at a time since the order and return the traffic."""
        total = current + target
        if not self._samples or since_order_s > self._samples[-1][0]:
            self._samples.append((since_order_s, max(total, self._samples[-1][1]) if self._samples else total))
        while self._samples and self._samples[0][0] < since_order_s - RATE_HISTORY_S:
            self._samples.popleft()
        mean_rate = total / max(since_order_s, RATE_WINDOW_S)
        rates = self._rates()
        high_rate = min(max([mean_rate, *rates]), MAX_RATE_FACTOR * mean_rate)
        low_rate = min([mean_rate, *rates[-1:]])
        return Traffic(current, target, mean_rate, high_rate, low_rate)

    def _rates(self) -> list[float]:
        """Return the rates of successive windows of at least :data:`RATE_WINDOW_S`, in requests per second."""
        rates: list[float] = []
        start: tuple[float, int] | None = None
        for at_s, total in self._samples:
            if start is None:
                start = (at_s, total)
            elif at_s - start[0] >= RATE_WINDOW_S:
                rates.append((total - start[1]) / (at_s - start[0]))
                start = (at_s, total)
        return rates


class ExposurePlan(msgspec.Struct, frozen=True):
    """Limits for the next requests. The target version may get ``bound`` requests until the deadline and has got
    about ``spent``; ``expected_requests`` are still to arrive. ``share`` is the canary's share; ``switch_fits``
    tells whether the target version may get all that arrive."""

    bound: float
    spent: float
    expected_requests: float
    share: float
    switch_fits: bool


def plan_exposure(bounds: RolloutBounds, traffic: Traffic, left_s: float, share: float) -> ExposurePlan:
    """Return the plan with ``left_s`` seconds to the deadline and ``share`` in force; no bound applies after it."""
    if left_s <= 0.0:
        return ExposurePlan(math.inf, traffic.target, 0.0, OVERDUE_SHARE, True)
    expected = traffic.high_rate * left_s
    expected += ARRIVAL_DEVIATIONS * math.sqrt(expected)
    bound = bounds.exposure_share * (traffic.total + traffic.low_rate * left_s) + bounds.exposure_requests
    spent = traffic.target + share * traffic.high_rate * COUNT_LAG_S
    fits = spent + expected <= (LAST_DECISION_FRACTION if left_s <= LAST_DECISION_S else PLANNED_FRACTION) * bound
    next_share = _canary_share(bounds, traffic, left_s, bound, spent)
    return ExposurePlan(
        bound, spent, expected, _keep_if_similar(share, next_share), fits and left_s <= MAX_SWITCH_S
    )


def _canary_share(bounds: RolloutBounds, traffic: Traffic, left_s: float, bound: float, spent: float) -> float:
    """Return the share at which the canary uses up its budget by the deadline."""
    if traffic.total == 0:
        return CANARY_FRACTION * bounds.exposure_share
    if spent >= PLANNED_FRACTION * bound:
        return 0.0
    budget = min(CANARY_FRACTION * bound, max(HIGH_TRAFFIC_CANARY_FRACTION * bound, HIGH_TRAFFIC_CANARY_REQUESTS))
    budget_left = max(budget - spent, 0.0)
    expected = max(traffic.high_rate * left_s, 1.0)
    min_share = MIN_SHARE_FRACTION * bounds.exposure_share
    return min(max(budget_left / expected, min_share), MAX_CANARY_SHARE)


def _keep_if_similar(share: float, next_share: float) -> float:
    """Return ``next_share``, or ``share`` if the two differ by at most :data:`SHARE_TOLERANCE`."""
    if next_share > 0.0 and abs(next_share - share) <= SHARE_TOLERANCE * share:
        return share
    return round(next_share, 4)
