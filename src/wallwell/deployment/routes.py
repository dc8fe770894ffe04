"""Routes, services and tenants in force: typed, immutable, looked up by host, path and credential. Pure.

Owns one whole version of the operators' configuration. Relies on ``platform/`` to have decoded and checked the
rows; a new version replaces the old one as a whole. Times are seconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from functools import cached_property

import msgspec


class RouteKind(enum.Enum):
    """Whether requests of a route may be retried, and the form of its answers."""

    SAFE = "safe"
    """Calls that may run more than once."""
    UNSAFE = "unsafe"
    """Calls that run at most once."""
    STREAM = "stream"
    """Generations answered as a series of events."""


class WeightedService(msgspec.Struct, frozen=True):
    """A service that gets a share of a route's requests: ``weight`` by the sum of the weights."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Requests of one host under one path prefix. Times are in seconds."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int = 1
    rank: int = 5
    """Urgency, 0 first; a tenant's own rank goes before it."""
    public: bool = False
    """Whether requests need no credential."""
    resumable: bool = False
    """Whether a stream that ended early may be continued by another run."""
    max_gap_s: float = 0.5
    """Longest gap between two events of a stream that its objective allows; a stall is a multiple of it."""

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.resumable)


class EngineTraits(msgspec.Struct, frozen=True):
    """What the operator says of a service's engines. ``kv_tokens`` is the memory of one engine."""

    slots: int
    kv_tokens: int
    models: tuple[str, ...]


class Service(msgspec.Struct, frozen=True):
    """A group of back ends that run the same requests."""

    name: str
    max_connections: int = 0
    """Connections that one back end takes from all callers together; decoded for operators, used by no decision."""
    engines: EngineTraits | None = None
    kv_store_address: str = ""
    """Set for a store of kept KV cache, which takes no requests."""
    zone: str = ""


class FleetRate(msgspec.Struct, frozen=True):
    """What all nodes together may do: ``rate_per_s``, and ``burst`` saved up from quieter times."""

    rate_per_s: float
    burst: float


class TenantLimit(FleetRate, frozen=True):
    """What all nodes together may serve of a tenant."""

    counts_tokens: bool = False
    """Whether the amounts are tokens; requests otherwise."""
    default_request_tokens: int = 1
    """What a request without a token count of its own costs."""

    def request_cost(self, declared_tokens: int | None) -> int:
        """Return what a request costs; ``declared_tokens`` is its prompt and its largest output."""
        if not self.counts_tokens:
            return 1
        return self.default_request_tokens if declared_tokens is None else declared_tokens


class TenantAccess(msgspec.Struct, frozen=True):
    """A tenant, its credentials, its limit, and whether its cache is shared with no other tenant."""

    name: str
    credentials: tuple[str, ...]
    rank: int | None = None
    isolated: bool = False
    limit: TenantLimit | None = None


class CallerBounds(msgspec.Struct, frozen=True):
    """What a caller may send and how long a connection may rest."""

    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 60.0


@dataclass(frozen=True)
class DeploymentConfig:
    """One whole version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...] = ()
    tenants: tuple[TenantAccess, ...] = ()
    bounds: CallerBounds = field(default_factory=CallerBounds)

    @cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        return by_host

    @cached_property
    def _tenant_by_credential(self) -> dict[str, TenantAccess]:
        return {key: tenant for tenant in self.tenants for key in tenant.credentials}

    @cached_property
    def limits_by_tenant(self) -> dict[str, TenantLimit]:
        """Limits of the tenants that have one."""
        return {tenant.name: tenant.limit for tenant in self.tenants if tenant.limit is not None}

    @cached_property
    def kv_stores(self) -> tuple[Service, ...]:
        """Stores of kept KV cache."""
        return tuple(service for service in self.services if service.kv_store_address)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix that begins ``path``."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_tenant(self, credential: str) -> TenantAccess | None:
        """Return the tenant that holds ``credential``."""
        return self._tenant_by_credential.get(credential)
