"""Determines since when a connection's close may have waited to be read. No I/O.

A close is read as it comes while something is read from the connection all the time. It is read late if this
process was stopped, if the network held packets back, or if reading was paused for a slow caller. By then, another
process may listen on the port of the one that closed the connection.

Owns what a timer has shown of this process's event loop. Relies on :mod:`wallwell.node.readiness` to set it.
"""

from __future__ import annotations

MIN_RESTART_S = 0.25
"""Shortest time in seconds in which a back end's process ends and another listens on its port. A close that waited
for less is read while nobody else can answer there."""
TIMER_INTERVAL_S = 0.25
"""Seconds between two timers that show the progress of the event loop."""


class LoopProgress:
    """When the event loop of this process last stood still, as far as a timer shows. Times are in seconds."""

    def __init__(self) -> None:
        self._last_timer_s: float | None = None
        self._began_s = self._ended_s = float("-inf")
        """The last standstill."""

    def begin(self, now_s: float) -> None:
        """Record that the timer has been set for the first time."""
        self._last_timer_s = now_s

    def end(self) -> None:
        """Record that the timer is not set again; nothing is known from then on."""
        self._last_timer_s = None
        self._began_s = self._ended_s = float("-inf")

    def on_timer(self, now_s: float) -> None:
        """Record that the timer fired; it is set again for :data:`TIMER_INTERVAL_S` each time."""
        began_s = self._standstill_since_s(now_s)
        if began_s is not None:
            self._began_s, self._ended_s = began_s, now_s
        self._last_timer_s = now_s

    def _standstill_since_s(self, now_s: float) -> float | None:
        if self._last_timer_s is None or now_s - self._last_timer_s < TIMER_INTERVAL_S + MIN_RESTART_S:
            return None
        return self._last_timer_s

    def stood_still_since_s(self, since_s: float, now_s: float) -> float | None:
        """Return since when the loop may have stood still, after ``since_s`` and until shortly before now."""
        began_s = self._standstill_since_s(now_s)
        if began_s is None and self._ended_s > max(since_s, now_s - MIN_RESTART_S):
            began_s = self._began_s
        return None if began_s is None else max(began_s, since_s)


loop_progress = LoopProgress()
"""That of this process."""


class ReadGaps:
    """The gaps between the reads of one round trip. Times are on this node's clock, in seconds."""

    def __init__(self) -> None:
        self._sent_s = float("-inf")
        self._last_read_s = float("-inf")
        self._gap_began_s = float("-inf")
        """When the last long gap began; it ended at ``_gap_ended_s``."""
        self._gap_ended_s = float("-inf")
        self._paused_since_s: float | None = None

    def on_sent(self, now_s: float) -> None:
        """Record that a request was sent, and begin a new round trip."""
        self._sent_s = self._last_read_s = now_s
        self._gap_began_s = self._gap_ended_s = float("-inf")
        self._paused_since_s = None

    def on_head(self, now_s: float) -> None:
        """Record that the answer's head was read: until then the back end may have worked on the request."""
        self._last_read_s = now_s
        self._gap_began_s = self._gap_ended_s = float("-inf")

    def on_read(self, now_s: float) -> None:
        """Record that bytes or the close were read."""
        if now_s - self._last_read_s >= MIN_RESTART_S:
            self._gap_began_s, self._gap_ended_s = self._last_read_s, now_s
        self._last_read_s = now_s

    def on_paused(self, now_s: float) -> None:
        """Record that reading was paused. From then on the system may always hold more than has been read."""
        if self._paused_since_s is None:
            self._paused_since_s = now_s

    @property
    def was_paused(self) -> bool:
        """Whether reading has been paused in this round trip."""
        return self._paused_since_s is not None

    def unread_since_s(self) -> float | None:
        """Return since when a close that has just been read may have waited; None if it was read as it came.

        Packets that were held back arrive together, so a long gap counts if it ended shortly before the close.
        """
        end_s = self._last_read_s
        found_s = [loop_progress.stood_still_since_s(self._sent_s, end_s)]
        if end_s - self._gap_ended_s < MIN_RESTART_S:
            found_s.append(self._gap_began_s)
        if self._paused_since_s is not None and end_s - self._paused_since_s >= MIN_RESTART_S:
            found_s.append(self._paused_since_s)
        return min((each for each in found_s if each is not None), default=None)
