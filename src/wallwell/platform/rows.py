"""Decodes the rows that operators and workers write to the platform's store into wallwell's types.

Classes whose names end in ``Row`` have the platform's field names; a comment explains a field whose name misleads.
The ``decode_`` functions return types of ``deployment`` and ``rollout``, with times in seconds. For any invalid
value they raise ``msgspec.MsgspecError``, which the code that applies the row logs.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from wallwell.address import Address, InvalidAddressError, parse_address
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.routes import (
    CallerBounds,
    DeploymentConfig,
    EngineTraits,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from wallwell.deployment.tenants import TenantAccess, TenantLimit
from wallwell.platform import names
from wallwell.rollout.model import RolloutOrder, RolloutRecord
from wallwell.storage.row_values import decode_value, raises_only_msgspec_errors

READY_STATE: Literal["ready"] = "ready"
"""State of a back end that accepts new requests; the only other state, ``draining``, means that it is leaving."""
RUNNING_STATE = "running"
"""State of a rollout that has not ended, whatever its phase."""

MAX_NUMBER = 2**63 - 1
"""Largest whole number of a row: the largest of 64 bits, by which operators may say that there is no limit."""
MAX_START_UNIX_MS = 2**64 - 1
"""Latest start of a back end, in Unix milliseconds: its 20 digits still fit into the key of a crash's row."""
MAX_DURATION_MS = float(MAX_NUMBER)
"""Longest time in a configuration, in milliseconds. Timers shorten what is too long for them."""
MAX_ROLLOUT_S = 1e9
"""Longest time of a rollout, in seconds: 30 years. A time on the store's clock after it is still exact."""
MAX_RATE = float(MAX_NUMBER)
"""Largest rate, burst or weight; sums of these are far from the range of floats."""
MAX_SLOTS = 1_000_000
"""Most requests that one back end works on at once: far above any real one, and the sum over all back ends is small
enough to be sent and divided."""
MAX_COLD_MS = 24 * 3600 * 1000.0
"""Longest time in milliseconds for which a back end may stay slow after its start: a day."""
MAX_KEY_BYTES = 200
"""Bytes of a key, the most that the store takes."""
MAX_NAME_CHARS = 200
"""Characters of a name in a back end's entry. Keys of the store, which contain names, have 200 bytes at most."""

Number = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Milliseconds = Annotated[float, msgspec.Meta(ge=-MAX_DURATION_MS, le=MAX_DURATION_MS)]
Rate = Annotated[float, msgspec.Meta(ge=-MAX_RATE, le=MAX_RATE)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
NonEmptyName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]
Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]


class RouteSplitRow(msgspec.Struct, frozen=True):
    """One of the services among which a route's requests are split."""

    service: str
    weight: Rate = 1.0
    """Weight relative to the route's other services; a service of weight 0 gets no requests."""


class RouteRow(msgspec.Struct, frozen=True):
    """A route as the operator writes it."""

    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: Milliseconds
    """Longest time in milliseconds that the router works on a request."""
    name: str = ""
    service: str = ""
    """The route's only service; used if ``backends`` lists no service with a positive weight."""
    backends: tuple[RouteSplitRow, ...] = ()
    """Services among which requests are split; not back ends."""
    slo_ms: Milliseconds = 1000.0
    """Milliseconds within which an answer, or a stream's first event, earns full credit."""
    priority: Number = 5
    """Priority of the route's requests; 0 is served first."""
    attempts: Number = 1
    """Maximum number of attempts per request, including the first."""
    public: bool = False
    """Whether requests are accepted without a credential."""
    can_resume: bool = False
    """Whether a broken stream may be continued at another back end."""
    gap_slo_ms: Milliseconds = 500.0
    """Longest pause between events, in milliseconds, with which a stream meets its objective."""


class EngineModelRow(msgspec.Struct, frozen=True):
    """A model that a service's engines run."""

    name: str


class EngineRow(msgspec.Struct, frozen=True):
    """The engines of a service."""

    slots: Number = 1
    """Requests that one engine processes concurrently."""
    kv_capacity: Number = 0
    """Tokens that fit into one engine's memory, for running requests and cached prompt parts together."""
    models: tuple[EngineModelRow, ...] = ()


class ServiceRow(msgspec.Struct, frozen=True):
    """A service as the operator writes it."""

    name: str
    max_conns: Number = 0
    """Connections that one back end accepts from all callers together."""
    engine: EngineRow | None = None
    kv_store_addr: str = ""
    """``IP:PORT`` if this service is a KV store, which accepts no requests."""
    zone: str = ""
    """Zone of the KV store."""


TOKENS_UNIT = "tokens"
"""Unit of a limit that counts tokens. With any other unit, also an unknown one, a limit counts requests."""


class TenantRow(msgspec.Struct, frozen=True):
    """A tenant as the operator writes it."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: Number | None = None
    """Overrides the route's priority."""
    isolated: bool = False
    """Whether its cached prompt parts are not shared with other tenants."""
    rate_per_s: Rate = 0.0
    """Limit over all nodes together, in ``unit`` per second; 0 for no limit."""
    burst: Rate = 0.0
    """Burst that the limit permits after a quieter time, in ``unit``."""
    unit: str = ""
    plain_tokens: Number = 1
    """Tokens charged for a request that declares no token count."""


class LimitsRow(msgspec.Struct, frozen=True):
    """Limits on what callers may send and how long their connections may be idle."""

    max_body_bytes: Number = 4 * 1024 * 1024
    idle_timeout_ms: Milliseconds = 60_000
    """Milliseconds for which callers may leave a connection idle."""


