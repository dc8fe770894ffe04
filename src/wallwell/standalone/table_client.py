"""Client of the table service that the router without the platform's store uses: JSON over HTTP.

Owns no state; the session is its caller's. Implements :class:`wallwell.storage.table.TableService`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from http import HTTPStatus
from typing import TypeVar

import aiohttp
import msgspec

from wallwell.errors import PlatformUnavailableError, TableConflictError
from wallwell.standalone.unreadable import UnreadableEntries
from wallwell.storage.table import Row, Scan, Transaction

T = TypeVar("T")
DECODE_ERRORS = (msgspec.DecodeError, UnicodeError, RecursionError)
"""What msgspec raises for what it cannot decode; the last one for values nested too deeply."""


class Commit(msgspec.Struct, frozen=True):
    """Answer to a committed transaction."""

    commit: int


class _ListedRows(msgspec.Struct, frozen=True):
    """Answer to a scan, as :class:`Scan` with rows that are not decoded yet."""

    commit: int
    rows: list[msgspec.Raw]


class HttpTableService:
    """Client of the table service over HTTP and JSON; ``timeout_s`` bounds each call as a whole."""

    def __init__(self, base_url: str, session: aiohttp.ClientSession, timeout_s: float) -> None:
        self._base_url = base_url.rstrip("/")
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._unreadable = UnreadableEntries("rows of the table service")

    async def _call(self, method: str, path: str, body: bytes = b"", query: dict[str, str] | None = None) -> bytes:
        """Return the body of an answer, empty if there is no such row.

        Raises :class:`TableConflictError` or :class:`PlatformUnavailableError`.
        """
        try:
            async with self._session.request(
                method, self._base_url + path, data=body, params=query, timeout=self._timeout
            ) as response:
                payload = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            # ValueError: the host name in the table service's URL cannot be encoded.
            raise PlatformUnavailableError(f"table service: {type(error).__name__}") from error
        if response.status == HTTPStatus.CONFLICT:
            raise TableConflictError(payload.decode(errors="replace"))
        if response.status not in (HTTPStatus.OK, HTTPStatus.NOT_FOUND):
            raise PlatformUnavailableError(f"table service: status {response.status}")
        return payload if response.status == HTTPStatus.OK else b""

    async def transact(self, transaction: Transaction) -> int:
        """See :class:`TableService`."""
        payload = await self._call("POST", "/transact", msgspec.json.encode(transaction))
        return _decode(payload, Commit).commit

    async def get(self, key: str) -> Row | None:
        """See :class:`TableService`."""
        payload = await self._call("GET", "/row", query={"key": key})
        return _decode(payload, Row) if payload else None

    async def scan(self, prefix: str, after_version: int) -> Scan:
        """See :class:`TableService`."""
        query = {"prefix": prefix, "after": str(after_version)}
        payload = await self._call("GET", "/scan", query=query)
        listed = _decode(payload, _ListedRows)
        return Scan(listed.commit, tuple(self._readable_rows(listed.rows)))

    def _readable_rows(self, rows: Iterable[msgspec.Raw]) -> Iterator[Row]:
        """Yield the rows of a scan that can be read; one that cannot is logged once and costs itself alone."""
        for raw in rows:
            try:
                yield msgspec.json.decode(raw, type=Row)
            except DECODE_ERRORS as error:
                self._unreadable.report(bytes(raw).decode(errors="replace"), error)


def _decode(payload: bytes, kind: type[T]) -> T:
    """Return an answer of the table service. Raises :class:`PlatformUnavailableError`: after a write that was
    answered with anything else, its effect is unknown."""
    try:
        return msgspec.json.decode(payload, type=kind)
    except DECODE_ERRORS as error:
        raise PlatformUnavailableError(f"table service: answer cannot be read: {error}") from error
