"""Counts the target version's bad answers since the start of a test, by route and target back end. No I/O.

Inputs: totals at the start of the test and now, and the allowed rates of bad answers. The tests themselves and
their statistics are defined in :mod:`wallwell.rollout.evidence`.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from wallwell.rollout.measures import Measure, count_bad
from wallwell.rollout.model import AnswerSource
from wallwell.rollout.totals import Totals

MIN_BACKENDS_TO_CAP_WORST = 3
"""Number of target back ends with answers from which the failure rate of the worst one is capped at the rate of the
others, so that a faulty machine does not make the version look bad."""

BackendCount = tuple[AnswerSource, int, int]
"""Source of the answers, number of bad answers, number of all answers."""


@dataclass
class BadAnswers:
    """Number of bad and of all answers in a test, and the number of bad answers that the null rates allow."""

    bad_answers: float = 0.0
    answers: int = 0
    allowed: float = 0.0

    @property
    def excess(self) -> float:
        """Number of bad answers above the allowed number."""
        return self.bad_answers - self.allowed

    def add(self, bad_answers: float, answers: int, null_rate: float) -> None:
        """Add answers; a fraction ``null_rate`` of them may be bad."""
        self.bad_answers += bad_answers
        self.answers += answers
        self.allowed += null_rate * answers


class RouteBaseline(msgspec.Struct, frozen=True):
    """State of one measure on one route: the bucket above which a delay is bad, the allowed rate of bad answers,
    and the counts of each target back end so far."""

    route: str
    bucket: int
    null_rate: float
    backend_counts: list[BackendCount]


def bad_answers_since(
    start: Totals | None, measure: Measure, baselines: list[RouteBaseline], null_rates: list[float]
) -> list[BadAnswers]:
    """Return the target version's bad and all answers since ``start``, one entry for each of ``baselines``.
    ``null_rates`` are the allowed rates, by route. If enough back ends answered, the rate of the one with the
    largest excess is capped at the rate of the others. Lowering a count keeps the test valid; leaving the back end
    out would lose a third of the answers if there are three."""
    backend_counts = [
        baseline.backend_counts
        if start is None
        else [count_since(start, measure, baseline, each) for each in baseline.backend_counts]
        for baseline in baselines
    ]
    worst = _worst_backend(baselines, backend_counts, null_rates)
    return [
        _sum_with_worst_capped(counts, worst, null_rate)
        for null_rate, counts in zip(null_rates, backend_counts, strict=True)
    ]


def _worst_backend(
    baselines: list[RouteBaseline], backend_counts: list[list[BackendCount]], null_rates: list[float]
) -> str:
    """Return the target back end with the largest excess of bad answers; empty if too few back ends answered."""
    answering = {source[2] for baseline in baselines for source, _, answers in baseline.backend_counts if answers}
    backends: dict[str, BadAnswers] = {}
    for null_rate, counts in zip(null_rates, backend_counts, strict=True):
        for source, bad_answers, answers in counts:
            if answers:
                backends.setdefault(source[2], BadAnswers()).add(bad_answers, answers, null_rate)
    if not backends or len(answering) < MIN_BACKENDS_TO_CAP_WORST:
        return ""
    return max(backends, key=lambda each: backends[each].excess)


def _sum_with_worst_capped(counts: list[BackendCount], worst: str, null_rate: float) -> BadAnswers:
    """Return the sums of a route; the bad answers of back end ``worst`` are capped at the rate of the others."""
    sums = BadAnswers()
    bad_of_worst = answers_of_worst = 0
    for source, bad_answers, answers in counts:
        if source[2] == worst:
            bad_of_worst, answers_of_worst = bad_answers, answers
        else:
            sums.add(bad_answers, answers, null_rate)
    rate_of_others = sums.bad_answers / sums.answers if sums.answers else null_rate
    sums.add(min(bad_of_worst, rate_of_others * answers_of_worst), answers_of_worst, null_rate)
    return sums


def count_since(start: Totals, measure: Measure, baseline: RouteBaseline, now: BackendCount) -> BackendCount:
    """Return a back end's bad and all answers since ``start``; 0 if a new holder has received fewer counts."""
    source, bad_answers, answers = now
    bad_before, answers_before = count_bad(start, measure, source, baseline.bucket)
    answers = max(answers - answers_before, 0)
    return source, min(max(bad_answers - bad_before, 0), answers), answers
