"""Routes, services and tenants: typed, immutable, looked up by host, path and credential. Pure.

Holds one complete version of the operators' configuration; a new version replaces it as a whole. Relies on
``platform/`` to have decoded and validated the rows. Times are in seconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from functools import cached_property

import msgspec

from wallwell.address import Address
from wallwell.deployment.cache_groups import CacheGroups
from wallwell.deployment.tenants import TenantAccess, TenantLimit


class RouteKind(enum.Enum):
    """Kind of a route: whether its requests may be retried, and the form of its answers."""

    SAFE = "safe"
    """Calls that may run more than once."""
    UNSAFE = "unsafe"
    """Calls that must run at most once."""
    STREAM = "stream"
    """Generations, answered as a stream of events."""


class WeightedService(msgspec.Struct, frozen=True):
    """A service that receives a share of a route's requests: ``weight`` divided by the sum of all weights."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Settings for the requests to one host under one path prefix. Times are in seconds."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int = 1
    rank: int = 5
    """Priority, 0 is the highest; a tenant's own rank overrides it."""
    public: bool = False
    """Whether requests are admitted without a credential."""
    resumable: bool = False
    """Whether a stream that broke off may be continued by another attempt."""
    max_gap_s: float = 0.5
    """Objective for the longest gap between two events of a stream; a multiple of this gap counts as a stall."""

    @property
    def repeatable(self) -> bool:
        """Whether a request that may already have run can be sent again."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.resumable)


class EngineTraits(msgspec.Struct, frozen=True):
    """Properties of a service's engines; ``kv_tokens`` is the size of one engine's KV cache in tokens."""

    slots: int
    kv_tokens: int
    models: tuple[str, ...]


class Service(msgspec.Struct, frozen=True):
    """A group of back ends that can serve the same requests."""

    name: str
    max_connections: int = 0
    """Connections that one back end accepts from all callers together; informational, used by no decision."""
    engines: EngineTraits | None = None
    kv_store_address: Address | None = None
    """Address of a KV store; set only for KV stores that can be used, which take no requests."""
    zone: str = ""
    kv_store_error: str = ""
    """Why a KV store cannot be used; empty for other services. It takes no requests either."""


class CallerBounds(msgspec.Struct, frozen=True):
    """Maximum size of a request body, and how long a caller's connection may be idle."""

    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 60.0


@dataclass(frozen=True)
class DeploymentConfig:
    """One complete version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...] = ()
    tenants: tuple[TenantAccess, ...] = ()
    bounds: CallerBounds = field(default_factory=CallerBounds)

    @cached_property
    def max_run_tokens(self) -> int | None:
        """Most tokens that a request can have on any engine: an engine refuses what does not fit into its KV cache.
        None if there is no engine, or if the size of one is not known."""
        sizes = [service.engines.kv_tokens for service in self.services if service.engines is not None]
        return max(sizes) if sizes and min(sizes) > 0 else None

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
        """Limits by tenant name, of the tenants that have a limit."""
        return {tenant.name: tenant.limit for tenant in self.tenants if tenant.limit is not None}

    @cached_property
    def cache_groups(self) -> CacheGroups:
        """Which tenants may use each other's KV cache."""
        return CacheGroups(self.tenants)

    @cached_property
    def kv_stores(self) -> tuple[Service, ...]:
        """The services that are KV stores and can be used."""
        return tuple(service for service in self.services if service.kv_store_address is not None)

    @cached_property
    def unusable_kv_stores(self) -> tuple[Service, ...]:
        """The services that are KV stores and cannot be used, since the text of their address is none."""
        return tuple(service for service in self.services if service.kv_store_error)

    @cached_property
    def longest_stream_s(self) -> dict[str, float]:
        """Longest time in seconds that an answer on a route with resumable streams may take, by service."""
        longest: dict[str, float] = {}
        for route in self.routes:
            if route.kind is RouteKind.STREAM and route.resumable:
                for each in route.services:
                    longest[each.service] = max(route.timeout_s, longest.get(each.service, 0.0))
        return longest

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix that matches ``path``, None if no prefix does."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_tenant(self, credential: str) -> TenantAccess | None:
        """Return the tenant that holds ``credential``, None if no tenant does."""
        return self._tenant_by_credential.get(credential)
