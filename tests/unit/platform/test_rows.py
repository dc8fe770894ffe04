"""Decoding of the store's rows into wallwell's types, and encoding of the rollout status."""

import json

import msgspec
import pytest

from wallwell.deployment.routes import TenantLimit
from wallwell.platform.rows import decode_config, decode_rollout_order, encode_rollout_status
from wallwell.rollout.model import Phase, RolloutOrder, RolloutRecord


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
            TenantLimit(300, 400, counts_tokens=True, default_request_tokens=200),
        ),
        ({"rate_per_s": 3, "burst": 4, "unit": "requests"}, TenantLimit(3, 4)),
        ({"rate_per_s": 3, "burst": 4}, TenantLimit(3, 4)),
        ({"rate_per_s": 3, "burst": 4, "unit": "something new"}, TenantLimit(3, 4)),
        ({"rate_per_s": 3}, TenantLimit(3, 0)),
    ],
)
def test_tenant_limit(fields, limit):
    assert tenant_of(**fields).limit == limit


def rollout_order(key="rollout/svc", **fields):
    body = {"service": "svc", "target_version": "v2", "duration_s": 20, **fields}
    return decode_rollout_order(key, json.dumps(body).encode(), 7)


def test_rollout_order_is_decoded():
    assert rollout_order() == RolloutOrder("svc", "v2", 20.0, 7)


@pytest.mark.parametrize(
    "fields",
    [
        {"key": "rollout/other"},
        {"service": ""},
        {"target_version": ""},
        {"target_version": 2},
        {"duration_s": 0},
        {"duration_s": "long"},
        {"duration_s": None},
    ],
)
def test_malformed_rollout_order_is_rejected(fields):
    with pytest.raises(msgspec.ValidationError):
        rollout_order(**fields)


@pytest.mark.parametrize(
    ("phase", "state"),
    [
        (Phase.CANARY, "running"),
        (Phase.SWITCHING, "running"),
        (Phase.COMPLETE, "complete"),
        (Phase.ROLLED_BACK, "rolled_back"),
    ],
)
def test_rollout_status(phase, state):
    record = RolloutRecord("svc", "v2", 7, 0.0, 20.0, phase)
    expected = {"state": state, "target_version": "v2", "service": "svc"}
    assert json.loads(encode_rollout_status(record)) == expected
