"""Client of the table service that the router without the platform's store uses: JSON over HTTP.

Owns no state; the session is its caller's. Implements :class:`wallwell.storage.table.TableService`.
"""

from __future__ import annotations

from http import HTTPStatus

import aiohttp
import msgspec

from wallwell.errors import PlatformUnavailableError, TableConflictError
from wallwell.storage.table import Row, Scan, Transaction


class Commit(msgspec.Struct, frozen=True):
    """Answer to a committed transaction."""

    commit: int


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
