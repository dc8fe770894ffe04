"""Bad answers of the target version in one test: since the test's start, by route and over its back ends. Pure.

Inputs: totals at the start of the test and now, and the rates of bad answers that are allowed. Which tests there
are and what they prove is decided by :mod:`wallwell.rollout.evidence`.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from wallwell.rollout.measures import Measure, count_bad
from wallwell.rollout.model import AnswerSource
from wallwell.rollout.totals import Totals

MIN_BACKENDS_TO_CAP_WORST = 3
"""Target back ends with answers from which on the worst one counts as no worse than the others, so that a sick
machine does not make the version look bad."""

BackendCount = tuple[AnswerSource, int, int]
"""Whose answers, how many of them are bad, and how many there are."""


@dataclass
class BadAnswers:
    """Bad and all answers of a test, and how many bad ones the null rates allow."""

    bad_answers: float = 0.0
    answers: int = 0
    allowed: float = 0.0

    @property
    def excess(self) -> float:
        """Bad answers beyond the allowed."""
        return self.bad_answers - self.allowed

    def add(self, bad_answers: float, answers: int, null_rate: float) -> None:
        """Add answers of which ``null_rate`` may be bad."""
        self.bad_answers += bad_answers
        self.answers += answers
        self.allowed += null_rate * answers


class RouteBaseline(msgspec.Struct, frozen=True):
    """What one measure counts of a route by now: bucket beyond which answers are bad, the rate of bad answers that
    is allowed, and bad and all answers of each target back end."""

    route: str
    bucket: int
    null_rate: float
    backend_counts: list[BackendCount]


def bad_answers_since(
    start: Totals | None, measure: Measure, baselines: list[RouteBaseline], null_rates: list[float]
) -> list[BadAnswers]:
    """Return bad and all answers of the target version since ``start``, by route, with ``nulls`` the allowed rates.

    Where enough back ends answered, the one with most bad answers beyond the allowed counts as no worse than the
    others. Lowering a count keeps the test valid; leaving the back end out would lose a third of three's answers.
    """
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
    """Return the target back end with most bad answers beyond the allowed; empty if too few back ends answered."""
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
    """Return the sums of a route with ``worst`` no worse than the others there."""
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
    """Return bad and all answers of a back end since ``start``. A new holder may know fewer than there were."""
    source, bad_answers, answers = now
    bad_before, answers_before = count_bad(start, measure, source, baseline.bucket)
    answers = max(answers - answers_before, 0)
    return source, min(max(bad_answers - bad_before, 0), answers), answers
