"""A node's copy of a set of rows, which peers can follow instead of the store. Pure.

Serves the same two reads as the store: a snapshot of all rows, and the changes after a version. Owns the rows and a
bounded number of deletions since the last snapshot; a peer that asks for changes from before them has to read a
snapshot. Relies on pages being applied in the order in which the store made them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from wallwell.deployment.store_era import UNKNOWN_ERA, StorePosition
from wallwell.errors import HistoryLostError
from wallwell.storage.feed import FeedPage, FeedRow

MAX_REMEMBERED_DELETIONS = 1000
"""Number of deletions remembered. Followers ask about once a second; a peer that has missed more deletions has to
read a snapshot, which costs one large answer."""


class RowReplica:
    """Rows by key, as of ``version`` at the time ``store_s`` (seconds on the store's clock)."""

    def __init__(self, max_deletions: int = MAX_REMEMBERED_DELETIONS) -> None:
        self.era = UNKNOWN_ERA
        """Era of the store to which all rows and versions of the copy belong."""
        self.version = -1
        """Version up to which the copy is complete; -1 before the first page."""
        self.store_s = float("-inf")
        self.last_change_version = -1
        """Version of the last page that was a snapshot or contained rows."""
        self._rows: dict[str, FeedRow] = {}
        self._deletions: OrderedDict[str, FeedRow] = OrderedDict()
        self._history_start_version = -1
        """Oldest version after which all changes, deletions included, are known."""
        self._max_deletions = max_deletions

    def apply_page(self, page: FeedPage, is_snapshot: bool) -> int:
        """Apply a page; ``is_snapshot``: the page contains every row. Return the number of rows that were refused.

        A row is refused if the copy holds a newer version; all are if a snapshot is older than the copy, or if
        changes are of another era.
        """
        if is_snapshot:
            if page.position < self.position:
                return len(page.rows)
            self._reset(page)
        elif page.era != self.era:
            return len(page.rows)
        refused = sum(not self._apply_row(row) for row in page.rows)
        if page.rows or is_snapshot:
            self.last_change_version = max(self.last_change_version, page.version)
        self.version = max(self.version, page.version)
        self.store_s = max(self.store_s, page.store_s)
        return refused

    @property
    def position(self) -> StorePosition:
        """The position in the store's history up to which the copy is complete."""
        return StorePosition(self.era, self.version)

    def _reset(self, page: FeedPage) -> None:
        """Clear the rows before a snapshot is applied; in another era the versions restart as well."""
        if page.era != self.era:
            self.era = page.era
            self.version = self.last_change_version = -1
            self.store_s = float("-inf")
        self._rows = {}
        self._deletions.clear()
        self._history_start_version = page.version

    def _apply_row(self, row: FeedRow) -> bool:
        """Apply a row; return False if the copy holds a newer version of it."""
        held_row = self._rows.get(row.key) or self._deletions.get(row.key)
        if held_row is not None and held_row.version > row.version:
            return False
        self._deletions.pop(row.key, None)
        if row.value is not None:
            self._rows[row.key] = row
            return True
        self._rows.pop(row.key, None)
        self._deletions[row.key] = row
        if len(self._deletions) > self._max_deletions:
            _, oldest_deletion = self._deletions.popitem(last=False)
            self._history_start_version = max(self._history_start_version, oldest_deletion.version)
        return True

    def all_rows(self) -> FeedPage:
        """Return a snapshot: every row as of the copy's version."""
        return self._page(self._rows.values())

    def changes_since(self, version: int) -> FeedPage:
        """Return the changes after ``version``. Raises :class:`HistoryLostError` if the copy lacks some of them."""
        if version < self._history_start_version:
            raise HistoryLostError("changes from before the last whole reading")
        changed = [row for row in (*self._rows.values(), *self._deletions.values()) if row.version > version]
        changed.sort(key=lambda row: row.version)
        return self._page(changed)

    def _page(self, rows: Iterable[FeedRow]) -> FeedPage:
        return FeedPage(tuple(rows), self.version, self.store_s, relayed=True, era=self.era)
