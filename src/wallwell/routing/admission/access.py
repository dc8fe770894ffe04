"""May this caller ask, and is what the node knows fresh enough to say so. Pure.

Inputs are the configuration in force, whether it was confirmed recently enough, and what the request says of
itself. The order of the checks is part of the decision: a node whose knowledge is old answers "not sure" (503, to
be retried) wherever newer configuration could change the answer, and a definite refusal (404, 401, 413) elsewhere.
Public routes and deployments without tenants need no credential, so they are served on old knowledge too.

``serving/admission.py`` raises the error that belongs to a denial; tenants' limits are in ``fleet_limits``.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from wallwell.deployment.freshness import ConfigurationFreshness
from wallwell.deployment.routes import DeploymentConfig, Route, TenantAccess


class Denial(enum.Enum):
    """Why a request is not admitted. The values are sent to callers as the error's detail."""

    NO_CONFIGURATION = "no configuration yet"
    STALE_ROUTE = "the route may be newer"
    """No route is known, but a newer configuration may have one."""
    UNKNOWN_ROUTE = "no route for this host and path"
    STALE_CREDENTIAL = "credentials cannot be confirmed"
    """A credential is needed, and what is known of it may have been revoked meanwhile."""
    UNKNOWN_CREDENTIAL = "the credential belongs to no tenant"
    BODY_TOO_LARGE = "body is larger than the limit"


class Granted(NamedTuple):
    """The request may be served."""

    route: Route
    tenant: TenantAccess | None
    """Who asks; None if nobody has to say so and the request does not."""


class AccessRequest(NamedTuple):
    """What a request says of itself."""

    host: str
    path: str
    credential: str
    body_bytes: int


class RevocationBound(NamedTuple):
    """How long after its removal a credential may still be accepted, as the operators set it. Times in seconds."""

    is_strict: bool
    """Whether the bound holds; else the node relies on what it knows, however old."""
    revocation_s: float
    margin_s: float
    """How much earlier the node stops relying on a confirmation, for what is not measured on its way."""


def is_fresh_enough(freshness: ConfigurationFreshness, bound: RevocationBound, arrival_s: float) -> bool:
    """Whether a request that arrived then may rely on the configuration known here."""
    return not bound.is_strict or freshness.is_within_bound(arrival_s, bound.revocation_s - bound.margin_s)


def decide_access(config: DeploymentConfig | None, is_fresh: bool, request: AccessRequest) -> Granted | Denial:
    """Return the route and tenant of a request, or why it is not admitted."""
    if config is None:
        return Denial.NO_CONFIGURATION
    route = config.find_route(request.host, request.path)
    if route is None:
        return Denial.UNKNOWN_ROUTE if is_fresh else Denial.STALE_ROUTE
    needs_tenant = bool(config.tenants) and not route.public
    if needs_tenant and not is_fresh:
        return Denial.STALE_CREDENTIAL
    tenant = config.find_tenant(request.credential) if needs_tenant or request.credential else None
    if needs_tenant and tenant is None:
        return Denial.UNKNOWN_CREDENTIAL
    if request.body_bytes > config.bounds.max_body_bytes:
        return Denial.BODY_TOO_LARGE
    return Granted(route, tenant)
