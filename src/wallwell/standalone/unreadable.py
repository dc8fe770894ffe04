"""Tells operators of entries that cannot be read: once a change, not each time that the same entry is met again.

An entry is one of many independent inputs: a row of the table, a machine of the list, a member that gossip names.
One that cannot be read counts as absent, and the others hold.
"""

from __future__ import annotations

from collections.abc import Mapping

from wallwell.events import Event, emit

MAX_SHOWN_CHARS = 80
"""Characters of a key that are logged: keys are another writer's and may be of any length."""
MAX_REMEMBERED = 1024
"""Entries of which it is remembered that they were logged. Further ones are not logged by their keys."""


class UnreadableEntries:
    """The unreadable entries of one source, as far as they have been logged."""

    def __init__(self, source: str) -> None:
        """``source`` names in log lines where the entries come from."""
        self._source = source
        self._logged: dict[str, str] = {}
        """By key, the error that was logged last."""
        self._has_more = False
        """Whether it was logged that there are more entries than are remembered."""

    def __len__(self) -> int:
        return len(self._logged)

    def report(self, key: str, error: Exception) -> None:
        """Log an entry that cannot be read, unless the same was logged of it before."""
        shown = shown_key(key)
        reason = f"{type(error).__name__}: {error}"
        if self._logged.get(shown) == reason:
            return
        if shown not in self._logged and len(self._logged) >= MAX_REMEMBERED:
            self._report_more(reason)
            return
        self._logged[shown] = reason
        emit(Event.ENTRY_UNREADABLE, source=self._source, key=shown, error=reason)

    def _report_more(self, reason: str) -> None:
        if not self._has_more:
            self._has_more = True
            emit(Event.ENTRY_UNREADABLE, source=self._source, key=f"more than {MAX_REMEMBERED}", error=reason)

    def forget(self, key: str) -> None:
        """Note that an entry is readable or gone, so that it is logged if it becomes unreadable again."""
        self._forget_shown(shown_key(key))

    def _forget_shown(self, shown: str) -> None:
        if self._logged.pop(shown, None) is not None:
            self._has_more = False

    def replace(self, found: Mapping[str, Exception]) -> None:
        """Report all unreadable entries of a list that was read as a whole, and forget those no longer in it."""
        shown = {shown_key(key) for key in found}
        for gone in [key for key in self._logged if key not in shown]:
            self._forget_shown(gone)
        for key, error in found.items():
            self.report(key, error)


def shown_key(key: str) -> str:
    """Return the beginning of a key with escapes for all but printable ASCII."""
    return ascii(key[:MAX_SHOWN_CHARS])[1:-1]
