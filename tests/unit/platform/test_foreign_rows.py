"""Invalid rows of other writers in the store: they are rejected, define no back end and affect no other row."""

import base64

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from wallwell.address import parse_address
from wallwell.cluster.row_messages import reply_with_rows, unpack_rows
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.routes import DeploymentConfig
from wallwell.platform.rows import decode_backend, decode_config, decode_rollout_order, decode_weights_version
from wallwell.platform.store_wire import StoredRow, to_feed_row
from wallwell.rollout.model import RolloutOrder
from wallwell.storage.feed import FeedPage

ENTRY = {"service": "svc", "addr": "10.0.0.1:80", "zone": "z1", "slots": 4, "state": "ready", "version": "v1"}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=6,
)
FIELDS = ("service", "addr", "zone", "slots", "state", "version", "cold_left_ms", "models", "born")
DECODERS = {
    "backend": (lambda value: decode_backend("i-1", value), BackendRecord),
    "configuration": (decode_config, DeploymentConfig),
    "weights version": (decode_weights_version, tuple),
    "rollout": (lambda value: decode_rollout_order("rollout/svc", value, 1), RolloutOrder),
}


def encoded(**changes):
    return msgspec.json.encode({**ENTRY, **changes})


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"{",
        b"[]",
        b"null",
        encoded(service=7),
        encoded(service=""),
        encoded(addr=None),
        encoded(addr=""),
        encoded(addr="10.0.0.1"),
        encoded(addr="10.0.0.1:x"),
        encoded(addr="10.0.0.1:0"),
        encoded(addr="10.0.0.1:70000"),
        encoded(slots="4"),
        encoded(slots=-1),
        encoded(state="resting"),
        encoded(state=3),
        encoded(models={}),
        encoded(born="1"),
        encoded(born=1.5),
        encoded(born=-1),
        encoded(born=None),
        b'{"service":"svc","addr":"10.0.0.1:80","more":' + 100_000 * b"[" + 100_000 * b"]" + b"}",
        msgspec.json.encode({key: value for key, value in ENTRY.items() if key != "addr"}),
    ],
    ids=lambda value: value[:90].decode(errors="replace"),
)
def test_invalid_back_end_entry_is_rejected(value):
    with pytest.raises(msgspec.MsgspecError):
        decode_backend("i-1", value)


@pytest.mark.parametrize("changes", [{}, {"state": "draining"}, {"born": 0}, {"born": 2**63}, {"seq": 9}])
def test_valid_back_end_entry_is_decoded(changes):
    assert decode_backend("i-1", encoded(**changes)).address == parse_address("10.0.0.1:80")


@pytest.mark.parametrize("kind", DECODERS)
@given(value=st.binary(max_size=60) | JSON.map(msgspec.json.encode))
def test_any_bytes_are_decoded_or_rejected(kind, value):
    decode, expected = DECODERS[kind]
    try:
        assert isinstance(decode(value), expected)
    except msgspec.MsgspecError:
        pass


@given(changes=st.dictionaries(st.sampled_from(FIELDS), JSON, min_size=1, max_size=3))
def test_entry_with_fields_of_any_type_is_decoded_or_rejected(changes):
    try:
        record = decode_backend("i-1", encoded(**changes))
    except msgspec.MsgspecError:
        return
    assert record.slots >= 0 and record.service and record.slow_for_s >= 0


@given(text=st.text(max_size=40) | st.binary(max_size=30).map(lambda data: base64.b64encode(data).decode()))
def test_value_that_is_not_base64_text_is_still_forwarded_to_peers(text):
    row = to_feed_row(StoredRow(key="i-1", ver=3, value=text))
    assert row.value is not None and row.version == 3
    assert unpack_rows(reply_with_rows(FeedPage((row,), 3, 0.0)), "peer") == (row,)
