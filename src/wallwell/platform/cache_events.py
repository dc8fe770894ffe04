"""Client of the cache events and listings that the platform's stores of kept KV cache tell."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from wallwell.errors import CacheEventsRefusedError, CacheStoreSilentError
from wallwell.http_connection import ConnectFailedError, ConnectionBrokenError, ConnectionPool
from wallwell.platform import names
from wallwell.routing.selection.kv_store import CacheEntry, CachePage, CachePosition

ANSWER_MARGIN_S = 0.6
"""How much longer than the agreed wait an answer is waited for."""
LISTING_TIMEOUT_S = 1.5

Body = TypeVar("Body", bound=msgspec.Struct)


class EventsBody(msgspec.Struct, frozen=True):
    """Answer to a call for events: each is number, sign, salt, part, tokens kept now, model."""

    epoch: int
    next_token: int
    lost: bool
    events: tuple[tuple[int, str, str, str, int, str], ...] = ()


class ListingBody(msgspec.Struct, frozen=True):
    """Answer to a call for all that is kept: each is salt, part, tokens, model."""

    epoch: int
    next_token: int
    held: tuple[tuple[str, str, int, str], ...] = ()


class CacheEventsClient:
    """Calls stores of kept KV cache; see :class:`wallwell.node.kv_store_watch.CacheEventSource`."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    async def events(self, address: str, position: CachePosition, wait_s: float) -> CachePage:
        """See :class:`wallwell.node.kv_store_watch.CacheEventSource`."""
        target = f"{names.CACHE_EVENTS_PATH}?since={position.number}"
        wait_line = f"{names.WAIT_MS}: {round(wait_s * 1000)}\r\n"
        body = await self._get(address, target, wait_line, EventsBody, wait_s + ANSWER_MARGIN_S)
        if body.lost or body.epoch != position.epoch:
            return await self.listing(address)
        # A part that is kept only in part comes with a minus and the tokens that are left.
        entries = tuple(CacheEntry(number, salt, part, tokens) for number, _, salt, part, tokens, _ in body.events)
        return CachePage(CachePosition(body.epoch, body.next_token), entries)

    async def listing(self, address: str) -> CachePage:
        """See :class:`wallwell.node.kv_store_watch.CacheEventSource`."""
        body = await self._get(address, names.CACHE_LISTING_PATH, "", ListingBody, LISTING_TIMEOUT_S)
        entries = tuple(CacheEntry(body.next_token, salt, part, tokens) for salt, part, tokens, _ in body.held)
        return CachePage(CachePosition(body.epoch, body.next_token), entries, whole=True)

    async def _get(
        self, address: str, target: str, header_lines: str, body_type: type[Body], timeout_s: float
    ) -> Body:
        head = f"GET {target} HTTP/1.1\r\nHost: {address}\r\n{header_lines}Content-Length: 0\r\n\r\n"
        try:
            status, data = await self._pool.fetch(address, head.encode(), timeout_s)
        except (ConnectFailedError, ConnectionBrokenError, TimeoutError) as error:
            raise CacheStoreSilentError(f"{address}: {type(error).__name__}") from error
        if status != 200:
            raise CacheEventsRefusedError(f"{address}: status {status}")
        try:
            return msgspec.json.decode(data, type=body_type)
        except msgspec.MsgspecError as error:
            raise CacheEventsRefusedError(f"{address}: {error}") from error
