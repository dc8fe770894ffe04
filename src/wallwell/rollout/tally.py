"""Counts what one node sent to each version in its rollouts and how it was answered, as totals since the order.
Pure.

Owns the node's totals. Relies on the request pipeline to report each attempt's begin and end
(``serving/version_choice.py``). Reports of the totals go to the node that decides
(:mod:`wallwell.rollout.reporter`).
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from wallwell.rollout.model import AnswerCounts, AnswerSource, RolloutCounts, delay_bucket

MIN_SERVER_ERROR_STATUS = 500
"""Least HTTP status by which a back end calls its answer a failure of its own."""


@dataclass
class SourceCounts:
    """Answers of one :data:`AnswerSource`; see :class:`AnswerCounts` for what each figure counts."""

    answered: int = 0
    failed: int = 0
    broken: int = 0
    first_delays: Counter[int] = field(default_factory=Counter)
    piece_gaps: Counter[int] = field(default_factory=Counter)


@dataclass
class ServiceTally:
    """One rollout's totals."""

    order: int
    current_requests: int = 0
    target_requests: int = 0
    answers: dict[AnswerSource, SourceCounts] = field(default_factory=dict)

    def snapshot(self) -> RolloutCounts:
        """Return the totals as they are sent between nodes."""
        answers = tuple(
            AnswerCounts(
                *source, each.answered, each.failed, each.broken, dict(each.first_delays), dict(each.piece_gaps)
            )
            for source, each in self.answers.items()
        )
        return RolloutCounts(self.order, self.current_requests, self.target_requests, answers)

    def failures(self, is_target: bool) -> int:
        """Return the failed answers of the target version, or of the current ones."""
        return sum(each.failed for source, each in self.answers.items() if source[1] == is_target)

    def on_sent(self, is_target: bool) -> None:
        """An attempt is sent."""
        if is_target:
            self.target_requests += 1
        else:
            self.current_requests += 1

    def source_counts(self, route: str, is_target: bool, backend: str) -> SourceCounts:
        """Return the counts of an attempt's source."""
        source = (route, is_target, backend if is_target else "")
        counts = self.answers.get(source)
        if counts is None:
            counts = self.answers[source] = SourceCounts()
        return counts


@dataclass
class RolloutTally:
    """One node's totals of the rollouts that have not ended."""

    by_service: dict[str, ServiceTally] = field(default_factory=dict)

    def begin(self, service: str, order: int) -> None:
        """Count for an order; totals of an earlier one are dropped."""
        tally = self.by_service.get(service)
        if tally is None or tally.order != order:
            self.by_service[service] = ServiceTally(order)

    def end(self, service: str) -> None:
        """The rollout has ended."""
        self.by_service.pop(service, None)

    def snapshot(self) -> dict[str, RolloutCounts]:
        """Return the totals by service."""
        return {service: tally.snapshot() for service, tally in self.by_service.items()}


@dataclass
class CountedAttempt:
    """One attempt in flight that is counted; ends exactly once. Times are on this node's clock."""

    counts: SourceCounts
    sent_s: float
    is_warm: bool
    """Whether its back end is no longer slow from its start."""

    def on_answered(self, status: int, first_event_s: float, last_event_s: float, events: int) -> None:
        """A whole answer of so many ``events`` has arrived, the first at ``first_s`` and the last at ``last_s``."""
        self.counts.answered += 1
        self.counts.failed += status >= MIN_SERVER_ERROR_STATUS
        if not self.is_warm:
            return
        self.counts.first_delays[delay_bucket(first_event_s - self.sent_s)] += 1
        if events > 1:
            self.counts.piece_gaps[delay_bucket((last_event_s - first_event_s) / (events - 1))] += 1

    def on_broken(self) -> None:
        """The attempt ended without a whole answer."""
        self.counts.broken += 1

    def on_timed_out(self, first_event_s: float | None, now_s: float) -> None:
        """The attempt timed out at ``now_s``: its answer would have taken longer than it was waited for."""
        self.counts.broken += 1
        if first_event_s is None and self.is_warm:
            self.counts.first_delays[delay_bucket(now_s - self.sent_s)] += 1
