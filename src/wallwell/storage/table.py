"""The platform's transactional table service: interface and HTTP client.

For rows that nodes write under conditions: leases, claims, crashes. Owns no state. Relies on the service to commit
a transaction whole or not at all.

Rows are strings under string keys. Every committed transaction gets the next commit number, which becomes the
version of the rows it wrote. Answers can be lost after the commit, so :class:`PlatformUnavailableError` means
that the effect is unknown; callers resolve it by reading back a row that names their own attempt.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

import aiohttp
import msgspec

from wallwell.errors import PlatformUnavailableError, TableConflictError


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


class Commit(msgspec.Struct, frozen=True):
    """Answer to a committed transaction."""

    commit: int


class Scan(msgspec.Struct, frozen=True):
    """Rows under a prefix with versions above the one asked for, read at one commit number."""

    commit: int
    rows: tuple[Row, ...]


class TableService(Protocol):
    """What wallwell needs of the table service."""

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


class HttpTableService:
    """Client of the table service over HTTP and JSON; ``timeout_s`` bounds each call as a whole."""

    def __init__(self, base_url: str, session: aiohttp.ClientSession, timeout_s: float) -> None:
        self._base_url = base_url.rstrip("/")
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def _call(self, method: str, path: str, body: bytes = b"", query: dict[str, str] | None = None) -> bytes:
        """Return the body of an answer, empty if there is no such row.

        Raises :class:`TableConflictError` or :class:`PlatformUnavailableError`.
        """
        try:
            async with self._session.request(
                method, self._base_url + path, data=body, params=query, timeout=self._timeout
            ) as response:
                payload = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PlatformUnavailableError(f"table service: {type(error).__name__}") from error
        if response.status == HTTPStatus.CONFLICT:
            raise TableConflictError(payload.decode(errors="replace"))
        if response.status not in (HTTPStatus.OK, HTTPStatus.NOT_FOUND):
            raise PlatformUnavailableError(f"table service: status {response.status}")
        return payload if response.status == HTTPStatus.OK else b""

    async def transact(self, transaction: Transaction) -> int:
        """See :class:`TableService`."""
        payload = await self._call("POST", "/transact", msgspec.json.encode(transaction))
        return msgspec.json.decode(payload, type=Commit).commit

    async def get(self, key: str) -> Row | None:
        """See :class:`TableService`."""
        payload = await self._call("GET", "/row", query={"key": key})
        return msgspec.json.decode(payload, type=Row) if payload else None

    async def scan(self, prefix: str, after_version: int) -> Scan:
        """See :class:`TableService`."""
        query = {"prefix": prefix, "after": str(after_version)}
        payload = await self._call("GET", "/scan", query=query)
        return msgspec.json.decode(payload, type=Scan)
