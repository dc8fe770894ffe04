"""Rows of the store as nodes pass them on to each other: request, reply, and their compression.

Class names and field names go over the wire. Used by :mod:`.relay`.
"""

from __future__ import annotations

import functools
import zlib

import msgspec
from msgspec import UNSET, UnsetType

from wallwell.cluster.peer_link import PeerMessage
from wallwell.deployment.store_era import era_to_send
from wallwell.errors import PeerUnavailableError
from wallwell.storage.feed import FeedPage, FeedRow

COMPRESS_FROM_BYTES = 2048
"""Bytes from which rows are compressed: a relay sends a change once for each member, and its link may be thin."""


class RowsRequest(PeerMessage, frozen=True):
    """Ask for rows of a table: every row if ``after`` is None, else what changed after that version.

    ``era`` is the store's in which the version was given out. It is left out where that is ``UNKNOWN_ERA``, and by
    nodes of builds that know no eras.
    """

    table: str
    wait_s: float
    after: int | None = None
    era: int | UnsetType = UNSET


class RelayedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row between peers; ``value`` is None if it was deleted."""

    key: str
    value: str | None
    version: int


class RowsReply(msgspec.Struct, frozen=True):
    """Answer to :class:`RowsRequest`. One of ``stale`` and ``history_lost`` may be set; there are no rows then.

    ``packed`` holds the rows instead of ``rows`` where they are large: compressed JSON.
    """

    version: int = -1
    store_s: float = 0.0
    rows: tuple[RelayedRow, ...] = ()
    packed: bytes = b""
    stale: bool = False
    history_lost: bool = False
    era: int | UnsetType = UNSET
    """As in :class:`RowsRequest`."""


@functools.lru_cache(maxsize=8)
def _encode_rows(rows: tuple[FeedRow, ...]) -> tuple[tuple[RelayedRow, ...], bytes]:
    """Return rows as they are sent, plain or compressed; most members ask for the same ones."""
    plain = tuple(
        RelayedRow(row.key, None if row.value is None else row.value.decode(), row.version) for row in rows
    )
    encoded = msgspec.json.encode(plain)
    return (plain, b"") if len(encoded) < COMPRESS_FROM_BYTES else ((), zlib.compress(encoded))


def unpack_rows(reply: RowsReply, address: str) -> tuple[FeedRow, ...]:
    """Return the rows of a reply. Raises :class:`PeerUnavailableError` if they cannot be read."""
    try:
        rows = reply.rows
        if reply.packed:
            rows = msgspec.json.decode(zlib.decompress(reply.packed), type=tuple[RelayedRow, ...])
    except (zlib.error, msgspec.MsgspecError) as error:
        raise PeerUnavailableError(f"{address}: {type(error).__name__}") from error
    return tuple(FeedRow(row.key, None if row.value is None else row.value.encode(), row.version) for row in rows)


def reply_with_rows(page: FeedPage) -> RowsReply:
    """Return a page of the own copy as a reply."""
    rows, packed = _encode_rows(page.rows)
    return RowsReply(page.version, page.store_s, rows, packed, era=era_to_send(page.era))
