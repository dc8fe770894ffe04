"""Wire format of the platform's store: rows, answers and transactions, with their encoding and decoding.

Field names are the store's; a comment explains a field whose name misleads. Row values are sent as Base64. Table
names are in :mod:`wallwell.platform.names`.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec

from wallwell.errors import PlatformUnavailableError
from wallwell.platform import names
from wallwell.storage.feed import FeedRow
from wallwell.storage.row_values import decode_value
from wallwell.storage.table import Row, Transaction

MAX_STORE_MS = 1e15
"""Largest time in milliseconds on the store's clock: 30,000 years, still exact to a millisecond as a float."""

StoreVersion = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""Number of a transaction of the store."""
StoreMilliseconds = Annotated[float, msgspec.Meta(ge=-MAX_STORE_MS, le=MAX_STORE_MS)]
FieldType = TypeVar("FieldType")


class StoredRow(msgspec.Struct, frozen=True):
    """A row in an answer of the store."""

    key: str
    value: str = ""
    """Base64 of the row's bytes."""
    ver: StoreVersion = 0
    """Number of the transaction that last wrote the row; the whole store counts transactions together."""
    gone: bool = False
    """Whether the row was deleted; its value is then empty."""


class RowsAnswer(msgspec.Struct, frozen=True):
    """Answer of the store to any read, feed or write of rows."""

    ver: StoreVersion
    """Number of the store's newest transaction at the time of the answer, not a version of these rows."""
    now_ms: StoreMilliseconds = 0.0
    """The store's monotonic clock in milliseconds, comparable only with other answers of the store."""
    rows: tuple[StoredRow, ...] = ()
    more: bool = False
    """Whether more rows follow after the last one."""


class _LooseAnswer(msgspec.Struct, frozen=True):
    """An answer whose rows are not decoded yet; fields as in :class:`RowsAnswer`."""

    ver: StoreVersion
    now_ms: StoreMilliseconds = 0.0
    rows: tuple[msgspec.Raw, ...] = ()
    more: bool = False


class _LooseRow(msgspec.Struct, frozen=True):
    """A row of which only the key is decoded; fields as in :class:`StoredRow`."""

    key: str
    ver: msgspec.Raw = msgspec.Raw(b"null")
    gone: msgspec.Raw = msgspec.Raw(b"null")


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


def decode_answer(data: bytes, on_left_out: Callable[[str], None] | None = None) -> RowsAnswer:
    """Decode an answer with rows. Raises :class:`PlatformUnavailableError` if it is invalid.

    A row that is invalid does not make the answer invalid. Its value is then empty, which the code that decodes the
    value rejects; a row without a readable key is left out, and ``on_left_out`` is called with the reason.
    """
    try:
        return decode_value(data, RowsAnswer)
    except msgspec.MsgspecError:
        return _decode_rows_one_by_one(data, on_left_out)


def _decode_rows_one_by_one(data: bytes, on_left_out: Callable[[str], None] | None) -> RowsAnswer:
    try:
        answer = decode_value(data, _LooseAnswer)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailableError(f"answer cannot be decoded: {error}") from error
    rows: list[StoredRow] = []
    for raw in answer.rows:
        try:
            rows.append(_decode_stored_row(bytes(raw), answer.ver))
        except msgspec.MsgspecError as error:
            if on_left_out is not None:
                on_left_out(str(error))
    return RowsAnswer(answer.ver, answer.now_ms, tuple(rows), answer.more)


def _decode_stored_row(data: bytes, newest_version: int) -> StoredRow:
    """Decode one row. Raises ``msgspec.MsgspecError`` if it has no readable key.

    A row without a readable version counts as written by the newest transaction, so that no follower misses it.
    """
    try:
        return decode_value(data, StoredRow)
    except msgspec.MsgspecError:
        row = decode_value(data, _LooseRow)
        version = _decode_field(row.ver, StoreVersion, newest_version)
        return StoredRow(row.key, "", version, _decode_field(row.gone, bool, False))


def _decode_field(raw: msgspec.Raw, field_type: type[FieldType], default: FieldType) -> FieldType:
    try:
        return decode_value(bytes(raw), field_type)
    except msgspec.MsgspecError:
        return default


def to_feed_row(row: StoredRow) -> FeedRow:
    """Convert a stored row to a feed row; its value is None if the row was deleted.

    Nodes forward values to each other as text. A value of another writer that is not Base64 of UTF-8 text becomes
    empty, which the code that decodes the row then rejects.
    """
    return FeedRow(row.key, None if row.gone else _decode_text(row.value).encode(), row.ver)


def to_table_row(row: StoredRow) -> Row:
    """Convert a stored row to a table row, whose value is text; empty as in :func:`to_feed_row` if it is not."""
    return Row(row.key, _decode_text(row.value), row.ver)


def encode_value(text: str) -> str:
    """Return a row's value in Base64, as the store expects it."""
    return base64.b64encode(text.encode()).decode()


def _decode_text(value: str) -> str:
    """Return the text of a row's value; empty if it is not Base64 of UTF-8."""
    try:
        return base64.b64decode(value).decode()
    except ValueError:
        return ""
