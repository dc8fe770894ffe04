"""Wire format of the platform's store: rows, answers and transactions, with their encoding and decoding.

Field names are the store's; a comment explains a field whose name misleads. Row values are sent as Base64. Table
names are in :mod:`wallwell.platform.names`.
"""

from __future__ import annotations

import base64

import msgspec

from wallwell.errors import PlatformUnavailableError
from wallwell.platform import names
from wallwell.storage.feed import FeedRow
from wallwell.storage.table import Row, Transaction


class StoredRow(msgspec.Struct, frozen=True):
    """A row in an answer of the store."""

    key: str
    value: str = ""
    """Base64 of the row's bytes."""
    ver: int = 0
    """Number of the transaction that last wrote the row; the whole store counts transactions together."""
    gone: bool = False
    """Whether the row was deleted; its value is then empty."""


class RowsAnswer(msgspec.Struct, frozen=True):
    """Answer of the store to any read, feed or write of rows."""

    ver: int
    """Number of the store's newest transaction at the time of the answer, not a version of these rows."""
    now_ms: float = 0.0
    """The store's monotonic clock in milliseconds, comparable only with other answers of the store."""
    rows: tuple[StoredRow, ...] = ()
    more: bool = False
    """Whether more rows follow after the last one."""


class ConditionEntry(msgspec.Struct, frozen=True):
    """A condition of a transaction: a row and the version that it must have."""

    table: str
    part: str
    key: str
    ver: int
    """Required version of the row; 0 if the row must not exist."""


class PutEntry(msgspec.Struct, frozen=True):
    """A row to write."""

    table: str
    part: str
    key: str
    value: str
    """Base64 of the row's bytes."""


class DeleteEntry(msgspec.Struct, frozen=True):
    """A row to delete."""

    table: str
    part: str
    key: str


class TransactBody(msgspec.Struct, frozen=True):
    """A transaction, of which all writes are made or none."""

    expect_rev: tuple[ConditionEntry, ...]
    """Conditions on rows of any tables, not a single revision."""
    put: tuple[PutEntry, ...]
    delete: tuple[DeleteEntry, ...]


def condition_entry(table: str, key: str, version: int) -> ConditionEntry:
    """Return the condition that a row has this version; 0 if the row must not exist."""
    return ConditionEntry(table, names.NO_PARTITION, key, version)


def put_entry(table: str, key: str, text: str) -> PutEntry:
    """Return the entry of a transaction that writes a row."""
    return PutEntry(table, names.NO_PARTITION, key, encode_value(text))


def transaction_body(table: str, transaction: Transaction) -> TransactBody:
    """Convert a transaction on one table to the store's format."""
    return TransactBody(
        expect_rev=tuple(condition_entry(table, each.key, each.version) for each in transaction.conditions),
        put=tuple(put_entry(table, each.key, each.value) for each in transaction.puts),
        delete=tuple(DeleteEntry(table, names.NO_PARTITION, key) for key in transaction.deletes),
    )


def decode_answer(data: bytes) -> RowsAnswer:
    """Decode an answer with rows. Raises :class:`PlatformUnavailableError` if it is invalid."""
    try:
        return msgspec.json.decode(data, type=RowsAnswer)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailableError(f"answer cannot be decoded: {error}") from error


def to_feed_row(row: StoredRow) -> FeedRow:
    """Convert a stored row to a feed row; its value is None if the row was deleted.

    Nodes forward values to each other as text. A value of another writer that is not Base64 of UTF-8 text becomes
    empty, which the code that decodes the row then rejects.
    """
    if row.gone:
        return FeedRow(row.key, None, row.ver)
    try:
        value = _decode_value(row.value)
        value.decode()
    except ValueError:
        value = b""
    return FeedRow(row.key, value, row.ver)


def to_table_row(row: StoredRow) -> Row:
    """Convert a stored row to a table row, whose value is text. Raises ValueError if the value is not text."""
    return Row(row.key, _decode_value(row.value).decode(), row.ver)


def encode_value(text: str) -> str:
    """Return a row's value in Base64, as the store expects it."""
    return base64.b64encode(text.encode()).decode()


def _decode_value(text: str) -> bytes:
    return base64.b64decode(text)
