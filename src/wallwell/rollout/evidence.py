"""Whether the target version of a rollout is bad, by the answers that nodes count. Pure.

Failures, late first pieces and slow pieces of the target side are compared with the current side, by route and over
all routes. Tests run since the order and since later starts, so that a version that turns bad is not hidden by its
good past. All share one chance of a false alarm: each has a weight, and the weights add up to at most 1.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from wallwell.rollout.likelihood import log_evidence, upper_rate
from wallwell.rollout.model import RolloutCounts
from wallwell.rollout.totals import Key, Totals

BACKENDS_TO_LEAVE_ONE_OUT = 3
"""Target back ends with answers from which the worst one is left out: a sick machine condemns no version."""
USUAL_PART = 0.9
"""Part of the current side's answers that is called usual; answers beyond theirs by a factor are late."""
SLOW_SLACK_FACTOR = 1.25
SLOW_SLACK = 0.01
"""What the target side's rate of late answers may exceed the current side's by: its caches are colder, and its back
ends are others."""
FAILED_SLACK = 0.002
"""What the target side's rate of failures may exceed the current side's by."""
RECENT_S = 4.0
"""Span in which a current side that is worse than before counts as overloaded."""
RECENT_ANSWERS = 30
"""Least answers of the current side in that span to say so."""
OVERLOAD_FACTOR = 2.0
"""The recent part of late answers of the current side above that of all, from which it counts as overloaded."""
OVERLOAD_DISCOUNT = 0.5
"""What evidence of slowness counts for while the current side is overloaded as well."""
STARTS = 32
"""Starts of tests beside the order's, over twice the duration."""
SHORTEST_START_STEP_S = 0.5
"""Least time between two starts: counts arrive every 0.3 s."""


@dataclass(frozen=True)
class Measure:
    """What is counted of answers. Delays count as late ``factor_buckets`` beyond the usual bucket.

    ``cold_buckets`` come on top for generations while the whole service moves to back ends with empty caches.
    """

    name: str
    field: str
    factor_buckets: int = 0
    cold_buckets: int = 0


MEASURES = (
    Measure("failed", ""),
    Measure("late", "first_delays", 1, 2),
    Measure("very late", "first_delays", 3, 2),
    Measure("slow pieces", "piece_gaps", 1),
    Measure("very slow pieces", "piece_gaps", 3),
)
GENERATION_BUCKETS = 1
"""Beyond the usual, for first pieces of generations: a cold cache alone may make them later by up to 1.4."""


@dataclass(frozen=True)
class Verdict:
    """What the answers say. ``log_evidence`` of a bad version, and where it is greatest.

    ``excess`` is how many bad answers more the target side gave there than is expected at most.
    """

    log_evidence: float = -math.inf
    measure: str = ""
    route: str = ""
    excess: float = 0.0
    strongest_single: float = -math.inf
    """The greatest evidence of a single test without its weight, among those with :attr:`single_excess`."""
    single_excess: float = 0.0


@dataclass
class _Sums:
    """Bad and all answers of a test, and how many bad ones the null rates allow."""

    events: int = 0
    answers: int = 0
    allowed: float = 0.0


