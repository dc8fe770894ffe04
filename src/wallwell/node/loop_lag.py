"""Detects from late timers that this node's event loop is starved of processor time. Pure.

A starved node still completes connections, since the kernel does that, but it reads requests too late: callers give
up a request that has not been read within a second. The node therefore reports that it is not ready, so that
callers connect elsewhere and its load falls. A single late timer is no sign of starvation: it also occurs when a
suspended machine resumes.

Owns the count of late timers. Relies on :meth:`LoopLag.observe` being called each time that the timer fires.
"""

from __future__ import annotations

from dataclasses import dataclass

LATE_TIMER_S = 0.5
"""Seconds of delay from which a timer counts as late: a request needs more than one iteration of the event loop,
and a caller waits 1 s."""
STARVED_AFTER_TIMERS = 2
"""Late timers in a row that indicate starvation; a single one also occurs after a suspension of the machine."""
STARVATION_HOLD_S = 1.0
"""Seconds for which a node counts as starved after its last late timer. They are few, so that its capacity is
missing no longer than callers need to move their connections."""


@dataclass
class LoopLag:
    """Counts consecutive late timers of one node."""

    consecutive_late_timers: int = 0
    _starved_until_s: float = float("-inf")

    def observe(self, delay_s: float, now_s: float) -> None:
        """Record that a timer fired ``delay_s`` seconds late."""
        if delay_s < LATE_TIMER_S:
            self.consecutive_late_timers = 0
            return
        self.consecutive_late_timers += 1
        if self.consecutive_late_timers >= STARVED_AFTER_TIMERS:
            self._starved_until_s = now_s + STARVATION_HOLD_S

    def is_starved(self, now_s: float) -> bool:
        """Whether the event loop counts as starved, so that new callers should connect elsewhere."""
        return now_s < self._starved_until_s
