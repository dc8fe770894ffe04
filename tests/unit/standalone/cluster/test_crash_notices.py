"""Crash notices reach all nodes of all regions despite losses and late starts; resending ends after some time."""

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
    """Return sets, by node name, to which each node adds the content and life of received notices."""
    received = {}
    for node in network.nodes():
        received[node.identity.node] = notices = set()
        node.crash_notices.listener = lambda content, life, notices=notices: notices.add((content, life))
    return received


@pytest.mark.parametrize("faults", [LinkFaults(), LOSSY], ids=["clean", "lossy"])
@pytest.mark.parametrize(("nodes", "regions"), [(5, 1), (70, 1), (60, 3)])
def test_every_node_of_every_region_receives_a_crash_notice(nodes, regions, faults):
    network = make_network(nodes, regions, faults=faults)
    assert network.run_until(lambda: all_regions_converged(network), limit_s=30) is not None
    network.run_until(lambda: False, limit_s=10)
    received = record_notices(network)
    announcer = network.nodes()[3]
    announcer.crash_notices.announce("c", "e/1", network.now_s)
    others = [notices for name, notices in received.items() if name != announcer.identity.node]
    took_s = network.run_until(lambda: all(others), limit_s=30)
    assert took_s is not None
    assert all(notices == {("c", "e/1")} for notices in others)


def test_a_node_that_starts_after_the_crash_receives_the_notice():
    network = make_network(5)
    network.run_until(lambda: all_regions_converged(network), limit_s=30)
    announcer, stopped = network.nodes()[0], network.nodes()[4]
    network.kill(stopped.identity.address)
    announcer.crash_notices.announce("c", "e/1", network.now_s)
    network.run_until(lambda: False, limit_s=20)
    restarted = type(stopped.identity)(
        *(getattr(stopped.identity, name) for name in ("node", "zone", "region", "address")), 2**50
    )
    network.add(ClusterNode(restarted, random.Random(9), stopped.membership.seeds))
    received = record_notices(network)
    assert network.run_until(lambda: received[restarted.node], limit_s=2 * MAX_RESEND_INTERVAL_S) is not None


def send_times(notices, until_s):
    return [now_s for now_s in range(int(until_s)) if notices.collect_due(float(now_s))]


def test_a_crash_notice_is_resent_at_growing_intervals_for_a_limited_time():
    notices = CrashNotices()
    notices.announce("c", "e/1", 0.0)
    times = send_times(notices, 3 * CRASH_RESEND_DURATION_S)
    assert times[:5] == [0, 1, 3, 7, 15]
    assert len(times) == 10
    assert times[-1] <= CRASH_RESEND_DURATION_S


def test_an_answer_notice_is_resent_for_a_short_time_only():
    notices = CrashNotices()
    notices.announce("c", "", 0.0)
    assert send_times(notices, 3 * CRASH_RESEND_DURATION_S) == [0, 1, 3]


def test_announcing_the_same_crash_twice_sends_one_notice():
    notices = CrashNotices()
    for now_s in (0.0, 0.5):
        notices.announce("c", "e/1", now_s)
        notices.collect_due(now_s)
    assert notices.collect_due(0.9) == []


def test_an_answer_notice_replaces_the_crash_notices_of_its_request():
    notices = CrashNotices()
    notices.announce("c", "e/1", 0.0)
    notices.announce("d", "e/1", 0.0)
    notices.announce("c", "", 0.0)
    assert {(each.content, each.life) for each in notices.collect_due(0.0)} == {("c", ""), ("d", "e/1")}


def test_only_notices_from_another_region_are_announced_again():
    notices = CrashNotices()
    notices.on_notice(CrashNotice("near", "e/1"), 0.0)
    notices.on_notice(CrashNotice("far", "e/1", to_region=True), 0.0)
    assert [each.content for each in notices.collect_due(0.0)] == ["far"]
    notices.on_notice(CrashNotice("far", "e/1", to_region=True), 0.5)
    assert notices.collect_due(0.5) == []


def test_the_number_of_announced_notices_is_bounded():
    notices = CrashNotices()
    for number in range(MAX_ANNOUNCEMENTS + 3):
        notices.announce(f"c-{number}", "e/1", 0.0)
    assert len(notices.collect_due(0.0)) == MAX_ANNOUNCEMENTS
