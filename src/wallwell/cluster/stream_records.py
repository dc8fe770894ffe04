"""Keeps in the store what must outlast all nodes about streams: which versions served, and which began each stream.

A node that has just started knows only the versions that are listed now, and so do all others after all of them
were killed. So while a service has several versions, its row in the store names them, before the later one gets
requests, and the streams that begin are written there some times a second. While each service has one version,
nothing is written: a service without a row has had one.

Owns the rows of one node, and when they are written. Relies on a table of their own, which no node follows, and on
the store's clock to remove rows of nodes that have ended.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from wallwell.clock import boot_time_s, time_limit
from wallwell.errors import PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.storage.feed import FeedRow
from wallwell.storage.table import Condition, Put, Row, TableService, Transaction

VERSIONS_PREFIX = "versions/"
"""Prefix of the keys of rows that name versions; the service follows."""
STREAMS_PREFIX = "stream/"
"""Prefix of the keys of rows with streams; the node, its life and a number follow."""
WRITE_JITTER = (0.75, 1.0)
"""Range of random factors on the time between two writes, so that nodes do not write together."""
WRITE_INTERVAL_S = 0.25
"""Shortest time between two writes of a node: a stream that breaks within it after its beginning is unknown."""
MAX_WRITES_PER_S = 100
"""Writes a second of all nodes together, a sixth of what the store takes."""
MAX_ROW_STREAMS = 500
"""Streams of a row: 25 KB, less than half of what the store takes."""
MAX_UNWRITTEN_STREAMS = 5000
"""Streams that wait while the store accepts no writes; the oldest are dropped first."""
MAX_DELETES = 50
"""Rows deleted with one write; the store takes 100 entries in all."""
READ_INTERVAL_S = 0.25
"""Time for which what was read is used again, so that many streams that are resumed together cost one call."""
READ_TIMEOUT_S = 0.6
"""Longest time for which a caller waits for the store; then its stream counts as unknown."""
MAX_KEPT_S = 300.0
"""Longest time for which a row of an ended node is kept, whatever it says."""


class StreamsRow(msgspec.Struct, frozen=True):
    """Streams that began at one node, by the software version that began them."""

    by_version: dict[str, list[str]]
    until_s: float
    """Time on the store's clock from which on none of them can be resumed."""


class VersionsRow(msgspec.Struct, frozen=True):
    """Versions of a service that may have begun streams which can still be resumed."""

    versions: list[str]


@dataclass
class Records:
    """What was read from the store at one time."""

    software: dict[str, str] = field(default_factory=dict)
    """By stream, the version that began it."""
    versions: dict[str, set[str]] = field(default_factory=dict)
    """By service, the versions that its row names."""


class RecordedVersions(NamedTuple):
    """A row that names versions, as this node last read or wrote it."""

    versions: set[str]
    row_version: int


class VersionView(NamedTuple):
    """What a node knows of a service's versions."""

    versions: set[str]
    """Versions that it has seen within the time of a stream."""
    is_complete: bool
    """Whether it has followed the listing for that time."""


