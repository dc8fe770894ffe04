"""Tenants as operators configure them, and their limits. Pure, immutable.

Part of one version of the operators' configuration (:mod:`wallwell.deployment.routes`).
"""

from __future__ import annotations

import msgspec


class FleetRate(msgspec.Struct, frozen=True):
    """Rate limit of all nodes together: ``rate_per_s`` on average, and up to ``burst`` unused units at once."""

    rate_per_s: float
    burst: float


class TenantLimit(FleetRate, frozen=True):
    """Rate limit of one tenant on all nodes together."""

    counts_tokens: bool = False
    """Whether the limit counts tokens rather than requests."""
    default_request_tokens: int = 1
    """Cost in tokens of a request that declares no token count."""

    def request_cost(self, declared_tokens: int | None) -> int:
        """Return a request's cost in tokens or requests; ``declared_tokens`` is its prompt and maximum output."""
        if not self.counts_tokens:
            return 1
        return self.default_request_tokens if declared_tokens is None else declared_tokens


class TenantAccess(msgspec.Struct, frozen=True):
    """A tenant's credentials, rank and limit, and whether its cache is ``isolated`` from all other tenants."""

    name: str
    credentials: tuple[str, ...]
    rank: int | None = None
    isolated: bool = False
    limit: TenantLimit | None = None
