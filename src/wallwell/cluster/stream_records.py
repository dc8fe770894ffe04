"""Keeps in the store what must outlast all nodes about streams: which versions served, and which began each stream.

A node that has just started knows only the versions that are listed now, and so do all others after all of them
were killed. So a row in the store names the versions of each service with resumable streams: a version is written
there before the first stream that it begins reaches its caller, and goes once its streams have ended. While there
are several, the streams that begin are written too, some times a second. With one version a node reads the row
once, and nothing is written while it is right.

Owns the rows of one node, and when they are written. Relies on a table of their own, which no node follows, and on
the store's clock to remove rows of nodes that have ended.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from wallwell.clock import boot_time_s, time_limit
from wallwell.cluster.version_rows import (
    UNREADABLE_VERSION,
    VersionsChange,
    VersionsRow,
    changed_row,
    decode_versions_row,
    only_version,
)
from wallwell.errors import HistoryLostError, PlatformUnavailableError, TableConflictError
from wallwell.events import Event, emit
from wallwell.storage.feed import FeedRow
from wallwell.storage.row_isolation import ReportedRows, RowErrors, shown_key, shown_reason
from wallwell.storage.row_values import Seconds, decode_value
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
RECORD_TIMEOUT_S = 0.3
"""Longest time for which the first event of a stream waits until the store names its version, of some hundred
milliseconds that callers grant a first event. A store that has just failed is not awaited."""
MIN_RECORDED_S = 4.0
"""Shortest time for which a version stays in the row that another node may just have written: twice the time after
which this node would have seen the version listed."""
MAX_CONFLICTS = 3
"""Writes of a row of versions that are tried at once while other nodes write it too."""


class StreamsRow(msgspec.Struct, frozen=True):
    """Streams that began at one node, by the software version that began them."""

    by_version: dict[str, list[str]]
    until_s: Seconds
    """Time on the store's clock from which on none of them can be resumed."""


@dataclass
class Records:
    """What was read from the store at one time."""

    software: dict[str, str] = field(default_factory=dict)
    """By stream, the version that began it."""
    rows: dict[str, VersionsRow] = field(default_factory=dict)
    """By service, the row that names its versions."""

    @property
    def versions(self) -> dict[str, set[str]]:
        """By service, the versions that its row names."""
        return {service: set(row.versions) for service, row in self.rows.items()}


class RecordedVersions(NamedTuple):
    """A row that names versions, as this node last read or wrote it."""

    row: VersionsRow
    row_version: int
    known_since_s: float
    """When this node first met the row with these versions, on the store's clock."""

    @property
    def versions(self) -> set[str]:
        """The versions that the row names."""
        return set(self.row.versions)


