"""Logging never blocks, has a bounded queue, drops failures last, and samples by request id."""

import json
import os

import pytest

from wallwell.log_writer import LogWriter, RoutineSampler


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe()
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def drain(read_end):
    os.set_blocking(read_end, False)
    data = b""
    while True:
        try:
            chunk = os.read(read_end, 65536)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]
        data += chunk


def test_stalled_reader_loses_lines_but_never_blocks_the_writer(pipe):
    read_end, write_end = pipe
    writer = LogWriter(write_end, max_lines=50)
    for number in range(5000):
        writer.write({"event": 1, "number": number, "pad": "x" * 200}, is_important=number % 10 == 0)
    assert writer.dropped > 4000
    first = drain(read_end)
    writer.flush()
    lines = first + drain(read_end)
    writer.flush()
    lines += drain(read_end)
    assert sum("lost" in line for line in lines) >= 1
    assert sum(line.get("lost", 0) for line in lines) + sum("number" in line for line in lines) == 5000


def test_successes_are_dropped_before_failures(pipe):
    read_end, write_end = pipe
    writer = LogWriter(write_end, max_lines=20)
    while not writer._routine:
        writer.write({"event": 1, "fill": "x" * 1000}, is_important=False)
    for number in range(10):
        writer.write({"event": 2, "failure": number}, is_important=True)
    for _ in range(100):
        writer.write({"event": 1}, is_important=False)
    lines = drain(read_end)
    for _ in range(3):
        writer.flush()
        lines += drain(read_end)
    assert [line["failure"] for line in lines if "failure" in line] == list(range(10))


def test_closed_reader_raises_no_error():
    read_end, write_end = os.pipe()
    os.close(read_end)
    LogWriter(write_end).write({"event": 1}, is_important=True)
    os.close(write_end)


def test_all_successes_are_written_up_to_a_rate_and_then_sampled_by_request():
    sampler = RoutineSampler(rate_per_s=10.0, sample_every=4)
    kept = [sampler.should_write(f"r{number}", 5.0) for number in range(1000)]
    assert all(kept[:10])
    assert 150 < sum(kept) < 350
    again = RoutineSampler(rate_per_s=0.0, sample_every=4)
    assert [again.should_write("r500", 9.0)] == [kept[500]]
    assert sampler.should_write("r1", 6.0)


def test_bytes_of_a_caller_that_are_not_utf_8_do_not_lose_the_line(pipe):
    """Such a line raised an error in the sink; a traceback was printed in its place."""
    read_end, write_end = pipe
    writer = LogWriter(write_end)
    fields = {"event": 7, "request_id": "a\udcff", "versions": ["\udcb2"], "ratio": 0.5, "software": None}
    writer.write(fields, is_important=True)
    expected = {"event": 7, "request_id": "a\\udcff", "versions": "['\\udcb2']", "ratio": 0.5, "software": None}
    assert drain(read_end) == [expected]


def test_an_id_that_is_not_utf_8_is_sampled_like_others():
    sampler = RoutineSampler(rate_per_s=0.0)
    assert sum(sampler.should_write(f"\udcff{number}", 0.0) for number in range(1600)) in range(50, 150)
