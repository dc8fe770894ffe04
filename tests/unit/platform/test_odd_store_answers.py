"""An answer of the store with an odd row: that row has no readable value, all others of the answer hold.

One row with a field of another type made the whole answer undecodable, so that no row of its table was read for as
long as it lay there; a value that is no text ended the task that read its row.
"""

import asyncio
import random

import msgspec
import pytest
from loguru import logger

from tests.hostile_values import HOSTILE_BYTES, hostile_documents, sound_document
from wallwell.address import parse_address
from wallwell.errors import PlatformUnavailableError
from wallwell.platform.rollouts import PlatformRolloutStore
from wallwell.platform.store import PlatformStore, RowsInEra, StoreAnswer, StoreTable, TableRows
from wallwell.platform.store_wire import (
    RowsAnswer,
    StoredRow,
    decode_answer,
    encode_value,
    to_feed_row,
    to_table_row,
)

NEWEST = 9
SOUND = {"key": "sound", "value": encode_value("{}"), "ver": 3}
ODD_ROWS = list(hostile_documents(StoredRow))


def answer_with(*rows):
    """Return an answer of the store with rows that are given as JSON."""
    return msgspec.json.encode({"ver": NEWEST, "now_ms": 5.0, "rows": [msgspec.Raw(row) for row in rows]})


def sound_row():
    return msgspec.json.encode(SOUND)


def keys_of(answer):
    return [row.key for row in answer.rows]


@pytest.mark.parametrize("position", ["before", "behind"])
def test_an_odd_row_costs_that_row_alone(position):
    for name, odd in ODD_ROWS:
        rows = (odd, sound_row()) if position == "before" else (sound_row(), odd)
        try:
            found = decode_answer(answer_with(*rows))
        except PlatformUnavailableError:
            assert is_no_json(odd), name
            continue
        assert "sound" in keys_of(found), name
        assert all(0 <= row.ver < 2**63 for row in found.rows), name
        assert all(to_table_row(row).key == to_feed_row(row).key for row in found.rows), name


def is_no_json(data):
    """Whether a text is no JSON at all, or nested so deeply that nothing behind it can be found."""
    try:
        msgspec.json.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return True
    return False


@pytest.mark.parametrize(
    ("odd", "expected"),
    [
        (b'{"key":"k","value":7,"ver":4}', StoredRow("k", "", 4)),
        (b'{"key":"k","value":null,"ver":4,"gone":true}', StoredRow("k", "", 4, gone=True)),
        (b'{"key":"k","value":"e30=","ver":"4"}', StoredRow("k", "", NEWEST)),
        (b'{"key":"k","value":"e30=","ver":-1}', StoredRow("k", "", NEWEST)),
        (b'{"key":"k","value":"e30=","ver":4,"gone":"no"}', StoredRow("k", "", 4)),
    ],
)
def test_a_row_with_a_key_has_no_readable_value(odd, expected):
    assert decode_answer(answer_with(odd, sound_row())).rows[0] == expected


@pytest.mark.parametrize(
    "odd", [b"{}", b"[]", b"null", b'{"key":7}', b'{"key":null,"value":""}', b'{"key":"\xff"}']
)
def test_a_row_without_a_readable_key_is_left_out_and_told(odd):
    reasons = []
    assert keys_of(decode_answer(answer_with(odd, sound_row()), reasons.append)) == ["sound"]
    assert len(reasons) == 1


def test_an_answer_with_odd_fields_of_its_own_is_no_answer():
    """Guards against an absurd version or time of the store, behind which no later answer would count."""
    for name, data in [*hostile_documents(RowsAnswer), *HOSTILE_BYTES.items()]:
        try:
            found = decode_answer(data)
        except PlatformUnavailableError:
            continue
        assert 0 <= found.ver < 2**63 and abs(found.now_ms) <= 1e15, name


