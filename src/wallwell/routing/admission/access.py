"""Whether a caller's request is admitted, and whether this node's configuration is recent enough to decide. Pure.

Inputs are the configuration in force, whether it was confirmed recently enough, and the request's address,
credential and size. The order of the checks is part of the decision: with an old configuration, a node answers 503
(to be retried) wherever a newer one could change the decision, and refuses definitely (404, 401, 413) elsewhere.
Public routes and deployments without tenants need no credential, so they are served with an old configuration too.

``serving/admission.py`` raises the error that belongs to a denial; ``fleet_limits`` decides on tenants' limits.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from wallwell.deployment.freshness import ConfigurationFreshness
from wallwell.deployment.routes import DeploymentConfig, Route
from wallwell.deployment.tenants import TenantAccess


class Denial(enum.Enum):
    """Why a request is not admitted. The values are sent to callers as the error's detail."""

    NO_CONFIGURATION = "no configuration received yet"
    STALE_ROUTE = "no route for this host and path in a configuration that may be out of date"
    """This configuration has no route, but a newer one may have one."""
    UNKNOWN_ROUTE = "no route for this host and path"
    STALE_CREDENTIAL = "the credential cannot be verified: the configuration may be out of date"
    """A credential is needed, and it may have been added or revoked since the configuration was confirmed."""
    UNKNOWN_CREDENTIAL = "the credential belongs to no tenant"
    BODY_TOO_LARGE = "body is larger than the limit"


class Granted(NamedTuple):
    """The request may be served."""

    route: Route
    tenant: TenantAccess | None
    """The tenant that sends the request; None if the request needs no credential and has none that is known."""


class AccessRequest(NamedTuple):
    """The parts of a request that decide on its access."""

    host: str
    path: str
    credential: str
    body_bytes: int


class RevocationBound(NamedTuple):
    """How long after its revocation a credential may still be accepted, as operators set it. Times in seconds."""

    is_strict: bool
    """Whether the bound is enforced; otherwise the node uses its configuration whatever its age."""
    revocation_s: float
    margin_s: float
    """How much before the bound a confirmation expires, to allow for delays that are not measured."""


def is_fresh_enough(freshness: ConfigurationFreshness, bound: RevocationBound, arrival_s: float) -> bool:
    """Whether a request that arrived at ``arrival_s`` may be decided with this node's configuration."""
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
