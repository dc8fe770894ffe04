"""Access decisions, by the configuration and how recently it was confirmed."""

import pytest

from wallwell.deployment.freshness import ConfigurationFreshness
from wallwell.deployment.routes import (
    CallerBounds,
    DeploymentConfig,
    Route,
    RouteKind,
    TenantAccess,
    WeightedService,
)
from wallwell.routing.admission.access import (
    AccessRequest,
    Denial,
    Granted,
    RevocationBound,
    decide_access,
    is_fresh_enough,
)

TENANT = TenantAccess("t", ("key",))
MAX_BODY_BYTES = 10


def make_route(prefix, **options):
    return Route(prefix, "h", prefix, RouteKind.SAFE, (WeightedService("svc", 1.0),), 4.0, 0.4, 2, **options)


PRIVATE, PUBLIC = make_route("/private"), make_route("/public", public=True)
CONFIG = DeploymentConfig(1, (PRIVATE, PUBLIC), tenants=(TENANT,), bounds=CallerBounds(MAX_BODY_BYTES))
CONFIG_WITHOUT_TENANTS = DeploymentConfig(1, (PRIVATE,), bounds=CallerBounds(MAX_BODY_BYTES))


@pytest.mark.parametrize(
    ("path", "credential", "body_bytes", "expected_if_fresh", "expected_if_stale"),
    [
        ("/private", "key", 0, Granted(PRIVATE, TENANT), Denial.STALE_CREDENTIAL),
        ("/private", "other", 0, Denial.UNKNOWN_CREDENTIAL, Denial.STALE_CREDENTIAL),
        ("/private", "", 0, Denial.UNKNOWN_CREDENTIAL, Denial.STALE_CREDENTIAL),
        ("/private", "other", MAX_BODY_BYTES + 1, Denial.UNKNOWN_CREDENTIAL, Denial.STALE_CREDENTIAL),
        ("/private", "key", MAX_BODY_BYTES, Granted(PRIVATE, TENANT), Denial.STALE_CREDENTIAL),
        ("/private", "key", MAX_BODY_BYTES + 1, Denial.BODY_TOO_LARGE, Denial.STALE_CREDENTIAL),
        ("/public", "", 0, Granted(PUBLIC, None), Granted(PUBLIC, None)),
        ("/public", "other", 0, Granted(PUBLIC, None), Granted(PUBLIC, None)),
        ("/public", "key", 0, Granted(PUBLIC, TENANT), Granted(PUBLIC, TENANT)),
        ("/public", "", MAX_BODY_BYTES + 1, Denial.BODY_TOO_LARGE, Denial.BODY_TOO_LARGE),
        ("/elsewhere", "key", 0, Denial.UNKNOWN_ROUTE, Denial.STALE_ROUTE),
    ],
)
def test_access_decision_by_configuration_age(path, credential, body_bytes, expected_if_fresh, expected_if_stale):
    request = AccessRequest("h", path, credential, body_bytes)
    assert decide_access(CONFIG, True, request) == expected_if_fresh
    assert decide_access(CONFIG, False, request) == expected_if_stale


@pytest.mark.parametrize("is_fresh", [True, False])
def test_no_credential_is_needed_without_tenants(is_fresh):
    request = AccessRequest("h", "/private", "", 0)
    assert decide_access(CONFIG_WITHOUT_TENANTS, is_fresh, request) == Granted(PRIVATE, None)


@pytest.mark.parametrize("is_fresh", [True, False])
def test_no_request_is_admitted_without_configuration(is_fresh):
    assert decide_access(None, is_fresh, AccessRequest("h", "/private", "key", 0)) is Denial.NO_CONFIGURATION


@pytest.mark.parametrize(
    ("is_strict", "age_s", "is_fresh"),
    [(True, 4.5, True), (True, 4.75, False), (False, 1e9, True)],
)
def test_configuration_is_fresh_until_the_bound_minus_its_margin(is_strict, age_s, is_fresh):
    bound = RevocationBound(is_strict, revocation_s=5.0, margin_s=0.5)
    assert is_fresh_enough(ConfigurationFreshness(100.0), bound, 100.0 + age_s) is is_fresh
