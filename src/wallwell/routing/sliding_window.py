"""Events of the last seconds, counted and summed. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec


class _Entry(msgspec.Struct, frozen=True):
    at_s: float
    value: float


@dataclass
class SlidingWindow:
    """Keeps the events of the last ``length_s`` seconds. Times rise and are on one clock."""

    length_s: float
    _entries: deque[_Entry] = field(default_factory=deque)

    def add(self, now_s: float, value: float = 1.0) -> None:
        """Count an event."""
        self._entries.append(_Entry(now_s, value))
        self._expire(now_s)

    def count(self, now_s: float) -> int:
        """Return how many events are in the window that ends now."""
        self._expire(now_s)
        return len(self._entries)

    def total(self, now_s: float) -> float:
        """Return the sum of their values."""
        self._expire(now_s)
        return sum(entry.value for entry in self._entries)

    def _expire(self, now_s: float) -> None:
        while self._entries and self._entries[0].at_s <= now_s - self.length_s:
            self._entries.popleft()
