"""Decides when a node tries to acquire or renew a lease, so that one of many nodes with the same work does it.

The last holder tries first, then the other nodes in an order that every node computes equally, so that few calls to
the store are spent on attempts that cannot succeed. Relies on :mod:`.leases` to acquire the lease, and on a feed of
the store's rows to see the last holder.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from wallwell.clock import boot_time_s
from wallwell.cluster.leases import LEASE_PREFIX, LeaseKeeper
from wallwell.errors import LeaseLostError, PlatformUnavailableError
from wallwell.events import Event, emit
from wallwell.routing.rendezvous import rendezvous_key, rendezvous_score
from wallwell.storage.feed import FeedRow

RENEWAL_FRACTION = 0.4
"""Fraction of a renewal's validity after which the next renewal is made: early enough to repeat a failed call
before the lease expires."""
LAST_HOLDER_PRIORITY_S = 0.7
"""Seconds for which other nodes let the last holder go first: long enough for several calls to the store."""
CANDIDATE_SPACING_S = 0.35
"""Seconds between the attempts of two candidates; the calls of an attempt take a small fraction of this time."""


class LeaseCandidate:
    """One node's candidacy for one lease; it tries only while it has work, at its position in the agreed order."""

    def __init__(
        self, name: str, node: str, keeper: LeaseKeeper, lease_valid_s: float, members: Callable[[], Iterable[str]]
    ) -> None:
        """``lease_valid_s`` is how long one renewal is valid; ``members`` returns the names of all candidates."""
        self.holder = ""
        """Name of the last holder, as seen in the feed of the store's rows; empty if there is none."""
        self._name = name
        self._node = node
        self._keeper = keeper
        self._lease_valid_s = lease_valid_s
        self._members = members
        self._work_pending_since_s: float | None = None
        self._renewed_at_s = float("-inf")
        self._is_draining = False
        self._is_unconfirmed = False
        """Whether the store did not answer the last attempt; kept so that an outage is logged once."""

    def observe(self, row: FeedRow, now_s: float) -> None:
        """Handle a row of this product's own table; rows other than the one of this lease are ignored."""
        if row.key == LEASE_PREFIX + self._name:
            holder = self._keeper.observe(row.value, row.version, now_s)
            if holder is not None:
                self.holder = holder

    def set_work_pending(self, is_pending: bool, now_s: float) -> None:
        """Record whether this node has work that needs the lease."""
        if not is_pending:
            self._work_pending_since_s = None
        elif self._work_pending_since_s is None:
            self._work_pending_since_s = now_s

    async def acquire_or_renew(self, now_s: float) -> bool:
        """Acquire or renew the lease if this node may try now; return whether the lease is held."""
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
        """Return whether this node certainly holds the lease now."""
        try:
            self._keeper.require_held(boot_time_s())
        except LeaseLostError:
            # Not logged here: ``acquire_or_renew`` logs losses, and LEASE_UNCONFIRMED covers an unanswered store.
            return False
        return True

    def _log_unconfirmed(self, error: PlatformUnavailableError) -> None:
        if not self._is_unconfirmed:
            emit(Event.LEASE_UNCONFIRMED, lease=self._name, held=self.is_held(), reason=error.detail)
        self._is_unconfirmed = True

    def drain(self) -> None:
        """Keep and renew a lease that is held, but acquire no new one."""
        self._is_draining = True

    def _earliest_attempt_s(self) -> float:
        """Return the time from which this node may try to acquire the lease."""
        assert self._work_pending_since_s is not None
        # The last holder also goes first after a restore: it knows best which writes the store has lost.
        earliest_s = max(self._work_pending_since_s, self._keeper.earliest_start_s())
        if self.holder == self._node:
            return earliest_s
        key = rendezvous_key(self._name)
        names = sorted({*self._members(), self._node}, key=lambda name: rendezvous_score(name, key))
        delay_s = names.index(self._node) * CANDIDATE_SPACING_S
        if self.holder:
            delay_s += LAST_HOLDER_PRIORITY_S
        return max(earliest_s + delay_s, self._keeper.earliest_takeover_s())
