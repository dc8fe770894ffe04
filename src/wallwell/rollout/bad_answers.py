"""Bad answers of the target version in one test: since the test's start, by route and over its back ends. Pure.

Inputs: totals at the start of the test and now, and the rates of bad answers that are allowed. Which tests there
are and what they prove is decided by :mod:`wallwell.rollout.evidence`.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from wallwell.rollout.measures import Measure, count_bad
from wallwell.rollout.model import Source
from wallwell.rollout.totals import Totals

BACKENDS_TO_LEAVE_ONE_OUT = 3
"""Target back ends with answers from which on the worst one counts as no worse than the others, so that a sick
machine does not make the version look bad."""

BackendCount = tuple[Source, int, int]
"""Whose answers, how many of them are bad, and how many there are."""


@dataclass
class BadAnswers:
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


class RouteBasis(msgspec.Struct, frozen=True):
    """What one measure counts of a route by now: bucket beyond which answers are bad, the rate of bad answers that
    is allowed, and bad and all answers of each target back end."""

    route: str
    bucket: int
    null_rate: float
    counted: list[BackendCount]


def bad_answers_since(
    start: Totals | None, measure: Measure, bases: list[RouteBasis], nulls: list[float]
) -> list[BadAnswers]:
    """Return bad and all answers of the target version since ``start``, by route, with ``nulls`` the allowed rates.

    Where enough back ends answered, the one with most bad answers beyond the allowed counts as no worse than the
    others. Lowering a count keeps the test valid; leaving the back end out would lose a third of three's answers.
    """
    counted = [
        basis.counted if start is None else [since_start(start, measure, basis, each) for each in basis.counted]
        for basis in bases
    ]
    worst = _worst_backend(bases, counted, nulls)
    return [_without_worst(seen, worst, null_rate) for null_rate, seen in zip(nulls, counted, strict=True)]


def _worst_backend(bases: list[RouteBasis], counted: list[list[BackendCount]], nulls: list[float]) -> str:
    """Return the target back end with most bad answers beyond the allowed; empty if too few back ends answered."""
    answering = {key[2] for basis in bases for key, _, answers in basis.counted if answers}
    backends: dict[str, BadAnswers] = {}
    for null_rate, seen in zip(nulls, counted, strict=True):
        for key, events, answers in seen:
            if answers:
                backends.setdefault(key[2], BadAnswers()).add(events, answers, null_rate)
    if not backends or len(answering) < BACKENDS_TO_LEAVE_ONE_OUT:
        return ""
    return max(backends, key=lambda each: backends[each].excess)


def _without_worst(seen: list[BackendCount], worst: str, null_rate: float) -> BadAnswers:
    """Return the sums of a route with ``worst`` no worse than the others there."""
    sums = BadAnswers()
    worst_events = worst_answers = 0
    for key, events, answers in seen:
        if key[2] == worst:
            worst_events, worst_answers = events, answers
        else:
            sums.add(events, answers, null_rate)
    usual = sums.events / sums.answers if sums.answers else null_rate
    sums.add(min(worst_events, usual * worst_answers), worst_answers, null_rate)
    return sums


def since_start(start: Totals, measure: Measure, basis: RouteBasis, newest: BackendCount) -> BackendCount:
    """Return bad and all answers of a back end since ``start``. A new holder may know fewer than there were."""
    key, events, answers = newest
    before_events, before_answers = count_bad(start, measure, key, basis.bucket)
    answers = max(answers - before_answers, 0)
    return key, min(max(events - before_events, 0), answers), answers
