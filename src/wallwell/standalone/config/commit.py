"""Commits operators' changes to the table service, one transaction per file.

The transaction compares the head revision, so of two operators who change one file at once, one gets an error that
names the other. A row that the transaction writes under the apply id shows, if its response is lost, that it was
committed.

Writes the configuration rows and records how far this node has read them. Relies on the table service for atomic
transactions, and on :class:`.store.ConfigStore` for the configuration in force on this node.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from wallwell.errors import (
    ConfigConflictError,
    ConfigInvalidError,
    ConfigNotFoundError,
    ConfigUnavailableError,
    PlatformUnavailableError,
    TableConflictError,
)
from wallwell.events import Event, emit
from wallwell.standalone.config.parse import (
    ConfigFile,
    change_problems,
    parse_file,
    removal_problems,
    settings_without_effect,
)
from wallwell.standalone.config.schema import FileKey
from wallwell.standalone.config.store import ConfigDelta, ConfigStore, FileRevision, Revision
from wallwell.standalone.typed import Problem
from wallwell.standalone.unreadable import UnreadableEntries
from wallwell.storage.table import Condition, Put, Row, Scan, TableService, Transaction

CONFIG_PREFIX = "config/"
HEAD_KEY = "config/head"
FILE_PREFIX = "config/file/"
APPLY_PREFIX = "apply/"
TEXT_PREFIX = "config-text/"
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeError, RecursionError)
"""What msgspec raises for text that it cannot decode; the last one for values nested too deeply."""
_MAX_TRIES = 6
"""Limit of tries to commit one change; a conflict with another change or a lost response uses up one try."""


class HeadBody(msgspec.Struct, frozen=True):
    """Contents of the row that holds the latest revision of the configuration."""

    revision: Revision


class ApplyRequest(msgspec.Struct, frozen=True):
    """A request to create or replace the file in ``body``, or, if ``body`` is empty, to remove the file ``key``.

    ``base_revision`` is the file revision that the operator edited (0: the file is new; None: the revision in
    force when the node first tries to apply the request).
    """

    apply_id: str
    operator: str
    body: str = ""
    key: str = ""
    base_revision: int | None = None


class ApplyAnswer(msgspec.Struct, frozen=True):
    """The revision of the file after the request; ``changed`` is False if its text was already in force."""

    key: str
    revision: int
    changed: bool


@dataclass
class _Change:
    """A change during all its tries. A ``base_revision`` of None is set by the first try that reads the table."""

    request: ApplyRequest
    key: FileKey
    file: ConfigFile | None
    base_revision: int | None

    def is_in_force(self, current: FileRevision | None) -> bool:
        """Whether the requested text is already in force; an empty ``current.spec`` means the file was removed."""
        if self.file is None or current is None:
            return False
        return current.digest == self.file.digest and bool(current.spec)


class ConfigCommitter:
    """Reads and writes the configuration in the table service for one node."""

    def __init__(self, table: TableService, store: ConfigStore, apply_delta: Callable[[ConfigDelta], bool]) -> None:
        self._table = table
        self._store = store
        self._apply_delta = apply_delta
        self._scanned_version = 0
        self._scanned_head = 0
        self._head_version = 0
        self._unreadable = UnreadableEntries("table of the configuration")

    async def refresh(self) -> bool:
        """Apply the rows changed in the table since the last read; returns whether this node's revision rose.

        Raises :class:`PlatformUnavailableError` if the table service cannot be read.
        """
        scan = await self._table.scan(CONFIG_PREFIX, self._scanned_version)
        delta = self._read_delta(scan)
        applied = self._apply_delta(delta) if delta is not None else False
        self._scanned_version = max(self._scanned_version, scan.commit)
        return applied

    def _read_delta(self, scan: Scan) -> ConfigDelta | None:
        """Return the changes in the rows of a scan; None if it holds no head row.

        A row that cannot be read costs its own file alone. Each commit writes the head's revision into one file
        too, so an unreadable head row is made up for by the highest revision of a file.
        """
        files: list[FileRevision] = []
        head_row: Row | None = None
        for row in scan.rows:
            if row.key == HEAD_KEY:
                head_row = row
                continue
            try:
                files.append(_decode_file_row(row))
            except UnreadableRowError as error:
                self._unreadable.report(row.key, error)
            else:
                self._unreadable.forget(row.key)
        if head_row is None:
            return None
        head = self._read_head(head_row, files)
        self._head_version = head_row.version
        delta = ConfigDelta(self._scanned_head, head, tuple(files))
        self._scanned_head = head
        return delta

    def _read_head(self, row: Row, files: list[FileRevision]) -> int:
        try:
            head = msgspec.json.decode(row.value, type=HeadBody).revision
        except _DECODE_ERRORS as error:
            self._unreadable.report(row.key, error)
            return max((each.revision for each in files), default=self._scanned_head)
        self._unreadable.forget(row.key)
        return head

    async def apply(self, request: ApplyRequest) -> ApplyAnswer:
        """Check and commit one change.

        Raises :class:`ConfigInvalidError`, :class:`ConfigConflictError`, :class:`ConfigNotFoundError` (no such file
        to remove) or :class:`ConfigUnavailableError` (the table service confirmed none of the tries).
        """
        file = _parse_or_raise(request) if request.body else None
        key = file.key if file is not None else _parse_key_or_raise(request.key)
        change = _Change(request, key, file, request.base_revision)
        for _ in range(_MAX_TRIES):
            try:
                answer = await self._try_apply(change)
            except (TableConflictError, PlatformUnavailableError) as error:
                emit(Event.CONFIG_WRITE_RETRIED, file=str(key), reason=str(error))
            else:
                if file is not None:
                    _log_settings_without_effect(file)
                return answer
        raise ConfigUnavailableError(f"{key}: the table service did not confirm the change; apply it again")

    async def _try_apply(self, change: _Change) -> ApplyAnswer:
        # Look up the apply id after the refresh: an earlier try that is committed between the two reads
        # is then found by its id and not mistaken for another operator's change.
        await self.refresh()
        earlier_answer = await self._find_earlier_answer(change.request, change.key)
        if earlier_answer is not None:
            return earlier_answer
        current = self._store.revision_of(change.key)
        revision = current.revision if current is not None else 0
        if change.base_revision is None:
            change.base_revision = revision
        if revision != change.base_revision:
            raise _conflict_error(change.key, current, change.base_revision)
        if change.is_in_force(current):
            return ApplyAnswer(str(change.key), revision, changed=False)
        self._check(change.key, change.file)
        return await self._commit(change.request, change.key, change.file)

    async def _find_earlier_answer(self, request: ApplyRequest, key: FileKey) -> ApplyAnswer | None:
        """Return the answer of an earlier committed try of this apply id whose response was lost, or None."""
        row = await self._table.get(APPLY_PREFIX + request.apply_id)
        if row is None:
            return None
        await self.refresh()
        try:
            return ApplyAnswer(str(key), int(row.value), changed=True)
        except ValueError as error:
            message = f"{key}: the row of this change cannot be read; apply the file again as another change"
            raise ConfigUnavailableError(message) from error

    def _check(self, key: FileKey, file: ConfigFile | None) -> None:
        if file is None:
            if key not in self._store.files:
                raise ConfigNotFoundError(str(key))
            problems = removal_problems(key, self._store.files)
        else:
            problems = change_problems(file, self._store.files)
        if problems:
            raise ConfigInvalidError(_format_problems(str(key), problems))

    async def _commit(self, request: ApplyRequest, key: FileKey, file: ConfigFile | None) -> ApplyAnswer:
        revision = self._scanned_head + 1
        entry = FileRevision(
            key=key,
            revision=revision,
            digest=file.digest if file is not None else "",
            spec=file.spec_json if file is not None else "",
            operator=request.operator,
            accepted_at_ms=int(time.time() * 1000),
        )
        transaction = Transaction(
            conditions=(Condition(HEAD_KEY, self._head_version),),
            puts=(
                Put(HEAD_KEY, msgspec.json.encode(HeadBody(revision)).decode()),
                Put(FILE_PREFIX + str(key), msgspec.json.encode(entry).decode()),
                Put(TEXT_PREFIX + str(key), file.body if file is not None else ""),
                Put(APPLY_PREFIX + request.apply_id, str(revision)),
            ),
        )
        version = await self._table.transact(transaction)
        # Every commit compares the head row, so no other revision lies between the one compared and this one.
        self._apply_delta(ConfigDelta(revision - 1, revision, (entry,)))
        self._head_version = version
        self._scanned_head = revision
        return ApplyAnswer(str(key), revision, changed=True)


class UnreadableRowError(ValueError):
    """A row of the table holds no revision of the file that its key names."""


def _decode_file_row(row: Row) -> FileRevision:
    """Return the revision in a row. Raises :class:`UnreadableRowError`."""
    try:
        entry = msgspec.json.decode(row.value, type=FileRevision)
    except _DECODE_ERRORS as error:
        raise UnreadableRowError(str(error)) from error
    if row.key != FILE_PREFIX + str(entry.key):
        raise UnreadableRowError(f"the row holds another file: {entry.key}")
    return entry


def _parse_key_or_raise(text: str) -> FileKey:
    try:
        return FileKey.parse(text)
    except ValueError as error:
        raise ConfigNotFoundError(text) from error


def _parse_or_raise(request: ApplyRequest) -> ConfigFile:
    file, problems = parse_file(request.body)
    if file is None:
        raise ConfigInvalidError(_format_problems("file", problems))
    return file


def _format_problems(name: str, problems: list[Problem]) -> str:
    return "\n".join(f"{name}: {problem}" for problem in problems)


def _conflict_error(key: FileKey, current: FileRevision | None, base: int) -> ConfigConflictError:
    if current is None:
        return ConfigConflictError(f"{key}: based on revision {base}, but no such file is in force")
    return ConfigConflictError(
        f"{key}: based on revision {base}, but revision {current.revision} by {current.operator or 'unknown'} won"
    )


def _log_settings_without_effect(file: ConfigFile) -> None:
    """Log a warning that names the settings in an accepted file that are never used."""
    settings = settings_without_effect(file)
    if settings:
        emit(Event.CONFIG_WITHOUT_EFFECT, file=str(file.key), settings=settings)
