"""Values of the rows that operators and workers write to the platform's store, decoded to wallwell's types.

Classes ending in ``Row`` have the platform's field names; a comment says what a field holds where its name
misleads. The ``decode_`` functions return types of ``deployment`` and ``rollout``, with times in seconds, and
raise ``msgspec.MsgspecError``, whatever another writer has put into the row; whoever applies it logs that.
"""

from __future__ import annotations

from typing import Annotated, Literal, TypeVar

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

READY_STATE: Literal["ready"] = "ready"
"""State of a back end that takes new requests; the other one means that it is leaving."""
MAX_PORT = 65535
"""A TCP port has 16 bits."""
RUNNING_STATE = "running"
"""State of a rollout that has not ended, whatever its phase."""


class RouteSplitRow(msgspec.Struct, frozen=True):
    """One service of a route that is split between services."""

    service: str
    weight: float = 1.0
    """Relative to the other services; a service of weight 0 gets nothing."""


class RouteRow(msgspec.Struct, frozen=True):
    """A route as the operator writes it."""

    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    """The longest time a request is held."""
    name: str = ""
    service: str = ""
    """Used if ``backends`` names none."""
    backends: tuple[RouteSplitRow, ...] = ()
    """Services, not back ends."""
    slo_ms: float = 1000.0
    """Time within which an answer earns full credit; of a stream, its first event."""
    priority: int = 5
    """0 is served first."""
    attempts: int = 1
    """Back ends that one request may be sent to, the first one included."""
    public: bool = False
    """Whether requests need no credential."""
    can_resume: bool = False
    """Whether a stream may be continued at another back end."""
    gap_slo_ms: float = 500.0
    """Longest pause between events that keeps a stream in time."""


class EngineModelRow(msgspec.Struct, frozen=True):
    """A model that a service's engines run."""

    name: str


class EngineRow(msgspec.Struct, frozen=True):
    """The engines of a service."""

    slots: int = 1
    """Requests that one engine works on at the same time."""
    kv_capacity: int = 0
    """Tokens that one engine's memory holds, of running requests and cached parts together."""
    models: tuple[EngineModelRow, ...] = ()


class ServiceRow(msgspec.Struct, frozen=True):
    """A service as the operator writes it."""

    name: str
    max_conns: int = 0
    """Connections that one back end accepts from all callers together."""
    engine: EngineRow | None = None
    kv_store_addr: str = ""
    """``IP:PORT`` of a KV store; such a service takes no requests."""
    zone: str = ""
    """Zone of a KV store."""


TOKENS_UNIT = "tokens"
"""Unit of a limit that counts tokens. Any other counts requests, so that an unknown one is no error."""


class TenantRow(msgspec.Struct, frozen=True):
    """A tenant as the operator writes it."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    """Takes precedence over the route's."""
    isolated: bool = False
    """Whether its cached parts are shared with no other tenant."""
    rate_per_s: float = 0.0
    """Limit over all nodes, in ``unit`` a second; 0 for none."""
    burst: float = 0.0
    """What may be saved up from quieter times, in ``unit``."""
    unit: str = ""
    plain_tokens: int = 1
    """Tokens that a request without a token count of its own costs."""


class LimitsRow(msgspec.Struct, frozen=True):
    """Bounds of what callers may send."""

    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_ms: float = 60_000
    """How long callers may leave a connection idle."""


class ConfigRow(msgspec.Struct, frozen=True):
    """The operators' whole configuration."""

    version: int
    """Rises with each change, in uneven steps."""
    routes: tuple[RouteRow, ...] = ()
    services: tuple[ServiceRow, ...] = ()
    limits: LimitsRow = LimitsRow()
    tenants: tuple[TenantRow, ...] = ()


class WeightsVersionRow(msgspec.Struct, frozen=True):
    """A weights version that operators name, to be brought to every engine of a model."""

    model: str
    version: int


NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


class RolloutOrderRow(msgspec.Struct, frozen=True):
    """An order to replace the software version of a service."""

    service: NonEmptyText
    target_version: NonEmptyText
    """A version of the software, not of weights."""
    duration_s: Annotated[float, msgspec.Meta(gt=0)]
    """Time within which the rollout shall have ended."""


