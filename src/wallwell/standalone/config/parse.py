"""Parses operators' configuration files and checks the references between them.

Does no I/O. Defines the rules between files: each referenced file exists, and no back end's address or name and no
credential is used twice. :mod:`.schema` defines types and ranges. All problems are reported together, with lines.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from wallwell.address import InvalidAddressError, parse_address
from wallwell.errors import DocumentSyntaxError
from wallwell.standalone.config.schema import (
    SETTINGS_WITHOUT_EFFECT,
    SPEC_TYPES,
    EnginePoolSpec,
    FileKey,
    Kind,
    ServiceSpec,
    Spec,
    TenantSpec,
)
from wallwell.standalone.typed import (
    DUPLICATE,
    MISSING_KEY,
    OUT_OF_RANGE,
    REFERENCE,
    SYNTAX,
    UNKNOWN_KEY,
    WRONG_TYPE,
    Path,
    Problem,
    ProblemList,
    convert_all,
    load_yaml,
)

_TOP_LEVEL_KEYS = {"kind", "name", "spec"}


class ConfigFile(msgspec.Struct, frozen=True):
    """A parsed configuration file; ``lines`` maps each path in it to its line number."""

    key: FileKey
    spec: Spec
    body: str
    lines: dict[Path, int]

    @property
    def spec_json(self) -> str:
        """The checked content as JSON, the form stored in :class:`.store.FileRevision`."""
        return msgspec.json.encode(self.spec).decode()

    @property
    def digest(self) -> str:
        """SHA-256 of the file's text, in hexadecimal."""
        return hashlib.sha256(self.body.encode()).hexdigest()


def parse_file(body: str) -> tuple[ConfigFile | None, list[Problem]]:
    """Parse and validate one YAML file. Returns the file and no problems, or None and every problem found."""
    try:
        value, lines = load_yaml(body)
    except DocumentSyntaxError as error:
        return None, [Problem(SYNTAX, "(document)", 1, error.detail)]
    problems = ProblemList(lines)
    key = _parse_key(value, problems)
    if key is None:
        return None, problems.problems
    spec = convert_all(value.get("spec"), SPEC_TYPES[key.kind], problems, ("spec",))
    if spec is None or problems.problems:
        return None, problems.problems
    file = ConfigFile(key, spec, body, lines)  # type: ignore[arg-type]
    _check_addresses(file, problems)
    if problems.problems:
        return None, problems.problems
    return file, []


def _check_addresses(file: ConfigFile, problems: ProblemList) -> None:
    """Add each back end whose address a process cannot have, which the schema's pattern alone would allow."""
    for path, _, address in _backend_entries(file):
        try:
            parse_address(address)
        except InvalidAddressError as error:
            problems.add(OUT_OF_RANGE, (*path, "address"), str(error))


def settings_without_effect(file: ConfigFile) -> list[str]:
    """Return the names of the settings in a file's text that are accepted but never used."""
    without_effect = SETTINGS_WITHOUT_EFFECT.get(file.key.kind, ())
    return [name for name in without_effect if ("spec", name) in file.lines]


def _parse_key(value: Any, problems: ProblemList) -> FileKey | None:
    if not isinstance(value, dict):
        problems.add(WRONG_TYPE, (), "a file is a mapping with kind, name and spec")
        return None
    for key in value.keys() - _TOP_LEVEL_KEYS:
        problems.add(UNKNOWN_KEY, (str(key),), "unknown key; known are kind, name, spec")
    for key in sorted(_TOP_LEVEL_KEYS - value.keys()):
        problems.add(MISSING_KEY, (), f"`{key}` is required")
    try:
        kind = Kind(str(value.get("kind")))
    except ValueError:
        problems.add(WRONG_TYPE, ("kind",), f"must be one of {', '.join(Kind)}")
        return None
    name = value.get("name")
    if not isinstance(name, str) or not name or "/" in name:
        problems.add(WRONG_TYPE, ("name",), "must be a name without slashes")
        return None
    return FileKey(kind, name)


def check_references(files: Mapping[FileKey, ConfigFile], only: Iterable[FileKey] | None = None) -> list[Problem]:
    """Check references between ``files``; returns the problems of the files in ``only``, or of all files."""
    problems: list[Problem] = []
    uses = _FirstUses(_first_use_of_backends(files), _first_use_of_tokens(files))
    for key in only if only is not None else files:
        if key in files:
            check = _ReferenceCheck(files[key], files, uses)
            check.run()
            problems.extend(check.problems.problems)
    return problems


def removal_problems(key: FileKey, files: Mapping[FileKey, ConfigFile]) -> list[Problem]:
    """Return the problems that the other files would have only if the file ``key`` were removed."""
    remaining = {other: file for other, file in files.items() if other != key}
    return _without_earlier(check_references(remaining), files, remaining)