class ConfigRow(msgspec.Struct, frozen=True):
    """The operators' complete configuration."""

    version: Number
    """Increases with each change, not always by one."""
    routes: tuple[RouteRow, ...] = ()
    services: tuple[ServiceRow, ...] = ()
    limits: LimitsRow = LimitsRow()
    tenants: tuple[TenantRow, ...] = ()


class WeightsVersionRow(msgspec.Struct, frozen=True):
    """A weights version that operators announce and that every engine of the model must load."""

    model: str
    version: Number


class RolloutOrderRow(msgspec.Struct, frozen=True):
    """An order to replace the software version of a service."""

    service: NonEmptyName
    target_version: NonEmptyName
    """A software version, not a weights version."""
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_ROLLOUT_S)]
    """Seconds within which the rollout must end."""


class RolloutStatusRow(msgspec.Struct, frozen=True):
    """Status of a rollout, for operators."""

    state: str
    """``running``, ``complete`` or ``rolled_back``."""
    target_version: str
    service: str


class LoadedModelRow(msgspec.Struct, frozen=True):
    """A model that a back end has loaded, and its weights version."""

    name: Name
    version: NonNegativeInt = 0


class BackendRow(msgspec.Struct, frozen=True):
    """Entry that a back end has in the platform's table."""

    service: NonEmptyName
    addr: str
    """Address at which it accepts requests, ``IP:PORT``."""
    zone: Name = ""
    slots: Slots = 1
    state: Literal["ready", "draining"] = READY_STATE
    version: Name = ""
    """Software version, not a weights version."""
    cold_left_ms: Annotated[float, msgspec.Meta(le=MAX_COLD_MS)] = 0.0
    """Milliseconds for which it stays slow after its start, as of when the entry was written."""
    models: tuple[LoadedModelRow, ...] = ()
    born: Annotated[int, msgspec.Meta(ge=0)] | msgspec.UnsetType = msgspec.UNSET
    """Start time in Unix milliseconds; differs between starts of a worker under the same id."""


@raises_only_msgspec_errors
def decode_config(value: bytes) -> DeploymentConfig:
    """Decode the operators' configuration. Raises ``msgspec.MsgspecError``."""
    row = decode_value(value, ConfigRow)
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
    """Return a service. A KV store whose address is none cannot be used; the rest of the configuration holds."""
    engines = None
    if row.engine is not None:
        models = tuple(model.name for model in row.engine.models)
        engines = EngineTraits(row.engine.slots, row.engine.kv_capacity, models)
    address, error = None, ""
    if row.kv_store_addr:
        try:
            address = parse_address(row.kv_store_addr)
        except InvalidAddressError as invalid:
            error = str(invalid)
    return Service(row.name, row.max_conns, engines, address, row.zone, error)


@raises_only_msgspec_errors
def decode_weights_version(value: bytes) -> tuple[str, int]:
    """Return a model and the weights version announced for it. Raises ``msgspec.MsgspecError``."""
    row = decode_value(value, WeightsVersionRow)
    return row.model, row.version


@raises_only_msgspec_errors
def decode_rollout_order(key: str, value: bytes, version: int) -> RolloutOrder:
    """Decode a rollout order and check it against its key. Raises ``msgspec.MsgspecError``."""
    row = decode_value(value, RolloutOrderRow)
    if key != names.ROLLOUT_KEY_PREFIX + row.service:
        raise msgspec.ValidationError(f"the order is for service {row.service}, but its key names another service")
    return RolloutOrder(row.service, row.target_version, row.duration_s, version)


def encode_rollout_status(record: RolloutRecord) -> str:
    """Return the value of a rollout's status row."""
    state = record.phase.value if record.phase.is_final else RUNNING_STATE
    return msgspec.json.encode(RolloutStatusRow(state, record.target_version, record.service)).decode()


@raises_only_msgspec_errors
def decode_backend(incarnation: str, value: bytes) -> BackendRecord:
    """Decode a back end's entry and check its address. Raises ``msgspec.MsgspecError``."""
    _require_incarnation(incarnation)
    row = decode_value(value, BackendRow)
    if row.born is not msgspec.UNSET and row.born > MAX_START_UNIX_MS:
        raise msgspec.ValidationError("the start time is too large")
    return BackendRecord(
        incarnation=incarnation,
        service=row.service,
        address=_parse_address(row.addr),
        zone=row.zone,
        slots=row.slots,
        draining=row.state != READY_STATE,
        versions={model.name: model.version for model in row.models if model.version},
        software=row.version,
        slow_for_s=max(0.0, row.cold_left_ms / 1000),
        started_unix_ms=None if row.born is msgspec.UNSET else row.born,
    )


def _parse_address(text: str) -> Address:
    """Parse an address of a row. Raises :class:`msgspec.ValidationError`."""
    try:
        return parse_address(text)
    except InvalidAddressError as error:
        raise msgspec.ValidationError(f"address: {error}") from error


def _require_incarnation(key: str) -> None:
    """Raise ``msgspec.ValidationError`` if an entry's key cannot name a back end.

    Requests name their back end in a header field. Control characters would end the field, and blanks at the ends
    of its value would be removed, so that no back end could answer under such a name.
    """
    if not key or not key.isprintable() or key != key.strip():
        raise msgspec.ValidationError("the key cannot stand in a header field")
    if len(key.encode()) > MAX_KEY_BYTES:
        raise msgspec.ValidationError(f"the key has more than {MAX_KEY_BYTES} bytes")
