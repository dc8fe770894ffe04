"""An in-memory row source for tests, and a mirror of the rows that a follower has applied."""

import asyncio

from wallwell.errors import HistoryLostError
from wallwell.storage.feed import FeedPage, FeedRow


class MemoryRows:
    """Rows with versions, a history that can be dropped, and scripted failures."""

    def __init__(self):
        self.rows: dict[str, FeedRow] = {}
        self.history: list[FeedRow] = []
        self.version = 0
        self.era = 1
        self.history_start_version = 0
        self.failures: list[Exception] = []
        self.snapshot_reads = 0

    def write(self, key, value):
        self.version += 1
        row = FeedRow(key, value, self.version)
        self.history.append(row)
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = row

    def drop_history(self):
        self.history_start_version = self.version
        self.history.clear()

    def _fail(self):
        if self.failures:
            raise self.failures.pop(0)

    async def read_all(self):
        self._fail()
        self.snapshot_reads += 1
        await asyncio.sleep(0.01)
        return FeedPage(tuple(self.rows.values()), self.version, self._now_s(), era=self.era)

    async def changes(self, after, wait_s):
        self._fail()
        if self.version == after.version:
            await asyncio.sleep(wait_s)
        if not self.history_start_version <= after.version <= self.version or after.era != self.era:
            raise HistoryLostError("gone")
        rows = tuple(row for row in self.history if row.version > after.version)
        return FeedPage(rows, self.version, self._now_s(), era=self.era)

    def copy(self):
        return dict(self.rows), self.version

    def restore(self, copy):
        """Restore a copy: versions after the copy are assigned again, in the next era."""
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era += 1
        self.drop_history()

    def _now_s(self):
        return asyncio.get_running_loop().time() - 900.0


class Mirror:
    """The rows that a follower has applied."""

    def __init__(self):
        self.rows = {}

    def apply(self, followed):
        if followed.is_snapshot:
            self.rows = {}
        for row in followed.page.rows:
            if row.value is None:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row.value
