"""Whether engines of the whole fleet are behind: how soon they begin to answer, against callers' objectives. Pure.

An engine that is silent for long is either broken or behind. One that is broken is best left for another one.
One that is behind is not: the others are behind as well, and what it has prefilled of the prompt would be
prefilled again. Which of the two it is shows in how soon answers begin everywhere, so nodes report their delays
to each other.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from wallwell.routing.sliding_window import SlidingWindow

DELAY_WINDOW_S = 2.0
"""Seconds over which delays are counted: long enough for some answers a node, short against an overload."""
LATE_FRACTION_THRESHOLD = 0.4
"""Fraction of answers beginning after their objective from which the fleet counts as behind.

Fleets that keep up have less than 0.1, those that do not about a half.
While some engines are unresponsive, each attempt there is late and its retry elsewhere is not: with half of all
engines unresponsive, a third of the answers would be late."""
MIN_ANSWERS = 5
"""Answers below which that fraction is not relied on."""


class DelayCounts(msgspec.Struct, frozen=True, array_like=True):
    """Answers that began or were given up in the window, and how many of them after their objective."""

    answers: int = 0
    late: int = 0


def sum_delay_counts(delays: Iterable[DelayCounts]) -> DelayCounts:
    """Return the delays of several nodes together."""
    counts = list(delays)
    return DelayCounts(sum(each.answers for each in counts), sum(each.late for each in counts))


@dataclass
class FirstTokenDelays:
    """Delays of generations, of this node and of all others. Times are on this node's clock."""

    peer_counts: DelayCounts = field(default_factory=DelayCounts)
    """Of all other nodes, as they last reported them."""
    _answers: SlidingWindow = field(default_factory=lambda: SlidingWindow(DELAY_WINDOW_S))

    def observe(self, delay_s: float, objective_s: float, now_s: float) -> None:
        """Count an answer that began ``delay_s`` after its attempt was sent."""
        self._answers.add(now_s, float(delay_s > objective_s))

    def on_attempt_abandoned(self, now_s: float) -> None:
        """Count an attempt that was given up before its answer began."""
        self._answers.add(now_s, 1.0)

    def own_counts(self, now_s: float) -> DelayCounts:
        """Return this node's recent delays."""
        return DelayCounts(self._answers.count(now_s), round(self._answers.total(now_s)))

    def is_fleet_behind(self, now_s: float) -> bool:
        """Whether answers begin late everywhere."""
        fleet = sum_delay_counts((self.own_counts(now_s), self.peer_counts))
        return fleet.answers >= MIN_ANSWERS and fleet.late >= LATE_FRACTION_THRESHOLD * fleet.answers
