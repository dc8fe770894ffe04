"""Counts the requests that one node sent to each version since the order, and their answers. No I/O.

Owns the node's totals. Relies on the request pipeline to report the begin and end of each attempt
(``serving/version_choice.py``). The totals are reported to the lease holder by :mod:`wallwell.rollout.reporter`.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from wallwell.rollout.model import AnswerCounts, AnswerSource, RolloutCounts, delay_bucket

MIN_SERVER_ERROR_STATUS = 500
"""Lowest HTTP status with which a back end reports a failure of its own."""


@dataclass
class SourceCounts:
    """Answers of one :data:`AnswerSource`; the fields are described at :class:`AnswerCounts`."""

    answered: int = 0
    failed: int = 0
    broken: int = 0
    first_delays: Counter[int] = field(default_factory=Counter)
    piece_gaps: Counter[int] = field(default_factory=Counter)


@dataclass
class ServiceTally:
    """One node's totals of one rollout."""

    order: int
    current_requests: int = 0
    target_requests: int = 0
    answers: dict[AnswerSource, SourceCounts] = field(default_factory=dict)

    def snapshot(self) -> RolloutCounts:
        """Return a copy of the totals in the form that is sent between nodes."""
        answers = tuple(
            AnswerCounts(
                *source, each.answered, each.failed, each.broken, dict(each.first_delays), dict(each.piece_gaps)
            )
            for source, each in self.answers.items()
        )
        return RolloutCounts(self.order, self.current_requests, self.target_requests, answers)

    def failures(self, is_target: bool) -> int:
        """Return the number of failed answers of the target version, or of the current one."""
        return sum(each.failed for source, each in self.answers.items() if source[1] == is_target)

    def on_sent(self, is_target: bool) -> None:
        """Count an attempt that is sent."""
        if is_target:
            self.target_requests += 1
        else:
            self.current_requests += 1

    def source_counts(self, route: str, is_target: bool, backend: str) -> SourceCounts:
        """Return the counts for the answers to an attempt, to be updated by the caller; new ones are all zero."""
        source = (route, is_target, backend if is_target else "")
        counts = self.answers.get(source)
        if counts is None:
            counts = self.answers[source] = SourceCounts()
        return counts


@dataclass
class RolloutTally:
    """One node's totals of all rollouts that have not ended."""

    by_service: dict[str, ServiceTally] = field(default_factory=dict)

    def begin(self, service: str, order: int) -> None:
        """Begin to count for an order; totals of an earlier order are dropped."""
        tally = self.by_service.get(service)
        if tally is None or tally.order != order:
            self.by_service[service] = ServiceTally(order)

    def end(self, service: str) -> None:
        """Drop the totals of a rollout that has ended."""
        self.by_service.pop(service, None)

    def snapshot(self) -> dict[str, RolloutCounts]:
        """Return a copy of the totals by service."""
        return {service: tally.snapshot() for service, tally in self.by_service.items()}


@dataclass
class CountedAttempt:
    """An attempt in flight whose result will be counted by exactly one call. Times are on this node's clock."""

    counts: SourceCounts
    sent_s: float
    is_warm: bool
    """Whether the back end is no longer slow after its start."""

    def on_answered(self, status: int, first_event_s: float, last_event_s: float, events: int) -> None:
        """Count a complete answer of ``events`` stream events, with the times of the first and the last one."""
        self.counts.answered += 1
        self.counts.failed += status >= MIN_SERVER_ERROR_STATUS
        if not self.is_warm:
            return
        self.counts.first_delays[delay_bucket(first_event_s - self.sent_s)] += 1
        if events > 1:
            self.counts.piece_gaps[delay_bucket((last_event_s - first_event_s) / (events - 1))] += 1

    def on_broken(self) -> None:
        """Count an attempt that ended without a complete answer."""
        self.counts.broken += 1

    def on_timed_out(self, first_event_s: float | None, now_s: float) -> None:
        """Count an attempt that timed out at ``now_s``, with its first event at ``first_event_s``. Without an event
        the time waited is counted as the delay, since the answer would have taken longer."""
        self.counts.broken += 1
        if first_event_s is None and self.is_warm:
            self.counts.first_delays[delay_bucket(now_s - self.sent_s)] += 1
