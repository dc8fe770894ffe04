"""Following a set of rows: one whole reading, then every change in order, however often the store fails.

For every kind of knowledge that lies in the store: following again is how it recovers. The follower starts over
with a whole reading when the store has forgotten its history or has come back from an older copy.

Owns the version that was reached, when it was confirmed, and the pauses after failures. Relies on a
:class:`RowSource` for the calls, and on :class:`StoreClock` for how old an answer is.
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

MIN_RETRY_DELAY_S = 0.08
"""Seconds that the pauses between failed calls start from; they double with each failure."""
MAX_RETRY_DELAY_S = 0.6
"""Bound of these pauses in seconds: how late the return of the store is noticed."""
MAX_DOUBLINGS = 5
"""Bound of the exponent, so that it stays small however long failures go on; three pass ``MAX_RETRY_S``."""


class FeedRow(msgspec.Struct, frozen=True):
    """A row as of ``version`` in the era of its page; ``value`` is None if it was deleted."""

    key: str
    value: bytes | None
    version: int


class FeedPage(msgspec.Struct, frozen=True):
    """Rows of one answer. ``store_s`` is the store's steady clock when the answer was made.

    ``relayed``: a peer passed it on, so that the times of the call say nothing of the store's clock.
    """

    rows: tuple[FeedRow, ...]
    version: int
    store_s: float
    relayed: bool = False
    era: int = UNKNOWN_ERA

    @property
    def position(self) -> StorePosition:
        """The moment of the store's history that the page goes up to."""
        return StorePosition(self.era, self.version)


class FollowedPage(msgspec.Struct, frozen=True):
    """A page as a follower hands it on. Times are on this node's clock."""

    page: FeedPage
    is_snapshot: bool
    """Whether the page holds every row."""
    confirmed_at_s: float
    """When the rows were certainly current."""
    previous_confirmed_at_s: float
    """When they were before this page; -inf for the first one."""
    is_store_restored: bool = False
    """Whether the store has come back from an older copy since the page before. Rows may then be older than those
    applied here, and what was written since the copy was made is missing until it is written again."""


class RowSource(Protocol):
    """A set of rows that can be read whole and followed."""

    async def read_all(self) -> FeedPage:
        """Return every row. Raises :class:`PlatformUnavailableError`."""
        ...

    async def changes(self, after: StorePosition, wait_s: float) -> FeedPage:
        """Return what changed in the era of ``after``, waiting up to ``wait_s`` for the first change.

        Raises :class:`HistoryLostError`, also if the store is in another era, or
        :class:`PlatformUnavailableError`.
        """
        ...


class RowFollower:
    """Follows a row source; ``apply`` is called with everything in order."""

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
        """What was reached; None if every row is to be read."""
        self._applied_era: int | None = None
        self._consecutive_failures = 0

    async def run(self) -> None:
        """Follow until cancelled."""
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
        """One reading. Raises :class:`HistoryLostError` or :class:`PlatformUnavailableError`."""
        sent_s = boot_time_s()
        is_snapshot = self._position is None
        if self._position is None:
            page = await self._source.read_all()
            self._position = page.position
        else:
            page = await self._source.changes(self._position, self._wait_s)
            self._position = max(self._position, page.position)
        previous_confirmed_at_s = self.confirmed_at_s
        self.confirmed_at_s = max(self.confirmed_at_s, self._confirmed_s(page, sent_s))
        if self._consecutive_failures:
            emit(Event.STORE_REGAINED, rows=self.name, failures=self._consecutive_failures)
            self._consecutive_failures = 0
        is_store_restored = self._applied_era is not None and page.era > self._applied_era
        self._applied_era = page.era
        self._apply(
            FollowedPage(page, is_snapshot, self.confirmed_at_s, previous_confirmed_at_s, is_store_restored)
        )

    def _confirmed_s(self, page: FeedPage, sent_s: float) -> float:
        if page.relayed:
            return self._clock.confirmed_by_relay_s(boot_time_s(), page.store_s, page.era)
        return self._clock.confirmed_s(sent_s, page.store_s, page.era)

    def _on_failure(self, error: PlatformUnavailableError) -> None:
        self._consecutive_failures += 1
        if self._consecutive_failures == 1:
            emit(Event.STORE_LOST, rows=self.name, reason=error.detail)

    def _retry_delay_s(self) -> float:
        """Return a random pause, so that nodes that lost the store together do not all call it at once."""
        max_delay_s = min(
            MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * (1 << min(self._consecutive_failures, MAX_DOUBLINGS))
        )
        return self._rng.uniform(max_delay_s / 2, max_delay_s)
