"""Sums of what nodes report: the newest of each, and only for a while."""

from wallwell.routing.load_reports import REPORT_LIFETIME_S, LoadReports


def test_the_newest_report_of_each_sender_counts():
    reports = LoadReports()
    reports.take("n1", {"a": 3, "b": 1}, 0.0)
    reports.take("n2", {"a": 2}, 0.1)
    reports.take("n1", {"a": 1}, 0.2)
    assert reports.total(0.3) == {"a": 3}
    assert reports.total(0.3, without="n1") == {"a": 2}


def test_a_silent_sender_is_forgotten():
    reports = LoadReports()
    reports.take("n1", {"a": 3}, 0.0)
    reports.take("n2", {"a": 2}, 1.0)
    assert reports.total(REPORT_LIFETIME_S + 0.1) == {"a": 2}
    assert reports.total(REPORT_LIFETIME_S + 2.0) == {}
