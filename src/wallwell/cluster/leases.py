"""Leases in the table service with fencing tokens, so that at most one node acts on a matter at a time.

Owns one row for each lease. Relies on conditional writes of the table, and on clocks that measure spans alike.

No clocks are compared between machines. The holder counts its lease from the moment *before* it sent the
write; a challenger must see the same row version for a full time-to-live on its own clock before it may take
over. The fencing token is the commit number of the acquiring write, so it rises with every holder, and
whoever obeys orders refuses a lower one: a holder that was paused past its lease can do no harm.

A store that comes back from an older copy may have lost the row of a lease that is still held, and counts versions
that were fences before. So a lease is of one era: who hears of another holds it no more, who heard of one begins a
lease only once every earlier holder's time is over, and fences go on above all that can have been given out.
"""

from __future__ import annotations

import msgspec
from msgspec import UNSET, UnsetType

from wallwell.deployment.store_era import UNKNOWN_ERA, StoreEra, era_received, era_to_send
from wallwell.errors import LeaseLostError, PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.storage.table import Condition, Put, Row, TableService, Transaction

LEASE_PREFIX = "lease/"
LOST_VERSIONS = 1 << 20
"""Versions that a store may have given out, at most, after the copy was made that it comes back from: some minutes
of all the writes that it takes."""


class LeaseBody(msgspec.Struct, frozen=True):
    """Contents of a lease row. ``fence`` 0 means that the fence is the row's version plus ``fence_offset``."""

    holder: str
    fence: int
    ttl_s: float
    released: bool = False
    fence_offset: int | UnsetType = UNSET
    """Left out where it is 0."""
    era: int | UnsetType = UNSET
    """The store's era in which it was written. Left out before the first, and by builds that know no eras: the
    store may then have come back any number of times since."""

    @property
    def written_in(self) -> int:
        """The era in which it was written, as far as it says."""
        return era_received(self.era)

    def fence_at(self, row_version: int) -> int:
        """Return the fence that the row of a version stands for."""
        return self.fence or row_version + (self.fence_offset or 0)


class HeldLease(msgspec.Struct, frozen=True):
    """A lease this node holds. ``valid_until_s`` is on this node's clock."""

    name: str
    fence: int
    version: int
    valid_until_s: float
    era: int = UNKNOWN_ERA


def next_fence_offset(row: Row | None, body: LeaseBody | None, era: StoreEra) -> int:
    """Return what is to be added to the version of an acquiring write, so that its fence is above all earlier ones.

    In one era the version alone is. Each time the store comes back from a copy, fences up to ``LOST_VERSIONS``
    above what the copy shows may have been given out.
    """
    if row is None or body is None:
        return era.current * LOST_VERSIONS
    lost = max(0, era.current - body.written_in) * LOST_VERSIONS
    return max(0, body.fence_at(row.version) - row.version + lost)