class EvidenceLog:
    """Keeps totals of past times, as starts of tests, and judges the newest ones."""

    def __init__(self, duration_s: float) -> None:
        self._step_s = max(SHORTEST_START_STEP_S, 2.0 * duration_s / STARTS)
        self._starts: dict[int, Totals] = {}
        self._newest = Totals(RolloutCounts(0), 0.0)

    @property
    def newest(self) -> Totals:
        """The totals seen last."""
        return self._newest

    def observe(self, counts: RolloutCounts, since_order_s: float) -> None:
        """Take in totals; some are kept as starts, the fewer the older."""
        self._newest = Totals(counts, since_order_s)
        step = int(since_order_s / self._step_s)
        if step >= 1 and step not in self._starts:
            self._starts[step] = self._newest
            self._starts = {at: kept for at, kept in self._starts.items() if _is_kept(step, at)}

    def verdict(self, is_switching: bool) -> Verdict:
        """Judge the newest totals; ``is_switching`` allows first pieces of generations what cold caches cost."""
        routes = self._newest.current_routes()
        windows: list[tuple[Totals | None, float]] = [(None, math.log(0.5))]
        windows += [(start, math.log(0.5 / STARTS)) for start in self._starts.values() if start is not self._newest]
        best = Verdict()
        for measure in MEASURES:
            for start, log_weight in windows:
                best = self._judge(measure, start, log_weight - math.log(len(MEASURES)), routes, is_switching, best)
        return best

    def _judge(
        self,
        measure: Measure,
        start: Totals | None,
        log_weight: float,
        routes: list[str],
        cold: bool,
        best: Verdict,
    ) -> Verdict:
        """Return the worse of ``best`` and what one measure says since ``start``, by route and over all."""
        together = _Sums()
        route_weight = log_weight - math.log(2 * max(len(routes), 1))
        for route in routes:
            sums = self._sums(measure, start, route, cold)
            if sums is None:
                continue
            together.events += sums.events
            together.answers += sums.answers
            together.allowed += sums.allowed
            best = self._worse(best, measure, route, sums, route_weight)
        if len(routes) > 1:
            best = self._worse(best, measure, "", together, log_weight - math.log(2))
        return best

    def _worse(self, best: Verdict, measure: Measure, route: str, sums: _Sums, log_weight: float) -> Verdict:
        if sums.events <= sums.allowed:
            return best
        single = log_evidence(sums.events, sums.answers, sums.allowed / sums.answers)
        if measure.field and self._overloaded(measure, route):
            single *= OVERLOAD_DISCOUNT
        excess = sums.events - sums.allowed
        strongest, strongest_excess = best.strongest_single, best.single_excess
        if single > strongest:
            strongest, strongest_excess = single, excess
        weighted = single + log_weight
        if weighted > best.log_evidence:
            return Verdict(weighted, measure.name, route, excess, strongest, strongest_excess)
        return Verdict(best.log_evidence, best.measure, best.route, best.excess, strongest, strongest_excess)

    def _sums(self, measure: Measure, start: Totals | None, route: str, cold: bool) -> _Sums | None:
        """Return bad and all answers of the target side on a route since ``start``; None if nothing can be said."""
        bucket = self._late_bucket(measure, route, cold)
        if bucket is None:
            return None
        null_rate = self._null_rate(measure, route, bucket)
        parts: list[tuple[int, int]] = []
        for key in self._newest.targets.get(route, ()):
            events, answers = _counted(self._newest, measure, key, bucket)
            if start is not None:
                before_events, before_answers = _counted(start, measure, key, bucket)
                answers -= before_answers
                events = min(max(events - before_events, 0), answers)
            if answers > 0:
                parts.append((events, answers))
        if len(parts) >= BACKENDS_TO_LEAVE_ONE_OUT:
            parts.remove(max(parts, key=lambda part: part[0] - null_rate * part[1]))
        events = sum(part[0] for part in parts)
        answers = sum(part[1] for part in parts)
        return _Sums(events, answers, null_rate * answers)

    def _late_bucket(self, measure: Measure, route: str, cold: bool) -> int | None:
        if not measure.field:
            return 0
        key: Key = (route, False, "")
        usual = self._newest.quantile(key, measure.field, USUAL_PART)
        if usual is None:
            return None
        bucket = usual + measure.factor_buckets
        is_generation = measure.field == "first_delays" and bool(self._newest.by_key[key].piece_gaps)
        if is_generation:
            bucket += GENERATION_BUCKETS + (measure.cold_buckets if cold else 0)
        return bucket

    def _null_rate(self, measure: Measure, route: str, bucket: int) -> float:
        """Return what the target side's rate may be at most by the current side's, over all and of late."""
        events, answers = _counted(self._newest, measure, (route, False, ""), bucket)
        rate = upper_rate(events, answers)
        recent = self._recent(measure, route, bucket)
        if recent is not None:
            rate = max(rate, recent)
        if measure.field:
            return rate * SLOW_SLACK_FACTOR + SLOW_SLACK
        return rate + FAILED_SLACK

    def _recent(self, measure: Measure, route: str, bucket: int) -> float | None:
        """Return the current side's rate of bad answers of late; None if too few answers say so."""
        ages = [start for start in self._starts.values() if self._newest.at_s - start.at_s <= RECENT_S]
        if not ages:
            return None
        start = min(ages, key=lambda each: each.at_s)
        key: Key = (route, False, "")
        events, answers = _counted(self._newest, measure, key, bucket)
        before_events, before_answers = _counted(start, measure, key, bucket)
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
            events, answers = _counted(self._newest, measure, (each, False, ""), bucket)
            if recent > OVERLOAD_FACTOR * events / answers + SLOW_SLACK:
                return True
        return False


def _counted(totals: Totals, measure: Measure, key: Key, bucket: int) -> tuple[int, int]:
    """Return bad and all answers of a key by a measure."""
    if not measure.field:
        return totals.failed(key)
    return totals.beyond(key, measure.field, bucket)


def _is_kept(step: int, start: int) -> bool:
    """Whether a start is still used: all of the last four, then every second one, every fourth and so on."""
    age = step - start
    spacing = 1 << max(age.bit_length() - 2, 0)
    return start % spacing == 0


def answers_short(totals: Totals, route_answers: int) -> dict[str, int]:
    """Return the routes on which the target side has answered too few requests, with the least number.

    A route should give ``route_answers``, or as many as its traffic gives with near certainty: three standard
    deviations below what the current side's answers lead to expect. So a rare route asks for few or none.
    """
    routes = totals.current_routes()
    current = sum(totals.answered(route, False) for route in routes)
    target = sum(totals.answered(route, True) for route in routes)
    short: dict[str, int] = {}
    for route in routes:
        expected = target * totals.answered(route, False) / max(current, 1)
        least = min(route_answers, math.floor(expected - 3.0 * math.sqrt(expected)))
        if totals.answered(route, True) < least:
            short[route] = least
    return short
