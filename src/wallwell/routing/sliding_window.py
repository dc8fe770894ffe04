"""Counts and sums the events of a recent time window. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec


class _Entry(msgspec.Struct, frozen=True):
    at_s: float
    value: float


@dataclass
class SlidingWindow:
    """Keeps the events of the last ``length_s`` seconds. Times are on one clock and must not decrease."""

    length_s: float
    _entries: deque[_Entry] = field(default_factory=deque)

    def add(self, now_s: float, value: float = 1.0) -> None:
        """Add an event that happens now."""
        self._entries.append(_Entry(now_s, value))
        self._expire(now_s)

    def count(self, now_s: float) -> int:
        """Return the number of events in the window that ends now."""
        self._expire(now_s)
        return len(self._entries)

    def total(self, now_s: float) -> float:
        """Return the sum of the values of the events in the window that ends now."""
        self._expire(now_s)
        return sum(entry.value for entry in self._entries)

    def _expire(self, now_s: float) -> None:
        while self._entries and self._entries[0].at_s <= now_s - self.length_s:
            self._entries.popleft()
