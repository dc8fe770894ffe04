"""Unreadable entries are logged once a change, with a key that is escaped and bounded."""

import pytest
from loguru import logger

from wallwell.events import Event
from wallwell.standalone.unreadable import MAX_REMEMBERED, MAX_SHOWN_CHARS, UnreadableEntries


@pytest.fixture
def keys():
    """Return the keys of the entries that are logged."""
    found = []

    def take(message):
        extra = message.record["extra"]
        if extra.get("event_id", extra.get("event")) == Event.ENTRY_UNREADABLE.value[0]:
            found.append(extra["key"])

    sink = logger.add(take, level="WARNING")
    yield found
    logger.remove(sink)


def test_the_same_error_of_an_entry_is_logged_once_and_another_one_again(keys):
    entries = UnreadableEntries("test")
    for _ in range(3):
        entries.report("a", ValueError("x"))
    assert keys == ["a"]
    entries.report("a", ValueError("y"))
    entries.report("b", ValueError("y"))
    assert keys == ["a", "a", "b"]


def test_an_entry_that_was_readable_or_gone_in_between_is_logged_again(keys):
    entries = UnreadableEntries("test")
    entries.report("é", ValueError("x"))
    entries.forget("é")
    entries.replace({"é": ValueError("x")})
    entries.replace({"é": ValueError("x")})
    entries.replace({})
    entries.replace({"é": ValueError("x")})
    assert keys == ["\\xe9"] * 3


def test_a_key_is_escaped_and_bounded(keys):
    UnreadableEntries("test").report("\n\ud800" + "a" * 5000, ValueError("x"))
    assert keys[0].startswith("\\n\\ud800aaa")
    assert len(keys[0]) < MAX_SHOWN_CHARS + 10


def test_more_entries_than_are_remembered_do_not_flood_the_log(keys):
    entries = UnreadableEntries("test")
    for _ in range(2):
        entries.replace({f"k{number}": ValueError("x") for number in range(MAX_REMEMBERED + 50)})
    assert len(keys) == MAX_REMEMBERED + 1
