"""Client of the platform's store. Implements wallwell's table and feed interfaces with the store's HTTP API.

Owns the connections to the store. Sends each request once, since a request without an answer may have taken effect:
the calling code decides whether to retry. :mod:`wallwell.platform.store_wire` has the wire format.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec
from aiohttp.http_parser import RawResponseMessage

from wallwell.address import Address
from wallwell.answer_head import parse_header_number
from wallwell.backend_connection import ConnectionBrokenError
from wallwell.clock import boot_time_s
from wallwell.deployment.store_era import UNKNOWN_ERA, StoreEra, StorePosition
from wallwell.errors import HistoryLostError, PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.http_connection import ConnectFailedError, ConnectionPool, FetchedTooMuchError
from wallwell.number_ranges import MAX_ERA
from wallwell.platform import names
from wallwell.platform.store_wire import (
    RowsAnswer,
    TransactBody,
    decode_answer,
    to_feed_row,
    to_table_row,
    transaction_body,
)
from wallwell.storage.feed import FeedPage, FeedRow
from wallwell.storage.row_isolation import MAX_ERROR_CHARS, ReportedRows
from wallwell.storage.table import Row, Scan, Transaction

CALL_TIMEOUT_S = 1.5
"""Timeout of one call in seconds, including connecting: two calls fit into the 3 s of a lease."""
CONNECT_TIMEOUT_S = 1.0
"""Timeout of connecting in seconds; leaves a third of ``CALL_TIMEOUT_S`` for the answer."""
PAGE_ROWS = 500
"""Rows requested per page: the maximum that the store's protocol allows."""
MAX_IDLE_CONNECTIONS = 6
"""Maximum number of idle connections: enough for three concurrent feeds and as many other calls."""
MAX_LOGGED_CHARS = 40
"""Maximum number of characters that are logged of an invalid header value."""
NEXT_KEY_SUFFIX = "\x00"
"""Appended to the last key of a page, this gives the smallest possible next key, as keys are ordered by bytes."""


class StoreAnswer(NamedTuple):
    """An answer of the store with any status, and the era that it states."""

    status: int
    body: bytes
    era: int


class RowsInEra(NamedTuple):
    """Rows that the store answered, and the era to which their versions belong."""

    rows: RowsAnswer
    era: int


