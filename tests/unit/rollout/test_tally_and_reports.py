"""Counting of requests and answers in a rollout, reports of the counts, and their sum at the lease holder."""

import msgspec

from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.cluster.peer_link import PeerServer
from wallwell.cluster.upstream import NodeRecord
from wallwell.rollout.model import Phase, RolloutRecord, delay_bucket
from wallwell.rollout.reporter import REPORT_INTERVAL_S, CountsReporter, report_interval_s
from wallwell.rollout.reports import CountsAcknowledged, CountsReport, FleetCounts
from wallwell.rollout.tally import CountedAttempt, RolloutTally, ServiceTally

RECORD = RolloutRecord("svc", "v2", 7, 0.0, 30.0, Phase.CANARY)


def tally(current=0, target=0, failed=0, order=7):
    counts = ServiceTally(order, current, target)
    source = counts.source_counts("r", True, "i-1")
    source.answered, source.failed = target, failed
    return counts


def report(node, life=1, **counts):
    return CountsReport(node, life, {"svc": tally(**counts).snapshot()})


def total(*reports, record=RECORD):
    fleet = FleetCounts()
    for each in reports:
        fleet.add_report(each)
    return fleet.total(record)


def attempt(is_warm=True):
    counts = ServiceTally(1).source_counts("r", True, "i-1")
    return CountedAttempt(counts, 10.0, is_warm), counts


def test_a_complete_answer_counts_its_first_delay_and_its_mean_gap():
    counted, counts = attempt()
    counted.on_answered(200, first_event_s=10.4, last_event_s=11.4, events=11)
    assert (counts.answered, counts.failed, counts.broken) == (1, 0, 0)
    assert (dict(counts.first_delays), dict(counts.piece_gaps)) == ({delay_bucket(0.4): 1}, {delay_bucket(0.1): 1})


def test_a_failed_answer_counts_as_answered_too():
    counted, counts = attempt()
    counted.on_answered(500, 10.1, 0.0, 0)
    assert (counts.answered, counts.failed, dict(counts.piece_gaps)) == (1, 1, {})


def test_delays_of_a_back_end_that_is_slow_after_its_start_are_not_counted():
    counted, counts = attempt(is_warm=False)
    counted.on_answered(200, 10.4, 11.4, 11)
    assert (counts.answered, dict(counts.first_delays), dict(counts.piece_gaps)) == (1, {}, {})


def test_an_attempt_that_timed_out_without_an_event_counts_the_time_waited():
    counted, counts = attempt()
    counted.on_timed_out(None, 12.0)
    assert (counts.answered, counts.broken, dict(counts.first_delays)) == (0, 1, {delay_bucket(2.0): 1})


def test_an_attempt_that_timed_out_after_its_first_event_counts_as_broken_only():
    counted, counts = attempt()
    counted.on_timed_out(10.5, 12.0)
    assert (counts.broken, dict(counts.first_delays)) == (1, {})


def test_current_back_ends_are_counted_together_and_target_back_ends_separately():
    counts = ServiceTally(1)
    for name in ("a", "b"):
        counts.source_counts("r", True, name).answered += 1
        counts.source_counts("r", False, name).answered += 1
    assert {(each.is_target, each.backend, each.answered) for each in counts.snapshot().answers} == {
        (True, "a", 1),
        (True, "b", 1),
        (False, "", 2),
    }


def test_nodes_are_summed_up():
    summed = total(report("n1", current=10, target=2, failed=1), report("n2", current=5, target=3, failed=2))
    assert (summed.current_requests, summed.target_requests) == (15, 5)
    assert [(each.answered, each.failed) for each in summed.answers] == [(5, 3)]


def test_a_newer_report_replaces_an_older_one_and_an_older_one_changes_nothing():
    summed = total(report("n1", target=2), report("n1", target=5), report("n1", target=4))
    assert summed.target_requests == 5


def test_totals_of_a_dead_node_are_retained_when_it_starts_again():
    assert total(report("n1", life=1, target=5), report("n1", life=2, target=1)).target_requests == 6


def test_counts_of_an_earlier_order_are_ignored():
    assert total(report("n1", target=5, order=6), report("n2", target=2)).target_requests == 2


