"""Decides which new connections of callers a busy node closes before it reads anything from them. Pure.

Load balancers may send most new connections of a zone or region to one node. Its event loop then falls behind, and
each request is read so late that its caller has given up or its deadline passes, though other nodes are idle. A
connection that is closed unread lets its caller ask another node at once, and what the node does read is served.

Closes a fraction of new connections, which rises while the event loop is late and falls while it is not. Only a
node with more load than the others closes any: where all are busy, a caller would only be sent from one to another.

Owns the fraction. Relies on :meth:`ConnectionShedding.observe` being called with the delay of each timer of
:mod:`.loop_lag`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

LATE_TIMER_S = 0.1
"""Seconds of delay from which a timer counts as late: a call with an objective of some 0.2 s still meets it."""
LATE_TIMERS = 2
"""Late timers in a row from which connections are closed; a single one also occurs after a suspension."""
FRACTION_STEP_UP = 0.3
"""Added to the fraction at each late timer, for each ``LATE_TIMER_S`` of its delay: timers are rare while they are
late, and most of a sudden rise is to be closed within a second."""
FRACTION_STEP_DOWN = 0.05
"""Taken from the fraction at each timer in time: less than a step up, so that the load is found from below."""
MAX_FRACTION = 0.97
"""Largest fraction; a node that reports to be ready always takes some new connections."""
SKEWED_LOAD_FACTOR = 2.0
"""How many times the other nodes' mean load a node must have for its load to count as skewed."""


def is_load_skewed(own_load: int, peers_load: int, node_count: int) -> bool:
    """Whether a node has far more load than the others have on average; ``node_count`` includes it."""
    if node_count < 2:
        return False
    return own_load * (node_count - 1) > SKEWED_LOAD_FACTOR * peers_load


@dataclass
class ConnectionShedding:
    """The fraction of new connections that one node closes unread."""

    is_skewed: Callable[[], bool]
    """Whether this node has far more load than the others."""
    rng: random.Random
    fraction: float = 0.0
    _late_timers: int = 0

    def observe(self, delay_s: float) -> None:
        """Record that a timer fired ``delay_s`` seconds late."""
        if delay_s < LATE_TIMER_S:
            self._late_timers = 0
            self.fraction = max(0.0, self.fraction - FRACTION_STEP_DOWN)
            return
        self._late_timers += 1
        if self._late_timers >= LATE_TIMERS and self.is_skewed():
            self.fraction = min(MAX_FRACTION, self.fraction + FRACTION_STEP_UP * delay_s / LATE_TIMER_S)

    def closes_next(self) -> bool:
        """Whether the next new connection is closed unread."""
        return self.fraction > 0.0 and self.rng.random() < self.fraction
