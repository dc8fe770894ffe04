"""Messages in which nodes relay rows of the store to each other: request, reply, and the compression of rows.

Class names and field names go over the wire. Used by :mod:`.relay`.
"""

from __future__ import annotations

import functools
import zlib

import msgspec
from msgspec import UNSET, UnsetType

from wallwell.cluster.message_decoding import unpack_message
from wallwell.cluster.peer_link import PeerMessage
from wallwell.deployment.store_era import era_to_send
from wallwell.number_ranges import Era, HoldTime, Version
from wallwell.storage.feed import FeedPage, FeedRow

COMPRESS_FROM_BYTES = 2048
"""Bytes from which rows are compressed: a relay sends each change once per member, perhaps over a slow link."""


class RowsRequest(PeerMessage, frozen=True):
    """Request for rows of a table: every row if ``after`` is None, else the rows changed after that version.

    ``era`` is the era of the store in which that version was given out. It is omitted if it is ``UNKNOWN_ERA``, and
    by nodes of builds without eras.
    """

    table: str
    wait_s: HoldTime
    after: Version | None = None
    era: Era | UnsetType = UNSET


class RelayedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row as sent between peers; ``value`` is None if the row was deleted."""

    key: str
    value: str | None
    version: Version


class RowsReply(msgspec.Struct, frozen=True):
    """Answer to :class:`RowsRequest`. If ``stale`` or ``history_lost`` is set, there are no rows.

    Large rows are sent as compressed JSON in ``packed`` instead of ``rows``.
    """

    version: Version = -1
    store_s: float = 0.0
    rows: tuple[RelayedRow, ...] = ()
    packed: bytes = b""
    stale: bool = False
    history_lost: bool = False
    era: Era | UnsetType = UNSET
    """Era of the store that the rows are of; omitted as in :class:`RowsRequest`."""


_rows_decoder = msgspec.json.Decoder(tuple[RelayedRow, ...])


@functools.lru_cache(maxsize=8)
def _encode_rows(rows: tuple[FeedRow, ...]) -> tuple[tuple[RelayedRow, ...], bytes]:
    """Return rows as sent, either plain or compressed. Cached, since most members ask for the same rows."""
    plain = tuple(
        RelayedRow(row.key, None if row.value is None else row.value.decode(), row.version) for row in rows
    )
    encoded = msgspec.json.encode(plain)
    return (plain, b"") if len(encoded) < COMPRESS_FROM_BYTES else ((), zlib.compress(encoded))


def unpack_rows(reply: RowsReply, address: str) -> tuple[FeedRow, ...]:
    """Return the rows of a reply. Raises :class:`PeerUnavailableError` if they cannot be decoded."""
    rows = unpack_message(_rows_decoder, reply.packed, address) if reply.packed else reply.rows
    return tuple(FeedRow(row.key, None if row.value is None else row.value.encode(), row.version) for row in rows)


def reply_with_rows(page: FeedPage) -> RowsReply:
    """Return the reply that carries a page of this node's copy."""
    rows, packed = _encode_rows(page.rows)
    return RowsReply(page.version, page.store_s, rows, packed, era=era_to_send(page.era))
