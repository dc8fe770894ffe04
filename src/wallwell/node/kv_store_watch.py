"""Tracks the contents of the KV stores, through a peer that follows a store or from the store itself.

Owns a follower task for each configured store and the links to peers. The copies of the contents are in
``NodeState.kv_store_contents``, for cache planning. Relies on :class:`UpstreamOrder` to choose a peer.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import NamedTuple, Protocol

import msgspec

from wallwell.address import Address, InvalidAddressError, parse_address
from wallwell.clock import boot_time_s, ends_within
from wallwell.cluster.peer_link import PeerLinks, PeerMessage
from wallwell.cluster.upstream import UpstreamOrder
from wallwell.errors import CacheEventsRefusedError, CacheStoreSilentError, PeerUnavailableError
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.number_ranges import HoldTime
from wallwell.routing.selection.kv_store import CachePage, CachePosition, KvStoreContents

EVENT_WAIT_S = 0.8
"""Seconds for which a call is held open until there is an event; the same as for the store's tables
(:mod:`wallwell.node.followers`)."""
PAGE_PAUSE_S = 0.1
"""Pause in seconds after a page, so that events in quick succession cost one call."""
RETRY_S = 0.5
"""Mean seconds between a failed call and the next."""
RETRY_JITTER = (0.8, 1.2)
"""Range of random factors on ``RETRY_S``, so that nodes do not call together once a store is back."""
ANSWER_MARGIN_S = 0.5
"""Seconds to wait for a peer's answer beyond the time for which the peer may hold the request; the same as for the
tables (``relay.ANSWER_MARGIN_S``)."""
CONFIG_CHECK_INTERVAL_S = 0.2
"""Seconds between two checks of which stores are configured."""
MIN_LISTING_INTERVAL_S = 5.0
"""Least seconds between two full listings after missed events, since a listing is expensive for the store."""


class CacheEventSource(Protocol):
    """Reads the events and the full content of a KV store."""

    async def events(self, address: Address, position: CachePosition, wait_s: float) -> CachePage:
        """Return the changes after a position, waiting up to ``wait_s``; everything if the position is unknown.

        Raises :class:`CacheStoreSilentError` or :class:`CacheEventsRefusedError`.
        """
        ...

    async def listing(self, address: Address) -> CachePage:
        """Return the full content of the store. Raises the same errors as :meth:`events`."""
        ...


class CacheRequest(PeerMessage, frozen=True):
    """Asks a peer for the changes at a store after a position."""

    address: str
    position: CachePosition
    wait_s: HoldTime


class CacheReply(msgspec.Struct, frozen=True):
    """Answer to :class:`CacheRequest`; ``page`` is None if the peer has not read the store's content."""

    page: CachePage | None = None
    reachable: bool = True


class _Received(NamedTuple):
    """A page of a store's contents as received, and whether its sender reaches the store."""

    page: CachePage
    is_reachable: bool = True
    reason: str = ""


