"""Rows of the platform's store, decoded to the product's types."""

from __future__ import annotations

from typing import Annotated

import msgspec

from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.routes import (
    CallerBounds,
    DeploymentConfig,
    EngineTraits,
    Route,
    RouteKind,
    Service,
    TenantAccess,
    TenantLimit,
    WeightedService,
)
from wallwell.platform import names
from wallwell.rollout.model import RolloutOrder, RolloutRecord


class SplitRow(msgspec.Struct, frozen=True):
    """One service of a split route."""

    service: str
    weight: float = 1.0


class RouteRow(msgspec.Struct, frozen=True):
    """A route as the operator writes it."""

    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    name: str = ""
    service: str = ""
    backends: tuple[SplitRow, ...] = ()
    slo_ms: float = 1000.0
    priority: int = 5
    attempts: int = 1
    public: bool = False
    can_resume: bool = False
    gap_slo_ms: float = 500.0


class ModelRow(msgspec.Struct, frozen=True):
    """A model that a service's engines run."""

    name: str


class EngineRow(msgspec.Struct, frozen=True):
    """Engines of a service."""

    slots: int = 1
    kv_capacity: int = 0
    models: tuple[ModelRow, ...] = ()


class ServiceRow(msgspec.Struct, frozen=True):
    """A service as the operator writes it."""

    name: str
    max_conns: int = 0
    engine: EngineRow | None = None
    kv_store_addr: str = ""
    zone: str = ""


TOKENS_UNIT = "tokens"
"""Unit of a limit that counts tokens. Any other counts requests, so that an unknown one is no error."""


class TenantRow(msgspec.Struct, frozen=True):
    """A tenant as the operator writes it. ``rate_per_s`` is its limit over all nodes, 0 for none."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    isolated: bool = False
    rate_per_s: float = 0.0
    burst: float = 0.0
    unit: str = ""
    plain_tokens: int = 1


class LimitsRow(msgspec.Struct, frozen=True):
    """Bounds of what callers may send."""

    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_ms: float = 60_000


class ConfigRow(msgspec.Struct, frozen=True):
    """The operators' whole configuration."""

    version: int
    routes: tuple[RouteRow, ...] = ()
    services: tuple[ServiceRow, ...] = ()
    limits: LimitsRow = LimitsRow()
    tenants: tuple[TenantRow, ...] = ()


class VersionRow(msgspec.Struct, frozen=True):
    """A named weights version."""

    model: str
    version: int


NameText = Annotated[str, msgspec.Meta(min_length=1)]


class RolloutOrderRow(msgspec.Struct, frozen=True):
    """An order to replace the software version of a service."""

    service: NameText
    target_version: NameText
    duration_s: Annotated[float, msgspec.Meta(gt=0)]


class RolloutStatusRow(msgspec.Struct, frozen=True):
    """What operators read of a rollout. ``state`` is ``running``, ``complete`` or ``rolled_back``."""

    state: str
    target_version: str
    service: str


class ModelVersionRow(msgspec.Struct, frozen=True):
    """A model and its version at a back end."""

    name: str
    version: int = 0


class BackendRow(msgspec.Struct, frozen=True):
    """A back end's own entry."""

    service: str
    addr: str
    zone: str = ""
    slots: int = 1
    state: str = "ready"
    version: str = ""
    cold_left_ms: float = 0.0
    models: tuple[ModelVersionRow, ...] = ()


def decode_config(value: bytes) -> DeploymentConfig:
    """Decode the operators' configuration. Raises ``msgspec.ValidationError``."""
    row = msgspec.json.decode(value, type=ConfigRow)
    return DeploymentConfig(
        version=row.version,
        routes=tuple(_route(route) for route in row.routes),
        services=tuple(_service(service) for service in row.services),
        tenants=tuple(_tenant(tenant) for tenant in row.tenants),
        bounds=CallerBounds(row.limits.max_body_bytes, row.limits.idle_timeout_ms / 1000),
    )


def _route(row: RouteRow) -> Route:
    services = tuple(WeightedService(each.service, each.weight) for each in row.backends if each.weight > 0)
    return Route(
        name=row.name or f"{row.host}{row.path_prefix}",
        host=row.host,
        path_prefix=row.path_prefix,
        kind=row.kind,
        services=services or (WeightedService(row.service, 1.0),),
        timeout_s=row.timeout_ms / 1000,
        objective_s=row.slo_ms / 1000,
        max_attempts=row.attempts,
        rank=row.priority,
        public=row.public,
        resumable=row.can_resume,
        max_gap_s=row.gap_slo_ms / 1000,
    )


def _tenant(row: TenantRow) -> TenantAccess:
    limit = None
    if row.rate_per_s > 0:
        limit = TenantLimit(row.rate_per_s, row.burst, row.unit == TOKENS_UNIT, row.plain_tokens)
    return TenantAccess(row.name, row.api_keys, row.priority, row.isolated, limit)


def _service(row: ServiceRow) -> Service:
    engines = None
    if row.engine is not None:
        models = tuple(model.name for model in row.engine.models)
        engines = EngineTraits(row.engine.slots, row.engine.kv_capacity, models)
    return Service(row.name, row.max_conns, engines, row.kv_store_addr, row.zone)


def decode_version(value: bytes) -> VersionRow:
    """Decode a named weights version. Raises ``msgspec.ValidationError``."""
    return msgspec.json.decode(value, type=VersionRow)


def decode_rollout_order(key: str, value: bytes, version: int) -> RolloutOrder:
    """Decode an order to replace a service's software. Raises ``msgspec.ValidationError``."""
    row = msgspec.json.decode(value, type=RolloutOrderRow)
    if key != names.ROLLOUT_KEY_PREFIX + row.service:
        raise msgspec.ValidationError(f"names the service {row.service}, which is not its key's")
    return RolloutOrder(row.service, row.target_version, row.duration_s, version)


def encode_rollout_status(record: RolloutRecord) -> str:
    """Return the status row's text of a rollout."""
    state = record.phase.value if record.phase.is_final else "running"
    return msgspec.json.encode(RolloutStatusRow(state, record.target_version, record.service)).decode()


def decode_backend(incarnation: str, value: bytes) -> BackendRecord:
    """Decode a back end's entry. Raises ``msgspec.ValidationError``."""
    row = msgspec.json.decode(value, type=BackendRow)
    return BackendRecord(
        incarnation=incarnation,
        service=row.service,
        address=row.addr,
        zone=row.zone,
        slots=row.slots,
        draining=row.state != "ready",
        versions={model.name: model.version for model in row.models if model.version},
        software=row.version,
        slow_for_s=row.cold_left_ms / 1000,
    )
