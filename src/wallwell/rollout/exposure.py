"""How many requests the target version of a rollout may get, and from when on it may get all. Pure.

``B = exposure_share x N + exposure_requests`` is the bound, with ``N`` the requests between order and deadline.
Inputs: totals of requests, the time left and the share in force. Owns the totals of the last seconds. The plan
shows in the log as ``exposure_...`` among the inputs of ``ROLLOUT_DECIDED`` (7008).
"""

from __future__ import annotations

import math
from collections import deque

import msgspec

from wallwell.rollout.model import RolloutBounds

CANARY_FRACTION = 0.5
"""Fraction of the bound that the canary spends where requests are few."""
HIGH_TRAFFIC_CANARY_FRACTION = 0.25
"""Fraction of the bound that it spends where requests are many."""
HIGH_TRAFFIC_CANARY_REQUESTS = 600.0
"""Requests beyond which the canary spends only :data:`HIGH_TRAFFIC_CANARY_FRACTION`: 400 answers show failures of 5
in 100. What it leaves makes the switch longer, so that more requests in flight at current back ends end by
themselves."""
PLANNED_FRACTION = 0.8
"""Fraction of the bound that is planned to be spent; the rest is for bursts and for counts that lag."""
LAST_DECISION_FRACTION = 0.95
"""Fraction of the bound that the last decision before the deadline may plan with: little can go wrong after it."""
LAST_DECISION_S = 0.4
"""Seconds before the deadline at which the next decision would come too late: more than two steps of the driver
(0.15 s each)."""
COUNT_LAG_S = 1.0
"""Age in seconds of the oldest counts: nodes send every 0.3 s, a large fleet up to every second."""
RATE_WINDOW_S = 1.0
"""Seconds over which a rate is taken: several reports of each node."""
RATE_HISTORY_S = 10.0
"""Seconds for which a burst is remembered."""
MAX_RATE_FACTOR = 3.0
"""Largest multiple of the mean rate since the order that a rate counts as: a higher one comes of counts that
arrived late at a new holder."""
MIN_SHARE_FRACTION = 0.2
"""Fraction of ``exposure_share`` that a canary gets also when its budget is spent: a version that turns bad late
shows by it."""
MAX_CANARY_SHARE = 0.3
"""Largest share of a canary before the deadline: its share follows a burst only after counts and record have
arrived."""
OVERDUE_SHARE = 0.25
"""Share after the deadline, where no bound holds and more answers are needed."""
SHARE_TOLERANCE = 0.25
"""Relative change up to which the share stays: every change is a write and a row to all nodes."""
MAX_SWITCH_S = 5.0
"""Seconds before the deadline at which the switch begins at the earliest: the longer the canary, the more late
turns it shows."""
ARRIVAL_DEVIATIONS = 2.0
"""Standard deviations of the number of arrivals that are planned for: exceeded in about 1 of 40 plans for a normal
distribution."""


class Traffic(msgspec.Struct, frozen=True):
    """Requests sent since the order, and rates in requests a second: the mean, the highest and the lowest of
    late."""

    current: int
    target: int
    mean_rate: float
    high_rate: float
    low_rate: float

    @property
    def total(self) -> int:
        """Requests to both versions."""
        return self.current + self.target


class TrafficLog:
    """Keeps the totals of the last seconds, for rates."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, int]] = deque()

    def observe(self, since_order_s: float, current: int, target: int) -> Traffic:
        """Record totals and return the traffic by them."""
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
        """Return the rates of windows of at least :data:`RATE_WINDOW_S`, one by one."""
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
    """The plan. ``bound``, ``spent`` and ``coming`` count requests; ``switch_fits`` if ``coming`` may all go to the
    target."""

    bound: float
    spent: float
    expected_requests: float
    share: float
    switch_fits: bool


def plan_exposure(bounds: RolloutBounds, traffic: Traffic, left_s: float, share: float) -> ExposurePlan:
    """Plan with ``left_s`` seconds to the deadline and ``share`` in force. No bound holds after the deadline."""
    if left_s <= 0.0:
        return ExposurePlan(math.inf, traffic.target, 0.0, OVERDUE_SHARE, True)
    expected_requests = traffic.high_rate * left_s
    expected_requests += ARRIVAL_DEVIATIONS * math.sqrt(expected_requests)
    bound = bounds.exposure_share * (traffic.total + traffic.low_rate * left_s) + bounds.exposure_requests
    spent = traffic.target + share * traffic.high_rate * COUNT_LAG_S
    switch_fits = (
        spent + expected_requests
        <= (LAST_DECISION_FRACTION if left_s <= LAST_DECISION_S else PLANNED_FRACTION) * bound
    )
    next_share = _canary_share(bounds, traffic, left_s, bound, spent)
    return ExposurePlan(
        bound, spent, expected_requests, _keep_if_similar(share, next_share), switch_fits and left_s <= MAX_SWITCH_S
    )


def _canary_share(bounds: RolloutBounds, traffic: Traffic, left_s: float, bound: float, spent: float) -> float:
    """Return the share that spends the canary's budget until the deadline."""
    if traffic.total == 0:
        return CANARY_FRACTION * bounds.exposure_share
    if spent >= PLANNED_FRACTION * bound:
        return 0.0
    budget = min(CANARY_FRACTION * bound, max(HIGH_TRAFFIC_CANARY_FRACTION * bound, HIGH_TRAFFIC_CANARY_REQUESTS))
    budget_left = max(budget - spent, 0.0)
    expected = max(traffic.high_rate * left_s, 1.0)
    least_share = MIN_SHARE_FRACTION * bounds.exposure_share
    return min(max(budget_left / expected, least_share), MAX_CANARY_SHARE)


def _keep_if_similar(share: float, next_share: float) -> float:
    """Return ``share`` where the next one differs little."""
    if next_share > 0.0 and abs(next_share - share) <= SHARE_TOLERANCE * share:
        return share
    return round(next_share, 4)
