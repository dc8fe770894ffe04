"""Relays rows of the store between nodes, so that only a few nodes call the store and all nodes get its changes.

Each node keeps a copy of the rows that it follows and answers peers from this copy. A node whose copy is stale says
so at once, and its peers then follow other nodes. In a simulated deployment of 59 engines and 40 nodes in seven
zones, the store got 2,638 calls with one node of each zone following it, and 1,197 with two zones' relays.

Owns the copy and the answers to peers. Relies on :mod:`.upstream` for the peers to ask, and on :class:`StoreClock`
for the age of a relayed page.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from msgspec import UNSET

from wallwell.address import Address
from wallwell.clock import boot_time_s, ends_within
from wallwell.cluster.peer_link import PeerLinks, RequestRefusedError
from wallwell.cluster.row_messages import (
    RowsReply,
    RowsRequest,
    reply_with_rows,
    unpack_rows,
)
from wallwell.cluster.unexpected_errors import UnexpectedErrors
from wallwell.cluster.upstream import UpstreamOrder
from wallwell.deployment.freshness import StoreClock
from wallwell.deployment.store_era import UNKNOWN_ERA, StoreEra, StorePosition, era_received, era_to_send
from wallwell.errors import HistoryLostError, PeerUnavailableError
from wallwell.events import Event, emit
from wallwell.storage.feed import FeedPage, RowSource
from wallwell.storage.replica import RowReplica

ANSWER_MARGIN_S = 0.5
"""Seconds to wait for a peer's answer beyond the time for which the peer may hold the request."""
STALE_MARGIN_S = 0.7
"""Seconds by which a copy may be older than one held call to the store and still be relayed. With calls held for
0.8 s, a node that follows a relay which is cut off learns of a change at most 1.5 s late."""
OTHER_ZONE_WAIT_S = 0.25
"""Seconds for which a relay of another zone is asked to hold a request. Short, since its answer is relayed once
more: confirmations of the store that reach the last zone are then younger than 2 s."""
MAX_CLOCK_ERROR_S = 1.0
"""Seconds by which a relayed page may seem to be of the future: far more than two steady clocks drift while a
page is on its way."""
MAX_PEERS_ASKED = 2
"""Peers asked, at most, in one call before the store is asked: each one that is gone costs a time-out."""


class StaleCopyError(Exception):
    """A peer's copy of the store is too old to be followed."""


