"""Leases in the table service with fencing tokens, so that at most one node acts on a matter at a time.

Owns one row for each lease. Relies on conditional writes of the table, and on clocks that measure spans alike.

No clocks are compared between machines. The holder counts its lease from the moment *before* it sent the
write; a challenger must see the same row version for a full time-to-live on its own clock before it may take
over. The fencing token is the commit number of the acquiring write, so it rises with every holder, and
whoever obeys orders refuses a lower one: a holder that was paused past its lease can do no harm.
"""

from __future__ import annotations

import msgspec

from wallwell.errors import LeaseLostError, PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.storage.table import Condition, Put, Row, TableService, Transaction

LEASE_PREFIX = "lease/"


class LeaseBody(msgspec.Struct, frozen=True):
    """Contents of a lease row. ``fence`` 0 means that the fence is the row's version."""

    holder: str
    fence: int
    ttl_s: float
    released: bool = False


class HeldLease(msgspec.Struct, frozen=True):
    """A lease this node holds. ``valid_until_s`` is on this node's clock."""

    name: str
    fence: int
    version: int
    valid_until_s: float


class LeaseKeeper:
    """Acquires and renews one named lease for one holder."""

    def __init__(self, name: str, holder: str, ttl_s: float, table: TableService, guard_s: float = 0.0) -> None:
        """``guard_s`` is how much longer than the time-to-live a challenger waits.

        With a guard, the last act of one holder and the first of the next are at least ``guard_s`` apart.
        """
        self._key = LEASE_PREFIX + name
        self._name = name
        self._holder = holder
        self._ttl_s = ttl_s
        self._guard_s = guard_s
        self._table = table
        self._seen_version = -1
        self._seen_since_s = float("-inf")
        self._seen_ttl_s = 0.0
        self.held: HeldLease | None = None

    def check(self, now_s: float) -> int:
        """Return the fence if the lease is certainly still held. Raises :class:`LeaseLostError`."""
        if self.held is None or now_s >= self.held.valid_until_s:
            raise LeaseLostError(self._name)
        return self.held.fence

    async def try_acquire(self, now_s: float) -> HeldLease | None:
        """Acquire or renew; ``now_s`` is read before the call. Returns None while another node holds it.

        Raises :class:`PlatformUnavailableError`; the lease then runs on until its time is over.
        """
        row = await self._table.get(self._key)
        body = msgspec.json.decode(row.value, type=LeaseBody) if row else None
        if row is not None and body is not None and not self._may_take(row, body, now_s):
            self.held = None
            return None
        renewing = body is not None and body.holder == self._holder and self.held is not None
        fence = self.held.fence if renewing and self.held is not None else 0
        return await self._write(row, LeaseBody(self._holder, fence, self._ttl_s), now_s)

    def _may_take(self, row: Row, body: LeaseBody, now_s: float) -> bool:
        if body.released or body.holder == self._holder:
            return True
        self._see(row.version, body.ttl_s, now_s)
        return now_s >= self.takeover_at_s()

    def _see(self, version: int, ttl_s: float, now_s: float) -> None:
        if version != self._seen_version:
            self._seen_version = version
            self._seen_since_s = now_s
            self._seen_ttl_s = ttl_s

    def observe(self, value: bytes | None, version: int, now_s: float) -> str:
        """Take the lease's row from a feed of changes and return its holder, so that no call is spent on it."""
        if value is None:
            return ""
        body = msgspec.json.decode(value, type=LeaseBody)
        self._see(version, body.ttl_s, now_s)
        return body.holder

    def takeover_at_s(self) -> float:
        """Return from when another node's lease may be taken over, unless its row changes before."""
        return self._seen_since_s + self._seen_ttl_s + self._guard_s

    async def _write(self, row: Row | None, body: LeaseBody, now_s: float) -> HeldLease | None:
        condition = Condition(self._key, row.version if row else 0)
        put = Put(self._key, msgspec.json.encode(body).decode())
        try:
            version = await self._table.transact(Transaction((condition,), (put,)))
        except TableConflictError:
            self.held = None  # Another node was first; callers log the loss of a lease that they held.
            return None
        self.held = HeldLease(self._name, body.fence or version, version, now_s + self._ttl_s)
        return self.held

    async def release(self) -> None:
        """Give the lease up so that another node may take it at once. Errors leave it to expire."""
        held, self.held = self.held, None
        if held is None:
            return
        body = LeaseBody(self._holder, held.fence, self._ttl_s, released=True)
        put = Put(self._key, msgspec.json.encode(body).decode())
        try:
            await self._table.transact(Transaction((Condition(self._key, held.version),), (put,)))
        except (TableConflictError, PlatformUnavailableError) as error:
            emit(Event.LEASE_NOT_RELEASED, lease=self._name, reason=f"{type(error).__name__}: {error}")
