"""Rows of the store become the product's types."""

import json

import pytest

from wallwell.deployment.routes import TenantLimit
from wallwell.platform.rows import decode_config


def tenant_of(**fields):
    body = {"version": 1, "tenants": [{"name": "t", "api_keys": ["k"], **fields}]}
    (tenant,) = decode_config(json.dumps(body).encode()).tenants
    return tenant


@pytest.mark.parametrize(
    ("fields", "limit"),
    [
        ({}, None),
        ({"rate_per_s": 0, "burst": 10, "unit": "tokens"}, None),
        (
            {"rate_per_s": 300, "burst": 400, "unit": "tokens", "plain_tokens": 200},
            TenantLimit(300, 400, counts_tokens=True, plain_tokens=200),
        ),
        ({"rate_per_s": 3, "burst": 4, "unit": "requests"}, TenantLimit(3, 4)),
        ({"rate_per_s": 3, "burst": 4}, TenantLimit(3, 4)),
        ({"rate_per_s": 3, "burst": 4, "unit": "something new"}, TenantLimit(3, 4)),
        ({"rate_per_s": 3}, TenantLimit(3, 0)),
    ],
)
def test_limit_of_a_tenant(fields, limit):
    assert tenant_of(**fields).limit == limit
