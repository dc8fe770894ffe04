"""When a request with a suspected part of its prompt is sent to find out whether the part is bad. Pure.

Nodes take turns in an order that all of them compute alike, so that few such requests are in flight in the fleet.
Times are seconds on one node's clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

FIRST_TRIAL_S = 20.0
"""Seconds after the last crash under a quarantined part at which one request with it is tried."""
TRIAL_GAP_S = 10.0
"""Seconds without a crash, below ``FIRST_TRIAL_S``, after which the next one must have been that of a trial."""
TRIAL_DELAY_FACTOR = 6.0
"""Factor from one trial's delay to the next one's: a part that crashes back ends costs two in two minutes, and one
that was blamed wrongly is refused for little longer than the first delay."""
WATCH_TURN_S = 1.0
"""Seconds for which it is one node's turn to send a single request with a watched part: about the time until all
nodes know that it was answered, or crashed its back end."""


@dataclass(frozen=True)
class NodeTurn:
    """This node's place among all nodes of the fleet in the order in which they try out a part."""

    rank: int
    nodes: int


@dataclass
class QuarantinedPart:
    """One quarantine.

    Its trials follow from the crashes, which all nodes know, so that a node that becomes the first of all nodes
    continues where another one ended.
    """

    part: str
    crashed: frozenset[str]
    """Starts of the back ends that crashed under the part."""
    last_crash_s: float
    """When this node learned of the last of these crashes."""
    failed_trials: int = 0
    """Trials that ended with a crash, made by any node."""
    own_trials: int = 0
    """Trials that this node has made, however they ended."""
    tried_s: float = float("-inf")
    """When this node made the last of them."""

    def is_trial_due(self, now_s: float, turn: NodeTurn) -> bool:
        """Whether this node may try the next single request; only the first of all nodes does."""
        delay_s = FIRST_TRIAL_S * TRIAL_DELAY_FACTOR ** max(self.failed_trials, self.own_trials)
        return turn.rank == 0 and now_s >= max(self.last_crash_s, self.tried_s) + delay_s

    def on_trial(self, now_s: float) -> None:
        """Record that a request with the part is sent."""
        self.own_trials += 1
        self.tried_s = now_s


def count_failed_trials(happened_s: Iterable[float]) -> int:
    """Return how many of the crashes under a part, given by when they happened, were those of trials."""
    return sum(later - earlier >= TRIAL_GAP_S for earlier, later in pairwise(sorted(happened_s)))


@dataclass
class WatchedPart:
    """A part whose crashes, all in few moments, do not show whether it is bad.

    ``since_s`` is when this node learned of the crash that made it so: about the same time at all nodes.
    """

    since_s: float
    last_turn: int = -1
    """Number of the turn in which this node last sent a request with the part."""

    def is_trial_due(self, now_s: float, turn: NodeTurn) -> bool:
        """Whether it is this node's turn, and it has sent no request with the part in it."""
        number = self._turn_number(now_s)
        return number % turn.nodes == turn.rank and number > self.last_turn

    def on_trial(self, now_s: float) -> None:
        """Record that a request with the part is sent."""
        self.last_turn = self._turn_number(now_s)

    def _turn_number(self, now_s: float) -> int:
        return int((now_s - self.since_s) / WATCH_TURN_S)
