"""How strong the evidence is that the target version of a rollout is bad, by the answers that nodes count. Pure.

Failures, late first tokens and slow streams of the target version are compared with the current one, by route and
over all routes. Tests run since the order and since later starts, so that a version that turns bad is not hidden by
its good past. All share one probability of a false alarm: each has a weight, and the weights add up to at most 1.

Inputs: totals of answers and the seconds since the order. Owns past totals, from which later tests start.
"""

from __future__ import annotations

import math

from wallwell.rollout.bad_answers import BadAnswers, RouteBasis, bad_answers_since, since_start
from wallwell.rollout.likelihood import log_evidence, upper_rate
from wallwell.rollout.measures import (
    GENERATION_BUCKETS,
    MEASURES,
    SLOW_SLACK,
    SLOWNESS,
    USUAL_FRACTION,
    Measure,
    VersionEvidence,
    count_bad,
)
from wallwell.rollout.model import RolloutCounts, Source
from wallwell.rollout.totals import Totals

RECENT_S = 4.0
"""Seconds over which a current version that is slower than before counts as overloaded."""
RECENT_ANSWERS = 30
"""Least answers of the current version in that span for such a judgement."""
OVERLOAD_FACTOR = 2.0
"""Ratio of the current version's recent rate of late answers to its overall one, from which it counts as
overloaded."""
OVERLOAD_DISCOUNT = 0.5
"""Factor on evidence of slowness while the current version is overloaded as well."""
NOW_S = 0.9
"""Least seconds of answers that show the present: counts of all nodes arrive within a second."""
NOW_ANSWERS = 60
"""Least answers of the target version in such a span to find that it is not slow."""
STARTS = 64
"""Starts of tests beside the order's, over twice the duration, at which a rollout ends at the latest."""
SHORTEST_START_STEP_S = 0.5
"""Least seconds between two starts: counts arrive every 0.3 s."""


