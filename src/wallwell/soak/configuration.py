"""What the operator of a run puts in force, and the bounds in the routers' settings."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from wallwell.soak.caller_process import MODEL, PATHS, ROUTE_HOST
from wallwell.soak.history import RequestKind
from wallwell.soak.schedule import (
    ENGINE_SLOTS,
    EXPOSURE_REQUESTS,
    EXPOSURE_SHARE,
    LIMIT_BURST,
    LIMIT_RATE_PER_S,
    LIMITED_KEY,
    REVOKE_S,
    ROLLBACK_S,
    ROUTE_TIMEOUT_S,
    VERSION_S,
)
from wallwell.soak.timeline import CONTACT_S

ENGINES = "engines"
ORDERS = "orders"
KV_STORE = "kept-parts"
BOUNDS: Mapping[str, object] = {
    "strict_revoke": True,
    "revoke_ms": REVOKE_S * 1000,
    "retry_budget_ratio": 0.2,
    "retry_budget_extra": 50,
    "lease_ms": 2000,
    "contact_ms": CONTACT_S * 1000,
    "version_ms": VERSION_S * 1000,
    "exposure_share": EXPOSURE_SHARE,
    "exposure_slack": EXPOSURE_REQUESTS,
    "rollback_ms": ROLLBACK_S * 1000,
}
"""Bounds of the routers' settings; shorter than a deployment's, so that runs of seconds reach them. The grace
time depends on a run's shape."""


def configuration(
    version: int,
    keys: tuple[str, ...],
    engine_slots: int = ENGINE_SLOTS,
    more_routes: int = 0,
    route_timeout_s: float = ROUTE_TIMEOUT_S,
    isolated: Collection[str] = (),
    kv_store: str = "",
) -> dict[str, object]:
    """Return the operator's configuration: a route for each kind of request and more that nobody uses, a tenant
    for each key, isolated if its key is in ``isolated``, and a KV store if it has an address."""
    unused = [
        {**_route(RequestKind.SAFE, route_timeout_s), "name": f"added-{number}", "path_prefix": f"/added/{number}/"}
        for number in range(more_routes)
    ]
    engine = {"slots": engine_slots, "models": [{"name": MODEL}]}
    return {
        "version": version,
        "routes": [*(_route(kind, route_timeout_s) for kind in RequestKind), *unused],
        "services": [
            {"name": ENGINES, "max_conns": 400, "engine": engine},
            {"name": ORDERS, "max_conns": 400},
            *([{"name": KV_STORE, "kv_store_addr": kv_store, "zone": "z0"}] if kv_store else []),
        ],
        "tenants": [_tenant(key, key in isolated) for key in keys],
    }


def tenant_name(key: str) -> str:
    """Return the name of the tenant that has a key."""
    return f"tenant-{key}"


def _tenant(key: str, is_isolated: bool) -> dict[str, object]:
    limit = {"rate_per_s": LIMIT_RATE_PER_S, "burst": LIMIT_BURST} if key == LIMITED_KEY else {}
    isolated = {"isolated": True} if is_isolated else {}
    return {"name": tenant_name(key), "api_keys": [key], **limit, **isolated}


def _route(kind: RequestKind, timeout_s: float) -> dict[str, object]:
    return {
        "name": kind.value,
        "host": ROUTE_HOST,
        "path_prefix": PATHS[kind],
        "kind": RequestKind.STREAM.value if kind.is_stream else kind.value,
        "service": ENGINES if kind.is_stream else ORDERS,
        "timeout_ms": round(timeout_s * 1000),
        "slo_ms": 500,
        "gap_slo_ms": 300,
        "attempts": 2,
        "can_resume": kind is RequestKind.RESUMABLE,
    }
