"""The store's row that names the software versions of one service, and how nodes change it. Pure.

After the end of all nodes the row tells which versions may have begun streams. It also tells, where that is
certain, which single version began all streams that nobody remembers: the only one that it names, or the only one
that it named when a node which still lives added another.

Inputs are the row that was read and what the writing node has seen. Times are on the store's clock.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from wallwell.events import Event, emit
from wallwell.storage.row_isolation import ReportedRows, shown_key, shown_reason
from wallwell.storage.row_values import Seconds, Version, decode_value
from wallwell.storage.table import Row

UNREADABLE_VERSION = "?"
"""Stands for the versions of a row that cannot be decoded. No back end has it, so that they count as several."""


class SoleVersion(msgspec.Struct, frozen=True):
    """The only version that had begun streams when another one was added to the row."""

    version: str
    writer: str
    """Start of the node that added the other one (``StreamRecords.life``: its name, and a token). While it lives,
    not all nodes have ended since, and some node knows the streams that began since."""
    until_s: Seconds
    """When the streams that began before have ended."""

    @property
    def writer_node(self) -> str:
        """The writer's name."""
        return self.writer.rpartition("/")[0]


class VersionsRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Versions of a service that may have begun streams which can still be resumed. Earlier builds write it only
    while a service has several, without the other fields, and delete it afterwards."""

    versions: list[str]
    whole_in_era: Version | None = None
    """Era of the store in which the row certainly names all of them; None if that is not certain, as in a row that
    nodes wrote which had started lately."""
    sole: SoleVersion | None = None


class VersionsChange(NamedTuple):
    """What one node wants of a row."""

    seen: set[str]
    """Versions that the row has to name."""
    left: set[str]
    """Versions whose streams have certainly ended."""
    names_all: bool
    """Whether the writer has seen all versions whose streams can still be resumed, now and if it wrote earlier."""
    may_tell_sole: bool
    """Whether the writer started lately and all streams that it began are of versions which the row names."""
    era: int | None
    """Current era of the store; None if the writer does not know it yet."""
    writer: str
    now_s: float
    stream_time_s: float
    """Seconds for which a stream of the service may be resumed."""


def changed_row(row: VersionsRow | None, change: VersionsChange) -> VersionsRow:
    """Return the row as the change wants it; ``row`` is None if there is none."""
    named = set() if row is None else set(row.versions)
    wanted = (named - change.left) | change.seen
    whole_in_era = None if row is None else row.whole_in_era
    if change.names_all and change.era is not None:
        whole_in_era = change.era
    sole = None if row is None or len(wanted) == 1 else _sole_version(row, wanted, change)
    return VersionsRow(sorted(wanted), whole_in_era, sole)


def _sole_version(row: VersionsRow, wanted: set[str], change: VersionsChange) -> SoleVersion | None:
    if row.sole is not None:
        is_in_force = change.now_s < row.sole.until_s and row.sole.version in wanted
        return row.sole if is_in_force else None
    before = only_version(row, change.era)
    if before is None or not change.may_tell_sole:
        return None
    return SoleVersion(before, change.writer, change.now_s + change.stream_time_s)


def only_version(row: VersionsRow, era: int | None) -> str | None:
    """Return the version that has begun all streams of a service; None if there may have been others."""
    is_whole = era is not None and row.whole_in_era == era
    return row.versions[0] if is_whole and len(row.versions) == 1 else None


def decode_versions_row(row: Row, reported: ReportedRows | None = None) -> VersionsRow:
    """Return the contents of a row; :data:`UNREADABLE_VERSION` if they cannot be decoded, which is logged unless it
    is among the ``reported``."""
    reported = ReportedRows() if reported is None else reported
    try:
        versions = decode_value(row.value, VersionsRow)
    except msgspec.MsgspecError as error:
        if reported.is_news(row.key, str(error)):
            emit(Event.OWN_ROW_UNREADABLE, row=shown_key(row.key), error=shown_reason(error))
        return VersionsRow([UNREADABLE_VERSION])
    reported.forget(row.key)
    return versions
