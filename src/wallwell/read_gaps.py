"""Determines since when a connection's close may have waited to be read. Pure.

A close is read as it comes while something is read from the connection all the time. It is read late if this
process was stopped, if the network held packets back, or if reading was paused for a slow caller. By then, another
process may listen on the port of the one that closed the connection.
"""

from __future__ import annotations

MIN_RESTART_S = 0.25
"""Shortest time in seconds in which a back end's process ends and another listens on its port. A close that waited
for less is read while nobody else can answer there."""


class ReadGaps:
    """The gaps between the reads of one round trip. Times are on this node's clock, in seconds."""

    def __init__(self) -> None:
        self._last_read_s = float("-inf")
        self._gap_began_s = float("-inf")
        """When the last long gap began; it ended at ``_gap_ended_s``."""
        self._gap_ended_s = float("-inf")
        self._paused_since_s: float | None = None

    def on_sent(self, now_s: float) -> None:
        """Record that a request was sent, and begin a new round trip."""
        self._last_read_s = now_s
        self._gap_began_s = self._gap_ended_s = float("-inf")
        self._paused_since_s = None

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
        waited_s = None
        if self._last_read_s - self._gap_ended_s < MIN_RESTART_S:
            waited_s = self._gap_began_s
        if self._paused_since_s is not None and self._last_read_s - self._paused_since_s >= MIN_RESTART_S:
            waited_s = min(self._paused_since_s, waited_s if waited_s is not None else self._paused_since_s)
        return waited_s
