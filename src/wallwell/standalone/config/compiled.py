"""Look-up tables derived from the files in force; immutable once built."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

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

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Engine:
    """One engine with what its pool declares."""

    name: str
    address: str
    zone: str
    pool: str
    models: frozenset[str]
    leaving: bool
    max_concurrent_loads: int


@dataclass(frozen=True)
class Tenant:
    """A tenant's name and file."""

    name: str
    spec: TenantSpec


@dataclass(frozen=True)
class CompiledConfig:
    """Everything the request path looks up."""

    revision: int
    zones: Mapping[str, ZoneSpec] = field(default_factory=dict)
    priorities: Mapping[str, PrioritySpec] = field(default_factory=dict)
    models: Mapping[str, ModelSpec] = field(default_factory=dict)
    services: Mapping[str, ServiceSpec] = field(default_factory=dict)
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    engines: Mapping[str, Engine] = field(default_factory=dict)
    tenant_by_token: Mapping[str, Tenant] = field(default_factory=dict)

    def is_repeatable(self, service: str, method: str, path: str) -> bool:
        """Whether a call may run more than once; calls no operation covers may not."""
        best = ""
        repeatable = False
        for operation in self.services[service].operations:
            matches = operation.method == method and path.startswith(operation.path)
            if matches and len(operation.path) >= len(best):
                best = operation.path
                repeatable = operation.repeatable
        return repeatable

    def serving_instances(self, service: str) -> list[ServiceInstance]:
        """Instances that operators have not declared leaving."""
        spec = self.services[service]
        return [instance for instance in spec.instances if instance.state is BackendState.SERVING]


def compile_config(
    files: Mapping[FileKey, ConfigFile],
    revision: int,
    previous: CompiledConfig | None = None,
    changed: Collection[Kind] = tuple(Kind),
) -> CompiledConfig:
    """Build the tables from the parsed ``files``.

    Tables of kinds not in ``changed`` are taken over from ``previous``: a tenant's change, the usual one, must
    not cost time for every engine of the fleet.
    """
    old = previous or CompiledConfig(revision)
    kinds = set(Kind) if previous is None else set(changed)
    zones = _specs(files, Kind.ZONE, ZoneSpec) if Kind.ZONE in kinds else old.zones
    priorities = _specs(files, Kind.PRIORITY, PrioritySpec) if Kind.PRIORITY in kinds else old.priorities
    models = _specs(files, Kind.MODEL, ModelSpec) if Kind.MODEL in kinds else old.models
    services = _specs(files, Kind.SERVICE, ServiceSpec) if Kind.SERVICE in kinds else old.services
    tenants = _tenants(files, old) if Kind.TENANT in kinds else old.tenants
    tokens = old.tenant_by_token
    if Kind.TENANT in kinds:
        tokens = {token: tenant for tenant in tenants.values() for token in tenant.spec.token_sha256}
    return CompiledConfig(
        revision=revision,
        zones=zones,
        priorities=priorities,
        models=models,
        services=services,
        tenants=tenants,
        engines=_engines(files) if Kind.ENGINE_POOL in kinds else old.engines,
        tenant_by_token=tokens,
    )


def _specs(files: Mapping[FileKey, ConfigFile], kind: Kind, spec_type: type[T]) -> dict[str, T]:
    return {
        key.name: file.spec for key, file in files.items() if key.kind is kind and isinstance(file.spec, spec_type)
    }


def _tenants(files: Mapping[FileKey, ConfigFile], old: CompiledConfig) -> dict[str, Tenant]:
    tenants: dict[str, Tenant] = {}
    for name, spec in _specs(files, Kind.TENANT, TenantSpec).items():
        known = old.tenants.get(name)
        tenants[name] = known if known is not None and known.spec is spec else Tenant(name, spec)
    return tenants


def _engines(files: Mapping[FileKey, ConfigFile]) -> dict[str, Engine]:
    engines: dict[str, Engine] = {}
    for pool, spec in _specs(files, Kind.ENGINE_POOL, EnginePoolSpec).items():
        models = frozenset(spec.models)
        for entry in spec.engines:
            engines[entry.name] = _engine(pool, spec, models, entry)
    return engines


def _engine(pool: str, spec: EnginePoolSpec, models: frozenset[str], entry: EngineSpec) -> Engine:
    return Engine(
        name=entry.name,
        address=entry.address,
        zone=entry.zone,
        pool=pool,
        models=models,
        leaving=entry.state is BackendState.LEAVING,
        max_concurrent_loads=spec.max_concurrent_loads,
    )