class EvidenceLog:
    """Keeps totals of past times, as starts of tests, and returns the evidence of the newest ones."""

    def __init__(self, duration_s: float) -> None:
        self._step_s = max(SHORTEST_START_STEP_S, 2.0 * duration_s / STARTS)
        self._starts: dict[int, Totals] = {}
        self._newest = Totals(RolloutCounts(0), 0.0)
        self._before_target: Totals | None = None
        """The last totals without an answer of the target version; the current one's answers before have no
        counterpart."""
        self._forgotten: Totals | None = None

    @property
    def newest(self) -> Totals:
        """The newest totals."""
        return self._newest

    def observe(self, counts: RolloutCounts, since_order_s: float) -> None:
        """Record totals; some are kept as starts, the fewer the older."""
        self._newest = Totals(counts, since_order_s)
        if not self._newest.target_answers:
            self._before_target = self._newest
        step = int(since_order_s / self._step_s)
        if step >= 1 and step not in self._starts:
            self._starts[step] = self._newest
            self._starts = {at: kept for at, kept in self._starts.items() if _is_kept(step, at)}

    def evidence(self, measures: tuple[Measure, ...], is_switching: bool) -> VersionEvidence:
        """Return the strongest evidence by some measures; ``is_switching`` allows for the cold caches of
        generations."""
        first = (self._forgotten if measures is SLOWNESS else None) or self._before_target
        windows = [(first, math.log(0.5 / MEASURES))]
        starts = [each for each in self._starts.values() if first is None or each.at_s > first.at_s]
        windows += [(start, math.log(0.5 / STARTS / MEASURES)) for start in starts if start is not self._newest]
        best = VersionEvidence()
        for measure in measures:
            bases = self._bases(measure, is_switching)
            for start, log_weight in windows:
                best = self._strongest_since(measure, bases, start, log_weight, best)
        return best

    def slowness_has_passed(self) -> bool:
        """Whether enough answers of the last second or two alone, while the service moves, show no slowness."""
        earlier = [each for each in self._starts.values() if self._newest.at_s - each.at_s >= NOW_S]
        start = max(earlier, key=lambda each: each.at_s, default=None)
        if start is None or self._newest.target_answers - start.target_answers < NOW_ANSWERS:
            return False
        return all(
            self._strongest_since(
                measure, self._bases(measure, True), start, 0.0, VersionEvidence()
            ).strongest_single
            <= 0.0
            for measure in SLOWNESS
        )

    def forget_slowness(self) -> None:
        """Ignore slowness up to now: only later answers count."""
        self._forgotten = self._newest

    def _bases(self, measure: Measure, cold: bool) -> list[RouteBasis]:
        found = (self._basis(measure, route, cold) for route in self._newest.current_routes())
        return [basis for basis in found if basis is not None]

    def _strongest_since(
        self,
        measure: Measure,
        bases: list[RouteBasis],
        start: Totals | None,
        log_weight: float,
        best: VersionEvidence,
    ) -> VersionEvidence:
        """Return the stronger of ``best`` and the evidence of one measure since ``start``, by route and over
        all."""
        together = BadAnswers()
        route_weight = log_weight - math.log(2 * max(len(bases), 1))
        if not any(self._may_be_bad(start, measure, basis) for basis in bases):
            return best
        nulls = [self._null_since(start, measure, basis) for basis in bases]
        for basis, sums in zip(bases, bad_answers_since(start, measure, bases, nulls), strict=True):
            together.events += sums.events
            together.answers += sums.answers
            together.allowed += sums.allowed
            best = self._stronger(best, measure, basis.route, sums, route_weight)
        if len(bases) > 1:
            best = self._stronger(best, measure, "", together, log_weight - math.log(2))
        return best

    def _stronger(
        self, best: VersionEvidence, measure: Measure, route: str, sums: BadAnswers, log_weight: float
    ) -> VersionEvidence:
        if sums.events <= sums.allowed:
            return best
        single = log_evidence(sums.events, sums.answers, sums.allowed / sums.answers)
        if measure.field and self._overloaded(measure, route):
            single *= OVERLOAD_DISCOUNT
        excess = sums.excess
        strongest, strongest_excess = best.strongest_single, best.single_excess
        if single > strongest:
            strongest, strongest_excess = single, excess
        weighted = single + log_weight
        if weighted > best.log_evidence:
            return VersionEvidence(weighted, measure.name, route, excess, strongest, strongest_excess)
        return VersionEvidence(
            best.log_evidence, best.measure, best.route, best.excess, strongest, strongest_excess
        )

    def _basis(self, measure: Measure, route: str, cold: bool) -> RouteBasis | None:
        """Return what one measure counts of a route by now; None if there is nothing to compare with."""
        bucket = self._late_bucket(measure, route, cold)
        if bucket is None:
            return None
        counted = [
            (key, *count_bad(self._newest, measure, key, bucket)) for key in self._newest.targets.get(route, ())
        ]
        return RouteBasis(route, bucket, self._null_rate(measure, route, bucket), counted)

    def _late_bucket(self, measure: Measure, route: str, cold: bool) -> int | None:
        if not measure.field:
            return 0
        key: Source = (route, False, "")
        usual = self._newest.quantile(key, measure.field, USUAL_FRACTION)
        if usual is None:
            return None
        bucket = usual + measure.factor_buckets
        is_generation = measure.field == "first_delays" and bool(self._newest.by_key[key].piece_gaps)
        if is_generation:
            bucket += GENERATION_BUCKETS + (measure.cold_buckets if cold else 0)
        return bucket

    def _null_rate(self, measure: Measure, route: str, bucket: int) -> float:
        """Return the rate of bad answers that the target version may have, by the current one's overall and recent
        rates."""
        rate = upper_rate(*count_bad(self._newest, measure, (route, False, ""), bucket))
        return measure.with_slack(max(rate, self._recent(measure, route, bucket) or 0.0))

    def _may_be_bad(self, start: Totals | None, measure: Measure, basis: RouteBasis) -> bool:
        """Whether the target version gave more bad answers than are allowed: a cheap check that seldom holds."""
        events, answers = self._newest.of_targets(basis.route, measure.field, basis.bucket)
        if start is not None:
            before_events, before_answers = start.of_targets(basis.route, measure.field, basis.bucket)
            events, answers = events - before_events, answers - before_answers
        return events > basis.null_rate * answers

    def _null_since(self, start: Totals | None, measure: Measure, basis: RouteBasis) -> float:
        """Return the allowed rate for answers since ``start``: an overload of both versions may lie in just that
        span."""
        if start is None:
            return basis.null_rate
        key: Source = (basis.route, False, "")
        newest = (key, *count_bad(self._newest, measure, key, basis.bucket))
        _, events, answers = since_start(start, measure, basis, newest)
        if answers < RECENT_ANSWERS:
            return basis.null_rate
        return max(basis.null_rate, measure.with_slack(events / answers))

    def _recent(self, measure: Measure, route: str, bucket: int) -> float | None:
        """Return the current version's recent rate of bad answers; None if there are too few answers."""
        ages = [start for start in self._starts.values() if self._newest.at_s - start.at_s <= RECENT_S]
        if not ages:
            return None
        start = min(ages, key=lambda each: each.at_s)
        key: Source = (route, False, "")
        events, answers = count_bad(self._newest, measure, key, bucket)
        before_events, before_answers = count_bad(start, measure, key, bucket)
        if answers - before_answers < RECENT_ANSWERS:
            return None
        return max(events - before_events, 0) / (answers - before_answers)

    def _overloaded(self, measure: Measure, route: str) -> bool:
        """Whether the current version is slow at the same time, on the route or, for all routes, on any."""
        for each in [route] if route else self._newest.current_routes():
            bucket = self._late_bucket(measure, each, False)
            recent = None if bucket is None else self._recent(measure, each, bucket)
            if bucket is None or recent is None:
                continue
            events, answers = count_bad(self._newest, measure, (each, False, ""), bucket)
            if recent > OVERLOAD_FACTOR * events / answers + SLOW_SLACK:
                return True
        return False


def _is_kept(step: int, start: int) -> bool:
    """Whether a start is still used: all of the last four, then every second one, every fourth and so on."""
    age = step - start
    spacing = 1 << max(age.bit_length() - 2, 0)
    return start % spacing == 0
