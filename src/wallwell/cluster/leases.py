"""Leases with fencing tokens, stored in the table service, so that at most one node acts for a purpose at a time.

Owns one row per lease. Relies on conditional writes of the table, and on clocks that measure durations alike.

Clocks are never compared between machines. The holder counts its lease from *before* it sent the write; a
challenger must see the same row version for a full time-to-live on its own clock before it may take over. The
fencing token is the commit number of the acquiring write, so it rises with every holder. A receiver of orders
refuses tokens lower than the highest it has seen, so a holder paused past its lease can do no harm.

A store restored from an older copy may have lost the row of a lease that is still held, and reuses versions that
were fences. So a lease is valid in one era only: a holder that learns of a newer era loses its lease, a new era's
first lease starts only once all earlier leases have expired, and its fence is above all earlier ones.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import UNSET, UnsetType

from wallwell.deployment.store_era import UNKNOWN_ERA, StoreEra, era_received, era_to_send
from wallwell.errors import LeaseLostError, PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.storage.row_values import Version, decode_value
from wallwell.storage.table import Condition, Put, Row, TableService, Transaction

LEASE_PREFIX = "lease/"
MAX_LOST_VERSIONS = 1 << 20
"""Upper bound of the versions that a store can have given out since the copy that it is restored from was made:
several minutes of all the writes that it can take."""
MAX_TTL_S = 3600.0
"""Longest time-to-live of a lease that is believed: an hour, hundreds of times any setting."""
MAX_FENCE = 2**62
"""Largest fence that is believed: later fences above it still fit into 64 bits."""

Fence = Annotated[int, msgspec.Meta(ge=0, le=MAX_FENCE)]


class LeaseBody(msgspec.Struct, frozen=True):
    """Contents of a lease row. If ``fence`` is 0, the fence is the row's version plus ``fence_offset``."""

    holder: str
    fence: Fence
    ttl_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_TTL_S)]
    released: bool = False
    fence_offset: Fence | UnsetType = UNSET
    """Omitted if it is 0."""
    era: Version | UnsetType = UNSET
    """The store's era in which the row was written. Omitted before the first era, and by builds without eras: the
    store may then have been restored any number of times since."""

    @property
    def written_era(self) -> int:
        """The era in which the row was written; ``UNKNOWN_ERA`` if it names none."""
        return era_received(self.era)

    def fence_for_version(self, row_version: int) -> int:
        """Return the fencing token of the lease if its row has the version ``row_version``."""
        return self.fence or row_version + (self.fence_offset or 0)


class HeldLease(msgspec.Struct, frozen=True):
    """A lease that this node holds. ``valid_until_s`` is on this node's clock."""

    name: str
    fence: int
    version: int
    valid_until_s: float
    era: int = UNKNOWN_ERA


def next_fence_offset(row: Row | None, body: LeaseBody | None, era: StoreEra) -> int:
    """Return the number to add to the version of an acquiring write so that its fence is above all earlier ones.

    Within one era no offset is needed. At each restore of the store, fences up to ``MAX_LOST_VERSIONS`` above those
    in the copy may have been given out.
    """
    if row is None or body is None:
        return era.current * MAX_LOST_VERSIONS
    lost = max(0, era.current - body.written_era) * MAX_LOST_VERSIONS
    return max(0, body.fence_for_version(row.version) - row.version + lost)


def _decode_body(row: Row | None) -> LeaseBody | None:
    """Return the contents of a lease's row; None if there is no row, or it cannot be decoded."""
    if row is None:
        return None
    try:
        return decode_value(row.value, LeaseBody)
    except msgspec.MsgspecError:
        return None  # Readers of the feed report the row.


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

        With a guard, the last action of one holder and the first of the next are at least ``guard_s`` apart.
        ``era`` is updated from the answers of ``table``; None is for tables that are never restored from a copy.
        """
        self._key = LEASE_PREFIX + name
        self._name = name
        self._holder = holder
        self._ttl_s = ttl_s
        self._guard_s = guard_s
        self._table = table
        self._era = era or StoreEra()
        self._seen_row = (UNKNOWN_ERA, -1)
        """Era of the store and version of the lease row when the row was last seen."""
        self._seen_since_s = float("-inf")
        self._seen_ttl_s = 0.0
        self.held: HeldLease | None = None

    def require_held(self, now_s: float) -> int:
        """Return the fence if the lease is certainly still held. Raises :class:`LeaseLostError` if it is not."""
        if self.held is None or now_s >= self.held.valid_until_s or self._era.is_after(self.held.era):
            raise LeaseLostError(self._name)
        return self.held.fence

    async def try_acquire(self, now_s: float) -> HeldLease | None:
        """Acquire or renew the lease; return None while another node holds it. ``now_s`` is read before the call.

        Raises :class:`PlatformUnavailableError`; a lease that is held then stays valid until it expires.
        """
        row = await self._table.get(self._key)
        body = _decode_body(row)
        if self.held is not None and self._era.is_after(self.held.era):
            self.held = None
        if not self._may_acquire(row, body, now_s):
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

    def _may_acquire(self, row: Row | None, body: LeaseBody | None, now_s: float) -> bool:
        if now_s < self.earliest_start_s():
            return False
        if row is None:
            return True
        if body is None:
            # Its writer may hold the lease by a form that this build does not know, so its time is waited for.
            self._record_seen_row(row.version, self._ttl_s, now_s)
            return now_s >= self.earliest_takeover_s()
        if body.released or body.holder == self._holder:
            return True
        self._record_seen_row(row.version, body.ttl_s, now_s)
        return now_s >= self.earliest_takeover_s()

    def _record_seen_row(self, version: int, ttl_s: float, now_s: float) -> None:
        seen_row = (self._era.current, version)
        if seen_row != self._seen_row:
            self._seen_row = seen_row
            self._seen_since_s = now_s
            self._seen_ttl_s = ttl_s

    def observe(self, value: bytes | None, version: int, now_s: float) -> str | None:
        """Record the lease's row from a feed of changes, which saves a call, and return its holder ("" if deleted).

        Returns None for a row of an earlier era, which may not name the last holder before the restore. Raises
        ``msgspec.MsgspecError`` for a row that cannot be decoded; its lease can be taken over after its time.
        """
        if value is None:
            return ""
        body = decode_value(value, LeaseBody)
        self._record_seen_row(version, body.ttl_s, now_s)
        return None if self._era.is_after(body.written_era) else body.holder

    def earliest_takeover_s(self) -> float:
        """Return the time from which another node's lease may be taken over, unless its row changes before then."""
        return max(self._seen_since_s + self._seen_ttl_s + self._guard_s, self.earliest_start_s())

    def earliest_start_s(self) -> float:
        """Return the time from which any lease may start: by then all leases of earlier eras have expired.

        A node that has just started must assume that the store was restored a moment ago.
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
            self.held = None  # Another node wrote first; callers log the loss of a lease that they held.
            return None
        self.held = HeldLease(self._name, body.fence_for_version(version), version, now_s + self._ttl_s, era)
        return self.held

    async def release(self) -> None:
        """Release the lease so that another node may acquire it at once. After an error it expires instead."""
        held, self.held = self.held, None
        if held is None or self._era.is_after(held.era):
            return  # The row may by now be another node's, with the same version.
        put = Put(self._key, msgspec.json.encode(self._body(fence=held.fence, released=True)).decode())
        try:
            await self._table.transact(Transaction((Condition(self._key, held.version),), (put,)))
        except (TableConflictError, PlatformUnavailableError) as error:
            emit(Event.LEASE_NOT_RELEASED, lease=self._name, reason=f"{type(error).__name__}: {error}")
