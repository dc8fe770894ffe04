"""Whether the target version of a rollout is bad, by the answers that nodes count. Pure.

Failures, late first pieces and slow pieces of the target side are compared with the current side, by route and over
all routes. Tests run since the order and since later starts, so that a version that turns bad is not hidden by its
good past. All share one chance of a false alarm: each has a weight, and the weights add up to at most 1.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from wallwell.rollout.likelihood import log_evidence, upper_rate
from wallwell.rollout.measures import (
    GENERATION_BUCKETS,
    MEASURES,
    SLOW_SLACK,
    SLOWNESS,
    USUAL_FRACTION,
    Measure,
    Verdict,
    count_bad,
)
from wallwell.rollout.model import RolloutCounts
from wallwell.rollout.totals import Key, Totals

BACKENDS_TO_LEAVE_ONE_OUT = 3
"""Target back ends with answers from which the worst one counts as no worse than the others: a sick machine
condemns no version."""
RECENT_S = 4.0
"""Span in which a current side that is worse than before counts as overloaded."""
RECENT_ANSWERS = 30
"""Least answers of the current side in that span to say so."""
OVERLOAD_FACTOR = 2.0
"""The recent part of late answers of the current side above that of all, from which it counts as overloaded."""
OVERLOAD_DISCOUNT = 0.5
"""What evidence of slowness counts for while the current side is overloaded as well."""
NOW_S = 0.9
"""Least span of answers that say how it is now: counts of all nodes come within a second."""
NOW_ANSWERS = 60
"""Least answers of the target side in such a span to say that it is not slow."""
STARTS = 64
"""Starts of tests beside the order's, over twice the duration."""
SHORTEST_START_STEP_S = 0.5
"""Least time between two starts: counts arrive every 0.3 s."""


@dataclass
class _Sums:
    """Bad and all answers of a test, and how many bad ones the null rates allow."""

    events: float = 0.0
    answers: int = 0
    allowed: float = 0.0

    @property
    def excess(self) -> float:
        """Bad answers beyond the allowed."""
        return self.events - self.allowed

    def add(self, events: float, answers: int, null_rate: float) -> None:
        """Add answers of which ``null_rate`` may be bad."""
        self.events += events
        self.answers += answers
        self.allowed += null_rate * answers


@dataclass(frozen=True)
class _Basis:
    """What one measure sees of a route by now: bucket beyond which answers are bad, the rate of bad answers that is
    allowed, and bad and all answers of each target back end."""

    route: str
    bucket: int
    null_rate: float
    counted: list[tuple[Key, int, int]]


