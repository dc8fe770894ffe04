"""Rows passed on between nodes, so that a store asked by few is known to all.

Each node keeps a copy of the rows that it follows and answers peers from it, in JSON lines over TCP: one request,
one reply, in order. A node whose own word of the store is old says so at once, and its peers go elsewhere.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping

import msgspec

from wallwell.deployment.freshness import StoreClock
from wallwell.errors import HistoryLostError, PeerUnavailableError
from wallwell.events import Event, emit
from wallwell.storage.feed import FeedPage, FeedRow, RowSource
from wallwell.storage.replica import RowReplica
from wallwell.storage.upstream import UpstreamOrder

MAX_LINE_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.3
ANSWER_MARGIN_S = 0.5
"""How much longer than the agreed wait a peer's answer is waited for."""
STALE_MARGIN_S = 0.7
"""How much older than the store's own wait a word of the store may be and still be passed on."""
MAX_PEERS_ASKED = 2
"""Peers asked in one reading before the store is."""


class RowsRequest(msgspec.Struct, frozen=True):
    """Ask for rows of a table: every row if ``after`` is None, else what changed after that version."""

    table: str
    wait_s: float
    after: int | None = None


class RelayedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row between peers; ``value`` is None if it was deleted."""

    key: str
    value: str | None
    version: int


class RowsReply(msgspec.Struct, frozen=True):
    """Answer to :class:`RowsRequest`. One of ``stale`` and ``history_lost`` may be set; there are no rows then."""

    version: int = -1
    store_s: float = 0.0
    rows: tuple[RelayedRow, ...] = ()
    stale: bool = False
    history_lost: bool = False


class RelayedRows:
    """A table's rows from a peer that follows the store, or from the store itself; see :class:`RowSource`."""

    def __init__(
        self,
        table: str,
        store: RowSource,
        order: UpstreamOrder,
        clock: StoreClock,
        wait_s: float,
        pause_s: float = 0.0,
    ) -> None:
        """``wait_s`` is how long a reading of the store is held open.

        ``pause_s`` is waited before the store is asked again after a change, so that changes which come close
        together cost one call.
        """
        self.table = table
        self.replica = RowReplica()
        self._store = store
        self._order = order
        self._clock = clock
        self._stale_s = wait_s + STALE_MARGIN_S
        self._pause_s = pause_s
        self._last_brought_rows = False
        self._links: dict[str, PeerLink] = {}
        self._advanced = asyncio.Event()

    # --- reading ---------------------------------------------------------------------------------------

    async def read_all(self) -> FeedPage:
        """See :class:`RowSource`; a peer that knows less than this node is passed over."""
        page = await self._from_peer(None, 0.0)
        if page is None or page.version < self.replica.version:
            page = await self._store.read_all()
        return self._take(page, whole=True)

    async def changes(self, after_version: int, wait_s: float) -> FeedPage:
        """See :class:`RowSource`."""
        page = await self._from_peer(after_version, wait_s)
        if page is None:
            if self._last_brought_rows and self._pause_s:
                await asyncio.sleep(self._pause_s)
            page = await self._store.changes(after_version, wait_s)
            self._last_brought_rows = bool(page.rows)
        return self._take(page, whole=False)

    async def _from_peer(self, after: int | None, wait_s: float) -> FeedPage | None:
        """Return a peer's page, None if the store is to be asked. Raises :class:`HistoryLostError`."""
        candidates = self._order.candidates(time.monotonic())
        self._keep_links({name for name, _ in candidates})
        for name, address in candidates[:MAX_PEERS_ASKED]:
            link = self._links.setdefault(name, PeerLink(address))
            try:
                page = await link.ask(RowsRequest(self.table, wait_s, after))
            except PeerUnavailableError as error:
                self._order.on_failure(name, time.monotonic())
                emit(Event.RELAY_LOST, peer=name, rows=self.table, reason=str(error))
                continue
            self._order.on_success(name)
            return page
        return None

    def _keep_links(self, names: set[str]) -> None:
        for name in [name for name in self._links if name not in names]:
            self._links.pop(name).close()

    def _take(self, page: FeedPage, whole: bool) -> FeedPage:
        self.replica.take(page, whole)
        self._advanced.set()
        self._advanced = asyncio.Event()
        return page

    # --- answering peers -------------------------------------------------------------------------------

    async def answer(self, request: RowsRequest) -> RowsReply:
        """Answer a peer from the copy, once there is something new or the agreed wait is over."""
        if self._is_stale():
            return RowsReply(stale=True)
        try:
            if request.after is None:
                return _reply(self.replica.everything())
            await self._wait_for_change(request.after, request.wait_s)
            if self._is_stale():
                return RowsReply(stale=True)
            return _reply(self.replica.after(request.after))
        except HistoryLostError:
            return RowsReply(history_lost=True)

    async def _wait_for_change(self, after: int, wait_s: float) -> None:
        give_up_s = time.monotonic() + wait_s
        while self.replica.changed_version <= after and (left_s := give_up_s - time.monotonic()) > 0:
            try:
                async with asyncio.timeout(min(left_s, max(0.0, self._stale_s - self._age_s()))):
                    await self._advanced.wait()
            except TimeoutError:
                return

    def _age_s(self) -> float:
        """Return how long ago the copy was certainly current, by the store's own clock."""
        now_s = time.monotonic()
        return now_s - self._clock.confirmed_by_relay_s(now_s, self.replica.store_s)

    def _is_stale(self) -> bool:
        return self._age_s() >= self._stale_s

    def close(self) -> None:
        """Close the connections to peers."""
        self._keep_links(set())


