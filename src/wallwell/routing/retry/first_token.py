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
BEHIND_FRACTION = 0.4
"""Fraction of answers beginning after their objective from which the fleet counts as behind.

Fleets that keep up have less than 0.1, those that do not about a half.
While some engines are unresponsive, each attempt there is late and its retry elsewhere is not: with half of all
engines unresponsive, a third of the answers would be late."""
MIN_ANSWERS = 5
"""Answers below which that fraction is not relied on."""


class Delays(msgspec.Struct, frozen=True, array_like=True):
    """Answers that began or were given up in the window, and how many of them after their objective."""

    answers: int = 0
    late: int = 0


def sum_delays(delays: Iterable[Delays]) -> Delays:
    """Return the delays of several nodes together."""
    listed = list(delays)
    return Delays(sum(each.answers for each in listed), sum(each.late for each in listed))


@dataclass
class FirstTokenDelays:
    """Delays of generations, of this node and of all others. Times are on this node's clock."""

    peers: Delays = field(default_factory=Delays)
    """Of all other nodes, as they last reported them."""
    _own: SlidingWindow = field(default_factory=lambda: SlidingWindow(DELAY_WINDOW_S))

    def observe(self, delay_s: float, objective_s: float, now_s: float) -> None:
        """Count an answer that began ``delay_s`` after its attempt was sent."""
        self._own.add(now_s, float(delay_s > objective_s))

    def on_given_up(self, now_s: float) -> None:
        """Count an attempt that was given up before its answer began."""
        self._own.add(now_s, 1.0)

    def own(self, now_s: float) -> Delays:
        """Return this node's recent delays."""
        return Delays(self._own.count(now_s), round(self._own.total(now_s)))

    def is_fleet_behind(self, now_s: float) -> bool:
        """Whether answers begin late everywhere."""
        fleet = sum_delays((self.own(now_s), self.peers))
        return fleet.answers >= MIN_ANSWERS and fleet.late >= BEHIND_FRACTION * fleet.answers