class PlatformStore:
    """Client of the store at one address, with one connection for each concurrent call."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._pool = ConnectionPool("", CONNECT_TIMEOUT_S, CALL_TIMEOUT_S, max_idle=MAX_IDLE_CONNECTIONS)
        self.era = StoreEra(_log_restore)
        """Newest era of the store; updated by every answer, whatever its status."""
        self._unreadable_era = ""
        self._left_out_rows = ReportedRows()
        """Reasons, as keys, for which rows were left out of answers."""

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    async def call(self, method: str, path: str, body: bytes, timeout_s: float) -> StoreAnswer:
        """Send one request and return the answer. Raises :class:`PlatformUnavailableError` without an answer."""
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n"
        if body:
            head += "Content-Type: application/json\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        era = UNKNOWN_ERA

        def on_head(message: RawResponseMessage) -> None:
            nonlocal era
            era = self._observe_era(message)

        try:
            status, data = await self._pool.fetch(self._address, head.encode() + body, timeout_s, on_head)
            return StoreAnswer(status, data, era)
        except (ConnectFailedError, ConnectionBrokenError) as error:
            raise PlatformUnavailableError(str(error)) from error
        except TimeoutError as error:
            raise PlatformUnavailableError(f"no answer within {timeout_s:g} s") from error

    def _observe_era(self, message: RawResponseMessage) -> int:
        """Record and return the era that an answer states. Logs an invalid value and returns the current era."""
        text = message.headers.get(names.STORE_ERA, str(UNKNOWN_ERA))
        era = parse_header_number(text)
        if era is None or era > MAX_ERA:
            if text != self._unreadable_era:  # Logged once, not for each call.
                emit(Event.STORE_ERA_UNREADABLE, era=text[:MAX_LOGGED_CHARS])
            self._unreadable_era = text
            return self.era.current
        self.era.observe(era, boot_time_s())
        return era

    async def read_rows(self, path: str, query: dict[str, str], timeout_s: float) -> RowsInEra:
        """Read rows. Raises :class:`HistoryLostError` or :class:`PlatformUnavailableError`, the latter also for a
        late answer of an earlier era."""
        answer = await self.call("GET", f"{path}?{urlencode(query)}", b"", timeout_s)
        if answer.status == HTTPStatus.GONE:
            raise HistoryLostError("the store no longer has the changes after that version")
        if answer.status != HTTPStatus.OK:
            raise PlatformUnavailableError(f"status {answer.status}")
        if self.era.is_after(answer.era):
            raise PlatformUnavailableError("the answer is from before the store was restored from a copy")
        return RowsInEra(decode_answer(answer.body, self._on_left_out), answer.era)

    async def transact_rows(self, body: TransactBody) -> int:
        """Execute a transaction on rows of any tables and return the version of the rows that it wrote.

        Raises :class:`TableConflictError` (nothing written) or :class:`PlatformUnavailableError` (unknown whether
        written).
        """
        payload = msgspec.json.encode(body)
        answer = await self.call("POST", names.ROWS_TRANSACT_PATH, payload, CALL_TIMEOUT_S)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            raise TableConflictError("a condition of the transaction is not met")
        if answer.status != HTTPStatus.OK:
            raise PlatformUnavailableError(f"status {answer.status}")
        return decode_answer(answer.body, self._on_left_out).ver

    def _on_left_out(self, reason: str) -> None:
        """Log that a row without a readable key was left out of an answer, once for each reason."""
        if self._left_out_rows.is_news(reason, reason):
            emit(Event.STORE_ROW_LEFT_OUT, reason=reason[:MAX_ERROR_CHARS])

    async def get_row(self, table: str, key: str) -> Row | None:
        """Return a row of a table, None if it does not exist. Raises :class:`PlatformUnavailableError`."""
        query = {"table": table, "part": names.NO_PARTITION, "from": key, "limit": "1"}
        answer, _ = await self.read_rows(names.ROWS_READ_PATH, query, CALL_TIMEOUT_S)
        # The store returns the first row whose key is not smaller, which may have another key.
        found = next((row for row in answer.rows if row.key == key), None)
        return to_table_row(found) if found is not None else None


class StoreTable:
    """One table of the store. Implements :class:`wallwell.storage.table.TableService`."""

    def __init__(self, store: PlatformStore, table: str) -> None:
        self._store = store
        self._table = table

    async def transact(self, transaction: Transaction) -> int:
        """See :class:`wallwell.storage.table.TableService`."""
        return await self._store.transact_rows(transaction_body(self._table, transaction))

    async def get(self, key: str) -> Row | None:
        """See :class:`wallwell.storage.table.TableService`."""
        return await self._store.get_row(self._table, key)

    async def scan(self, prefix: str, after_version: int) -> Scan:
        """See :class:`wallwell.storage.table.TableService`. Reads the whole table: a few rows per node."""
        page = await TableRows(self._store, self._table).read_all()
        rows = [row for row in page.rows if row.key.startswith(prefix) and row.version > after_version]
        return Scan(page.version, tuple(Row(row.key, (row.value or b"").decode(), row.version) for row in rows))


class TableRows:
    """Reads one table of the store. Implements :class:`wallwell.storage.feed.RowSource`."""

    def __init__(self, store: PlatformStore, table: str) -> None:
        self._store = store
        self._table = table

    async def read_all(self) -> FeedPage:
        """See :class:`wallwell.storage.feed.RowSource`.

        The returned version and time are those of the first page, so that the feed repeats every change made while
        later pages are read, and none is missed. Raises :class:`PlatformUnavailableError` too if the rest of the
        rows cannot be reached.
        """
        first, era = await self._read_page("")
        rows: list[FeedRow] = [to_feed_row(row) for row in first.rows]
        answer = first
        while answer.more:
            if not answer.rows:
                # Nothing tells where the next page begins, and without the rest back ends would count as gone.
                raise PlatformUnavailableError("a page has no row with a readable key, and more rows follow")
            answer, later_era = await self._read_page(answer.rows[-1].key + NEXT_KEY_SUFFIX)
            _require_same_era(era, later_era)
            rows.extend(to_feed_row(row) for row in answer.rows)
        return FeedPage(tuple(rows), first.ver, first.now_ms / 1000, era=era)

    async def _read_page(self, from_key: str) -> RowsInEra:
        query = {"table": self._table, "part": names.NO_PARTITION, "limit": str(PAGE_ROWS)}
        if from_key:
            query["from"] = from_key
        return await self._store.read_rows(names.ROWS_READ_PATH, query, CALL_TIMEOUT_S)

    async def changes(self, after: StorePosition, wait_s: float) -> FeedPage:
        """See :class:`wallwell.storage.feed.RowSource`."""
        query = {"table": self._table, "after": str(after.version), "wait_ms": str(round(wait_s * 1000))}
        try:
            answer, era = await self._store.read_rows(names.ROWS_FEED_PATH, query, wait_s + CALL_TIMEOUT_S)
        except PlatformUnavailableError as error:
            if not isinstance(error.__cause__, FetchedTooMuchError):
                raise
            # Asked again, the store would answer the same changes and later ones; all rows come in pages.
            raise HistoryLostError(f"the changes after that version are too large: {error}") from error
        _require_same_era(after.era, era)
        return FeedPage(tuple(to_feed_row(row) for row in answer.rows), answer.ver, answer.now_ms / 1000, era=era)


def _log_restore(era: int, previous_era: int) -> None:
    emit(Event.STORE_RESTORED, era=era, before=previous_era)


def _require_same_era(era: int, later_era: int) -> None:
    """Raise :class:`HistoryLostError` if the eras differ, since rows of two eras must not be combined."""
    if era != later_era:
        raise HistoryLostError("the store was restored from a copy")
