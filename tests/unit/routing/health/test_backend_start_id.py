"""A start's identity fits into the key of a crash's row, whatever its back end is called."""

import pytest

from wallwell.address import Address
from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health.backend import MAX_START_ID_BYTES, Backend


def start_id(incarnation, started_unix_ms):
    record = BackendRecord(incarnation, "svc", Address("10.0.0.1", 80), "z", 8, started_unix_ms=started_unix_ms)
    return Backend(record).start_id


@pytest.mark.parametrize(("started", "expected"), [(None, "i-1"), (1700000000000, "i-1@1700000000000")])
def test_short_identity_names_incarnation_and_start(started, expected):
    assert start_id("i-1", started) == expected


def test_long_identity_is_a_digest_that_tells_starts_apart():
    """Guards against a key of a row that has more bytes than the store allows."""
    name = "é" * 100
    identities = {start_id(name, started) for started in (None, 1, 2)} | {start_id(name[:-1] + "e", 1)}
    assert len(identities) == 4
    assert all(len(identity.encode()) <= MAX_START_ID_BYTES for identity in identities)
