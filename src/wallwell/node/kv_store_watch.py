"""Follows what the stores of kept KV cache hold: from a peer that follows a store, or from the store itself."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import Protocol

import msgspec

from wallwell.clock import boot_time_s, bounded
from wallwell.cluster.peer_link import PeerLinks, PeerMessage
from wallwell.cluster.upstream import UpstreamOrder
from wallwell.errors import CacheEventsRefusedError, CacheStoreSilentError, PeerUnavailableError
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.routing.selection.kv_store import CachePage, CachePosition, KvStoreContents

WAIT_S = 0.8
"""How long a call is held open until there is an event."""
PAUSE_S = 0.1
"""Pause after a page, so that events which come close together cost one call."""
RETRY_S = 0.5
ANSWER_MARGIN_S = 0.5
CONFIG_TICK_S = 0.2
LISTING_INTERVAL_S = 5.0
"""Smallest time between two whole listings that only missing events call for; a listing holds the store up."""


class CacheEventSource(Protocol):
    """A store's events and its whole content."""

    async def events(self, address: str, position: CachePosition, wait_s: float) -> CachePage:
        """Return what changed after a position, waiting up to ``wait_s``; everything if that is not known.

        Raises :class:`CacheStoreSilentError` or :class:`CacheEventsRefusedError`.
        """
        ...

    async def listing(self, address: str) -> CachePage:
        """Return everything the store keeps. Raises as :meth:`events` does."""
        ...


class CacheRequest(PeerMessage, frozen=True):
    """Ask a peer for what changed at a store after a position."""

    address: str
    position: CachePosition
    wait_s: float


class CacheReply(msgspec.Struct, frozen=True):
    """Answer to :class:`CacheRequest`; without a page the peer does not know the store's content."""

    page: CachePage | None = None
    reachable: bool = True


class KvStoreWatch:
    """Keeps a copy of each configured store's content and answers peers from it."""

    def __init__(self, state: NodeState, source: CacheEventSource, order: UpstreamOrder) -> None:
        self._state = state
        self._source = source
        self._order = order
        self._links: defaultdict[str, PeerLinks] = defaultdict(PeerLinks)
        """By store: a link carries one request at a time, and each store is followed by a task of its own."""
        self._followers: dict[str, asyncio.Task[None]] = {}
        self._listed_at_s: dict[str, float] = {}
        self._advanced = asyncio.Event()

    async def run(self) -> None:
        """Follow whatever stores are configured, until cancelled."""
        try:
            while True:
                self._reconcile()
                await asyncio.sleep(CONFIG_TICK_S)
        finally:
            for task in self._followers.values():
                task.cancel()
            self._followers.clear()

    def _reconcile(self) -> None:
        config = self._state.config
        wanted = {each.kv_store_address for each in config.kv_stores} if config is not None else set()
        for address in self._followers.keys() - wanted:
            self._followers.pop(address).cancel()
            self._state.kv_store_contents.pop(address, None)
        for address in wanted:
            running = self._followers.get(address)
            if running is None or running.done():
                self._state.kv_store_contents.setdefault(address, KvStoreContents())
                self._followers[address] = asyncio.create_task(self._follow(address))

    async def _follow(self, address: str) -> None:
        while True:
            took_page = await self.step(address)
            await asyncio.sleep(PAUSE_S if took_page else RETRY_S * self._state.rng.uniform(0.8, 1.2))

    async def step(self, address: str) -> bool:
        """Take one page of a store's events; returns False if nobody told any."""
        cache = self._state.kv_store_contents[address]
        page = None
        candidates = self._order.candidates(boot_time_s())
        if candidates:
            page = await self._from_peer(*candidates[0], address, cache)
        if page is None:
            page = await self._from_store(address, cache)
        if page is None:
            return False
        cache.take(page)
        self._advanced.set()
        self._advanced = asyncio.Event()
        return True

    async def _from_peer(self, name: str, peer: str, address: str, cache: KvStoreContents) -> CachePage | None:
        wants_all = cache.has_gaps and self._may_list(address)
        position = CachePosition() if wants_all else cache.position
        request = CacheRequest(address, position, WAIT_S)
        links = self._links[address]
        links.keep({name})
        try:
            reply = await links.to(name, peer).ask(request, CacheReply, WAIT_S + ANSWER_MARGIN_S)
        except PeerUnavailableError:
            return None  # The rows that come the same way decide whether the peer is passed over.
        if reply.page is not None:
            self._note_listing(address, reply.page)
            cache.reachable = reply.reachable
        return reply.page

    async def _from_store(self, address: str, cache: KvStoreContents) -> CachePage | None:
        try:
            if cache.has_gaps and self._may_list(address):
                page = await self._source.listing(address)
            else:
                page = await self._source.events(address, cache.position, WAIT_S)
        except CacheStoreSilentError as error:
            if cache.reachable:
                emit(Event.CACHE_STORE_LOST, address=address, reason=error.detail)
            cache.reachable = False
            return None
        except CacheEventsRefusedError:
            return None
        self._note_listing(address, page)
        if not cache.reachable:
            emit(Event.CACHE_STORE_REGAINED, address=address)
        cache.reachable = True
        return page

    def _note_listing(self, address: str, page: CachePage) -> None:
        if page.whole:
            self._listed_at_s[address] = boot_time_s()

    def _may_list(self, address: str) -> bool:
        return boot_time_s() - self._listed_at_s.get(address, float("-inf")) >= LISTING_INTERVAL_S

    async def answer(self, request: CacheRequest) -> CacheReply:
        """Answer a peer from the copy, once there is something new or the agreed wait is over."""
        cache = self._state.kv_store_contents.get(request.address)
        if cache is None or not cache.known:
            return CacheReply()
        give_up_s = boot_time_s() + request.wait_s
        while cache.position == request.position and (left_s := give_up_s - boot_time_s()) > 0:
            try:
                async with bounded(left_s):
                    await self._advanced.wait()
            except TimeoutError:
                break
        return CacheReply(cache.after(request.position), cache.reachable)

    def close(self) -> None:
        """Close the connections to peers."""
        for links in self._links.values():
            links.keep(set())
