"""Whether this node's event loop is starved of processor time, from how late its timers come. Pure.

A starved node still completes connections, since the system does that, but it reads requests too late: callers
give up a request that nobody has read after a second. It serves nobody then, so it says that it is not ready and
callers' connections go elsewhere, which also ends the starvation. A single late timer is no sign of it: a machine
that was frozen sees one when it wakes, and is well.
"""

from __future__ import annotations

from dataclasses import dataclass

TICK_S = 0.25
"""Time between two timers; four wake-ups a second."""
LATE_S = 0.5
"""Delay of a timer that counts as late: a request needs more than one turn of the loop, and a caller waits 1 s."""
LATE_IN_A_ROW = 2
STARVED_S = 1.0
"""How long a node counts as starved after its last late timer; short, so that its share is missed no longer than
its callers need to turn away."""


@dataclass
class LoopLag:
    """The delays of one node's timers."""

    late_in_a_row: int = 0
    _starved_until_s: float = float("-inf")

    def observe(self, delay_s: float, now_s: float) -> None:
        """A timer came ``delay_s`` after its time."""
        if delay_s < LATE_S:
            self.late_in_a_row = 0
            return
        self.late_in_a_row += 1
        if self.late_in_a_row >= LATE_IN_A_ROW:
            self._starved_until_s = now_s + STARVED_S

    def is_starved(self, now_s: float) -> bool:
        """Whether new callers should go elsewhere."""
        return now_s < self._starved_until_s