def change_problems(file: ConfigFile, files: Mapping[FileKey, ConfigFile]) -> list[Problem]:
    """Return all problems of a new version of a file, and those that the other files would have only with it."""
    merged = {**files, file.key: file}
    others = [key for key in merged if key != file.key]
    problems = check_references(merged, only=[file.key])
    return problems + _without_earlier(check_references(merged, only=others), files, others)


def _without_earlier(
    problems: list[Problem], files: Mapping[FileKey, ConfigFile], others: Iterable[FileKey]
) -> list[Problem]:
    """Return the problems that ``others`` do not have among ``files`` already.

    They have some while a row of the table cannot be read, which must not keep back the changes to other files.
    """
    if not problems:
        return []
    earlier = set(check_references(files, only=others))
    return [problem for problem in problems if problem not in earlier]


def _backend_entries(file: ConfigFile) -> list[tuple[Path, str, str]]:
    """Return ``(path, name, address)`` of each engine or service instance in the file."""
    if isinstance(file.spec, EnginePoolSpec):
        return [(("spec", "engines", i), e.name, e.address) for i, e in enumerate(file.spec.engines)]
    if isinstance(file.spec, ServiceSpec):
        return [(("spec", "instances", i), e.name, e.address) for i, e in enumerate(file.spec.instances)]
    return []


def _first_use_of_backends(files: Mapping[FileKey, ConfigFile]) -> dict[str, tuple[FileKey, Path]]:
    """Map each back end's name and address to the first file, in key order, and path that use it."""
    used: dict[str, tuple[FileKey, Path]] = {}
    for key in sorted(files):
        for path, name, address in _backend_entries(files[key]):
            used.setdefault(address, (key, path))
            used.setdefault(name, (key, path))
    return used


def _first_use_of_tokens(files: Mapping[FileKey, ConfigFile]) -> dict[str, FileKey]:
    used: dict[str, FileKey] = {}
    for key in sorted(files):
        spec = files[key].spec
        if isinstance(spec, TenantSpec):
            for token in spec.token_sha256:
                used.setdefault(token, key)
    return used


@dataclass(frozen=True)
class _FirstUses:
    """The first use of each back end name, address and credential; any other use is a duplicate."""

    backends: Mapping[str, tuple[FileKey, Path]]
    tokens: Mapping[str, FileKey]


class _ReferenceCheck:
    """Checks one file's references and the uniqueness of its names, addresses and credentials."""

    def __init__(self, file: ConfigFile, files: Mapping[FileKey, ConfigFile], uses: _FirstUses) -> None:
        self.problems = ProblemList(file.lines)
        self._file = file
        self._files = files
        self._uses = uses

    def run(self) -> None:
        """Check the file and add what is wrong to ``problems``."""
        match self._file.spec:
            case EnginePoolSpec() as pool:
                self._check_pool(pool)
            case ServiceSpec() as service:
                self._check_zones("instances", [instance.zone for instance in service.instances])
            case TenantSpec() as tenant:
                self._check_tenant(tenant)
        self._check_backends()

    def _check_pool(self, spec: EnginePoolSpec) -> None:
        self._require_files(Kind.MODEL, "models", spec.models)
        self._check_zones("engines", [engine.zone for engine in spec.engines])

    def _check_zones(self, field: str, zones: Iterable[str]) -> None:
        for index, zone in enumerate(zones):
            self._require_file(Kind.ZONE, zone, ("spec", field, index, "zone"))

    def _check_tenant(self, spec: TenantSpec) -> None:
        self._require_files(Kind.MODEL, "models", spec.models)
        self._require_files(Kind.SERVICE, "services", spec.services)
        self._require_files(Kind.PRIORITY, "priorities", spec.priorities)
        if spec.default_priority is not None and spec.default_priority not in spec.priorities:
            self.problems.add(REFERENCE, ("spec", "default_priority"), "must be one of the tenant's priorities")
        for index, token in enumerate(spec.token_sha256):
            first = self._uses.tokens[token]
            if first != self._file.key:
                path = ("spec", "token_sha256", index)
                self.problems.add(DUPLICATE, path, f"credential is used by {first} too")

    def _check_backends(self) -> None:
        for path, name, address in _backend_entries(self._file):
            for identifier in (name, address):
                first = self._uses.backends[identifier]
                if first != (self._file.key, path):
                    self.problems.add(DUPLICATE, path, f"`{identifier}` is used by {first[0]} too")

    def _require_files(self, kind: Kind, field: str, names: Iterable[str]) -> None:
        for index, name in enumerate(names):
            self._require_file(kind, name, ("spec", field, index))

    def _require_file(self, kind: Kind, name: str, path: Path) -> None:
        if FileKey(kind, name) not in self._files:
            self.problems.add(REFERENCE, path, f"no {kind.value} named `{name}`")
