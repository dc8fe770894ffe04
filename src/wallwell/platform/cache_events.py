"""Client for the cache events and listings of the platform's KV stores.

Owns the wire format and the timeouts. Events after a position are read by long polling; after a gap in the events
or a restart of the store, the complete listing is read instead.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TypeVar

import msgspec

from wallwell.address import Address
from wallwell.backend_connection import ConnectionBrokenError
from wallwell.errors import CacheEventsRefusedError, CacheStoreSilentError
from wallwell.http_connection import ConnectFailedError, ConnectionPool
from wallwell.platform import names
from wallwell.routing.selection.kv_store import CacheEntry, CachePage, CachePosition, EventNumber, PartTokens

ANSWER_MARGIN_S = 0.6
"""Seconds added to the requested wait before a long poll times out: covers connecting and a round trip to another
region."""
LISTING_TIMEOUT_S = 1.5
"""Timeout of a listing in seconds; it contains every cached prompt part and may be several megabytes."""

Body = TypeVar("Body", bound=msgspec.Struct)

EventFields = tuple[EventNumber, str, str, str, PartTokens, str]
"""Event number, sign, cache scope, prompt part, tokens now cached, model."""
ListedFields = tuple[str, str, PartTokens, str]
"""Cache scope, prompt part, cached tokens, model."""


class EventsBody(msgspec.Struct, frozen=True):
    """Answer of a KV store to a request for events."""

    epoch: int
    """Changes with each start of the store."""
    next_token: EventNumber
    """Position to send in the next call, not a number of tokens."""
    lost: bool
    """Whether the store no longer has all events after the requested position."""
    events: tuple[EventFields, ...] = ()


class ListingBody(msgspec.Struct, frozen=True):
    """Answer of a KV store to a request for its complete content."""

    epoch: int
    """Changes with each start of the store."""
    next_token: EventNumber
    """Position from which events continue this listing, not a number of tokens."""
    held: tuple[ListedFields, ...] = ()


class CacheEventsClient:
    """Client of KV stores. Implements :class:`wallwell.node.kv_store_watch.CacheEventSource`."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    async def events(self, address: Address, position: CachePosition, wait_s: float) -> CachePage:
        """See :class:`wallwell.node.kv_store_watch.CacheEventSource`."""
        target = f"{names.CACHE_EVENTS_PATH}?since={position.number}"
        wait_line = f"{names.WAIT_MS}: {round(wait_s * 1000)}\r\n"
        body = await self._get(address, target, wait_line, EventsBody, wait_s + ANSWER_MARGIN_S)
        if body.lost or body.epoch != position.epoch:
            return await self.listing(address)
        # The sign is not needed: the event of a removed or shortened part states the tokens that remain cached.
        entries = tuple(
            CacheEntry(number, scope, part, tokens) for number, _, scope, part, tokens, _ in body.events
        )
        return CachePage(CachePosition(body.epoch, body.next_token), entries)

    async def listing(self, address: Address) -> CachePage:
        """See :class:`wallwell.node.kv_store_watch.CacheEventSource`."""
        body = await self._get(address, names.CACHE_LISTING_PATH, "", ListingBody, LISTING_TIMEOUT_S)
        entries = tuple(CacheEntry(body.next_token, scope, part, tokens) for scope, part, tokens, _ in body.held)
        return CachePage(CachePosition(body.epoch, body.next_token), entries, whole=True)

    async def _get(
        self, address: Address, target: str, header_lines: str, body_type: type[Body], timeout_s: float
    ) -> Body:
        head = f"GET {target} HTTP/1.1\r\nHost: {address}\r\n{header_lines}Content-Length: 0\r\n\r\n"
        try:
            status, data = await self._pool.fetch(address, head.encode(), timeout_s)
        except (ConnectFailedError, ConnectionBrokenError, TimeoutError) as error:
            raise CacheStoreSilentError(f"{address}: {type(error).__name__}") from error
        if status != HTTPStatus.OK:
            raise CacheEventsRefusedError(f"{address}: status {status}")
        try:
            return msgspec.json.decode(data, type=body_type)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise CacheEventsRefusedError(f"{address}: {error}") from error
