"""What a back end sends that answers no request in flight is counted, and logged at a bounded rate."""

import pytest

from wallwell import discarded_answers
from wallwell.discarded_answers import LOG_INTERVAL_S, MAX_ADDRESSES, Discarded, DiscardedAnswers, DiscardReason

DISCARDED = Discarded(DiscardReason.ANOTHER_REQUEST, 7, 3, "r2", "r1", 503)


class Log:
    """The lines of a log, and a clock that a test sets."""

    def __init__(self, monkeypatch):
        self.lines = []
        self.now_s = 100.0
        monkeypatch.setattr(discarded_answers, "emit", lambda event, **fields: self.lines.append(fields))
        monkeypatch.setattr(discarded_answers, "boot_time_s", lambda: self.now_s)


@pytest.fixture
def log(monkeypatch):
    return Log(monkeypatch)


def test_a_back_end_that_repeats_every_answer_is_logged_once_a_second(log):
    """Guards against a faulty back end that fills the log."""
    answers = DiscardedAnswers()
    for number in range(1000):
        log.now_s = 100.0 + number * 0.0101
        answers.add("10.0.0.1:80", DISCARDED)
    assert len(log.lines) <= 10.1 / LOG_INTERVAL_S + 1
    assert answers.counts == {"answer to another request": 1000}
    assert 900 <= sum(line["more"] for line in log.lines) + len(log.lines) <= 1000


def test_each_back_end_has_its_own_line(log):
    answers = DiscardedAnswers()
    for address in ("10.0.0.1:80", "10.0.0.2:80", "10.0.0.1:80"):
        answers.add(address, DISCARDED)
    assert [line["address"] for line in log.lines] == ["10.0.0.1:80", "10.0.0.2:80"]
    assert log.lines[0]["answer_id"] == "r1"
    assert log.lines[0]["status"] == 503


def test_addresses_are_forgotten(log):
    answers = DiscardedAnswers()
    for number in range(3 * MAX_ADDRESSES):
        answers.add(f"10.0.0.1:{number}", DISCARDED)
        answers.add(f"10.0.0.1:{number}", DISCARDED)
    assert len(answers._logged_at_s) == MAX_ADDRESSES
    assert len(answers._unlogged) == MAX_ADDRESSES
