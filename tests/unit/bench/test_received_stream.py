"""What a caller makes of a stream, in whatever portions its bytes arrive."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wallwell.bench.load_result import PriorityResult
from wallwell.bench.received_stream import ReceivedStream
from wallwell.emulator.engine_output import completion_chunk, stream_event

WORDS = ["take ", "with ", "food "]
EVENTS = b"".join(
    stream_event("r", index, completion_chunk("m", "r", word, chat=False, last=index == 2))
    for index, word in enumerate(WORDS)
)
DONE = b"data: [DONE]\n\n"
ERROR = b"event: error\ndata: {}\n\n"


@given(st.lists(st.integers(0, len(EVENTS + DONE)), max_size=6))
def test_tokens_do_not_depend_on_how_bytes_are_cut(cuts):
    stream = ReceivedStream()
    data = EVENTS + DONE
    edges = [0, *sorted(cuts), len(data)]
    for now_s, (start, end) in enumerate(itertools.pairwise(edges), start=1):
        stream.receive(data[start:end], float(now_s))
    assert (stream.words, stream.done, stream.error) == (WORDS, True, False)
    assert 0 < stream.first_s <= stream.last_s


@pytest.mark.parametrize(("end", "done", "error"), [(b"", False, False), (ERROR, False, True), (DONE, True, False)])
def test_the_end_of_a_stream(end, done, error):
    stream = ReceivedStream()
    stream.receive(EVENTS + end, 1.0)
    assert (stream.done, stream.error) == (done, error)


def test_times_count_from_the_intended_start():
    stream, result = ReceivedStream(), PriorityResult()
    for index in range(3):
        stream.receive(
            stream_event("r", index, completion_chunk("m", "r", "a ", chat=False, last=False)), 10.0 + index
        )
    stream.record(result, intended_s=9.5)
    assert result.first_token_s(50) == pytest.approx(0.5, rel=0.001)
    assert result.between_tokens_us.get_value_at_percentile(50) == pytest.approx(1e6, rel=0.001)


def test_a_stream_without_tokens_has_no_times():
    result = PriorityResult()
    ReceivedStream().record(result, intended_s=1.0)
    assert result.first_token_us.get_total_count() == result.between_tokens_us.get_total_count() == 0
