"""When a node tries for a lease and renews it, so that of many nodes with work to do one does it.

Owns the time of each try: the last holder first, then the others in an order that every node works out alike, so
that few calls to the store are spent on tries that cannot succeed. Relies on :mod:`.leases` for who holds the
lease, and on a feed of the store's rows for who held it last.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from wallwell.clock import boot_time_s
from wallwell.cluster.leases import LEASE_PREFIX, LeaseKeeper
from wallwell.errors import LeaseLostError, PlatformUnavailableError
from wallwell.events import Event, emit
from wallwell.routing.rendezvous import key_of, rendezvous_score
from wallwell.storage.feed import FeedRow

RENEWAL_FRACTION = 0.4
"""Fraction of the time for which a renewal is trusted, after which the next one is made: a call that fails can be
made again before that time is over."""
LAST_HOLDER_PRIORITY_S = 0.7
"""Seconds for which others leave the lease to its last holder: some calls to the store."""
CANDIDATE_SPACING_S = 0.35
"""Seconds between the tries of two candidates; the calls of a try take a small fraction of it."""


class LeaseCandidate:
    """One node's tries for one lease: the last holder first, others in an agreed order, nobody without work."""

    def __init__(
        self, name: str, node: str, keeper: LeaseKeeper, lease_valid_s: float, members: Callable[[], Iterable[str]]
    ) -> None:
        """``lease_valid_s`` is how long one renewal is trusted; ``members`` names the nodes that may try."""
        self.holder = ""
        """The last holder by the feed of the store's rows; empty if none."""
        self._name = name
        self._node = node
        self._keeper = keeper
        self._lease_valid_s = lease_valid_s
        self._members = members
        self._work_pending_since_s: float | None = None
        self._renewed_at_s = float("-inf")
        self._is_draining = False
        self._is_unconfirmed = False
        """Whether the store did not answer to the last try, so that an outage is logged once."""

    def observe(self, row: FeedRow, now_s: float) -> None:
        """Take a row of this product's own table; others than the lease's are left alone."""
        if row.key == LEASE_PREFIX + self._name:
            holder = self._keeper.observe(row.value, row.version, now_s)
            if holder is not None:
                self.holder = holder

    def set_work_pending(self, is_pending: bool, now_s: float) -> None:
        """Say whether there is work to do."""
        if not is_pending:
            self._work_pending_since_s = None
        elif self._work_pending_since_s is None:
            self._work_pending_since_s = now_s

    async def acquire_or_renew(self, now_s: float) -> bool:
        """Acquire or renew the lease if it is this node's turn, and return whether it is held."""
        if self.is_held() and now_s - self._renewed_at_s < self._lease_valid_s * RENEWAL_FRACTION:
            return True
        if not self.is_held() and (self._is_draining or now_s < self._earliest_attempt_s()):
            return False
        was_held = self.is_held()
        try:
            held = await self._keeper.try_acquire(now_s)
        except PlatformUnavailableError as error:
            self._log_unconfirmed(error)
            return self.is_held()
        self._is_unconfirmed = False
        if held is None:
            if was_held:
                emit(Event.LEASE_LOST, lease=self._name)
            return False
        if not was_held:
            emit(Event.LEASE_ACQUIRED, lease=self._name, fence=held.fence)
        self._renewed_at_s = now_s
        return self.is_held()

    def is_held(self) -> bool:
        """Whether the lease is certainly held now."""
        try:
            self._keeper.require_held(boot_time_s())
        except LeaseLostError:
            # This is the question. ``acquire_or_renew``
            # logs a loss that the store shows; an unconfirmed one has its own event.
            return False
        return True

    def _log_unconfirmed(self, error: PlatformUnavailableError) -> None:
        if not self._is_unconfirmed:
            emit(Event.LEASE_UNCONFIRMED, lease=self._name, held=self.is_held(), reason=error.detail)
        self._is_unconfirmed = True

    def drain(self) -> None:
        """Keep what is held, and take no new lease."""
        self._is_draining = True

    def _earliest_attempt_s(self) -> float:
        """Return when this node may try for the lease."""
        assert self._work_pending_since_s is not None
        # After a restore the last holder is first as well: it knows best what the store has lost.
        earliest_s = max(self._work_pending_since_s, self._keeper.earliest_start_s())
        if self.holder == self._node:
            return earliest_s
        key = key_of(self._name)
        names = sorted({*self._members(), self._node}, key=lambda name: rendezvous_score(name, key))
        delay_s = names.index(self._node) * CANDIDATE_SPACING_S
        if self.holder:
            delay_s += LAST_HOLDER_PRIORITY_S
        return max(earliest_s + delay_s, self._keeper.earliest_takeover_s())