class KvStoreWatch:
    """Keeps a copy of the content of each configured store and answers peers from it."""

    def __init__(self, state: NodeState, source: CacheEventSource, order: UpstreamOrder) -> None:
        self._state = state
        self._source = source
        self._order = order
        self._peer_links: defaultdict[Address, PeerLinks] = defaultdict(PeerLinks)
        """By store address: a link carries one request at a time, and one task per store uses it."""
        self._followers: dict[Address, asyncio.Task[None]] = {}
        self._listed_at_s: dict[Address, float] = {}
        self._refusing_stores: set[Address] = set()
        """Addresses of stores that refused the last call for events."""
        self._failing_followers: set[Address] = set()
        """Addresses of stores whose last page could not be read or applied because of an unexpected error."""
        self._page_applied = asyncio.Event()

    async def run(self) -> None:
        """Follow the configured stores until cancelled."""
        try:
            while True:
                self._reconcile()
                await asyncio.sleep(CONFIG_CHECK_INTERVAL_S)
        finally:
            for follower in self._followers.values():
                follower.cancel()
            self._followers.clear()

    def _reconcile(self) -> None:
        config = self._state.config
        stores = config.kv_stores if config is not None else ()
        configured = {each.kv_store_address for each in stores if each.kv_store_address is not None}
        for address in self._followers.keys() - configured:
            self._followers.pop(address).cancel()
            self._state.kv_store_contents.pop(address, None)
        for address in configured:
            task = self._followers.get(address)
            if task is None or task.done():
                self._state.kv_store_contents.setdefault(address, KvStoreContents())
                self._followers[address] = asyncio.create_task(self._follow(address))

    async def _follow(self, address: Address) -> None:
        while True:
            try:
                has_page = await self.read_once(address)
                self._failing_followers.discard(address)
            except Exception as error:
                has_page = False
                self._on_unexpected_error(address, error)
            await asyncio.sleep(PAGE_PAUSE_S if has_page else RETRY_S * self._state.rng.uniform(*RETRY_JITTER))

    def _on_unexpected_error(self, address: Address, error: Exception) -> None:
        """Stop using a store that a fault of this node keeps it from following; logged once until it can be."""
        self._state.kv_store_contents[address].reachable = False
        if address not in self._failing_followers:
            self._failing_followers.add(address)
            reason = f"{type(error).__name__}: {error}"
            emit(Event.INTERNAL_ERROR, error=reason, where="follower of a KV store", key=str(address))

    async def read_once(self, address: Address) -> bool:
        """Fetch and apply one page of a store's events; returns False if neither a peer nor the store sent one."""
        contents = self._state.kv_store_contents[address]
        received = None
        candidates = self._order.candidates(boot_time_s())
        if candidates:
            received = await self._ask_peer(*candidates[0], address, contents)
        if received is None:
            received = await self._ask_store(address, contents)
        if received is None:
            return False
        contents.apply_page(received.page)
        if received.page.whole:
            self._listed_at_s[address] = boot_time_s()
        _set_reachable(contents, address, received.is_reachable, received.reason)
        self._page_applied.set()
        self._page_applied = asyncio.Event()
        return True

    async def _ask_peer(
        self, peer: str, relay: Address, address: Address, contents: KvStoreContents
    ) -> _Received | None:
        needs_listing = contents.has_gaps and self._may_list(address)
        position = CachePosition() if needs_listing else contents.position
        request = CacheRequest(str(address), position, EVENT_WAIT_S)
        links = self._peer_links[address]
        links.keep({peer})
        try:
            reply = await links.to(peer, relay).ask(request, CacheReply, EVENT_WAIT_S + ANSWER_MARGIN_S)
        except PeerUnavailableError:
            # Not logged: the followers of the tables use the same peer; they log its loss and choose another.
            return None
        return None if reply.page is None else _Received(reply.page, reply.reachable, f"reported by {peer}")

    async def _ask_store(self, address: Address, contents: KvStoreContents) -> _Received | None:
        try:
            if contents.has_gaps and self._may_list(address):
                page = await self._source.listing(address)
            else:
                page = await self._source.events(address, contents.position, EVENT_WAIT_S)
        except CacheStoreSilentError as error:
            _set_reachable(contents, address, reachable=False, reason=error.detail)
            return None
        except CacheEventsRefusedError as error:
            # Logged once until the store sends events again, since the call is repeated twice a second.
            if address not in self._refusing_stores:
                self._refusing_stores.add(address)
                emit(Event.CACHE_EVENTS_REFUSED, address=str(address), reason=error.detail)
            return None
        self._refusing_stores.discard(address)
        return _Received(page)

    def _may_list(self, address: Address) -> bool:
        return boot_time_s() - self._listed_at_s.get(address, float("-inf")) >= MIN_LISTING_INTERVAL_S

    async def answer_peer(self, request: CacheRequest) -> CacheReply:
        """Answer a peer from the copy as soon as there is a change, or after the wait that the peer asked for."""
        try:
            contents = self._state.kv_store_contents.get(parse_address(request.address))
        except InvalidAddressError:
            contents = None  # Builds that believed any text may ask for it; none of it is known here.
        if contents is None or not contents.has_been_read:
            return CacheReply()
        deadline_s = boot_time_s() + request.wait_s
        while contents.position == request.position and (left_s := deadline_s - boot_time_s()) > 0:
            await ends_within(self._page_applied.wait(), left_s)
        return CacheReply(contents.changes_since(request.position), contents.reachable)

    def close(self) -> None:
        """Close the connections to peers."""
        for links in self._peer_links.values():
            links.keep(set())


def _set_reachable(contents: KvStoreContents, address: Address, reachable: bool, reason: str = "") -> None:
    """Record whether a store answers, as seen here or reported by a peer; each change is logged once."""
    if contents.reachable and not reachable:
        emit(Event.CACHE_STORE_LOST, address=str(address), reason=reason)
    elif reachable and not contents.reachable:
        emit(Event.CACHE_STORE_REGAINED, address=str(address))
    contents.reachable = reachable
