"""Follows what the KV stores hold: from a peer that follows a store, or from the store itself.

Owns a follower task for each configured store and the links to peers. The copies of the stores' content are in
``NodeState.kv_store_contents``; cache planning reads them. Relies on :class:`UpstreamOrder` for the choice of a
peer.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import Protocol

import msgspec

from wallwell.clock import boot_time_s, ends_within
from wallwell.cluster.peer_link import PeerLinks, PeerMessage
from wallwell.cluster.upstream import UpstreamOrder
from wallwell.errors import CacheEventsRefusedError, CacheStoreSilentError, PeerUnavailableError
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.routing.selection.kv_store import CachePage, CachePosition, KvStoreContents

WAIT_S = 0.8
"""Seconds for which a call is held open until there is an event; as for the tables
(:mod:`wallwell.node.followers`)."""
PAUSE_S = 0.1
"""Seconds after a page, so that events which come close together cost one call."""
RETRY_S = 0.5
"""Mean seconds after a failed call until the next."""
RETRY_JITTER = (0.8, 1.2)
"""Range of factors on that time, so that nodes do not call together once a store is back."""
ANSWER_MARGIN_S = 0.5
"""Seconds for which a peer's answer is waited for beyond the agreed wait; as for the tables
(``relay.ANSWER_MARGIN_S``)."""
CONFIG_TICK_S = 0.2
"""Seconds between two checks which stores are configured."""
LISTING_INTERVAL_S = 5.0
"""Least seconds between two whole listings that missing events call for; a listing keeps the store busy."""


class CacheEventSource(Protocol):
    """Reads a store's events and its whole content."""

    async def events(self, address: str, position: CachePosition, wait_s: float) -> CachePage:
        """Return what changed after a position, waiting up to ``wait_s``; everything if the position is unknown.

        Raises :class:`CacheStoreSilentError` or :class:`CacheEventsRefusedError`.
        """
        ...

    async def listing(self, address: str) -> CachePage:
        """Return everything the store holds. Raises as :meth:`events` does."""
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
        self._refusing: set[str] = set()
        """Stores that answered the last call without events."""
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
            await asyncio.sleep(PAUSE_S if took_page else RETRY_S * self._state.rng.uniform(*RETRY_JITTER))

    async def step(self, address: str) -> bool:
        """Apply one page of a store's events; returns False if neither peer nor store sent one."""
        cache = self._state.kv_store_contents[address]
        page = None
        candidates = self._order.candidates(boot_time_s())
        if candidates:
            page = await self._from_peer(*candidates[0], address, cache)
        if page is None:
            page = await self._from_store(address, cache)
        if page is None:
            return False
        cache.apply_page(page)
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
            # Not logged: the tables are followed through the same peer, which logs its loss and passes it over.
            return None
        if reply.page is not None:
            self._note_listing(address, reply.page)
            _set_reachable(cache, address, reply.reachable, reason=f"told by {name}")
        return reply.page

    async def _from_store(self, address: str, cache: KvStoreContents) -> CachePage | None:
        try:
            if cache.has_gaps and self._may_list(address):
                page = await self._source.listing(address)
            else:
                page = await self._source.events(address, cache.position, WAIT_S)
        except CacheStoreSilentError as error:
            _set_reachable(cache, address, reachable=False, reason=error.detail)
            return None
        except CacheEventsRefusedError as error:
            # Logged once until the store sends events again, since the call is made twice a second.
            if address not in self._refusing:
                self._refusing.add(address)
                emit(Event.CACHE_EVENTS_REFUSED, address=address, reason=error.detail)
            return None
        self._refusing.discard(address)
        self._note_listing(address, page)
        _set_reachable(cache, address, reachable=True)
        return page

    def _note_listing(self, address: str, page: CachePage) -> None:
        if page.whole:
            self._listed_at_s[address] = boot_time_s()

    def _may_list(self, address: str) -> bool:
        return boot_time_s() - self._listed_at_s.get(address, float("-inf")) >= LISTING_INTERVAL_S

    async def answer(self, request: CacheRequest) -> CacheReply:
        """Answer a peer from the copy, once there is something new or the agreed wait is over."""
        cache = self._state.kv_store_contents.get(request.address)
        if cache is None or not cache.has_been_read:
            return CacheReply()
        give_up_s = boot_time_s() + request.wait_s
        while cache.position == request.position and (left_s := give_up_s - boot_time_s()) > 0:
            await ends_within(self._advanced.wait(), left_s)
        return CacheReply(cache.changes_since(request.position), cache.reachable)

    def close(self) -> None:
        """Close the connections to peers."""
        for links in self._links.values():
            links.keep(set())


def _set_reachable(cache: KvStoreContents, address: str, reachable: bool, reason: str = "") -> None:
    """Note whether a store answers, its own word or a peer's; each change is logged once."""
    if cache.reachable and not reachable:
        emit(Event.CACHE_STORE_LOST, address=address, reason=reason)
    elif reachable and not cache.reachable:
        emit(Event.CACHE_STORE_REGAINED, address=address)
    cache.reachable = reachable
