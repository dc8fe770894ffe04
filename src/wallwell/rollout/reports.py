"""Counts of a rollout that nodes report to the lease holder, and the holder's sum of them. No I/O.

A report contains a node's totals without the sources that have not changed since the holder received them. So its
size grows with the node's answers, not with the number of back ends. The holder stores totals by node and
incarnation, also after the node's death.
:class:`AcknowledgedCounts` belongs to a reporting node, :class:`FleetCounts` to the lease holder.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from wallwell.cluster.peer_link import PeerMessage
from wallwell.rollout.model import AnswerCounts, AnswerSource, RolloutCounts, RolloutRecord
from wallwell.rollout.tally import ServiceTally


class CountsReport(PeerMessage, frozen=True):
    """A node's totals by service. ``life`` is the node's incarnation, a random number drawn at its start."""

    node: str
    life: int
    counts: dict[str, RolloutCounts]


class CountsAcknowledged(msgspec.Struct, frozen=True):
    """Reply to :class:`CountsReport` with the receiving node's incarnation; counts of earlier ones are lost."""

    life: int


@dataclass
class AcknowledgedCounts:
    """Counts that a node's reports can omit: the lease holder received them in its present incarnation."""

    holder: tuple[str, int] = ("", 0)
    _answers: dict[tuple[str, int, AnswerSource], int] = field(default_factory=dict)

    def unacknowledged(self, counts: Mapping[str, RolloutCounts]) -> dict[str, RolloutCounts]:
        """Return the totals without the sources whose newest counts the lease holder already has."""
        changed = {}
        for service, each in counts.items():
            changed_answers = tuple(
                answers
                for answers in each.answers
                if self._answers.get((service, each.order, answers.source)) != _ended_attempts(answers)
            )
            changed[service] = msgspec.structs.replace(each, answers=changed_answers)
        return changed

    def on_acknowledged(self, holder: tuple[str, int], counts: Mapping[str, RolloutCounts]) -> None:
        """Record that a report was received. If the holder has changed, everything will be sent again."""
        if holder != self.holder:
            self.holder = holder
            self._answers.clear()
            return
        for service, each in counts.items():
            for answers in each.answers:
                self._answers[(service, each.order, answers.source)] = _ended_attempts(answers)

    def clear(self) -> None:
        """Forget all acknowledgements, as no rollout is active."""
        self.holder = ("", 0)
        self._answers.clear()


@dataclass
class _ServiceTotals:
    """The newest totals of one rollout for every incarnation of every node, and their sum."""

    order: int
    requests: dict[tuple[str, int], tuple[int, int]] = field(default_factory=dict)
    """Requests to the current and to the target version, by node and incarnation."""
    answers: dict[tuple[str, int, AnswerSource], AnswerCounts] = field(default_factory=dict)
    total: ServiceTally = field(default_factory=lambda: ServiceTally(0))

    def add_counts(self, node_key: tuple[str, int], counts: RolloutCounts) -> None:
        """Replace the totals of ``node_key`` (node and ``life``) where ``counts`` are newer."""
        current, target = self.requests.get(node_key, (0, 0))
        newest = max(current, counts.current_requests), max(target, counts.target_requests)
        self.requests[node_key] = newest
        self.total.current_requests += newest[0] - current
        self.total.target_requests += newest[1] - target
        for each in counts.answers:
            self._replace_answers(node_key, each)

    def _replace_answers(self, node_key: tuple[str, int], newest: AnswerCounts) -> None:
        key = (*node_key, newest.source)
        before = self.answers.get(key)
        if before is not None and _ended_attempts(before) >= _ended_attempts(newest):
            return
        self.answers[key] = newest
        _add_answers(self.total, newest, 1)
        if before is not None:
            _add_answers(self.total, before, -1)


@dataclass
class FleetCounts:
    """Requests and answers of all nodes together, by service."""

    _services: dict[str, _ServiceTotals] = field(default_factory=dict)

    def add_report(self, report: CountsReport) -> None:
        """Add a node's report; counts older than stored ones change nothing."""
        for service, counts in report.counts.items():
            totals = self._services.get(service)
            if totals is None or totals.order < counts.order:
                totals = self._services[service] = _ServiceTotals(counts.order)
            if totals.order == counts.order:
                totals.add_counts((report.node, report.life), counts)

    def total(self, record: RolloutRecord) -> RolloutCounts:
        """Return all nodes' requests and answers in a rollout; at least as many requests as in its record."""
        sums = self._services.get(record.service)
        counts = sums.total.snapshot() if sums is not None and sums.order == record.order else RolloutCounts(0)
        return msgspec.structs.replace(
            counts,
            order=record.order,
            current_requests=max(counts.current_requests, record.current_requests),
            target_requests=max(counts.target_requests, record.target_requests),
        )

    def forget_other_services(self, services: Iterable[str]) -> None:
        """Drop the counts of all services but these, as their rollouts have ended."""
        if self._services:
            kept = set(services)
            self._services = {service: totals for service, totals in self._services.items() if service in kept}


def _ended_attempts(answers: AnswerCounts) -> int:
    """Return the number of attempts that have ended; it grows with every change of the counts."""
    return answers.answered + answers.broken


def _add_answers(total: ServiceTally, answers: AnswerCounts, factor: int) -> None:
    source = total.source_counts(answers.route, answers.is_target, answers.backend)
    source.answered += factor * answers.answered
    source.failed += factor * answers.failed
    source.broken += factor * answers.broken
    for counter, buckets in ((source.first_delays, answers.first_delays), (source.piece_gaps, answers.piece_gaps)):
        _add_buckets(counter, buckets, factor)


def _add_buckets(counter: Counter[int], buckets: Mapping[int, int], factor: int) -> None:
    for bucket, count in buckets.items():
        counter[bucket] += factor * count
