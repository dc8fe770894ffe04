"""Client of the platform's store: the product's table and feed interfaces over its rows."""

from __future__ import annotations

import base64
from urllib.parse import urlencode

import msgspec

from wallwell.errors import HistoryLostError, PlatformUnavailableError, TableConflictError
from wallwell.http_connection import ConnectFailedError, ConnectionBrokenError, ConnectionPool
from wallwell.platform import names
from wallwell.storage.feed import FeedPage, FeedRow
from wallwell.storage.table import Row, Scan, Transaction

CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 1.0
PAGE_ROWS = 500
_OK = 200
_CONFLICT = 412
_HISTORY_GONE = 410


class StoredRow(msgspec.Struct, frozen=True):
    """A row on the wire; ``value`` is base64."""

    key: str
    value: str = ""
    ver: int = 0
    gone: bool = False


class RowsAnswer(msgspec.Struct, frozen=True):
    """Answer about rows."""

    ver: int
    now_ms: float = 0.0
    rows: tuple[StoredRow, ...] = ()
    more: bool = False


class ConditionEntry(msgspec.Struct, frozen=True):
    """A row and the version it must have."""

    table: str
    part: str
    key: str
    ver: int


class PutEntry(msgspec.Struct, frozen=True):
    """A row to write."""

    table: str
    part: str
    key: str
    value: str


class DeleteEntry(msgspec.Struct, frozen=True):
    """A row to remove."""

    table: str
    part: str
    key: str


class TransactBody(msgspec.Struct, frozen=True):
    """A transaction."""

    expect_rev: tuple[ConditionEntry, ...]
    put: tuple[PutEntry, ...]
    delete: tuple[DeleteEntry, ...]


class PlatformStore:
    """The store at one address; one connection for each call under way."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = ConnectionPool("", CONNECT_TIMEOUT_S, CALL_TIMEOUT_S, max_idle=6)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    async def call(self, method: str, path: str, body: bytes, timeout_s: float) -> tuple[int, bytes]:
        """Make one call and return status and body. Raises :class:`PlatformUnavailableError`."""
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n"
        if body:
            head += "Content-Type: application/json\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        try:
            return await self._pool.fetch(self._address, head.encode() + body, timeout_s)
        except (ConnectFailedError, ConnectionBrokenError) as error:
            raise PlatformUnavailableError(str(error)) from error
        except TimeoutError as error:
            raise PlatformUnavailableError("no answer in time") from error

    async def read(self, path: str, query: dict[str, str], timeout_s: float) -> RowsAnswer:
        """Read rows. Raises :class:`HistoryLostError` or :class:`PlatformUnavailableError`."""
        status, data = await self.call("GET", f"{path}?{urlencode(query)}", b"", timeout_s)
        if status == _HISTORY_GONE:
            raise HistoryLostError("history is gone")
        if status != _OK:
            raise PlatformUnavailableError(f"status {status}")
        return _decode(data)

    async def transact_rows(self, body: TransactBody) -> int:
        """Carry out a transaction over rows of any tables and return the version of what it wrote.

        Raises :class:`TableConflictError` (nothing written) or :class:`PlatformUnavailableError` (unknown).
        """
        payload = msgspec.json.encode(body)
        status, data = await self.call("POST", names.ROWS_TRANSACT_PATH, payload, CALL_TIMEOUT_S)
        if status == _CONFLICT:
            raise TableConflictError("a condition does not hold")
        if status != _OK:
            raise PlatformUnavailableError(f"status {status}")
        return _decode(data).ver

    async def get_row(self, table: str, key: str) -> Row | None:
        """Return a row of a table. Raises :class:`PlatformUnavailableError`."""
        query = {"table": table, "part": "", "from": key, "limit": "1"}
        answer = await self.read(names.ROWS_READ_PATH, query, CALL_TIMEOUT_S)
        found = next((row for row in answer.rows if row.key == key), None)
        return Row(key, _decode_value(found.value).decode(), found.ver) if found is not None else None

    # --- the product's table interface, over this product's own table --------------------------------------

    async def transact(self, transaction: Transaction) -> int:
        """See :class:`wallwell.storage.table.TableService`."""
        table = names.OWN_TABLE
        body = TransactBody(
            expect_rev=tuple(ConditionEntry(table, "", each.key, each.version) for each in transaction.conditions),
            put=tuple(PutEntry(table, "", each.key, encode_value(each.value)) for each in transaction.puts),
            delete=tuple(DeleteEntry(table, "", key) for key in transaction.deletes),
        )
        return await self.transact_rows(body)

    async def get(self, key: str) -> Row | None:
        """See :class:`wallwell.storage.table.TableService`."""
        return await self.get_row(names.OWN_TABLE, key)

    async def scan(self, prefix: str, after_version: int) -> Scan:
        """See :class:`wallwell.storage.table.TableService`."""
        page = await TableRows(self, names.OWN_TABLE).read_all()
        rows = [row for row in page.rows if row.key.startswith(prefix) and row.version > after_version]
        return Scan(page.version, tuple(Row(row.key, (row.value or b"").decode(), row.version) for row in rows))


class TableRows:
    """One table of the store as a :class:`wallwell.storage.feed.RowSource`."""

    def __init__(self, store: PlatformStore, table: str) -> None:
        self._store = store
        self._table = table

    async def read_all(self) -> FeedPage:
        """See :class:`wallwell.storage.feed.RowSource`. The version is the first page's, so nothing is missed."""
        rows: list[FeedRow] = []
        first: RowsAnswer | None = None
        start = ""
        while True:
            query = {"table": self._table, "part": "", "limit": str(PAGE_ROWS)}
            if start:
                query["from"] = start
            answer = await self._store.read(names.ROWS_READ_PATH, query, CALL_TIMEOUT_S)
            first = first or answer
            rows.extend(_feed_row(row) for row in answer.rows)
            if not answer.more or not answer.rows:
                return FeedPage(tuple(rows), first.ver, first.now_ms / 1000)
            start = answer.rows[-1].key + "\x00"

    async def changes(self, after_version: int, wait_s: float) -> FeedPage:
        """See :class:`wallwell.storage.feed.RowSource`."""
        query = {"table": self._table, "after": str(after_version), "wait_ms": str(round(wait_s * 1000))}
        answer = await self._store.read(names.ROWS_FEED_PATH, query, wait_s + CALL_TIMEOUT_S)
        return FeedPage(tuple(_feed_row(row) for row in answer.rows), answer.ver, answer.now_ms / 1000)


def _decode(data: bytes) -> RowsAnswer:
    try:
        return msgspec.json.decode(data, type=RowsAnswer)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailableError(f"answer not understood: {error}") from error


def _feed_row(row: StoredRow) -> FeedRow:
    return FeedRow(row.key, None if row.gone else _decode_value(row.value), row.ver)


def encode_value(text: str) -> str:
    """Return a row's value as it travels."""
    return base64.b64encode(text.encode()).decode()


def _decode_value(text: str) -> bytes:
    return base64.b64decode(text)
