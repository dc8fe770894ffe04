"""Immutable look-up tables built from the configuration files in force.

Does no I/O. Defines the types that the request path reads; requires files already checked by :mod:`.parse`.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

from wallwell.standalone.config.parse import ConfigFile
from wallwell.standalone.config.schema import (
    BackendState,
    EnginePoolSpec,
    EngineSpec,
    FileKey,
    Kind,
    ModelSpec,
    PrioritySpec,
    ServiceInstance,
    ServiceSpec,
    TenantSpec,
    ZoneSpec,
)

SpecT = TypeVar("SpecT")


@dataclass(frozen=True, slots=True)
class Engine:
    """An engine with the models and load limit of its pool."""

    name: str
    address: str
    zone: str
    pool: str
    models: frozenset[str]
    leaving: bool
    max_concurrent_loads: int


@dataclass(frozen=True)
class Tenant:
    """A tenant's name and the contents of its file."""

    name: str
    spec: TenantSpec


@dataclass(frozen=True)
class CompiledConfig:
    """The configuration as the request path reads it, at one revision."""

    revision: int
    zones: Mapping[str, ZoneSpec] = field(default_factory=dict)
    priorities: Mapping[str, PrioritySpec] = field(default_factory=dict)
    models: Mapping[str, ModelSpec] = field(default_factory=dict)
    services: Mapping[str, ServiceSpec] = field(default_factory=dict)
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    engines: Mapping[str, Engine] = field(default_factory=dict)
    tenant_by_token: Mapping[str, Tenant] = field(default_factory=dict)

    def is_repeatable(self, service: str, method: str, path: str) -> bool:
        """Whether a call may run more than once, by the longest matching operation; False if none matches."""
        longest_path = ""
        repeatable = False
        for operation in self.services[service].operations:
            matches = operation.method == method and path.startswith(operation.path)
            if matches and len(operation.path) >= len(longest_path):
                longest_path = operation.path
                repeatable = operation.repeatable
        return repeatable

    def serving_instances(self, service: str) -> list[ServiceInstance]:
        """Return the service's instances whose declared state is ``SERVING``."""
        spec = self.services[service]
        return [instance for instance in spec.instances if instance.state is BackendState.SERVING]


def compile_config(
    files: Mapping[FileKey, ConfigFile],
    revision: int,
    previous: CompiledConfig | None = None,
    changed: Collection[Kind] = tuple(Kind),
) -> CompiledConfig:
    """Build the tables from the parsed ``files``.

    Tables of kinds not in ``changed`` are reused from ``previous``, so that a change to one tenant does not
    rebuild the table of all engines in the fleet. Without ``previous``, all tables are built.
    """
    base = previous or CompiledConfig(revision)
    kinds = set(Kind) if previous is None else set(changed)
    tables: dict[str, Mapping[str, Any]] = {}
    for kind in kinds:
        tables.update(_build_tables(kind, files, base))
    return dataclasses.replace(base, revision=revision, **tables)


def _build_tables(
    kind: Kind, files: Mapping[FileKey, ConfigFile], previous: CompiledConfig
) -> dict[str, Mapping[str, Any]]:
    """Return the tables built from the files of one kind, keyed by field name of :class:`CompiledConfig`."""
    match kind:
        case Kind.ZONE:
            return {"zones": _specs_by_name(files, kind, ZoneSpec)}
        case Kind.PRIORITY:
            return {"priorities": _specs_by_name(files, kind, PrioritySpec)}
        case Kind.MODEL:
            return {"models": _specs_by_name(files, kind, ModelSpec)}
        case Kind.SERVICE:
            return {"services": _specs_by_name(files, kind, ServiceSpec)}
        case Kind.ENGINE_POOL:
            return {"engines": _engines_by_name(files)}
        case Kind.TENANT:
            tenants = _tenants_by_name(files, previous)
            return {"tenants": tenants, "tenant_by_token": _tenants_by_token(tenants)}


def _tenants_by_token(tenants: Mapping[str, Tenant]) -> dict[str, Tenant]:
    return {token: tenant for tenant in tenants.values() for token in tenant.spec.token_sha256}


def _specs_by_name(files: Mapping[FileKey, ConfigFile], kind: Kind, spec_type: type[SpecT]) -> dict[str, SpecT]:
    return {
        key.name: file.spec for key, file in files.items() if key.kind is kind and isinstance(file.spec, spec_type)
    }


def _tenants_by_name(files: Mapping[FileKey, ConfigFile], previous: CompiledConfig) -> dict[str, Tenant]:
    """Return all tenants by name; a tenant whose file has not changed keeps its object from ``previous``."""
    tenants: dict[str, Tenant] = {}
    for name, spec in _specs_by_name(files, Kind.TENANT, TenantSpec).items():
        earlier = previous.tenants.get(name)
        tenants[name] = earlier if earlier is not None and earlier.spec is spec else Tenant(name, spec)
    return tenants


def _engines_by_name(files: Mapping[FileKey, ConfigFile]) -> dict[str, Engine]:
    engines: dict[str, Engine] = {}
    for pool, spec in _specs_by_name(files, Kind.ENGINE_POOL, EnginePoolSpec).items():
        models = frozenset(spec.models)
        for entry in spec.engines:
            engines[entry.name] = _build_engine(pool, spec, models, entry)
    return engines


def _build_engine(pool: str, spec: EnginePoolSpec, models: frozenset[str], entry: EngineSpec) -> Engine:
    return Engine(
        name=entry.name,
        address=entry.address,
        zone=entry.zone,
        pool=pool,
        models=models,
        leaving=entry.state is BackendState.LEAVING,
        max_concurrent_loads=spec.max_concurrent_loads,
    )
