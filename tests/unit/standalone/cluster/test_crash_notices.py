"""Notices of crashes: who is told, how often, and what losses, late starts and other regions do to them."""

import random

import pytest

from tests.unit.standalone.cluster.test_network import LOSSY, all_regions_converged, make_network
from tests.virtual_network import LinkFaults
from wallwell.standalone.cluster.crash_notices import (
    CRASH_RESEND_DURATION_S,
    MAX_ANNOUNCEMENTS,
    MAX_RESEND_INTERVAL_S,
    CrashNotices,
)
from wallwell.standalone.cluster.messages import CrashNotice
from wallwell.standalone.cluster.node import ClusterNode


def record_notices(network):
    """Return what each node has received."""
    received = {}
    for node in network.nodes():
        received[node.identity.node] = known = set()
        node.crash_notices.listener = lambda content, life, known=known: known.add((content, life))
    return received


@pytest.mark.parametrize("faults", [LinkFaults(), LOSSY], ids=["clean", "lossy"])
@pytest.mark.parametrize(("nodes", "regions"), [(5, 1), (70, 1), (60, 3)])
def test_every_node_of_every_region_hears_of_a_crash_soon(nodes, regions, faults):
    network = make_network(nodes, regions, faults=faults)
    assert network.run_until(lambda: all_regions_converged(network), limit_s=30) is not None
    network.run_until(lambda: False, limit_s=10)
    received = record_notices(network)
    announcer = network.nodes()[3]
    announcer.crash_notices.announce("c", "e/1", network.now_s)
    others = [known for name, known in received.items() if name != announcer.identity.node]
    took_s = network.run_until(lambda: all(others), limit_s=30)
    assert took_s is not None
    assert all(known == {("c", "e/1")} for known in others)


def test_a_node_that_starts_later_hears_of_it_too():
    network = make_network(5)
    network.run_until(lambda: all_regions_converged(network), limit_s=30)
    first, late_node = network.nodes()[0], network.nodes()[4]
    network.kill(late_node.identity.address)
    first.crash_notices.announce("c", "e/1", network.now_s)
    network.run_until(lambda: False, limit_s=20)
    restarted = type(late_node.identity)(
        *(getattr(late_node.identity, name) for name in ("node", "zone", "region", "address")), 2**50
    )
    network.add(ClusterNode(restarted, random.Random(9), late_node.membership.seeds))
    received = record_notices(network)
    assert network.run_until(lambda: received[restarted.node], limit_s=2 * MAX_RESEND_INTERVAL_S) is not None


def send_times(notices, until_s):
    return [now_s for now_s in range(int(until_s)) if notices.collect_due(float(now_s))]


def test_a_notice_is_told_at_growing_intervals_and_then_no_more():
    notices = CrashNotices()
    notices.announce("c", "e/1", 0.0)
    told = send_times(notices, 3 * CRASH_RESEND_DURATION_S)
    assert told[:5] == [0, 1, 3, 7, 15]
    assert len(told) == 10
    assert told[-1] <= CRASH_RESEND_DURATION_S


def test_an_answer_is_told_for_a_short_time_only():
    notices = CrashNotices()
    notices.announce("c", "", 0.0)
    assert send_times(notices, 3 * CRASH_RESEND_DURATION_S) == [0, 1, 3]


def test_the_same_crash_told_twice_is_one_notice():
    notices = CrashNotices()
    for now_s in (0.0, 0.5):
        notices.announce("c", "e/1", now_s)
        notices.collect_due(now_s)
    assert notices.collect_due(0.9) == []


def test_an_answer_takes_the_place_of_the_crashes():
    notices = CrashNotices()
    notices.announce("c", "e/1", 0.0)
    notices.announce("d", "e/1", 0.0)
    notices.announce("c", "", 0.0)
    assert {(each.content, each.life) for each in notices.collect_due(0.0)} == {("c", ""), ("d", "e/1")}


def test_only_what_comes_from_another_region_is_told_on():
    notices = CrashNotices()
    notices.on_notice(CrashNotice("near", "e/1"), 0.0)
    notices.on_notice(CrashNotice("far", "e/1", to_region=True), 0.0)
    assert [each.content for each in notices.collect_due(0.0)] == ["far"]
    notices.on_notice(CrashNotice("far", "e/1", to_region=True), 0.5)
    assert notices.collect_due(0.5) == []


def test_notices_told_again_are_bounded():
    notices = CrashNotices()
    for number in range(MAX_ANNOUNCEMENTS + 3):
        notices.announce(f"c-{number}", "e/1", 0.0)
    assert len(notices.collect_due(0.0)) == MAX_ANNOUNCEMENTS
