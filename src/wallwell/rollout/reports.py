"""What nodes tell the one that decides a rollout: totals of their lives, kept beyond a node's death. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from wallwell.cluster.peer_link import PeerMessage
from wallwell.rollout.model import AnswerCounts, RolloutCounts, RolloutRecord
from wallwell.rollout.tally import ServiceTally


class CountsReport(PeerMessage, frozen=True):
    """A node's totals by service. ``life`` is another one after each of its starts."""

    node: str
    life: int
    counts: dict[str, RolloutCounts]


class CountsTaken(msgspec.Struct, frozen=True):
    """Answer to :class:`CountsReport`."""


@dataclass
class FleetCounts:
    """The newest totals of each life of each node, by service."""

    _newest: dict[str, dict[tuple[str, int], RolloutCounts]] = field(default_factory=dict)

    def take(self, report: CountsReport) -> None:
        """Replace what the same life of a node told; totals never go back."""
        for service, counts in report.counts.items():
            known = self._newest.setdefault(service, {})
            before = known.get((report.node, report.life))
            if before is None or _progress(before) <= _progress(counts):
                known[(report.node, report.life)] = counts

    def total(self, record: RolloutRecord) -> RolloutCounts:
        """Return what all nodes sent and got in a rollout; at least what its record says."""
        known = self._newest.get(record.service, {})
        for key in [key for key, counts in known.items() if counts.order < record.order]:
            del known[key]
        counts = sum_counts(record.order, (each for each in known.values() if each.order == record.order))
        return msgspec.structs.replace(
            counts,
            current_requests=max(counts.current_requests, record.current_requests),
            target_requests=max(counts.target_requests, record.target_requests),
        )

    def keep(self, services: Iterable[str]) -> None:
        """Forget all other services, whose rollouts have ended."""
        if self._newest:
            kept = set(services)
            self._newest = {service: known for service, known in self._newest.items() if service in kept}


def _progress(counts: RolloutCounts) -> tuple[int, int]:
    return counts.order, counts.current_requests + counts.target_requests


def sum_counts(order: int, several: Iterable[RolloutCounts]) -> RolloutCounts:
    """Return the counts of several nodes together."""
    total = ServiceTally(order)
    for counts in several:
        total.current_requests += counts.current_requests
        total.target_requests += counts.target_requests
        for answers in counts.answers:
            _add(total, answers)
    return total.counts()


def _add(total: ServiceTally, answers: AnswerCounts) -> None:
    source = total.of(answers.route, answers.is_target, answers.backend)
    source.answered += answers.answered
    source.failed += answers.failed
    source.broken += answers.broken
    source.first_delays.update(Counter(answers.first_delays))
    source.piece_gaps.update(Counter(answers.piece_gaps))