def test_the_total_is_at_least_what_the_record_counts():
    record = msgspec.structs.replace(RECORD, current_requests=90, target_requests=8)
    summed = total(report("n1", current=10, target=2), record=record)
    assert (summed.current_requests, summed.target_requests) == (90, 8)


def test_a_large_fleet_reports_less_often():
    assert (report_interval_s(79), report_interval_s(400)) == (REPORT_INTERVAL_S, 4 * REPORT_INTERVAL_S)


def reporter(node, holder, members, counting=True):
    counts = RolloutTally()
    if counting:
        counts.begin("svc", 7)
        counts.by_service["svc"].on_sent(is_target=True)
    fleet = FleetCounts()
    return CountsReporter(node, counts, fleet, lambda: holder, lambda: members), fleet


def test_a_report_reaches_the_holder_over_a_link(run_async):
    async def work():
        holder, fleet = reporter("n1", "n1", {})
        server = PeerServer({CountsReport: holder.on_counts_report})
        await server.start("127.0.0.1", 0)
        sender, _ = reporter("n2", "n1", {"n1": NodeRecord("z", server.address)})
        await sender.step()
        await holder.step()
        sender.close()
        server.close()
        return fleet.total(RECORD).target_requests

    assert run_async(work()) == 2


class FakeHolder:
    """Receives reports and records the number of sources in each; can be restarted."""

    def __init__(self):
        self.named: list[int] = []
        self.life = 1
        self.fleet = FleetCounts()

    async def on_counts_report(self, report):
        self.named.append(sum(len(each.answers) for each in report.counts.values()))
        self.fleet.add_report(report)
        return CountsAcknowledged(self.life)

    def restart(self):
        self.life += 1
        self.fleet = FleetCounts()


def test_a_report_contains_only_sources_that_have_changed_since_the_last_one(run_async):
    async def work():
        holder = FakeHolder()
        server = PeerServer({CountsReport: holder.on_counts_report})
        await server.start("127.0.0.1", 0)
        sender, _ = reporter("n2", "n1", {"n1": NodeRecord("z", server.address)})
        counts = sender._tally.by_service["svc"]
        for name in ("a", "b", "c"):
            counts.source_counts("r", True, name).answered = 1
        for _ in range(3):
            await (
                sender.step()
            )  # The first two contain all counts: the holder's life is known only after the first.
        counts.source_counts("r", True, "b").answered += 4
        await sender.step()
        before = sum(each.answered for each in holder.fleet.total(RECORD).answers)
        holder.restart()
        for _ in range(3):
            await sender.step()
        after = sum(each.answered for each in holder.fleet.total(RECORD).answers)
        sender.close()
        server.close()
        return holder.named, before, after

    assert run_async(work()) == ([3, 3, 0, 1, 0, 3, 0], 7, 7)


def test_newer_counts_of_a_source_replace_older_ones():
    first, second = tally(), tally()
    for counts, answered, delays in ((first, 2, {3: 2}), (second, 5, {3: 4, 9: 1})):
        source = counts.source_counts("r", False, "")
        source.answered = answered
        source.first_delays.update(delays)
    reports = [CountsReport("n1", 1, {"svc": each.snapshot()}) for each in (first, second, first)]
    (answers,) = [each for each in total(*reports).answers if not each.is_target]
    assert (answers.answered, answers.first_delays) == (5, {3: 4, 9: 1})


def test_an_unreachable_holder_does_not_prevent_counting(run_async):
    async def work():
        sender, fleet = reporter("n2", "n1", {"n1": NodeRecord("z", "127.0.0.1:1")})
        await sender.step()
        return fleet.total(RECORD).target_requests

    assert run_async(work()) == 1


def test_nothing_is_stored_or_sent_while_no_rollout_is_active():
    async def work():
        sender, fleet = reporter("n2", "n1", {"n1": NodeRecord("z", "127.0.0.1:1")}, counting=False)
        started_s = boot_time_s()
        await sender.step()
        return fleet.total(RECORD).target_requests, boot_time_s() - started_s

    assert run_virtual(work()) == (0, 0.0)
