"""Any value in a row of another writer is decoded, or refused by the decoder's own documented error.

A decoder raised another error (ValueError for a port of thousands of digits), which left the loop over a page's
rows: all its other rows were lost, and a starting node had no back ends. Rows are built from each type's fields.
"""

import math

import msgspec
import pytest

from tests.hostile_values import HOSTILE_KEYS, all_hostile_values, sound_document
from wallwell.cluster.leases import LeaseBody
from wallwell.cluster.stream_records import StreamsRow
from wallwell.cluster.upstream import NodeRecord
from wallwell.cluster.version_rows import VersionsRow
from wallwell.node.crash_rows import PartCrashRow
from wallwell.placement.weights_roll_driver import LoadProgress
from wallwell.platform.rows import (
    BackendRow,
    ConfigRow,
    RolloutOrderRow,
    RolloutStatusRow,
    WeightsVersionRow,
    decode_backend,
    decode_config,
    decode_rollout_order,
    decode_weights_version,
)
from wallwell.rollout.model import RolloutRecord
from wallwell.storage.row_values import decode_value

ADDRESSES = {"addr": "10.0.0.1:80", "kv_store_addr": "10.0.0.2:80"}
DECODERS = {
    BackendRow: lambda value: decode_backend("i-1", value),
    ConfigRow: decode_config,
    WeightsVersionRow: decode_weights_version,
    RolloutOrderRow: lambda value: decode_rollout_order("rollout/svc", value, 1),
}
OWN_ROWS = (
    NodeRecord,
    LeaseBody,
    LoadProgress,
    RolloutRecord,
    RolloutStatusRow,
    VersionsRow,
    StreamsRow,
    PartCrashRow,
)


def raised_errors(decode, row_type):
    """Return the errors other than the documented one that a decoder raises, by the value that causes them."""
    found = {}
    for name, value in all_hostile_values(row_type, ADDRESSES):
        try:
            decode(value)
        except msgspec.MsgspecError:
            pass
        except Exception as error:
            found[name] = f"{type(error).__name__}: {error}"[:100]
    return found


def numbers_of(value):
    """Yield every number in a decoded value."""
    if isinstance(value, bool):
        return
    if isinstance(value, int | float):
        yield value
    elif isinstance(value, dict):
        for each in value.values():
            yield from numbers_of(each)
    elif isinstance(value, list | tuple):
        for each in value:
            yield from numbers_of(each)


@pytest.mark.parametrize("row_type", DECODERS, ids=lambda row_type: row_type.__name__)
def test_a_sound_row_is_decoded(row_type):
    DECODERS[row_type](msgspec.json.encode(sound_document(row_type, ADDRESSES)))


@pytest.mark.parametrize("row_type", DECODERS, ids=lambda row_type: row_type.__name__)
def test_a_decoder_raises_only_its_own_error(row_type):
    assert raised_errors(DECODERS[row_type], row_type) == {}


@pytest.mark.parametrize("row_type", OWN_ROWS, ids=lambda row_type: row_type.__name__)
def test_values_of_own_rows_raise_only_the_documented_error(row_type):
    assert raised_errors(lambda value: decode_value(value, row_type), row_type) == {}


@pytest.mark.parametrize("row_type", [*DECODERS, *OWN_ROWS], ids=lambda row_type: row_type.__name__)
def test_decoded_numbers_can_be_added_up_divided_and_sent(row_type):
    """Guards against a number that is decoded and then ends the arithmetic of another module (OverflowError)."""
    decode = DECODERS.get(row_type, lambda value: decode_value(value, row_type))
    for name, value in all_hostile_values(row_type, ADDRESSES):
        try:
            decoded = decode(value)
        except msgspec.MsgspecError:
            continue
        for number in numbers_of(msgspec.to_builtins(decoded)):
            assert math.isfinite(1000 * float(number)), name
            assert abs(number) < 2**64, name


@pytest.mark.parametrize("key", HOSTILE_KEYS.values(), ids=HOSTILE_KEYS)
def test_a_key_that_cannot_stand_in_a_header_names_no_back_end(key):
    """Guards against a key with a line break, which would end the header field that names the back end."""
    with pytest.raises(msgspec.MsgspecError):
        decode_backend(key, msgspec.json.encode(sound_document(BackendRow, ADDRESSES)))


@pytest.mark.parametrize("key", ["i-7f3a91c2", "worker 1", "réseau-1", "a/b:c@d", 200 * "k"])
def test_other_keys_name_back_ends(key):
    record = decode_backend(key, msgspec.json.encode(sound_document(BackendRow, ADDRESSES)))
    assert record.incarnation == key


@pytest.mark.parametrize(
    "changes",
    [{"slots": 10**400}, {"slots": 2**40}, {"cold_left_ms": 1e308}, {"born": 10**30}, {"version": "v" * 70_000}],
    ids=lambda changes: next(iter(changes)),
)
def test_an_absurd_entry_is_refused(changes):
    """Guards against a sum of slots that no float holds, and names that fit into no row or message."""
    document = {**sound_document(BackendRow, ADDRESSES), **changes}
    raw = {
        name: msgspec.Raw(str(each).encode()) if isinstance(each, int) else each for name, each in document.items()
    }
    with pytest.raises(msgspec.MsgspecError):
        decode_backend("i-1", msgspec.json.encode(raw))
