"""Logs errors that no code expects (faults of ours) in work for one of many peers; the work for others goes on.

Exchanges are repeated up to 20 times a second, so each error is logged at an interval with the number since.
"""

from __future__ import annotations

from wallwell.clock import boot_time_s
from wallwell.events import Event, emit

LOG_INTERVAL_S = 10.0
"""Seconds between two log lines about the same key."""
MAX_KEYS = 1000
"""Keys remembered at most; nodes are replaced under new names."""


class UnexpectedErrors:
    """The unexpected errors of one kind of work, by a key: a peer, or a type of request."""

    def __init__(self, where: str) -> None:
        """``where`` names the kind of work in the log."""
        self._where = where
        self._logged_s: dict[str, float] = {}
        """When the last line about each key was logged."""
        self._unlogged: dict[str, int] = {}
        self.count = 0
        """All unexpected errors so far."""

    def record(self, key: str, error: Exception) -> None:
        """Count an error, and log it unless one with this key was logged a moment ago."""
        self.count += 1
        errors = self._unlogged[key] = self._unlogged.get(key, 0) + 1
        now_s = boot_time_s()
        if now_s - self._logged_s.get(key, float("-inf")) < LOG_INTERVAL_S:
            return
        self._forget_oldest()
        self._logged_s[key] = now_s
        self._unlogged[key] = 0
        emit(
            Event.INTERNAL_ERROR,
            error=f"{type(error).__name__}: {error}",
            where=self._where,
            key=key,
            errors=errors,
        )

    def _forget_oldest(self) -> None:
        if len(self._logged_s) >= MAX_KEYS:
            oldest = next(iter(self._logged_s))
            del self._logged_s[oldest]
            self._unlogged.pop(oldest, None)
