"""How many requests the target side of a rollout may get, and from when on it may get all. Pure.

``B = exposure_share x N + exposure_requests`` is the bound, with ``N`` the requests between order and deadline.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from wallwell.rollout.model import RolloutBounds

CANARY_FRACTION = 0.5
"""Part of the bound that the canary spends where answers are few."""
CANARY_PART_OF_MANY = 0.25
CANARY_ENOUGH = 600.0
"""Requests beyond which the canary spends only :data:`CANARY_PART_OF_MANY`: 400 answers show failures of 5 in 100.
What it leaves makes the switch longer, so that more of what is under way on the current side ends by itself."""
SPENT_FRACTION = 0.8
"""Part of the bound that is planned to be spent; the rest is for bursts and for counts that lag."""
LAST_FRACTION = 0.95
"""Part of the bound that the last decision before the deadline may plan with: little is left to go otherwise."""
LAST_DECISION_S = 0.4
"""Time before the deadline at which the next decision would come too late."""
COUNT_LAG_S = 1.0
"""Age of the oldest counts: nodes send every 0.3 s, a large fleet up to every second."""
WINDOW_S = 1.0
"""Span over which a rate is taken: several reports of each node."""
MEMORY_S = 10.0
"""How long a burst is remembered."""
LARGEST_RATE_FACTOR = 3.0
"""What a rate may lie above the mean since the order; more is taken for counts that came late to a new holder."""
LEAST_FRACTION = 0.2
"""Part of ``exposure_share`` that a canary gets also when its part is spent: what turns bad late shows by it."""
LARGEST_SHARE = 0.3
"""Most that a canary gets of the requests before the deadline: its share follows a burst after counts and row."""
OVERDUE_SHARE = 0.25
"""Share after the deadline, where only the answers are short."""
SHARE_TOLERANCE = 0.25
"""Relative change below which the share stays: every change is a write and a row to all nodes."""
LONGEST_SWITCH_S = 5.0
"""The switch begins at most this long before the deadline: what turns bad later should show before it."""
DEVIATIONS = 2.0
"""Standard deviations of a count of arrivals that are planned for."""


@dataclass(frozen=True)
class Traffic:
    """What was sent since the order and how fast, in requests a second. ``high_rate`` is the greatest of late."""

    current: int
    target: int
    mean_rate: float
    high_rate: float
    low_rate: float

    @property
    def total(self) -> int:
        """Requests of both sides."""
        return self.current + self.target


class TrafficLog:
    """Keeps the totals of the last seconds, for rates."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, int]] = deque()

    def observe(self, since_order_s: float, current: int, target: int) -> Traffic:
        """Take in totals and return the traffic by them."""
        total = current + target
        if not self._samples or since_order_s > self._samples[-1][0]:
            self._samples.append((since_order_s, max(total, self._samples[-1][1]) if self._samples else total))
        while self._samples and self._samples[0][0] < since_order_s - MEMORY_S:
            self._samples.popleft()
        mean = total / max(since_order_s, WINDOW_S)
        rates = self._rates()
        high = min(max([mean, *rates]), LARGEST_RATE_FACTOR * mean)
        low = min([mean, *rates[-1:]])
        return Traffic(current, target, mean, high, low)

    def _rates(self) -> list[float]:
        """Return the rates of windows of at least :data:`WINDOW_S`, one by one."""
        rates: list[float] = []
        start: tuple[float, int] | None = None
        for at_s, total in self._samples:
            if start is None:
                start = (at_s, total)
            elif at_s - start[0] >= WINDOW_S:
                rates.append((total - start[1]) / (at_s - start[0]))
                start = (at_s, total)
        return rates


@dataclass(frozen=True)
class Exposure:
    """The plan: share of the canary, and whether the switch fits what is left. Counts of requests."""

    bound: float
    spent: float
    coming: float
    share: float
    switch_fits: bool


def plan_exposure(bounds: RolloutBounds, traffic: Traffic, left_s: float, share: float) -> Exposure:
    """Plan with ``left_s`` before the deadline and ``share`` in force. Nothing is bound after the deadline."""
    if left_s <= 0.0:
        return Exposure(math.inf, traffic.target, 0.0, OVERDUE_SHARE, True)
    coming = traffic.high_rate * left_s
    coming += DEVIATIONS * math.sqrt(coming)
    bound = bounds.exposure_share * (traffic.total + traffic.low_rate * left_s) + bounds.exposure_requests
    spent = traffic.target + share * traffic.high_rate * COUNT_LAG_S
    fits = spent + coming <= (LAST_FRACTION if left_s <= LAST_DECISION_S else SPENT_FRACTION) * bound
    next_share = _canary_share(bounds, traffic, left_s, bound, spent)
    return Exposure(bound, spent, coming, _steady(share, next_share), fits and left_s <= LONGEST_SWITCH_S)


def _canary_share(bounds: RolloutBounds, traffic: Traffic, left_s: float, bound: float, spent: float) -> float:
    """Return the share that spends the canary's part of the bound until the deadline."""
    if traffic.total == 0:
        return CANARY_FRACTION * bounds.exposure_share
    if spent >= SPENT_FRACTION * bound:
        return 0.0
    part = min(CANARY_FRACTION * bound, max(CANARY_PART_OF_MANY * bound, CANARY_ENOUGH))
    left = max(part - spent, 0.0)
    expected = max(traffic.high_rate * left_s, 1.0)
    least = LEAST_FRACTION * bounds.exposure_share
    return min(max(left / expected, least), LARGEST_SHARE)


def _steady(share: float, next_share: float) -> float:
    """Return ``share`` where the next one differs little."""
    if next_share > 0.0 and abs(next_share - share) <= SHARE_TOLERANCE * share:
        return share
    return round(next_share, 4)