class RolloutStatusRow(msgspec.Struct, frozen=True):
    """What operators read of a rollout."""

    state: str
    """``running``, ``complete`` or ``rolled_back``."""
    target_version: str
    service: str


class LoadedModelRow(msgspec.Struct, frozen=True):
    """A model and its weights version at a back end."""

    name: str
    version: int = 0


class BackendRow(msgspec.Struct, frozen=True):
    """A back end's own entry."""

    service: NonEmptyText
    addr: str
    """``IP:PORT``."""
    zone: str = ""
    slots: NonNegativeInt = 1
    state: Literal["ready", "draining"] = READY_STATE
    version: str = ""
    """Version of its software, not of weights."""
    cold_left_ms: float = 0.0
    """How much longer it stays slow after its start, as of the entry's writing."""
    models: tuple[LoadedModelRow, ...] = ()
    born: NonNegativeInt | msgspec.UnsetType = msgspec.UNSET
    """Unix milliseconds of the start that the entry speaks of: a worker may start again under its id."""


RowType = TypeVar("RowType", bound=msgspec.Struct)


def _decode_row(value: bytes, row_type: type[RowType]) -> RowType:
    """Decode a row's value, whatever another writer put there."""
    try:
        return msgspec.json.decode(value, type=row_type)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error


def decode_config(value: bytes) -> DeploymentConfig:
    """Decode the operators' configuration."""
    row = _decode_row(value, ConfigRow)
    return DeploymentConfig(
        version=row.version,
        routes=tuple(_to_route(route) for route in row.routes),
        services=tuple(_to_service(service) for service in row.services),
        tenants=tuple(_to_tenant(tenant) for tenant in row.tenants),
        bounds=CallerBounds(row.limits.max_body_bytes, row.limits.idle_timeout_ms / 1000),
    )


def _to_route(row: RouteRow) -> Route:
    services = tuple(WeightedService(split.service, split.weight) for split in row.backends if split.weight > 0)
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


def _to_tenant(row: TenantRow) -> TenantAccess:
    limit = None
    if row.rate_per_s > 0:
        limit = TenantLimit(row.rate_per_s, row.burst, row.unit == TOKENS_UNIT, row.plain_tokens)
    return TenantAccess(row.name, row.api_keys, row.priority, row.isolated, limit)


def _to_service(row: ServiceRow) -> Service:
    engines = None
    if row.engine is not None:
        models = tuple(model.name for model in row.engine.models)
        engines = EngineTraits(row.engine.slots, row.engine.kv_capacity, models)
    return Service(row.name, row.max_conns, engines, row.kv_store_addr, row.zone)


def decode_weights_version(value: bytes) -> tuple[str, int]:
    """Return the model and the weights version that operators name for it."""
    row = _decode_row(value, WeightsVersionRow)
    return row.model, row.version


def decode_rollout_order(key: str, value: bytes, version: int) -> RolloutOrder:
    """Decode an order to replace a service's software."""
    row = _decode_row(value, RolloutOrderRow)
    if key != names.ROLLOUT_KEY_PREFIX + row.service:
        raise msgspec.ValidationError(f"the order names the service {row.service}, its key another one")
    return RolloutOrder(row.service, row.target_version, row.duration_s, version)


def encode_rollout_status(record: RolloutRecord) -> str:
    """Return the value of a rollout's status row."""
    state = record.phase.value if record.phase.is_final else RUNNING_STATE
    return msgspec.json.encode(RolloutStatusRow(state, record.target_version, record.service)).decode()


def decode_backend(incarnation: str, value: bytes) -> BackendRecord:
    """Decode a back end's entry."""
    row = _decode_row(value, BackendRow)
    host, _, port = row.addr.rpartition(":")
    if not host or not (port.isascii() and port.isdecimal()) or not 0 < int(port) <= MAX_PORT:
        raise msgspec.ValidationError("the address is no IP:PORT")
    return BackendRecord(
        incarnation=incarnation,
        service=row.service,
        address=row.addr,
        zone=row.zone,
        slots=row.slots,
        draining=row.state != READY_STATE,
        versions={model.name: model.version for model in row.models if model.version},
        software=row.version,
        slow_for_s=max(0.0, row.cold_left_ms / 1000),
        started_unix_ms=None if row.born is msgspec.UNSET else row.born,
    )
