"""The configuration in force on one node: revisions only rise, and a delta is applied whole.

State per file: its latest revision, digest and body. A delta from a peer or the platform carries the head it
was read at and every file whose revision lies in ``(after, head]``, so applying it moves this node from
``after`` to ``head`` in one step. A delta that starts above this node's head, or ends at or below it, changes
nothing: that is what keeps a stale source from reverting anything.

Owns what is in force on this node. Relies on its sources for whole deltas: :mod:`.commit` reads them from the
table, peers send theirs.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import cast

import msgspec

from wallwell.standalone.config.compiled import CompiledConfig, compile_config
from wallwell.standalone.config.parse import ConfigFile
from wallwell.standalone.config.schema import SPEC_TYPES, FileKey, Kind, Spec


class FileRevision(msgspec.Struct, frozen=True):
    """One accepted revision of one file.

    ``spec`` is the checked content as JSON, so that nodes decode it without parsing YAML again; empty records a
    removal. ``digest`` is that of the operators' text, which stays in the table.
    """

    key: FileKey
    revision: int
    digest: str
    spec: str
    operator: str = ""
    accepted_at_ms: int = 0


class ConfigDelta(msgspec.Struct, frozen=True):
    """Every file whose latest revision lies in ``(after, head]``."""

    after: int
    head: int
    files: tuple[FileRevision, ...]


class ConfigStore:
    """Files in force on this node, with their revisions and the compiled whole."""

    def __init__(self) -> None:
        self.head = 0
        self._revisions: dict[FileKey, FileRevision] = {}
        self._parsed: dict[FileKey, ConfigFile] = {}
        self.compiled: CompiledConfig = compile_config({}, 0)

    def delta_after(self, after: int) -> ConfigDelta:
        """Return what a node at revision ``after`` lacks."""
        files = tuple(entry for entry in self._revisions.values() if entry.revision > after)
        return ConfigDelta(after, self.head, files)

    def apply(self, delta: ConfigDelta) -> bool:
        """Move to ``delta.head`` if that is higher and no revision is skipped; returns whether it moved."""
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
        if entry.spec:
            spec = msgspec.json.decode(entry.spec, type=SPEC_TYPES[entry.key.kind])
            self._parsed[entry.key] = ConfigFile(entry.key, cast("Spec", spec), body="", lines={})

    def revision_of(self, key: FileKey) -> FileRevision | None:
        """Return the latest revision of ``key``, removals included."""
        return self._revisions.get(key)

    @property
    def files(self) -> Mapping[FileKey, ConfigFile]:
        """Parsed files in force."""
        return self._parsed

    @property
    def revisions(self) -> Mapping[FileKey, FileRevision]:
        """Latest revision of every file ever accepted."""
        return self._revisions
