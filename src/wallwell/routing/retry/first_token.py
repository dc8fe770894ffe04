"""Whether the engines of the whole fleet are behind: how many answers begin after the callers' objectives. Pure.

An engine that is silent for long is either broken or behind with its work. Requests at a broken engine are best
sent to another one. Requests at an engine that is behind are not: the others are behind as well, and what has been
prefilled of the prompt would be prefilled again. The delays of answers at all nodes tell the two cases apart, so
nodes report them to each other.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from wallwell.number_ranges import MAX_COUNT, Count
from wallwell.routing.sliding_window import SlidingWindow

DELAY_WINDOW_S = 2.0
"""Seconds over which delays are counted: long enough for some answers per node, short compared to an overload."""
LATE_FRACTION_THRESHOLD = 0.4
"""Fraction of late answers (begun after their objective) from which the fleet counts as behind.

It is below 0.1 in fleets that keep up, and about a half in others. Each attempt at an unresponsive engine is late
and its retry at another one is not: with half of all engines unresponsive, a third of the answers would be late."""
MIN_ANSWERS = 5
"""Minimum number of answers for which the fraction of late ones is evaluated."""


class DelayCounts(msgspec.Struct, frozen=True, array_like=True):
    """Number of answers that began or became late in the window, and how many of them were late."""

    answers: Count = 0
    late: Count = 0


def sum_delay_counts(delays: Iterable[DelayCounts]) -> DelayCounts:
    """Return the sum of the counts of several nodes."""
    counts = list(delays)
    answers, late = sum(each.answers for each in counts), sum(each.late for each in counts)
    return DelayCounts(min(MAX_COUNT, answers), min(MAX_COUNT, late))


@dataclass
class FirstTokenDelays:
    """First-token delays of generations at this node and at all others. Times are on this node's clock."""

    peer_counts: DelayCounts = field(default_factory=DelayCounts)
    """Counts of all other nodes, from their last reports."""
    _answers: SlidingWindow = field(default_factory=lambda: SlidingWindow(DELAY_WINDOW_S))

    def observe(self, delay_s: float, objective_s: float, now_s: float) -> None:
        """Count an answer that began ``delay_s`` after its attempt was sent."""
        self._answers.add(now_s, float(delay_s > objective_s))

    def on_late_answer(self, now_s: float) -> None:
        """Count an answer that is late and has not begun yet."""
        self._answers.add(now_s, 1.0)

    def own_counts(self, now_s: float) -> DelayCounts:
        """Return this node's counts for the last ``DELAY_WINDOW_S``."""
        return DelayCounts(self._answers.count(now_s), round(self._answers.total(now_s)))

    def is_fleet_behind(self, now_s: float) -> bool:
        """Whether too many answers of the whole fleet begin late."""
        fleet = sum_delay_counts((self.own_counts(now_s), self.peer_counts))
        return fleet.answers >= MIN_ANSWERS and fleet.late >= LATE_FRACTION_THRESHOLD * fleet.answers
