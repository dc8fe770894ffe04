"""Rows under conditions, as the store keeps them: types of a transaction, and what this product needs of the store.

For rows that nodes write: leases, claims, crashes, configuration. Owns no state. Relies on the store to commit a
transaction whole or not at all; its clients are ``platform/store.py`` and, for the router without the platform's
store, ``standalone/table_client.py``.

Rows are strings under string keys. Every committed transaction gets the next commit number, which becomes the
version of the rows it wrote. Answers can be lost after the commit, so :class:`PlatformUnavailableError` means
that the effect is unknown; callers resolve it by reading back a row that names their own attempt.
"""

from __future__ import annotations

from typing import Protocol

import msgspec


class Row(msgspec.Struct, frozen=True):
    """One row. ``version`` is the commit number that wrote it."""

    key: str
    value: str
    version: int


class Condition(msgspec.Struct, frozen=True):
    """The row at ``key`` must have exactly ``version``; 0 means that it must not exist."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True):
    """Write ``value`` at ``key``."""

    key: str
    value: str


class Transaction(msgspec.Struct, frozen=True):
    """Conditions and writes that happen together or not at all."""

    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class Scan(msgspec.Struct, frozen=True):
    """Rows under a prefix with versions above the one asked for, read at one commit number."""

    commit: int
    rows: tuple[Row, ...]


class TableService(Protocol):
    """What wallwell needs of the store; errors are those of :mod:`wallwell.errors`."""

    async def transact(self, transaction: Transaction) -> int:
        """Commit and return the commit number.

        Raises :class:`TableConflictError` (nothing written) or :class:`PlatformUnavailableError` (unknown).
        """
        ...

    async def get(self, key: str) -> Row | None:
        """Return a row. Raises :class:`PlatformUnavailableError`."""
        ...

    async def scan(self, prefix: str, after_version: int) -> Scan:
        """Return rows changed after a version. Raises :class:`PlatformUnavailableError`."""
        ...
