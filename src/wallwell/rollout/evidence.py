"""Measures, by the answers that nodes count, how strong the evidence is that a target version is bad. No I/O.

Failures, late first tokens and slow streams of the target version are compared with those of the current version,
by route and over all routes. Each test covers the answers since the order or since a later start, so that good
answers of the past do not hide a version that turns bad. All tests share one probability of a false alarm: each has
a weight, and the weights add up to at most 1.
Inputs: totals of answers and the seconds since the order. Owns past totals, which are the starts of later tests.
"""

from __future__ import annotations

import math

from wallwell.rollout.bad_answers import BadAnswers, RouteBaseline, bad_answers_since, count_since
from wallwell.rollout.likelihood import log_evidence, upper_rate
from wallwell.rollout.measures import (
    GENERATION_SLACK_BUCKETS,
    MEASURE_COUNT,
    SLOW_SLACK,
    SLOWNESS,
    USUAL_QUANTILE,
    Measure,
    VersionEvidence,
    count_bad,
)
from wallwell.rollout.model import AnswerSource, RolloutCounts
from wallwell.rollout.totals import Totals

RECENT_WINDOW_S = 4.0
"""Seconds of recent answers by which the current version is judged to be overloaded."""
MIN_RECENT_ANSWERS = 30
"""Answers of the current version that are needed within a recent span to compute a recent rate."""
OVERLOAD_FACTOR = 2.0
"""Ratio of the current version's recent rate of late answers to its overall rate above which it is overloaded."""
OVERLOAD_DISCOUNT = 0.5
"""Factor on the evidence of slowness while the current version is overloaded as well."""
PRESENT_WINDOW_S = 0.9
"""Least seconds of answers that represent the present state: counts of all nodes arrive within a second."""
MIN_PRESENT_ANSWERS = 60
"""Answers of the target version within the present window that are needed to conclude that it is not slow."""
MAX_WINDOW_STARTS = 64
"""Number of test starts besides the order, spread over twice the duration, after which every rollout has ended."""
MIN_START_SPACING_S = 0.5
"""Least seconds between two test starts: counts arrive every 0.3 s."""


