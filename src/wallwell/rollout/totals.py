"""Totals of answers, summed over nodes, as snapshots that are compared with later ones. No I/O.

A :class:`Totals` owns its counts and caches sums of them; its counts never change.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from wallwell.rollout.model import AnswerCounts, AnswerSource, RolloutCounts

NEAR_CERTAIN_DEVIATIONS = 3.0
"""Standard deviations below the expected number of answers that a route's answers exceed with near certainty (999
of 1,000 for a normal distribution)."""


def merge_counts(parts: Iterable[RolloutCounts], order: int) -> RolloutCounts:
    """Return the sum of the ``parts`` (one for each incarnation of a node) that belong to ``order``."""
    current_requests = target_requests = 0
    answers: dict[AnswerSource, AnswerCounts] = {}
    for part in parts:
        if part.order != order:
            continue
        current_requests += part.current_requests
        target_requests += part.target_requests
        for each in part.answers:
            source = each.source
            summed = answers.get(source)
            answers[source] = each if summed is None else _sum_answers(summed, each)
    return RolloutCounts(order, current_requests, target_requests, tuple(answers.values()))


def _sum_answers(first: AnswerCounts, second: AnswerCounts) -> AnswerCounts:
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
    """Answers that had been counted ``at_s`` seconds after the order. Sums that are needed often are cached."""

    def __init__(self, counts: RolloutCounts, at_s: float) -> None:
        self.at_s = at_s
        self.by_source: dict[AnswerSource, AnswerCounts] = {}
        self.target_sources: dict[str, list[AnswerSource]] = {}
        """Sources of target back ends by route."""
        for each in merge_counts((counts,), counts.order).answers:
            source = each.source
            self.by_source[source] = each
            if each.is_target:
                self.target_sources.setdefault(each.route, []).append(source)
        self.target_answers = sum(each.answered for source, each in self.by_source.items() if source[1])
        self._above_by_bucket: dict[tuple[AnswerSource, str, int], tuple[int, int]] = {}
        self._bad_of_targets: dict[tuple[str, str, int], tuple[int, int]] = {}

    def current_routes(self) -> list[str]:
        """Return the routes that current back ends have answered."""
        return [route for route, is_target, _ in self.by_source if not is_target]

    def count_answered(self, route: str, is_target: bool) -> int:
        """Return the number of complete answers on a route by the target version, or by the current one."""
        if not is_target:
            each = self.by_source.get((route, False, ""))
            return 0 if each is None else each.answered
        return sum(self.by_source[source].answered for source in self.target_sources.get(route, ()))

    def count_failed(self, source: AnswerSource) -> tuple[int, int]:
        """Return the numbers of failed and of all answers of a source."""
        each = self.by_source.get(source)
        return (0, 0) if each is None else (each.failed, each.answered)

    def count_above(self, source: AnswerSource, delay_field: str, bucket: int) -> tuple[int, int]:
        """Return the numbers of answers above ``bucket`` and of all in ``first_delays`` or ``piece_gaps``."""
        cached = self._above_by_bucket.get((source, delay_field, bucket))
        if cached is not None:
            return cached
        each = self.by_source.get(source)
        buckets: Mapping[int, int] = {} if each is None else getattr(each, delay_field)
        above = sum(count for at, count in buckets.items() if at > bucket)
        counts_above = (above, sum(buckets.values()))
        self._above_by_bucket[(source, delay_field, bucket)] = counts_above
        return counts_above

    def bad_of_targets(self, route: str, delay_field: str, bucket: int) -> tuple[int, int]:
        """Return the numbers of bad and of all answers of all target back ends on a route: answers above
        ``bucket``, or failed ones if ``delay_field`` is empty."""
        cached = self._bad_of_targets.get((route, delay_field, bucket))
        if cached is None:
            sources = self.target_sources.get(route, ())
            counted = [
                self.count_above(source, delay_field, bucket) if delay_field else self.count_failed(source)
                for source in sources
            ]
            cached = (sum(each[0] for each in counted), sum(each[1] for each in counted))
            self._bad_of_targets[(route, delay_field, bucket)] = cached
        return cached

    def quantile(self, source: AnswerSource, delay_field: str, fraction: float) -> int | None:
        """Return the lowest bucket up to which ``fraction`` of a source's answers lie; None without answers."""
        each = self.by_source.get(source)
        buckets: Mapping[int, int] = {} if each is None else getattr(each, delay_field)
        remaining = fraction * sum(buckets.values())
        for bucket in sorted(buckets):
            remaining -= buckets[bucket]
            if remaining <= 0:
                return bucket
        return None


def routes_short_of_answers(totals: Totals, route_answers: int) -> dict[str, int]:
    """Return the routes on which the target version has answered too few requests, with the number required.

    A route requires ``route_answers``, or fewer if its traffic, by the current version's answers, does not give as
    many with near certainty (:data:`NEAR_CERTAIN_DEVIATIONS`). So a rarely used route requires few or none.
    """
    routes = totals.current_routes()
    current = sum(totals.count_answered(route, False) for route in routes)
    target = sum(totals.count_answered(route, True) for route in routes)
    needed_by_route: dict[str, int] = {}
    for route in routes:
        expected = target * totals.count_answered(route, False) / max(current, 1)
        needed = min(route_answers, math.floor(expected - NEAR_CERTAIN_DEVIATIONS * math.sqrt(expected)))
        if totals.count_answered(route, True) < needed:
            needed_by_route[route] = needed
    return needed_by_route
