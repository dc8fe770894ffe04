"""The configuration in force on one node: its revision never decreases, and each delta is applied as a whole.

The store holds the latest revision of each file. A delta from a peer or the table service carries the head
revision of its source and every file whose latest revision lies in ``(after, head]``, so applying a delta moves
this node to ``head`` in one step. A delta that starts above this node's head would skip revisions, and one
that ends at or below it is stale; both are ignored, so a stale source cannot revert a change.

Deltas must be complete: :mod:`.commit` reads them from the table, and peers send them.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, cast

import msgspec

from wallwell.address import InvalidAddressError, parse_address
from wallwell.standalone.config.compiled import CompiledConfig, compile_config
from wallwell.standalone.config.parse import ConfigFile
from wallwell.standalone.config.schema import (
    MAX_NUMBER,
    SPEC_TYPES,
    EnginePoolSpec,
    EngineSpec,
    FileKey,
    Kind,
    ServiceInstance,
    ServiceSpec,
    Spec,
)
from wallwell.standalone.unreadable import UnreadableEntries

Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class UnreadableSpecError(ValueError):
    """The stored content of a file cannot be decoded as its kind."""


def decode_spec(kind: Kind, text: str) -> Spec:
    """Return the checked content of a file from its stored form. Raises :class:`UnreadableSpecError`."""
    try:
        return cast("Spec", msgspec.json.decode(text, type=SPEC_TYPES[kind]))
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise UnreadableSpecError(str(error)) from error


class FileRevision(msgspec.Struct, frozen=True):
    """One accepted revision of one file.

    ``spec`` is the checked content as JSON, so that nodes need not parse YAML again; an empty ``spec`` means that
    the file was removed. ``digest`` is the SHA-256 of the operators' text, which is stored only in the table.
    """

    key: FileKey
    revision: Revision
    digest: str
    spec: str
    operator: str = ""
    accepted_at_ms: int = 0


class ConfigDelta(msgspec.Struct, frozen=True):
    """The files whose latest revision lies in ``(after, head]``, including removed files."""

    after: Revision
    head: Revision
    files: tuple[FileRevision, ...]


class ConfigStore:
    """The files in force on this node, their revisions and the look-up tables compiled from them."""

    def __init__(self) -> None:
        self.head = 0
        self._revisions: dict[FileKey, FileRevision] = {}
        self._parsed: dict[FileKey, ConfigFile] = {}
        self.compiled: CompiledConfig = compile_config({}, 0)
        self._unreadable = UnreadableEntries("configuration")

    def delta_after(self, after: int) -> ConfigDelta:
        """Return the delta that brings a node at revision ``after`` to this node's head."""
        files = tuple(entry for entry in self._revisions.values() if entry.revision > after)
        return ConfigDelta(after, self.head, files)

    def apply(self, delta: ConfigDelta) -> bool:
        """Apply ``delta`` if its head is higher and no revision is skipped; returns whether it was applied."""
        if delta.head <= self.head or delta.after > self.head:
            return False
        changed: set[Kind] = set()
        for entry in delta.files:
            current = self._revisions.get(entry.key)
            if current is None or entry.revision > current.revision:
                self._store_revision(entry)
                changed.add(entry.key.kind)
        self.head = delta.head
        self.compiled = compile_config(self._parsed, self.head, self.compiled, changed)
        return True

    def _store_revision(self, entry: FileRevision) -> None:
        self._revisions[entry.key] = entry
        self._parsed.pop(entry.key, None)
        if not entry.spec:
            self._unreadable.forget(str(entry.key))
            return
        try:
            spec = decode_spec(entry.key.kind, entry.spec)
        except UnreadableSpecError as error:
            # This file alone is not in force, as if it had been removed; the other files of the delta are.
            self._unreadable.report(str(entry.key), error)
            return
        self._unreadable.forget(str(entry.key))
        self._parsed[entry.key] = ConfigFile(entry.key, self._with_usable_addresses(entry.key, spec), "", {})

    def _with_usable_addresses(self, key: FileKey, spec: Spec) -> Spec:
        """Return a spec without the back ends to which nothing can connect."""
        if isinstance(spec, EnginePoolSpec):
            engines = tuple(each for each in spec.engines if self._is_usable(key, each))
            return msgspec.structs.replace(spec, engines=engines)
        if isinstance(spec, ServiceSpec):
            instances = tuple(each for each in spec.instances if self._is_usable(key, each))
            return msgspec.structs.replace(spec, instances=instances)
        return spec

    def _is_usable(self, key: FileKey, backend: EngineSpec | ServiceInstance) -> bool:
        try:
            parse_address(backend.address)
        except InvalidAddressError as error:
            self._unreadable.report(f"{key} {backend.name}", error)
            return False
        self._unreadable.forget(f"{key} {backend.name}")
        return True

    def revision_of(self, key: FileKey) -> FileRevision | None:
        """Return the latest revision of the file ``key``, also if that is its removal; None if never accepted."""
        return self._revisions.get(key)

    @property
    def files(self) -> Mapping[FileKey, ConfigFile]:
        """The parsed files in force, by key."""
        return self._parsed

    @property
    def revisions(self) -> Mapping[FileKey, FileRevision]:
        """The latest revision of every file ever accepted, by key; includes removed files."""
        return self._revisions