class LeaseKeeper:
    """Acquires and renews one named lease for one holder."""

    def __init__(
        self,
        name: str,
        holder: str,
        ttl_s: float,
        table: TableService,
        guard_s: float = 0.0,
        era: StoreEra | None = None,
    ) -> None:
        """``guard_s`` is how much longer than the time-to-live a challenger waits.

        With a guard, the last act of one holder and the first of the next are at least ``guard_s`` apart.
        ``era`` is kept up to date by the answers of ``table``; without one the table never comes back from a copy.
        """
        self._key = LEASE_PREFIX + name
        self._name = name
        self._holder = holder
        self._ttl_s = ttl_s
        self._guard_s = guard_s
        self._table = table
        self._era = era or StoreEra()
        self._seen = (UNKNOWN_ERA, -1)
        """Era and version of the row that was seen last."""
        self._seen_since_s = float("-inf")
        self._seen_ttl_s = 0.0
        self.held: HeldLease | None = None

    def check(self, now_s: float) -> int:
        """Return the fence if the lease is certainly still held. Raises :class:`LeaseLostError`."""
        if self.held is None or now_s >= self.held.valid_until_s or self._era.is_after(self.held.era):
            raise LeaseLostError(self._name)
        return self.held.fence

    async def try_acquire(self, now_s: float) -> HeldLease | None:
        """Acquire or renew; ``now_s`` is read before the call. Returns None while another node holds it.

        Raises :class:`PlatformUnavailableError`; the lease then runs on until its time is over.
        """
        row = await self._table.get(self._key)
        body = msgspec.json.decode(row.value, type=LeaseBody) if row else None
        if self.held is not None and self._era.is_after(self.held.era):
            self.held = None
        if not self._may_take(row, body, now_s):
            self.held = None
            return None
        if self.held is not None and body is not None and body.holder == self._holder:
            return await self._write(row, self._body(fence=self.held.fence), now_s)
        return await self._write(row, self._body(fence_offset=next_fence_offset(row, body, self._era)), now_s)

    def _body(self, fence: int = 0, fence_offset: int = 0, released: bool = False) -> LeaseBody:
        return LeaseBody(
            self._holder,
            fence,
            self._ttl_s,
            released,
            fence_offset=fence_offset or UNSET,
            era=era_to_send(self._era.current),
        )

    def _may_take(self, row: Row | None, body: LeaseBody | None, now_s: float) -> bool:
        if now_s < self.may_begin_at_s():
            return False
        if row is None or body is None:
            return True
        if body.released or body.holder == self._holder:
            return True
        self._see(row.version, body.ttl_s, now_s)
        return now_s >= self.takeover_at_s()

    def _see(self, version: int, ttl_s: float, now_s: float) -> None:
        seen = (self._era.current, version)
        if seen != self._seen:
            self._seen = seen
            self._seen_since_s = now_s
            self._seen_ttl_s = ttl_s

    def observe(self, value: bytes | None, version: int, now_s: float) -> str | None:
        """Take the lease's row from a feed of changes and return its holder, so that no call is spent on it.

        Returns None for a row of an earlier era, which does not tell who was the last holder before the restore.
        """
        if value is None:
            return ""
        body = msgspec.json.decode(value, type=LeaseBody)
        self._see(version, body.ttl_s, now_s)
        return None if self._era.is_after(body.written_in) else body.holder

    def takeover_at_s(self) -> float:
        """Return from when another node's lease may be taken over, unless its row changes before."""
        return max(self._seen_since_s + self._seen_ttl_s + self._guard_s, self.may_begin_at_s())

    def may_begin_at_s(self) -> float:
        """Return from when a lease may begin whatever its row says: those of an earlier era are then over.

        A node that has started knows only that the store may have come back a moment before.
        """
        if self._era.current == UNKNOWN_ERA:
            return float("-inf")
        return self._era.observed_since_s + self._ttl_s + self._guard_s

    async def _write(self, row: Row | None, body: LeaseBody, now_s: float) -> HeldLease | None:
        condition = Condition(self._key, row.version if row else 0)
        put = Put(self._key, msgspec.json.encode(body).decode())
        era = self._era.current
        try:
            version = await self._table.transact(Transaction((condition,), (put,)))
        except TableConflictError:
            self.held = None  # Another node was first; callers log the loss of a lease that they held.
            return None
        self.held = HeldLease(self._name, body.fence_at(version), version, now_s + self._ttl_s, era)
        return self.held

    async def release(self) -> None:
        """Give the lease up so that another node may take it at once. Errors leave it to expire."""
        held, self.held = self.held, None
        if held is None or self._era.is_after(held.era):
            return  # Its row may be another node's by now, under the same version.
        put = Put(self._key, msgspec.json.encode(self._body(fence=held.fence, released=True)).decode())
        try:
            await self._table.transact(Transaction((Condition(self._key, held.version),), (put,)))
        except (TableConflictError, PlatformUnavailableError) as error:
            emit(Event.LEASE_NOT_RELEASED, lease=self._name, reason=f"{type(error).__name__}: {error}")
