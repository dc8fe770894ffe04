"""Follows a set of rows: reads one snapshot, then every change in order, and retries after failures of the store.

Used for all state that is kept in the store. The follower reads a new snapshot when the store no longer has the
history of changes or has been restored from an older copy.

Owns the version that was reached, when it was confirmed, and the delays after failures. Relies on a
:class:`RowSource` for the calls, and on :class:`StoreClock` for the age of an answer.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

import msgspec

from wallwell.clock import boot_time_s
from wallwell.deployment.freshness import StoreClock
from wallwell.deployment.store_era import UNKNOWN_ERA, StorePosition
from wallwell.errors import HistoryLostError, PlatformUnavailableError
from wallwell.events import Event, emit
from wallwell.storage.row_isolation import shown_key

MIN_RETRY_DELAY_S = 0.08
"""Minimum retry delay in seconds; the upper bound of the delay doubles with each consecutive failure."""
MAX_RETRY_DELAY_S = 0.6
"""Maximum retry delay in seconds, and so how late a follower notices that the store is back."""
MAX_DOUBLINGS = 5
"""Maximum exponent, which keeps the power small in long outages; three doublings exceed ``MAX_RETRY_DELAY_S``."""
MAX_KEYS_LOGGED = 10
"""Keys of a page that are named in the log if the page could not be applied."""
FIRST_REREAD_DELAY_S = 1.0
"""Seconds before rows are read again after two readings that could not be applied; doubles with each further."""
MAX_REREAD_DELAY_S = 8.0
"""Longest such delay: a page that can never be applied then costs each node one whole reading in that time."""


class FeedRow(msgspec.Struct, frozen=True):
    """A row as of ``version`` in its page's era; ``value`` is None if the row was deleted."""

    key: str
    value: bytes | None
    version: int


class FeedPage(msgspec.Struct, frozen=True):
    """Rows of one answer. ``store_s`` is the store's steady clock in seconds when the answer was made.

    ``relayed``: the page came from a peer's copy, so its call times give no information about the store's clock.
    """

    rows: tuple[FeedRow, ...]
    version: int
    store_s: float
    relayed: bool = False
    era: int = UNKNOWN_ERA

    @property
    def position(self) -> StorePosition:
        """The position in the store's history up to which the page is complete."""
        return StorePosition(self.era, self.version)


class FollowedPage(msgspec.Struct, frozen=True):
    """A page with the follower's information about it. Times are in seconds on this node's clock."""

    page: FeedPage
    is_snapshot: bool
    """Whether the page contains every row rather than changes only."""
    confirmed_at_s: float
    """The latest time at which the rows were certainly current."""
    previous_confirmed_at_s: float
    """``confirmed_at_s`` of the page before; minus infinity for the first page."""
    is_store_restored: bool = False
    """Whether the store has been restored from an older copy since the page before. Rows may then be older than
    those already applied, and writes made after the copy are missing until they are written again."""


class RowSource(Protocol):
    """A set of rows that can be read as a snapshot and followed."""

    async def read_all(self) -> FeedPage:
        """Return every row. Raises :class:`PlatformUnavailableError`."""
        ...

    async def changes(self, after: StorePosition, wait_s: float) -> FeedPage:
        """Return the changes after a position of the same era, waiting up to ``wait_s`` seconds for the first one.

        Raises :class:`HistoryLostError` if the history is incomplete or the store is in another era, and
        :class:`PlatformUnavailableError` if the call fails.
        """
        ...


class RowFollower:
    """Follows a row source and calls ``apply`` with each page in order."""

    def __init__(
        self,
        name: str,
        source: RowSource,
        apply: Callable[[FollowedPage], None],
        wait_s: float,
        clock: StoreClock,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.confirmed_at_s = float("-inf")
        self._source = source
        self._apply = apply
        self._wait_s = wait_s
        self._clock = clock
        self._rng = rng
        self._position: StorePosition | None = None
        """The position reached; None if the next read is a snapshot."""
        self._applied_era: int | None = None
        self._failures = 0
        self._unapplied_pages = 0
        """Pages in a row that could not be applied."""

    async def run(self) -> None:
        """Follow the source until cancelled. Ends with the error of a page that could not be applied; the caller
        runs it again after a pause, and then all rows are read again, since some of the page's may be missing."""
        if self._unapplied_pages > 1:
            await asyncio.sleep(self._reread_delay_s())
        while True:
            try:
                await self.read_once()
            except HistoryLostError as error:
                version = None if self._position is None else self._position.version
                emit(Event.FEED_RESTARTED, rows=self.name, version=version, reason=error.detail)
                self._position = None
            except PlatformUnavailableError as error:
                self._on_failure(error)
                await asyncio.sleep(self._retry_delay_s())

    async def read_once(self) -> None:
        """Read and apply one page. Raises :class:`HistoryLostError` or :class:`PlatformUnavailableError`.

        Raises any error of ``apply`` too. The page then counts as never read: its rows are not confirmed, and the
        next reading is of all rows.
        """
        sent_s = boot_time_s()
        is_snapshot = self._position is None
        if self._position is None:
            page = await self._source.read_all()
            position = page.position
        else:
            # After a failure the answer itself is needed, since only it confirms that the rows held are current.
            wait_s = 0.0 if self._failures else self._wait_s
            page = await self._source.changes(self._position, wait_s)
            position = max(self._position, page.position)
        confirmed_at_s = max(self.confirmed_at_s, self._confirmed_s(page, sent_s))
        if self._failures:
            emit(Event.STORE_REGAINED, rows=self.name, failures=self._failures)
            self._failures = 0
        is_restored = self._applied_era is not None and page.era > self._applied_era
        followed = FollowedPage(page, is_snapshot, confirmed_at_s, self.confirmed_at_s, is_restored)
        try:
            self._apply(followed)
        except Exception as error:
            self._position = None
            self._unapplied_pages += 1
            self._log_not_applied(followed, error)
            raise
        self._position = position
        self._applied_era = page.era
        self.confirmed_at_s = confirmed_at_s
        self._unapplied_pages = 0

    def _log_not_applied(self, followed: FollowedPage, error: Exception) -> None:
        page = followed.page
        emit(
            Event.PAGE_NOT_APPLIED,
            rows=self.name,
            version=page.version,
            is_snapshot=followed.is_snapshot,
            keys=[shown_key(row.key) for row in page.rows[:MAX_KEYS_LOGGED]],
            count=len(page.rows),
            error=f"{type(error).__name__}: {error}",
        )

    def _confirmed_s(self, page: FeedPage, sent_s: float) -> float:
        if page.relayed:
            return self._clock.confirmed_by_relay_s(boot_time_s(), page.store_s, page.era)
        return self._clock.confirmed_s(sent_s, page.store_s, page.era)

    def _on_failure(self, error: PlatformUnavailableError) -> None:
        self._failures += 1
        if self._failures == 1:
            emit(Event.STORE_LOST, rows=self.name, reason=error.detail)

    def _reread_delay_s(self) -> float:
        doublings = min(self._unapplied_pages - 2, MAX_DOUBLINGS)
        return min(MAX_REREAD_DELAY_S, FIRST_REREAD_DELAY_S * (1 << doublings))

    def _retry_delay_s(self) -> float:
        """Return a random delay in seconds, so that nodes that lost the store together do not retry in step."""
        max_delay_s = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * (1 << min(self._failures, MAX_DOUBLINGS)))
        return self._rng.uniform(max_delay_s / 2, max_delay_s)
