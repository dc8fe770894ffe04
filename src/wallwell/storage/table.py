"""Interface to the store's rows: conditional transactions, and the operations that wallwell requires of a store.

Used for rows that nodes write: leases, claims, crashes, configuration. Stateless. Relies on the store to commit
transactions atomically; implemented by ``platform/store.py`` and, for the router without the platform's store, by
``standalone/table_client.py``.

Keys and values are strings. Every committed transaction gets the next commit number, which becomes the version of
the rows it wrote. An answer can be lost after the commit, so after :class:`PlatformUnavailableError` it is unknown
whether the transaction took effect; callers find out by reading back a row that names their own attempt.
"""

from __future__ import annotations

from typing import Protocol

import msgspec


class Row(msgspec.Struct, frozen=True):
    """One row. ``version`` is the number of the commit that wrote it."""

    key: str
    value: str
    version: int


class Condition(msgspec.Struct, frozen=True):
    """Requires the row at ``key`` to have exactly ``version``; version 0 requires that the row does not exist."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True):
    """A write of ``value`` at ``key``."""

    key: str
    value: str


class Transaction(msgspec.Struct, frozen=True):
    """Writes and deletions that are committed atomically if all conditions hold."""

    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class Scan(msgspec.Struct, frozen=True):
    """Rows with a key prefix and versions above the requested one, as of the commit number ``commit``."""

    commit: int
    rows: tuple[Row, ...]


class TableService(Protocol):
    """Operations that wallwell requires of a store; they raise errors of :mod:`wallwell.errors`."""

    async def transact(self, transaction: Transaction) -> int:
        """Commit a transaction and return its commit number.

        Raises :class:`TableConflictError` if a condition failed and nothing was written, and
        :class:`PlatformUnavailableError` if the effect is unknown.
        """
        ...

    async def get(self, key: str) -> Row | None:
        """Return the row at a key, None if there is none. Raises :class:`PlatformUnavailableError`."""
        ...

    async def scan(self, prefix: str, after_version: int) -> Scan:
        """Return the rows with a key prefix changed after a version. Raises :class:`PlatformUnavailableError`."""
        ...
