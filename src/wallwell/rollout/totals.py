"""Totals of answers, added up over nodes' lives, and as a snapshot to be compared with a later one. Pure.

A :class:`Totals` owns its counts and caches sums of them; it never changes after it was made.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from wallwell.rollout.model import AnswerCounts, RolloutCounts, Source

NEAR_CERTAIN_DEVIATIONS = 3.0
"""Standard deviations below the expected number of answers that a route's answers stay above with near certainty
(999 of 1,000 for a normal distribution)."""


def merge(parts: Iterable[RolloutCounts], order: int) -> RolloutCounts:
    """Return the sum of what nodes sent and received, each life of a node apart; other orders' parts are left
    out."""
    current_requests = target_requests = 0
    answers: dict[Source, AnswerCounts] = {}
    for part in parts:
        if part.order != order:
            continue
        current_requests += part.current_requests
        target_requests += part.target_requests
        for each in part.answers:
            key = each.source
            known = answers.get(key)
            answers[key] = each if known is None else _sum(known, each)
    return RolloutCounts(order, current_requests, target_requests, tuple(answers.values()))


def _sum(first: AnswerCounts, second: AnswerCounts) -> AnswerCounts:
    return AnswerCounts(
        first.route,
        first.is_target,
        first.backend,
        first.answered + second.answered,
        first.failed + second.failed,
        first.broken + second.broken,
        _sum_buckets(first.first_delays, second.first_delays),
        _sum_buckets(first.piece_gaps, second.piece_gaps),
    )


def _sum_buckets(first: Mapping[int, int], second: Mapping[int, int]) -> dict[int, int]:
    buckets = dict(first)
    for bucket, count in second.items():
        buckets[bucket] = buckets.get(bucket, 0) + count
    return buckets


class Totals:
    """Answers as they were counted ``at_s`` seconds after the order. Sums that are needed often are cached."""

    def __init__(self, counts: RolloutCounts, at_s: float) -> None:
        self.at_s = at_s
        self.by_key: dict[Source, AnswerCounts] = {}
        self.targets: dict[str, list[Source]] = {}
        """Sources of target back ends by route."""
        for each in merge((counts,), counts.order).answers:
            key = each.source
            self.by_key[key] = each
            if each.is_target:
                self.targets.setdefault(each.route, []).append(key)
        self.target_answers = sum(each.answered for key, each in self.by_key.items() if key[1])
        self._beyond: dict[tuple[Source, str, int], tuple[int, int]] = {}
        self._of_targets: dict[tuple[str, str, int], tuple[int, int]] = {}

    def current_routes(self) -> list[str]:
        """Return the routes that current back ends have answered."""
        return [route for route, is_target, _ in self.by_key if not is_target]

    def answered(self, route: str, is_target: bool) -> int:
        """Return how many whole answers of a route the target version, or the current ones, have given."""
        if not is_target:
            each = self.by_key.get((route, False, ""))
            return 0 if each is None else each.answered
        return sum(self.by_key[key].answered for key in self.targets.get(route, ()))

    def failed(self, key: Source) -> tuple[int, int]:
        """Return failed and all answers of a source."""
        each = self.by_key.get(key)
        return (0, 0) if each is None else (each.failed, each.answered)

    def beyond(self, key: Source, field: str, bucket: int) -> tuple[int, int]:
        """Return answers above a bucket of ``field`` (``first_delays``, ``piece_gaps``), and all counted there."""
        known = self._beyond.get((key, field, bucket))
        if known is not None:
            return known
        each = self.by_key.get(key)
        buckets: Mapping[int, int] = {} if each is None else getattr(each, field)
        above = sum(count for at, count in buckets.items() if at > bucket)
        found = (above, sum(buckets.values()))
        self._beyond[(key, field, bucket)] = found
        return found

    def of_targets(self, route: str, field: str, bucket: int) -> tuple[int, int]:
        """Return bad and all answers of all target back ends on a route; without a field the failed ones."""
        known = self._of_targets.get((route, field, bucket))
        if known is None:
            keys = self.targets.get(route, ())
            counted = [self.beyond(key, field, bucket) if field else self.failed(key) for key in keys]
            known = (sum(each[0] for each in counted), sum(each[1] for each in counted))
            self._of_targets[(route, field, bucket)] = known
        return known

    def quantile(self, key: Source, field: str, fraction: float) -> int | None:
        """Return the bucket at or below which ``fraction`` of a source's answers are; None without answers."""
        each = self.by_key.get(key)
        buckets: Mapping[int, int] = {} if each is None else getattr(each, field)
        left = fraction * sum(buckets.values())
        for bucket in sorted(buckets):
            left -= buckets[bucket]
            if left <= 0:
                return bucket
        return None


def answers_short(totals: Totals, route_answers: int) -> dict[str, int]:
    """Return the routes on which the target version has answered too few requests, with the number needed.

    A route needs ``route_answers``, or as many as its traffic gives with near certainty
    (:data:`NEAR_CERTAIN_DEVIATIONS`) by the current version's answers. So a rare route needs few or none.
    """
    routes = totals.current_routes()
    current = sum(totals.answered(route, False) for route in routes)
    target = sum(totals.answered(route, True) for route in routes)
    short: dict[str, int] = {}
    for route in routes:
        expected = target * totals.answered(route, False) / max(current, 1)
        least = min(route_answers, math.floor(expected - NEAR_CERTAIN_DEVIATIONS * math.sqrt(expected)))
        if totals.answered(route, True) < least:
            short[route] = least
    return short
