"""A node's copy of a set of rows, kept so that peers can follow it instead of the store. Pure.

Answers the same two questions as the store: every row, and what changed after a version. Owns the rows, and the
deletions since its last whole reading, of which it keeps a bounded number; a peer that asks for older changes has
to read everything again. Relies on pages that arrive in the order of the store.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from wallwell.deployment.store_era import UNKNOWN_ERA, StorePosition
from wallwell.errors import HistoryLostError
from wallwell.storage.feed import FeedPage, FeedRow

MAX_REMEMBERED_DELETIONS = 1000
"""Deletions remembered: a follower asks every second or so, and a peer that has missed more reads every row again,
which costs one large answer."""


class RowReplica:
    """Rows by key with their versions, as of ``version`` at the store's time ``store_s``."""

    def __init__(self, max_deletions: int = MAX_REMEMBERED_DELETIONS) -> None:
        self.era = UNKNOWN_ERA
        """The era of the store in which every row and version here was given out."""
        self.version = -1
        """The newest version that the copy holds; -1 before the first reading."""
        self.store_s = float("-inf")
        self.last_change_version = -1
        """Version up to which the last page that brought rows goes."""
        self._rows: dict[str, FeedRow] = {}
        self._deletions: OrderedDict[str, FeedRow] = OrderedDict()
        self._history_start_version = -1
        """Changes after this version are complete; older ones are not."""
        self._max_deletions = max_deletions

    def apply_page(self, page: FeedPage, is_snapshot: bool) -> int:
        """Apply a page; ``is_snapshot``: it holds every row. An older whole page than the copy is refused.

        Returns how many rows were refused since the copy holds newer ones.
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
        """The moment of the store's history that the copy goes up to."""
        return StorePosition(self.era, self.version)

    def _reset(self, page: FeedPage) -> None:
        """Drop every row for those of a whole page; in another era all versions begin anew."""
        if page.era != self.era:
            self.era = page.era
            self.version = self.last_change_version = -1
            self.store_s = float("-inf")
        self._rows = {}
        self._deletions.clear()
        self._history_start_version = page.version

    def _apply_row(self, row: FeedRow) -> bool:
        """Apply a row; returns False if the copy holds a newer one."""
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
        """Return every row as of the copy's version."""
        return self._page(self._rows.values())

    def changes_since(self, version: int) -> FeedPage:
        """Return what changed after ``version``. Raises :class:`HistoryLostError` if that is not all known here."""
        if version < self._history_start_version:
            raise HistoryLostError("changes from before the last whole reading")
        changed = [row for row in (*self._rows.values(), *self._deletions.values()) if row.version > version]
        changed.sort(key=lambda row: row.version)
        return self._page(changed)

    def _page(self, rows: Iterable[FeedRow]) -> FeedPage:
        return FeedPage(tuple(rows), self.version, self.store_s, relayed=True, era=self.era)