class VersionView(NamedTuple):
    """What a node knows of a service's versions."""

    versions: set[str]
    """Versions that it has seen within the time of a stream."""
    is_complete: bool
    """Whether it has followed the listing for that time."""
    stream_time_s: float = MAX_KEPT_S
    """The time of a stream."""


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
        row_errors: Counter[str] | None = None,
    ) -> None:
        """``views`` returns what this node knows of each listed service that has resumable streams; ``row_errors``
        counts rows that could not be applied, by table."""
        self.life = f"{node}/{secrets.token_hex(4)}"
        """Tells this start of the node from all others."""
        self._key_prefix = f"{STREAMS_PREFIX}{self.life}/"
        self._table = table
        self._views = views
        self._store_time_s = store_time_s
        self._node_count = node_count
        self._rng = rng
        self._unreadable = ReportedRows()
        """Rows of versions and streams that operators have been told about."""
        self._errors = RowErrors("streams", Counter() if row_errors is None else row_errors)
        self._next_row = 0
        self._unwritten: dict[str, tuple[str, float]] = {}
        """By stream, its version and until when it may be resumed, on the store's clock; oldest first."""
        self._rows: dict[str, StreamsRow] = {}
        """Rows that this node has written and not deleted."""
        self._recorded: dict[str, RecordedVersions] = {}
        """By service, the row of its versions, if this node has read or written one."""
        self._recording = asyncio.Lock()
        self._era: int | None = None
        self._begun_unrecorded: set[str] = set()
        """Services of which a stream has begun here at a version that the store did not name in time."""
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

    def on_era(self, era: int, is_restored: bool) -> None:
        """Write everything again if the store has come back from an older copy."""
        self._era = era
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
            self._on_not_written(str(error))
        else:
            self._is_failing = False

    def _on_not_written(self, reason: str) -> None:
        if not self._is_failing:
            emit(Event.STREAMS_NOT_WRITTEN, streams=len(self._unwritten), reason=reason)
        self._is_failing = True

    def recorded_versions(self, service: str) -> set[str]:
        """Return the versions that the row of a service names, as this node last met it."""
        recorded = self._recorded.get(service)
        return set() if recorded is None else recorded.versions

    async def ensure_recorded(self, service: str, software: str) -> None:
        """Wait until the store names the version of a stream that begins, unless the store does not answer."""
        if software in self.recorded_versions(service):
            return
        try:
            if not self._is_failing:
                await self._record_in_time(service, software)
        except (PlatformUnavailableError, TableConflictError, TimeoutError) as error:
            self._on_not_written(str(error) or "no answer in time")
        if software not in self.recorded_versions(service):
            self._begun_unrecorded.add(service)

    async def _record_in_time(self, service: str, software: str) -> None:
        async with time_limit(RECORD_TIMEOUT_S), self._recording:
            if software not in self.recorded_versions(service):
                view = self._views().get(service, VersionView(set(), is_complete=False))
                await self._update_row(service, view._replace(versions=view.versions | {software}), set())

    async def _write_versions(self) -> None:
        for service, view in self._views().items():
            async with self._recording:
                recorded = self._recorded.get(service)
                left = self._versions_that_left(view, recorded)
                if left or recorded is None or self._must_write(view, recorded):
                    await self._update_row(service, view, left)

    def _versions_that_left(self, view: VersionView, recorded: RecordedVersions | None) -> set[str]:
        """Return the versions of a row whose streams have certainly ended."""
        if recorded is None or not view.is_complete:
            return set()
        is_settled = self._store_time_s() - recorded.known_since_s >= MIN_RECORDED_S
        return recorded.versions - view.versions if is_settled else set()

    def _must_write(self, view: VersionView, recorded: RecordedVersions) -> bool:
        if not view.versions <= recorded.versions:
            return True
        return view.is_complete and self._era is not None and recorded.row.whole_in_era != self._era

    async def _update_row(self, service: str, view: VersionView, left: set[str]) -> None:
        """Have a row name the versions of the view, and no longer those that ``left``; others may write it too."""
        change = VersionsChange(
            seen=view.versions,
            left=left,
            names_all=view.is_complete,
            may_tell_sole=not view.is_complete and service not in self._begun_unrecorded,
            era=self._era,
            writer=self.life,
            now_s=self._store_time_s(),
            stream_time_s=view.stream_time_s,
        )
        for remaining_tries in reversed(range(MAX_CONFLICTS)):
            try:
                await self._write_row(VERSIONS_PREFIX + service, service, change)
                return
            except TableConflictError:
                if not remaining_tries:
                    raise

    async def _write_row(self, key: str, service: str, change: VersionsChange) -> None:
        stored = await self._table.get(key)
        row = None if stored is None else decode_versions_row(stored, self._unreadable)
        wanted = changed_row(row, change)
        row_version = 0 if stored is None else stored.version
        if wanted != row:
            value = msgspec.json.encode(wanted).decode()
            row_version = await self._table.transact(
                Transaction((Condition(key, row_version),), (Put(key, value),))
            )
        self._recorded[service] = RecordedVersions(wanted, row_version, change.now_s)

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

    def sole_version(self, row: VersionsRow, lives: Collection[str]) -> str | None:
        """Return the version of all streams of a service that no node knows, given the starts of nodes that live;
        None if there may have been others."""
        if row.sole is not None and row.sole.writer in lives and self._store_time_s() < row.sole.until_s:
            return row.sole.version
        return only_version(row, self._era)

    async def read(self) -> Records | None:
        """Return what the store holds; None if it does not answer in time."""
        async with self._reading:
            if boot_time_s() - self._read_at_s < READ_INTERVAL_S:
                return self._read
            started_s = boot_time_s()
            try:
                async with time_limit(READ_TIMEOUT_S):
                    scan = await self._table.scan("", 0)
            except (PlatformUnavailableError, HistoryLostError, TimeoutError) as error:
                emit(Event.STREAM_RECORDS_UNREAD, reason=str(error) or "no answer in time")
                # Those that have waited for this answer do not wait for one more each.
                self._read, self._read_at_s = None, boot_time_s()
            else:
                self._read, self._read_at_s = self._decode(scan.rows), started_s
                self._forget_deleted_rows(self._read, scan.commit)
            return self._read

    def _decode(self, rows: Iterable[Row]) -> Records:
        found = Records()
        for row in rows:
            try:
                self._decode_row(row, found)
            except msgspec.MsgspecError as error:
                if self._unreadable.is_news(row.key, str(error)):
                    emit(Event.OWN_ROW_UNREADABLE, row=shown_key(row.key), error=shown_reason(error))
            except Exception as error:
                self._errors.on_error(row.key, error)
                if row.key.startswith(VERSIONS_PREFIX):
                    found.rows[row.key.removeprefix(VERSIONS_PREFIX)] = VersionsRow([UNREADABLE_VERSION])
            else:
                self._errors.on_applied(row.key)
        return found

    def _decode_row(self, row: Row, found: Records) -> None:
        if row.key.startswith(VERSIONS_PREFIX):
            service = row.key.removeprefix(VERSIONS_PREFIX)
            versions = found.rows[service] = decode_versions_row(row, self._unreadable)
            recorded = self._recorded.get(service)
            if recorded is None or recorded.row_version < row.version:
                self._recorded[service] = RecordedVersions(versions, row.version, self._store_time_s())
        elif row.key.startswith(STREAMS_PREFIX):
            streams = decode_value(row.value, StreamsRow)
            for software, each in streams.by_version.items():
                found.software.update(dict.fromkeys(each, software))
            now_s = self._store_time_s()
            if not now_s < streams.until_s <= now_s + 2 * MAX_KEPT_S and row.key not in self._rows:
                self._expired_keys.add(row.key)

    def _forget_deleted_rows(self, found: Records, commit: int) -> None:
        """Have rows of versions written again that were there before ``commit`` and have been deleted."""
        for service, recorded in list(self._recorded.items()):
            if service not in found.rows and recorded.row_version <= commit:
                del self._recorded[service]


def _row_of(batch: dict[str, tuple[str, float]]) -> StreamsRow:
    by_version: dict[str, list[str]] = {}
    for stream, (software, _) in batch.items():
        by_version.setdefault(software, []).append(stream)
    return StreamsRow(by_version, max(until_s for _, until_s in batch.values()))