class EvidenceLog:
    """Stores past totals as starts of tests and evaluates the newest totals against them."""

    def __init__(self, duration_s: float) -> None:
        self._start_spacing_s = max(MIN_START_SPACING_S, 2.0 * duration_s / MAX_WINDOW_STARTS)
        self._starts: dict[int, Totals] = {}
        self._newest = Totals(RolloutCounts(0), 0.0)
        self._comparison_start: Totals | None = None
        """The last totals without an answer of the target version. Earlier answers of the current version are not
        compared, since there are none of the target version."""
        self._slowness_start: Totals | None = None

    @property
    def newest(self) -> Totals:
        """The newest totals."""
        return self._newest

    def observe(self, counts: RolloutCounts, since_order_s: float) -> None:
        """Record totals. Some are stored as starts of tests, fewer of them the older they are."""
        self._newest = Totals(counts, since_order_s)
        if not self._newest.target_answers:
            self._comparison_start = self._newest
        step = int(since_order_s / self._start_spacing_s)
        if step >= 1 and step not in self._starts:
            self._starts[step] = self._newest
            self._starts = {at: kept for at, kept in self._starts.items() if _is_start_retained(step, at)}

    def evidence(self, measures: tuple[Measure, ...], is_switching: bool) -> VersionEvidence:
        """Return the strongest evidence by ``measures``; ``is_switching`` allows for cold caches of generations."""
        first_start = (self._slowness_start if measures is SLOWNESS else None) or self._comparison_start
        windows = [(first_start, math.log(0.5 / MEASURE_COUNT))]
        starts = [each for each in self._starts.values() if first_start is None or each.at_s > first_start.at_s]
        windows += [
            (start, math.log(0.5 / MAX_WINDOW_STARTS / MEASURE_COUNT))
            for start in starts
            if start is not self._newest
        ]
        best = VersionEvidence()
        for measure in measures:
            baselines = self._route_baselines(measure, is_switching)
            for start, log_weight in windows:
                best = self._strongest_since(measure, baselines, start, log_weight, best)
        return best

    def slowness_has_passed(self) -> bool:
        """Whether the answers of the last second or two, during the switch, are enough and show no slowness."""
        earlier = [each for each in self._starts.values() if self._newest.at_s - each.at_s >= PRESENT_WINDOW_S]
        start = max(earlier, key=lambda each: each.at_s, default=None)
        if start is None or self._newest.target_answers - start.target_answers < MIN_PRESENT_ANSWERS:
            return False
        return all(
            self._strongest_since(
                measure, self._route_baselines(measure, True), start, 0.0, VersionEvidence()
            ).single_test_log_evidence
            <= 0.0
            for measure in SLOWNESS
        )

    def ignore_past_slowness(self) -> None:
        """Test for slowness only by answers that arrive from now on."""
        self._slowness_start = self._newest

    def _route_baselines(self, measure: Measure, allow_cold_caches: bool) -> list[RouteBaseline]:
        found = (self._route_baseline(measure, route, allow_cold_caches) for route in self._newest.current_routes())
        return [baseline for baseline in found if baseline is not None]

    def _strongest_since(
        self,
        measure: Measure,
        baselines: list[RouteBaseline],
        start: Totals | None,
        log_weight: float,
        best: VersionEvidence,
    ) -> VersionEvidence:
        """Return ``best`` or stronger evidence of one measure since ``start``, by route or over all routes."""
        all_routes = BadAnswers()
        route_weight = log_weight - math.log(2 * max(len(baselines), 1))
        if not any(self._may_be_bad(start, measure, baseline) for baseline in baselines):
            return best
        null_rates = [self._null_rate_since(start, measure, baseline) for baseline in baselines]
        for baseline, sums in zip(baselines, bad_answers_since(start, measure, baselines, null_rates), strict=True):
            all_routes.bad_answers += sums.bad_answers
            all_routes.answers += sums.answers
            all_routes.allowed += sums.allowed
            best = self._stronger_evidence(best, measure, baseline.route, sums, route_weight)
        if len(baselines) > 1:
            best = self._stronger_evidence(best, measure, "", all_routes, log_weight - math.log(2))
        return best

    def _stronger_evidence(
        self, best: VersionEvidence, measure: Measure, route: str, sums: BadAnswers, log_weight: float
    ) -> VersionEvidence:
        if sums.bad_answers <= sums.allowed:
            return best
        unweighted = log_evidence(sums.bad_answers, sums.answers, sums.allowed / sums.answers)
        if measure.delay_field and self._is_overloaded(measure, route):
            unweighted *= OVERLOAD_DISCOUNT
        excess = sums.excess
        strongest, strongest_excess = best.single_test_log_evidence, best.single_test_excess
        if unweighted > strongest:
            strongest, strongest_excess = unweighted, excess
        weighted = unweighted + log_weight
        if weighted > best.log_evidence:
            return VersionEvidence(weighted, measure.name, route, excess, strongest, strongest_excess)
        return VersionEvidence(
            best.log_evidence, best.measure, best.route, best.excess, strongest, strongest_excess
        )

    def _route_baseline(self, measure: Measure, route: str, allow_cold_caches: bool) -> RouteBaseline | None:
        """Return the state of a measure on a route; None if the current version has no delays to compare with."""
        bucket = self._late_bucket(measure, route, allow_cold_caches)
        if bucket is None:
            return None
        backend_counts = [
            (source, *count_bad(self._newest, measure, source, bucket))
            for source in self._newest.target_sources.get(route, ())
        ]
        return RouteBaseline(route, bucket, self._null_rate(measure, route, bucket), backend_counts)

    def _late_bucket(self, measure: Measure, route: str, allow_cold_caches: bool) -> int | None:
        if not measure.delay_field:
            return 0
        source: AnswerSource = (route, False, "")
        usual_bucket = self._newest.quantile(source, measure.delay_field, USUAL_QUANTILE)
        if usual_bucket is None:
            return None
        bucket = usual_bucket + measure.buckets_above_usual
        is_generation = measure.delay_field == "first_delays" and bool(self._newest.by_source[source].piece_gaps)
        if is_generation:
            bucket += GENERATION_SLACK_BUCKETS + (measure.cold_cache_buckets if allow_cold_caches else 0)
        return bucket

    def _null_rate(self, measure: Measure, route: str, bucket: int) -> float:
        """Return the allowed rate of bad answers, by the overall and the recent rate of the current version."""
        rate = upper_rate(*count_bad(self._newest, measure, (route, False, ""), bucket))
        return measure.allowed_rate(max(rate, self._recent_rate(measure, route, bucket) or 0.0))

    def _may_be_bad(self, start: Totals | None, measure: Measure, baseline: RouteBaseline) -> bool:
        """Whether the target version gave more bad answers than allowed: a cheap check, which seldom finds any."""
        bad_answers, answers = self._newest.bad_of_targets(baseline.route, measure.delay_field, baseline.bucket)
        if start is not None:
            bad_before, answers_before = start.bad_of_targets(baseline.route, measure.delay_field, baseline.bucket)
            bad_answers, answers = bad_answers - bad_before, answers - answers_before
        return bad_answers > baseline.null_rate * answers

    def _null_rate_since(self, start: Totals | None, measure: Measure, baseline: RouteBaseline) -> float:
        """Return the allowed rate of bad answers since ``start``, raised if the current version's rate was higher
        then, as in an overload of both versions."""
        if start is None:
            return baseline.null_rate
        source: AnswerSource = (baseline.route, False, "")
        newest = (source, *count_bad(self._newest, measure, source, baseline.bucket))
        _, bad_answers, answers = count_since(start, measure, baseline, newest)
        if answers < MIN_RECENT_ANSWERS:
            return baseline.null_rate
        return max(baseline.null_rate, measure.allowed_rate(bad_answers / answers))

    def _recent_rate(self, measure: Measure, route: str, bucket: int) -> float | None:
        """Return the current version's recent rate of bad answers; None if there are too few answers."""
        starts = [start for start in self._starts.values() if self._newest.at_s - start.at_s <= RECENT_WINDOW_S]
        if not starts:
            return None
        start = min(starts, key=lambda each: each.at_s)
        source: AnswerSource = (route, False, "")
        bad_answers, answers = count_bad(self._newest, measure, source, bucket)
        bad_before, answers_before = count_bad(start, measure, source, bucket)
        if answers - answers_before < MIN_RECENT_ANSWERS:
            return None
        return max(bad_answers - bad_before, 0) / (answers - answers_before)

    def _is_overloaded(self, measure: Measure, route: str) -> bool:
        """Whether the current version is slow at the same time, on ``route`` or, if it is empty, on any route."""
        for each in [route] if route else self._newest.current_routes():
            bucket = self._late_bucket(measure, each, False)
            recent = None if bucket is None else self._recent_rate(measure, each, bucket)
            if bucket is None or recent is None:
                continue
            bad_answers, answers = count_bad(self._newest, measure, (each, False, ""), bucket)
            if recent > OVERLOAD_FACTOR * bad_answers / answers + SLOW_SLACK:
                return True
        return False


def _is_start_retained(step: int, start: int) -> bool:
    """Whether a test start is still stored: the last four are, then every second one, every fourth and so on."""
    age = step - start
    spacing = 1 << max(age.bit_length() - 2, 0)
    return start % spacing == 0
