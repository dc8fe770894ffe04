"""Numbers by which operators say "no limit": they were accepted, and a configuration with them must stay valid.

A configuration that is refused as a whole leaves a starting node without one, and keeps revoked keys in force at
the others, so that no number which a timer or a sum can bear may refuse it.
"""

import msgspec
import pytest

from wallwell.platform.rows import decode_config

LARGEST = 2**63 - 1
"""Largest number of 64 bits, which stands for no limit in many programs."""
ROUTE = {"host": "h", "path_prefix": "/", "kind": "safe", "timeout_ms": 1000}


@pytest.mark.parametrize(
    "part",
    [
        {"version": LARGEST},
        {"limits": {"max_body_bytes": LARGEST}},
        {"limits": {"idle_timeout_ms": LARGEST}},
        {"services": [{"name": "svc", "max_conns": LARGEST}]},
        {"services": [{"name": "svc", "engine": {"kv_capacity": LARGEST}}]},
        {"routes": [{**ROUTE, "attempts": LARGEST}]},
        {"routes": [{**ROUTE, "timeout_ms": LARGEST}]},
        {"tenants": [{"name": "t", "rate_per_s": LARGEST, "burst": LARGEST}]},
    ],
    ids=str,
)
def test_a_configuration_without_a_limit_is_accepted(part):
    """Guards against bounds on numbers that refuse a whole configuration which earlier builds put in force."""
    config = decode_config(msgspec.json.encode({"version": 1, **part}))
    assert config.version == part.get("version", 1)
