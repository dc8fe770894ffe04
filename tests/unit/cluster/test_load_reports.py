"""Sums of load reports: the newest report of each node counts, and only for a limited time."""

from wallwell.cluster.demand import RATE_WINDOW_S, FleetDemand
from wallwell.cluster.load_reports import REPORT_LIFETIME_S, Load, LoadReports, sum_loads


def total(reports, now_s, excluding=""):
    return sum_loads(reports.recent(now_s, excluding))


def test_the_newest_report_of_each_sender_counts():
    reports = LoadReports()
    reports.record("n1", Load({"a": 3, "b": 1}, 5), 0.0)
    reports.record("n2", Load({"a": 2}, 4), 0.1)
    reports.record("n1", Load({"a": 1}, 6), 0.2)
    assert total(reports, 0.3) == Load({"a": 3}, 10)
    assert total(reports, 0.3, excluding="n1") == Load({"a": 2}, 4)


def test_reports_of_a_silent_sender_expire():
    reports = LoadReports()
    reports.record("n1", Load({"a": 3}), 0.0)
    reports.record("n2", Load({"a": 2}), 1.0)
    assert total(reports, REPORT_LIFETIME_S + 0.1) == Load({"a": 2})
    assert total(reports, REPORT_LIFETIME_S + 2.0) == Load()


def test_generations_are_counted_within_the_rate_window():
    generations = FleetDemand().own_generations
    for at_s in (0.0, 1.0, 2.0):
        generations.add(at_s)
    assert [generations.count(now_s) for now_s in (2.0, RATE_WINDOW_S, RATE_WINDOW_S + 5.0)] == [3, 2, 0]


def test_without_reports_other_nodes_are_assumed_to_get_as_much_as_this_one():
    demand = FleetDemand()
    demand.own_generations.add(0.0)
    assert demand.generations_per_s(0.1, node_count=8) == 8 / RATE_WINDOW_S
    demand.peers_generations = 3
    assert demand.generations_per_s(0.1, node_count=8) == 4 / RATE_WINDOW_S
