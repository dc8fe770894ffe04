"""Wire format of the platform's store: rows, answers and transactions, and their decoding.

Field names are the store's; each comment says what the field holds. Relies on :mod:`wallwell.platform.names` for
tables. A value travels as base64 of bytes.
"""

from __future__ import annotations

import base64

import msgspec

from wallwell.errors import PlatformUnavailableError
from wallwell.platform import names
from wallwell.storage.feed import FeedRow
from wallwell.storage.table import Row, Transaction


class StoredRow(msgspec.Struct, frozen=True):
    """A row as the store answers it."""

    key: str
    value: str = ""
    """Base64 of the row's bytes."""
    ver: int = 0
    """Number of the transaction that wrote the row last, from the counter of the whole store."""
    gone: bool = False
    """Whether the row was removed; its value is empty then."""


class RowsAnswer(msgspec.Struct, frozen=True):
    """Answer to every call about rows."""

    ver: int
    """Newest transaction of the store as of the answer, not a version of these rows."""
    now_ms: float = 0.0
    """The store's steady clock, which is comparable with other answers of the store only."""
    rows: tuple[StoredRow, ...] = ()
    more: bool = False
    """Whether rows after the last one were left out."""


class ConditionEntry(msgspec.Struct, frozen=True):
    """A row and the version that it must have for a transaction to be carried out."""

    table: str
    part: str
    key: str
    ver: int
    """Version of the row; 0 if it must not exist."""


class PutEntry(msgspec.Struct, frozen=True):
    """A row to write."""

    table: str
    part: str
    key: str
    value: str
    """Base64 of the row's bytes."""


class DeleteEntry(msgspec.Struct, frozen=True):
    """A row to remove."""

    table: str
    part: str
    key: str


class TransactBody(msgspec.Struct, frozen=True):
    """A transaction: all of its writes or none."""

    expect_rev: tuple[ConditionEntry, ...]
    """Conditions on rows of any table, not one revision."""
    put: tuple[PutEntry, ...]
    delete: tuple[DeleteEntry, ...]


def condition_entry(table: str, key: str, version: int) -> ConditionEntry:
    """Return the condition that a row has a version; 0 if it must not exist."""
    return ConditionEntry(table, names.NO_PARTITION, key, version)


def put_entry(table: str, key: str, text: str) -> PutEntry:
    """Return the writing of a row."""
    return PutEntry(table, names.NO_PARTITION, key, encode_value(text))


def transaction_body(transaction: Transaction) -> TransactBody:
    """Return a transaction over wallwell's own table as it travels."""
    table = names.ROUTER_TABLE
    return TransactBody(
        expect_rev=tuple(condition_entry(table, each.key, each.version) for each in transaction.conditions),
        put=tuple(put_entry(table, each.key, each.value) for each in transaction.puts),
        delete=tuple(DeleteEntry(table, names.NO_PARTITION, key) for key in transaction.deletes),
    )


def decode_answer(data: bytes) -> RowsAnswer:
    """Decode an answer about rows. Raises :class:`PlatformUnavailableError` if it is not one."""
    try:
        return msgspec.json.decode(data, type=RowsAnswer)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailableError(f"answer cannot be decoded: {error}") from error


def to_feed_row(row: StoredRow) -> FeedRow:
    """Return a row of the feed; its value is None if the row was removed.

    Rows hold texts, which nodes pass on to each other as such. What another writer has left is passed on empty if
    it is no base64 or no text, and refused where the row is decoded.
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
    """Return a row with its value as text."""
    return Row(row.key, _decode_value(row.value).decode(), row.ver)


def encode_value(text: str) -> str:
    """Return a row's value as it travels."""
    return base64.b64encode(text.encode()).decode()


def _decode_value(text: str) -> bytes:
    return base64.b64decode(text)