def test_a_sound_answer_is_decoded_as_before():
    document = sound_document(RowsAnswer)
    decoded = decode_answer(msgspec.json.encode(document))
    assert msgspec.json.decode(msgspec.json.encode(decoded)) == document


class AnsweringStore(PlatformStore):
    """A client whose calls get the same answer."""

    def __init__(self, body):
        super().__init__("10.0.0.1:80")
        self._body = body

    async def call(self, method, path, body, timeout_s):
        return StoreAnswer(200, self._body, 0)


@pytest.mark.parametrize("value", ["%", "/w==", "é", encode_value("{")[:-1] + "!"], ids=ascii)
def test_a_value_that_is_no_text_is_read_as_empty(value):
    """Guards against a ValueError in whoever reads one row: the task that records streams, the rollout's driver."""
    odd = msgspec.json.encode({"key": "k", "value": value, "ver": 4})
    row = asyncio.run(StoreTable(AnsweringStore(answer_with(odd)), "t").get("k"))
    assert row is not None and (row.key, row.version) == ("k", 4)
    assert row.value in ("", "{")


def test_a_rollout_is_read_beside_a_record_and_a_status_that_are_no_text():
    keys = ("rollout/svc", "software/svc")
    rows = [msgspec.json.encode({"key": key, "value": "/w==", "ver": 4}) for key in keys]
    stored = asyncio.run(PlatformRolloutStore(AnsweringStore(answer_with(*rows))).read("svc"))
    assert (stored.record, stored.record_version, stored.status, stored.status_version) == (None, 4, "", 4)


class PagedStore(PlatformStore):
    """A client whose calls get one page after the other of a whole reading."""

    def __init__(self, *pages):
        super().__init__(parse_address("10.0.0.1:80"))
        self._pages = list(pages)

    async def call(self, method, path, body, timeout_s):
        page = msgspec.json.decode(self._pages.pop(0))
        return StoreAnswer(200, msgspec.json.encode({**page, "more": bool(self._pages)}), 0)


def test_a_page_without_any_readable_key_ends_no_whole_reading():
    """Guards against a reading that counts as whole without the rows behind such a page: their back ends were
    taken for gone."""
    last = msgspec.json.encode({**SOUND, "key": "z"})
    store = PagedStore(answer_with(sound_row()), answer_with(b'{"key":7}'), answer_with(last))
    with pytest.raises(PlatformUnavailableError):
        asyncio.run(TableRows(store, "t").read_all())


def test_left_out_rows_are_logged_once_for_each_reason():
    lines = []
    sink = logger.add(lambda line: lines.append(line.record["extra"]), level="WARNING")
    store = AnsweringStore(answer_with(b"{}", b"{}", b"[]"))
    try:
        for _ in range(3):
            found = asyncio.run(store.read_rows("/api/rows-get", {}, 1.0))
    finally:
        logger.remove(sink)
    assert isinstance(found, RowsInEra) and not found.rows.rows
    assert [each["event"] for each in lines] == [4011, 4011]


@pytest.mark.parametrize("text", ["9" * 4400, "9" * 30, "\u0663", "x", "1.5", "-1", "", "NaN", "[" * 5000])
def test_an_odd_era_is_not_used(text):
    """Guards against an era so large that no later answer of the store would count."""

    class Message:
        headers = {"Store-Era": text}

    store = PlatformStore("10.0.0.1:80")
    store._observe_era(Message())
    assert store.era.observed_era is None


def test_many_odd_rows_among_sound_ones():
    rows = [odd for _, odd in ODD_ROWS if not is_no_json(odd)]
    sound = [msgspec.json.encode({**SOUND, "key": f"sound-{number}"}) for number in range(50)]
    mixed = rows + sound
    random.Random(7).shuffle(mixed)
    found = {row.key: row for row in decode_answer(answer_with(*mixed)).rows}
    assert all(found[f"sound-{number}"].value == SOUND["value"] for number in range(50))
