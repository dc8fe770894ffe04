"""Whether this node's event loop is starved of processor time, from how late its timers fire. Pure.

A starved node still completes connections, since the system does that, but it reads requests too late: callers
give up a request that nobody has read after a second. So the node reports that it is not ready, callers'
connections go elsewhere, and the load that starved it falls. A single late timer is no sign of starvation: a
machine that was frozen sees one when it wakes, and is well.

Owns the count of late timers. Relies on :meth:`LoopLag.observe` being called every :data:`TIMER_INTERVAL_S`.
"""

from __future__ import annotations

from dataclasses import dataclass

TIMER_INTERVAL_S = 0.25
"""Seconds between two timers; four wake-ups a second."""
LATE_TIMER_S = 0.5
"""Seconds of delay from which a timer counts as late: a request needs more than one turn of the loop, and a caller
waits 1 s."""
STARVED_AFTER_TIMERS = 2
"""Late timers in a row that make starvation: one is what a machine sees that was frozen."""
STARVATION_HOLD_S = 1.0
"""Seconds for which a node counts as starved after its last late timer; short, so that its capacity is missing no
longer than callers need to move their connections."""


@dataclass
class LoopLag:
    """The delays of one node's timers."""

    consecutive_late_timers: int = 0
    _starved_until_s: float = float("-inf")

    def observe(self, delay_s: float, now_s: float) -> None:
        """A timer fired ``delay_s`` seconds after its time."""
        if delay_s < LATE_TIMER_S:
            self.consecutive_late_timers = 0
            return
        self.consecutive_late_timers += 1
        if self.consecutive_late_timers >= STARVED_AFTER_TIMERS:
            self._starved_until_s = now_s + STARVATION_HOLD_S

    def is_starved(self, now_s: float) -> bool:
        """Whether new callers should go elsewhere."""
        return now_s < self._starved_until_s