class StreamRecords:
    """One node's part of the records, and what it reads of all of them."""

    def __init__(
        self,
        node: str,
        table: TableService,
        views: Callable[[], dict[str, VersionView]],
        store_time_s: Callable[[], float],
        node_count: Callable[[], int],
        rng: random.Random,
    ) -> None:
        """``views`` returns what this node knows of each service that is listed or configured."""
        self._key_prefix = f"{STREAMS_PREFIX}{node}/{secrets.token_hex(4)}/"
        self._table = table
        self._views = views
        self._store_time_s = store_time_s
        self._node_count = node_count
        self._rng = rng
        self._next_row = 0
        self._unwritten: dict[str, tuple[str, float]] = {}
        """By stream, its version and until when it may be resumed, on the store's clock; oldest first."""
        self._rows: dict[str, StreamsRow] = {}
        """Rows that this node has written and not deleted."""
        self._recorded: dict[str, RecordedVersions] = {}
        """By service, the row of its versions, if this node has read or written one."""
        self._expired_keys: set[str] = set()
        """Rows of ended nodes that nobody needs any more."""
        self._is_failing = False
        self._read: Records | None = None
        """What was read last; None if the store did not answer then."""
        self._read_at_s = float("-inf")
        self._reading = asyncio.Lock()

    # --- writing ---------------------------------------------------------------------------------------

    def add(self, stream: str, software: str, kept_s: float) -> None:
        """Have a stream written that began at this node while its service had several versions."""
        self._unwritten[stream] = (software, self._store_time_s() + min(kept_s, MAX_KEPT_S))
        while len(self._unwritten) > MAX_UNWRITTEN_STREAMS:
            del self._unwritten[next(iter(self._unwritten))]

    def on_row(self, row: FeedRow, now_s: float) -> None:
        """Ignore the rows of the nodes' other table."""

    def on_era(self, _era: int, is_restored: bool) -> None:
        """Write everything again if the store has come back from an older copy."""
        if not is_restored:
            return
        self._recorded.clear()
        for row in self._rows.values():
            for software, streams in row.by_version.items():
                self._unwritten.update(dict.fromkeys(streams, (software, row.until_s)))
        self._rows.clear()
        self._read, self._read_at_s = None, float("-inf")

    async def run(self) -> None:
        """Write what is to be written until cancelled."""
        while True:
            interval_s = max(WRITE_INTERVAL_S, self._node_count() / MAX_WRITES_PER_S)
            await asyncio.sleep(interval_s * self._rng.uniform(*WRITE_JITTER))
            await self.write_once()

    async def write_once(self) -> None:
        """Write what has changed; what the store does not accept is written the next time."""
        try:
            await self._write_versions()
            await self._write_streams()
        except (PlatformUnavailableError, TableConflictError) as error:
            if not self._is_failing:
                emit(Event.STREAMS_NOT_WRITTEN, streams=len(self._unwritten), reason=str(error))
            self._is_failing = True
        else:
            self._is_failing = False

    async def _write_versions(self) -> None:
        for service, view in self._views().items():
            recorded = self._recorded.get(service)
            if len(view.versions) > 1:
                if recorded is None or not view.versions <= recorded.versions:
                    await self._add_versions(service, view.versions)
            elif recorded is not None and view.is_complete:
                await self._remove_versions(service, recorded)
                del self._recorded[service]

    async def _add_versions(self, service: str, versions: set[str]) -> None:
        key = VERSIONS_PREFIX + service
        row = await self._table.get(key)
        known = _decode_versions(row) if row is not None else set()
        row_version = row.version if row is not None else 0
        if not versions <= known:
            known |= versions
            value = msgspec.json.encode(VersionsRow(sorted(known))).decode()
            row_version = await self._table.transact(
                Transaction((Condition(key, row_version),), (Put(key, value),))
            )
        self._recorded[service] = RecordedVersions(known, row_version)

    async def _remove_versions(self, service: str, recorded: RecordedVersions) -> None:
        key = VERSIONS_PREFIX + service
        try:
            await self._table.transact(Transaction((Condition(key, recorded.row_version),), deletes=(key,)))
        except TableConflictError:
            return  # Another node has removed it, or has added a version.

    async def _write_streams(self) -> None:
        now_s = self._store_time_s()
        expired = {key for key, row in self._rows.items() if row.until_s <= now_s}
        deletes = sorted(expired | self._expired_keys)[:MAX_DELETES]
        batch = dict(list(self._unwritten.items())[:MAX_ROW_STREAMS])
        if not batch and not deletes:
            return
        puts: tuple[Put, ...] = ()
        if batch:
            row = _row_of(batch)
            key = f"{self._key_prefix}{self._next_row}"
            self._next_row += 1
            puts = (Put(key, msgspec.json.encode(row).decode()),)
            self._rows[key] = row  # Also without an answer: the row may be there, and has to be deleted.
        await self._table.transact(Transaction((), puts, tuple(deletes)))
        for stream, written in batch.items():
            if self._unwritten.get(stream) == written:
                del self._unwritten[stream]
        for key in deletes:
            self._rows.pop(key, None)
            self._expired_keys.discard(key)

    # --- reading ---------------------------------------------------------------------------------------

    async def read(self) -> Records | None:
        """Return what the store holds; None if it does not answer in time."""
        async with self._reading:
            if boot_time_s() - self._read_at_s < READ_INTERVAL_S:
                return self._read
            started_s = boot_time_s()
            try:
                async with time_limit(READ_TIMEOUT_S):
                    scan = await self._table.scan("", 0)
            except (PlatformUnavailableError, TimeoutError) as error:
                emit(Event.STREAM_RECORDS_UNREAD, reason=str(error) or "no answer in time")
                # Those that have waited for this answer do not wait for one more each.
                self._read, self._read_at_s = None, boot_time_s()
            else:
                self._read, self._read_at_s = self._decode(scan.rows), started_s
            return self._read

    def _decode(self, rows: Iterable[Row]) -> Records:
        found = Records()
        for row in rows:
            try:
                self._decode_row(row, found)
            except msgspec.MsgspecError as error:
                emit(Event.OWN_ROW_UNREADABLE, row=row.key, error=str(error))
        return found

    def _decode_row(self, row: Row, found: Records) -> None:
        if row.key.startswith(VERSIONS_PREFIX):
            service = row.key.removeprefix(VERSIONS_PREFIX)
            versions = _decode_versions(row)
            found.versions[service] = versions
            self._recorded.setdefault(service, RecordedVersions(versions, row.version))
        elif row.key.startswith(STREAMS_PREFIX):
            streams = msgspec.json.decode(row.value, type=StreamsRow)
            for software, each in streams.by_version.items():
                found.software.update(dict.fromkeys(each, software))
            now_s = self._store_time_s()
            if not now_s < streams.until_s <= now_s + 2 * MAX_KEPT_S and row.key not in self._rows:
                self._expired_keys.add(row.key)


def _row_of(batch: dict[str, tuple[str, float]]) -> StreamsRow:
    by_version: dict[str, list[str]] = {}
    for stream, (software, _) in batch.items():
        by_version.setdefault(software, []).append(stream)
    return StreamsRow(by_version, max(until_s for _, until_s in batch.values()))


def _decode_versions(row: Row) -> set[str]:
    """Return the versions that a row names. Raises :class:`msgspec.MsgspecError`."""
    return set(msgspec.json.decode(row.value, type=VersionsRow).versions)