class EvidenceLog:
    """Keeps totals of past times, as starts of tests, and judges the newest ones."""

    def __init__(self, duration_s: float) -> None:
        self._step_s = max(SHORTEST_START_STEP_S, 2.0 * duration_s / STARTS)
        self._starts: dict[int, Totals] = {}
        self._newest = Totals(RolloutCounts(0), 0.0)
        self._before_target: Totals | None = None
        """The last totals without an answer of the target side: what the current side gave before has no match."""
        self._forgotten: Totals | None = None

    @property
    def newest(self) -> Totals:
        """The totals seen last."""
        return self._newest

    def observe(self, counts: RolloutCounts, since_order_s: float) -> None:
        """Take in totals; some are kept as starts, the fewer the older."""
        self._newest = Totals(counts, since_order_s)
        if not self._newest.target_answers:
            self._before_target = self._newest
        step = int(since_order_s / self._step_s)
        if step >= 1 and step not in self._starts:
            self._starts[step] = self._newest
            self._starts = {at: kept for at, kept in self._starts.items() if _is_kept(step, at)}

    def verdict(self, measures: tuple[Measure, ...], is_switching: bool) -> Verdict:
        """Judge the newest totals; ``is_switching`` allows first pieces of generations what cold caches cost."""
        first = (self._forgotten if measures is SLOWNESS else None) or self._before_target
        windows = [(first, math.log(0.5 / MEASURES))]
        starts = [each for each in self._starts.values() if first is None or each.at_s > first.at_s]
        windows += [(start, math.log(0.5 / STARTS / MEASURES)) for start in starts if start is not self._newest]
        best = Verdict()
        for measure in measures:
            bases = self._bases(measure, is_switching)
            for start, log_weight in windows:
                best = self._judge(measure, bases, start, log_weight, best)
        return best

    def slowness_has_passed(self) -> bool:
        """Whether enough answers of the last second or two alone, while the service moves, show no slowness."""
        earlier = [each for each in self._starts.values() if self._newest.at_s - each.at_s >= NOW_S]
        start = max(earlier, key=lambda each: each.at_s, default=None)
        if start is None or self._newest.target_answers - start.target_answers < NOW_ANSWERS:
            return False
        return all(
            self._judge(measure, self._bases(measure, True), start, 0.0, Verdict()).strongest_single <= 0.0
            for measure in SLOWNESS
        )

    def forget_slowness(self) -> None:
        """Take slowness up to now for a passing one: only later answers count."""
        self._forgotten = self._newest

    def _bases(self, measure: Measure, cold: bool) -> list[_Basis]:
        found = (self._basis(measure, route, cold) for route in self._newest.current_routes())
        return [basis for basis in found if basis is not None]

    def _judge(
        self, measure: Measure, bases: list[_Basis], start: Totals | None, log_weight: float, best: Verdict
    ) -> Verdict:
        """Return the worse of ``best`` and what one measure says since ``start``, by route and over all."""
        together = _Sums()
        route_weight = log_weight - math.log(2 * max(len(bases), 1))
        if not any(self._may_be_bad(start, measure, basis) for basis in bases):
            return best
        nulls = [self._null_since(start, measure, basis) for basis in bases]
        for basis, sums in zip(bases, _since(start, measure, bases, nulls), strict=True):
            together.events += sums.events
            together.answers += sums.answers
            together.allowed += sums.allowed
            best = self._worse(best, measure, basis.route, sums, route_weight)
        if len(bases) > 1:
            best = self._worse(best, measure, "", together, log_weight - math.log(2))
        return best

    def _worse(self, best: Verdict, measure: Measure, route: str, sums: _Sums, log_weight: float) -> Verdict:
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
            return Verdict(weighted, measure.name, route, excess, strongest, strongest_excess)
        return Verdict(best.log_evidence, best.measure, best.route, best.excess, strongest, strongest_excess)

    def _basis(self, measure: Measure, route: str, cold: bool) -> _Basis | None:
        """Return what one measure sees of a route by now; None if nothing can be said."""
        bucket = self._late_bucket(measure, route, cold)
        if bucket is None:
            return None
        counted = [
            (key, *count_bad(self._newest, measure, key, bucket)) for key in self._newest.targets.get(route, ())
        ]
        return _Basis(route, bucket, self._null_rate(measure, route, bucket), counted)

    def _late_bucket(self, measure: Measure, route: str, cold: bool) -> int | None:
        if not measure.field:
            return 0
        key: Key = (route, False, "")
        usual = self._newest.quantile(key, measure.field, USUAL_FRACTION)
        if usual is None:
            return None
        bucket = usual + measure.factor_buckets
        is_generation = measure.field == "first_delays" and bool(self._newest.by_key[key].piece_gaps)
        if is_generation:
            bucket += GENERATION_BUCKETS + (measure.cold_buckets if cold else 0)
        return bucket

    def _null_rate(self, measure: Measure, route: str, bucket: int) -> float:
        """Return what the target side's rate may be at most by the current side's, over all and of late."""
        rate = upper_rate(*count_bad(self._newest, measure, (route, False, ""), bucket))
        return measure.with_slack(max(rate, self._recent(measure, route, bucket) or 0.0))

    def _may_be_bad(self, start: Totals | None, measure: Measure, basis: _Basis) -> bool:
        """Whether the target side gave more bad answers than are allowed, which is seldom: a cheap question."""
        events, answers = self._newest.of_targets(basis.route, measure.field, basis.bucket)
        if start is not None:
            before_events, before_answers = start.of_targets(basis.route, measure.field, basis.bucket)
            events, answers = events - before_events, answers - before_answers
        return events > basis.null_rate * answers

    def _null_since(self, start: Totals | None, measure: Measure, basis: _Basis) -> float:
        """Return the same for answers since ``start``: an overload of both sides may lie in just that span."""
        if start is None:
            return basis.null_rate
        key: Key = (basis.route, False, "")
        newest = (key, *count_bad(self._newest, measure, key, basis.bucket))
        _, events, answers = _less(start, measure, basis, newest)
        if answers < RECENT_ANSWERS:
            return basis.null_rate
        return max(basis.null_rate, measure.with_slack(events / answers))

    def _recent(self, measure: Measure, route: str, bucket: int) -> float | None:
        """Return the current side's rate of bad answers of late; None if too few answers say so."""
        ages = [start for start in self._starts.values() if self._newest.at_s - start.at_s <= RECENT_S]
        if not ages:
            return None
        start = min(ages, key=lambda each: each.at_s)
        key: Key = (route, False, "")
        events, answers = count_bad(self._newest, measure, key, bucket)
        before_events, before_answers = count_bad(start, measure, key, bucket)
        if answers - before_answers < RECENT_ANSWERS:
            return None
        return max(events - before_events, 0) / (answers - before_answers)

    def _overloaded(self, measure: Measure, route: str) -> bool:
        """Whether the current side is slow at the same time, on the route or on any one."""
        for each in [route] if route else self._newest.current_routes():
            bucket = self._late_bucket(measure, each, False)
            recent = None if bucket is None else self._recent(measure, each, bucket)
            if bucket is None or recent is None:
                continue
            events, answers = count_bad(self._newest, measure, (each, False, ""), bucket)
            if recent > OVERLOAD_FACTOR * events / answers + SLOW_SLACK:
                return True
        return False


