"""Look-up tables derived from the files in force; immutable once built."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from wallwell.config.parse import ConfigFile
from wallwell.config.schema import (
    BackendState,
    EnginePoolSpec,
    EngineSpec,
    FileKey,
    ModelSpec,
    PrioritySpec,
    ServiceInstance,
    ServiceSpec,
    TenantSpec,
    ZoneSpec,
)


@dataclass(frozen=True)
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
    engines_by_model: Mapping[str, tuple[Engine, ...]] = field(default_factory=dict)
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


def compile_config(files: Mapping[FileKey, ConfigFile], revision: int) -> CompiledConfig:
    """Build the tables from the parsed ``files``."""
    engines: dict[str, Engine] = {}
    by_model: dict[str, list[Engine]] = {}
    tenants: dict[str, Tenant] = {}
    zones: dict[str, ZoneSpec] = {}
    priorities: dict[str, PrioritySpec] = {}
    models: dict[str, ModelSpec] = {}
    services: dict[str, ServiceSpec] = {}
    for key, file in files.items():
        spec = file.spec
        if isinstance(spec, ZoneSpec):
            zones[key.name] = spec
        elif isinstance(spec, PrioritySpec):
            priorities[key.name] = spec
        elif isinstance(spec, ModelSpec):
            models[key.name] = spec
        elif isinstance(spec, ServiceSpec):
            services[key.name] = spec
        elif isinstance(spec, TenantSpec):
            tenants[key.name] = Tenant(key.name, spec)
        elif isinstance(spec, EnginePoolSpec):
            for entry in spec.engines:
                engines[entry.name] = _engine(key.name, spec, entry)
    for engine in engines.values():
        for model in engine.models:
            by_model.setdefault(model, []).append(engine)
    return CompiledConfig(
        revision=revision,
        zones=zones,
        priorities=priorities,
        models=models,
        services=services,
        tenants=tenants,
        engines=engines,
        engines_by_model={model: tuple(found) for model, found in by_model.items()},
        tenant_by_token={token: tenant for tenant in tenants.values() for token in tenant.spec.token_sha256},
    )


def _engine(pool: str, spec: EnginePoolSpec, entry: EngineSpec) -> Engine:
    return Engine(
        name=entry.name,
        address=entry.address,
        zone=entry.zone,
        pool=pool,
        models=frozenset(spec.models),
        leaving=entry.state is BackendState.LEAVING,
        max_concurrent_loads=spec.max_concurrent_loads,
    )