def _reply(page: FeedPage) -> RowsReply:
    rows = tuple(
        RelayedRow(row.key, None if row.value is None else row.value.decode(), row.version) for row in page.rows
    )
    return RowsReply(page.version, page.store_s, rows)


class PeerLink:
    """One connection to a peer, made when it is needed; one request at a time."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, request: RowsRequest) -> FeedPage:
        """Return the peer's page. Raises :class:`PeerUnavailableError` or :class:`HistoryLostError`."""
        try:
            reply = await self._exchange(request)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, msgspec.MsgspecError) as error:
            self.close()
            raise PeerUnavailableError(f"{self._address}: {type(error).__name__}") from error
        except BaseException:
            self.close()
            raise
        if reply.stale:
            raise PeerUnavailableError(f"{self._address}: its word of the store is old")
        if reply.history_lost:
            raise HistoryLostError("the peer does not know these changes")
        rows = tuple(
            FeedRow(row.key, None if row.value is None else row.value.encode(), row.version) for row in reply.rows
        )
        return FeedPage(rows, reply.version, reply.store_s, relayed=True)

    async def _exchange(self, request: RowsRequest) -> RowsReply:
        if self._streams is None:
            host, _, port = self._address.rpartition(":")
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._streams = await asyncio.open_connection(host, int(port), limit=MAX_LINE_BYTES)
        reader, writer = self._streams
        writer.write(msgspec.json.encode(request) + b"\n")
        async with asyncio.timeout(request.wait_s + ANSWER_MARGIN_S):
            return msgspec.json.decode(await reader.readuntil(b"\n"), type=RowsReply)

    def close(self) -> None:
        """Close the connection; the next request makes another."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


class RelayServer:
    """Answers peers from this node's copies."""

    def __init__(self, tables: Mapping[str, RelayedRows]) -> None:
        self._tables = tables
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self.address = ""

    async def start(self, host: str, port: int) -> None:
        """Listen. Raises OSError if the address cannot be used."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=MAX_LINE_BYTES)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._answer_all(reader, writer)
        except (OSError, ValueError, KeyError, msgspec.MsgspecError):
            pass  # The peer is gone or speaks something else; it will connect again.
        except asyncio.CancelledError:
            pass  # Closed below; the task ends here, and asyncio would log a cancelled one as an error.
        finally:
            self._connections.discard(task)
            writer.transport.abort()

    async def _answer_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            request = msgspec.json.decode(line, type=RowsRequest)
            reply = await self._tables[request.table].answer(request)
            writer.write(msgspec.json.encode(reply) + b"\n")
            await writer.drain()

    def close(self) -> None:
        """Stop listening and end the connections of peers, which then go elsewhere at once."""
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()
