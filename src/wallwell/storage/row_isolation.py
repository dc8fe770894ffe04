"""Keeps one row's error from its neighbours: the row is reported and left out, all other rows are applied.

Decoders refuse what they know to be wrong. This is the net behind them, for errors that nobody expects: they are
faults of wallwell's own, so each one is counted and logged, and none is hidden. It stands around the application of
one row, where nothing is awaited, so that it meets neither a cancellation nor a failure of the store.

Owns which rows operators have been told about, so that a row that is written with each heartbeat is told once.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

from wallwell.events import Event, emit

MAX_REPORTED_ROWS = 4096
"""Rows remembered as reported, several times as many as a deployment has back ends; the oldest are dropped."""
MAX_KEY_CHARS = 100
"""Characters of a key that are logged; with escapes a line has four to ten times as many at most."""
MAX_ERROR_CHARS = 200
"""Characters of an error that are logged, since its text may quote the row."""


def shown_key(key: str) -> str:
    """Return the beginning of a row's key as it is logged, with escapes for all but printable ASCII."""
    return ascii(key[:MAX_KEY_CHARS])[1:-1]


def shown_reason(error: Exception) -> str:
    """Return the beginning of the text of a decoding error as it is logged."""
    return str(error)[:MAX_ERROR_CHARS]


class ReportedRows:
    """Rows that operators have been told about, by key, with what was wrong."""

    def __init__(self, max_rows: int = MAX_REPORTED_ROWS) -> None:
        self._max_rows = max_rows
        self._reasons: dict[str, int] = {}
        """By key, a hash of the reason, oldest first."""

    def is_news(self, key: str, reason: str) -> bool:
        """Whether this reason has not been reported for the row since the row was last in order; records it.

        The reason counts and not the value, which changes with each heartbeat of its writer.
        """
        reason_hash = hash(reason)
        if self._reasons.get(key) == reason_hash:
            return False
        self._reasons[key] = reason_hash
        if len(self._reasons) > self._max_rows:
            del self._reasons[next(iter(self._reasons))]
        return True

    def forget(self, key: str) -> None:
        """Record that a row is in order or has been deleted: its next fault is news."""
        self._reasons.pop(key, None)

    def keep(self, keys: Collection[str]) -> None:
        """Forget all other rows: these are the keys of a whole reading."""
        self._reasons = {key: reason for key, reason in self._reasons.items() if key in keys}


class RowErrors:
    """Reports unexpected errors of single rows of one table."""

    def __init__(self, table: str, counts: Counter[str]) -> None:
        """``counts`` gets the number of errors by table, for the metrics."""
        self._table = table
        self._counts = counts
        self._reported = ReportedRows()

    def on_error(self, key: str, error: Exception) -> None:
        """Count and log the error of a row that could not be applied. Raises MemoryError again: it says nothing of
        the row."""
        if isinstance(error, MemoryError):
            raise error
        self._counts[self._table] += 1
        reason = f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARS]
        if self._reported.is_news(key, reason):
            emit(Event.INTERNAL_ERROR, error=reason, where=f"rows of {self._table}", row=shown_key(key))

    def on_applied(self, key: str) -> None:
        """Record that a row was applied: its next error is logged again."""
        self._reported.forget(key)