def _since(start: Totals | None, measure: Measure, bases: list[_Basis], nulls: list[float]) -> list[_Sums]:
    """Return bad and all answers of the target side since ``start``, by route, with ``nulls`` the allowed rates.

    Where enough back ends answered, the one with most bad answers beyond the allowed counts as no worse than the
    others. Lowering a count keeps the test valid; leaving the back end out would cost a third of three's answers.
    """
    counted: list[list[tuple[Key, int, int]]] = []
    backends: dict[str, _Sums] = {}
    for basis, null_rate in zip(bases, nulls, strict=True):
        seen = basis.counted if start is None else [_less(start, measure, basis, each) for each in basis.counted]
        counted.append(seen)
        for key, events, answers in seen:
            if answers:
                backends.setdefault(key[2], _Sums()).add(events, answers, null_rate)
    worst = ""
    answering = {key[2] for basis in bases for key, _, answers in basis.counted if answers}
    if backends and len(answering) >= BACKENDS_TO_LEAVE_ONE_OUT:
        worst = max(backends, key=lambda each: backends[each].excess)
    return [_without_worst(seen, worst, null_rate) for null_rate, seen in zip(nulls, counted, strict=True)]


def _without_worst(seen: list[tuple[Key, int, int]], worst: str, null_rate: float) -> _Sums:
    """Return the sums of a route with ``worst`` no worse than the others there."""
    sums = _Sums()
    worst_events = worst_answers = 0
    for key, events, answers in seen:
        if key[2] == worst:
            worst_events, worst_answers = events, answers
        else:
            sums.add(events, answers, null_rate)
    usual = sums.events / sums.answers if sums.answers else null_rate
    sums.add(min(worst_events, usual * worst_answers), worst_answers, null_rate)
    return sums


def _less(start: Totals, measure: Measure, basis: _Basis, newest: tuple[Key, int, int]) -> tuple[Key, int, int]:
    """Return bad and all answers of a back end since ``start``. A new holder may know fewer than there were."""
    key, events, answers = newest
    before_events, before_answers = count_bad(start, measure, key, basis.bucket)
    answers = max(answers - before_answers, 0)
    return key, min(max(events - before_events, 0), answers), answers


def _is_kept(step: int, start: int) -> bool:
    """Whether a start is still used: all of the last four, then every second one, every fourth and so on."""
    age = step - start
    spacing = 1 << max(age.bit_length() - 2, 0)
    return start % spacing == 0
