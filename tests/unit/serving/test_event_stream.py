"""Event streams forward complete events only, in order and once each, over any number of attempts."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wallwell.errors import StreamOrderError
from wallwell.serving.event_stream import MAX_EVENT_BYTES, StreamPosition, event_number, split_events


def event(number, text="x"):
    return b"id: %d\ndata: %s\n\n" % (number, text.encode())


def pass_on(position, data):
    """Feed bytes and record that their events are forwarded; return the events."""
    batch = position.feed(data)
    position.on_forwarded(batch)
    return batch.events


@given(count=st.integers(0, 12), cuts=st.lists(st.integers(0, 400), max_size=12))
def test_any_split_into_chunks_gives_the_same_events(count, cuts):
    whole = b"".join(event(number) for number in range(1, count + 1))
    position, passed = StreamPosition(), []
    edges = sorted({0, len(whole), *(cut for cut in cuts if cut < len(whole))})
    for start, end in itertools.pairwise(edges):
        passed += pass_on(position, whole[start:end])
    assert b"".join(passed) == whole
    assert position.last_event_number == (count or None)
    assert not position.has_partial_event


@pytest.mark.parametrize("numbers", [(1, 1), (3, 2), (5, 6, 6), (2, 1, 3)])
def test_event_numbers_that_do_not_increase_raise_a_stream_order_error(numbers):
    position = StreamPosition()
    with pytest.raises(StreamOrderError):
        for number in numbers:
            pass_on(position, event(number))


def test_events_dropped_because_of_a_wrong_number_are_forwarded_from_the_next_run():
    """One read may hold valid events before the wrong one; the next attempt resumes after what was forwarded."""
    position = StreamPosition()
    assert pass_on(position, event(4)) == [event(4)]
    with pytest.raises(StreamOrderError):
        position.feed(event(5) + event(6) + event(6))
    assert (position.last_event_number, position.events_forwarded) == (4, 1)
    position.begin_attempt()
    assert pass_on(position, event(5) + event(6)) == [event(5), event(6)]


def test_a_partial_event_is_discarded_before_the_next_run():
    position = StreamPosition()
    assert pass_on(position, event(1) + b"id: 2\nda") == [event(1)]
    assert position.has_partial_event
    position.begin_attempt()
    assert not position.has_partial_event
    assert pass_on(position, event(2) + event(3)) == [event(2), event(3)]


def test_crlf_line_endings_separate_events():
    events, remainder = split_events(b"id: 1\r\ndata: a\r\n\r\nid: 2")
    assert (len(events), remainder) == (1, b"id: 2")


@pytest.mark.parametrize(
    ("data", "number"),
    [
        (b"id: 7\n\n", 7),
        (b"id:8\n\n", 8),
        (b"data: x\n\n", None),
        (b"id: x\n\n", None),
        (b"id: " + b"9" * 18 + b"\n\n", 10**18 - 1),
        (b"id: " + b"9" * 19 + b"\n\n", None),
        (b"id: " + b"9" * 5000 + b"\n\n", None),
        (b"id: \xb2\n\n", None),
        (b"id: \xc2\xb2\n\n", None),
    ],
)
def test_event_numbers(data, number):
    assert event_number(data) == number


def test_an_unfinished_event_is_limited_in_size():
    with pytest.raises(StreamOrderError):
        StreamPosition().feed(b"data: " + b"x" * MAX_EVENT_BYTES)


def test_events_of_an_attempt_that_ends_before_they_are_forwarded_come_with_the_next_one():
    """Guards against a stream that lacks an event, since the next attempt resumed behind it."""
    position = StreamPosition()
    pass_on(position, event(1))
    assert position.feed(event(2)).events == [event(2)]
    assert (position.last_event_number, position.events_forwarded) == (1, 1)
    position.begin_attempt()
    assert pass_on(position, event(2) + event(3)) == [event(2), event(3)]
