"""Look-up of routes by host and longest path prefix, and of tenants by credential."""

import pytest

from wallwell.deployment.routes import DeploymentConfig, Route, RouteKind, TenantAccess, WeightedService


def route(name, host="a.example", prefix="/", kind=RouteKind.SAFE, resumable=False):
    services = (WeightedService("s", 1.0),)
    return Route(name, host, prefix, kind, services, timeout_s=2.0, objective_s=0.3, resumable=resumable)


CONFIG = DeploymentConfig(
    version=3,
    routes=(route("root"), route("x", prefix="/x/"), route("xy", prefix="/x/y/"), route("other", host="b.example")),
    tenants=(TenantAccess("t1", ("k1", "k2")), TenantAccess("t2", ("k3",), rank=0, isolated=True)),
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/x/y/z", "xy"),
        ("a.example", "/x/yy", "x"),
        ("a.example", "/x", "root"),
        ("a.example", "/xx/", "root"),
        ("b.example", "/x/y/", "other"),
        ("c.example", "/", None),
        ("", "/", None),
    ],
)
def test_the_longest_matching_prefix_of_the_host_is_chosen(host, path, expected):
    found = CONFIG.find_route(host, path)
    assert (found.name if found else None) == expected


@pytest.mark.parametrize(("key", "tenant"), [("k1", "t1"), ("k2", "t1"), ("k3", "t2"), ("k4", None), ("", None)])
def test_a_credential_belongs_to_one_tenant(key, tenant):
    found = CONFIG.find_tenant(key)
    assert (found.name if found else None) == tenant


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        (RouteKind.SAFE, False, True),
        (RouteKind.UNSAFE, False, False),
        (RouteKind.STREAM, False, False),
        (RouteKind.STREAM, True, True),
        (RouteKind.UNSAFE, True, False),
    ],
)
def test_which_requests_may_be_sent_again(kind, resumable, repeatable):
    assert route("r", kind=kind, resumable=resumable).repeatable is repeatable