class RelayedRows:
    """A :class:`RowSource` of one table that reads from a peer that follows the store, or from the store itself."""

    def __init__(
        self,
        table: str,
        store: RowSource,
        order: UpstreamOrder,
        clock: StoreClock,
        wait_s: float,
        pause_s: float = 0.0,
        era: StoreEra | None = None,
    ) -> None:
        """``wait_s`` is how long the store holds a call open for a change.

        ``pause_s`` is the pause before the next call to the store after a change, so that several changes in quick
        succession cost one call. ``era`` is shared by all tables of a node.
        """
        self.table = table
        self.replica = RowReplica()
        self._store = store
        self._order = order
        self._clock = clock
        self._era = era or StoreEra()
        self._stale_s = wait_s + STALE_MARGIN_S
        self._pause_s = pause_s
        self._last_call_returned_rows = False
        self.links = PeerLinks()
        self._unexpected_errors = UnexpectedErrors(f"rows of {table} from a peer")
        self._advanced = asyncio.Event()

    # --- reading ---------------------------------------------------------------------------------------

    async def read_all(self) -> FeedPage:
        """Return every row, from the store if the peer's copy is older than this node's; see :class:`RowSource`.

        The first reading of an era comes from the store itself, since only its own answer tells its clock.
        """
        page = await self._read_from_peer(None, 0.0)
        if page is None or page.position < self.replica.position or self._clock.is_for_other_era(page.era):
            page = await self._store.read_all()
        return self._apply_page(page, whole=True)

    async def changes(self, after: StorePosition, wait_s: float) -> FeedPage:
        """Return the rows changed after ``after``, from a peer or the store; see :class:`RowSource`."""
        if self._era.is_after(after.era):
            raise HistoryLostError("the store was restored from a copy")
        page = await self._read_from_peer(after, wait_s)
        if page is None:
            if self._last_call_returned_rows and self._pause_s:
                await asyncio.sleep(self._pause_s)
            page = await self._store.changes(after, wait_s)
            self._last_call_returned_rows = bool(page.rows)
        return self._apply_page(page, whole=False)

    async def _read_from_peer(self, after: StorePosition | None, wait_s: float) -> FeedPage | None:
        """Return a page from a peer; None if the store must be asked. Raises :class:`HistoryLostError`."""
        candidates = self._order.candidates(boot_time_s())
        self.links.keep({peer.name for peer in candidates})
        for name, address in candidates[:MAX_PEERS_ASKED]:
            try:
                hold_s = min(wait_s, OTHER_ZONE_WAIT_S) if self._order.is_in_other_zone(name) else wait_s
                page = await self._ask(name, address, hold_s, after)
            except (PeerUnavailableError, StaleCopyError) as error:
                self._pass_over(name, error)
                continue
            except HistoryLostError:
                raise
            except Exception as error:
                # A fault of this node with this peer's answer: the next peer, or the store, is asked.
                self._order.on_failure(name, boot_time_s())
                self._unexpected_errors.record(name, error)
                continue
            self._order.on_rows(name)
            return page
        return None

    def _pass_over(self, name: str, error: Exception) -> None:
        """Follow another peer for a while."""
        if isinstance(error, StaleCopyError):
            self._order.on_stale_copy(name, boot_time_s())
        else:
            self._order.on_failure(name, boot_time_s())
        emit(Event.RELAY_LOST, peer=name, rows=self.table, reason=str(error))

    async def _ask(self, name: str, address: Address, hold_s: float, after: StorePosition | None) -> FeedPage:
        """Return a page from one peer. Raises :class:`PeerUnavailableError`, :class:`HistoryLostError`, or
        :class:`StaleCopyError` if the peer has not read the store for too long."""
        request = RowsRequest(self.table, hold_s)
        if after is not None:
            request = RowsRequest(self.table, hold_s, after.version, era_to_send(after.era))
        reply = await self.links.to(name, address).ask(request, RowsReply, hold_s + ANSWER_MARGIN_S)
        if reply.stale:
            raise StaleCopyError(f"{address}: its copy of the store is stale")
        if reply.history_lost:
            raise HistoryLostError("the peer no longer has the changes since this version")
        era = era_received(reply.era)
        now_s = boot_time_s()
        if self._clock.confirmed_by_relay_s(now_s, reply.store_s, era) > now_s + MAX_CLOCK_ERROR_S:
            # Believed, it would keep the copy and the configuration fresh until then, store or no store.
            raise PeerUnavailableError(f"{address}: its rows are from the future of the store")
        self._era.observe(era, now_s)
        if self._era.is_after(era):
            # The peer is behind, or its build knows no eras.
            raise PeerUnavailableError(f"{address}: its rows are from before the last restore of the store")
        if after is not None and era != after.era:
            raise HistoryLostError("the peer reports that the store was restored from a copy")
        return FeedPage(unpack_rows(reply, str(address)), reply.version, reply.store_s, relayed=True, era=era)

    def _apply_page(self, page: FeedPage, whole: bool) -> FeedPage:
        self._era.observe(page.era, boot_time_s())
        held = self.replica.version
        refused = self.replica.apply_page(page, whole)
        if refused:
            emit(Event.ROWS_WENT_BACK, rows=self.table, version=page.version, held=held, refused=refused)
        self._advanced.set()
        self._advanced = asyncio.Event()
        return page

    # --- answering peers -------------------------------------------------------------------------------

    async def answer(self, request: RowsRequest) -> RowsReply:
        """Answer a peer's request from the copy, once there is a change or the requested wait is over."""
        if self._is_stale():
            return RowsReply(stale=True)
        try:
            if request.after is None:
                return reply_with_rows(self.replica.all_rows())
            return await self._answer_with_changes(request, request.after)
        except HistoryLostError:
            return RowsReply(history_lost=True)  # The peer then reads every row again and logs FEED_RESTARTED.

    async def _answer_with_changes(self, request: RowsRequest, after: int) -> RowsReply:
        """Answer with changed rows. Raises :class:`HistoryLostError` if the peer must read every row again."""
        era = self.replica.era
        if request.era is UNSET:
            # The peer's build has no eras, or it has seen none yet; the reply names the era of its rows.
            if era != UNKNOWN_ERA and after > self.replica.version:
                raise HistoryLostError("the version is of an earlier era")
        elif request.era > era:
            return RowsReply(stale=True)
        elif request.era < era:
            raise HistoryLostError("the version is of an earlier era")
        await self._wait_for_change(after, request.wait_s)
        if self._is_stale():
            return RowsReply(stale=True)
        if self.replica.era != era:
            raise HistoryLostError("the store was restored from a copy during the wait")
        return reply_with_rows(self.replica.changes_since(after))

    async def _wait_for_change(self, after: int, wait_s: float) -> None:
        deadline_s = boot_time_s() + wait_s
        era = self.replica.era
        while self._has_no_change_after(era, after) and (left_s := deadline_s - boot_time_s()) > 0:
            if not await ends_within(self._advanced.wait(), min(left_s, max(0.0, self._stale_s - self._age_s()))):
                return

    def _has_no_change_after(self, era: int, version: int) -> bool:
        return self.replica.era == era and self.replica.last_change_version <= version

    def _age_s(self) -> float:
        """Return how many seconds ago the copy was certainly current, by the store's own clock."""
        now_s = boot_time_s()
        return now_s - self._clock.confirmed_by_relay_s(now_s, self.replica.store_s, self.replica.era)

    def _is_stale(self) -> bool:
        return self._age_s() >= self._stale_s

    def close(self) -> None:
        """Close the connections to peers."""
        self.links.keep(set())


def rows_handler(tables: Mapping[str, RelayedRows]) -> Callable[[RowsRequest], Awaitable[RowsReply]]:
    """Return the handler of peers' requests for rows; the handler raises :class:`RequestRefusedError` for an
    unknown table."""

    async def answer(request: RowsRequest) -> RowsReply:
        rows = tables.get(request.table)
        if rows is None:
            raise RequestRefusedError("no rows of a table of this name are relayed")
        return await rows.answer(request)

    return answer
