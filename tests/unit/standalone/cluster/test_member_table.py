"""Statuses merge in any order; suspicion, refutation, expiry and probes change them as in the SWIM protocol."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wallwell.standalone.cluster.member_table import MemberTable
from wallwell.standalone.cluster.members import GossipMember, MembershipTimings
from wallwell.standalone.cluster.messages import DigestEntry, LoadRecord, MemberRecord, MemberStatus, Ping
from wallwell.standalone.cluster.probing import INDIRECT_PROBE_COUNT, INDIRECT_TIMEOUT_FACTOR, FailureDetector

TIMINGS = MembershipTimings()
ALIVE, SUSPECT, DEAD, LEFT = MemberStatus


def make_record(name, incarnation=1, version=1):
    return MemberRecord(name, f"{name}:1", "zone", incarnation, version)


def make_table(*others):
    own = GossipMember(make_record("own"), LoadRecord("own", 1, 1, 0), incarnation=1)
    found = MemberTable(own, TIMINGS)
    for name in others:
        found.merge_record(make_record(name), now_s=0.0)
    found.pop_changes()
    return found


def make_entry(status, incarnation=1, name="other"):
    return DigestEntry(name, incarnation, int(status), 1, 1)


@pytest.mark.parametrize(
    ("before", "received", "after"),
    [
        ((1, ALIVE), (1, SUSPECT), (1, SUSPECT)),
        ((1, SUSPECT), (1, ALIVE), (1, SUSPECT)),
        ((1, SUSPECT), (2, ALIVE), (2, ALIVE)),
        ((1, DEAD), (1, LEFT), (1, LEFT)),
        ((2, ALIVE), (1, DEAD), (2, ALIVE)),
        ((1, LEFT), (2, ALIVE), (2, ALIVE)),
    ],
)
def test_the_higher_incarnation_wins_and_within_an_incarnation_the_higher_status(before, received, after):
    members = make_table("other")
    for incarnation, status in (before, received):
        members.merge_status(make_entry(status, incarnation), now_s=1.0)
    found = members.member("other")
    assert (found.incarnation, found.status) == after
    assert ("other" in members.alive()) == (after[1] in (ALIVE, SUSPECT))


@given(st.permutations([(each, status) for each in (1, 2, 3) for status in MemberStatus]))
def test_the_merged_status_does_not_depend_on_the_order_of_entries(entries):
    members = make_table("other")
    for incarnation, status in entries:
        members.merge_status(make_entry(status, incarnation), now_s=1.0)
    found = members.member("other")
    assert (found.incarnation, found.status) == (3, LEFT)


def test_a_suspicion_of_this_node_is_refuted_once_unless_the_node_has_left():
    members = make_table()
    members.merge_status(make_entry(SUSPECT, 1, "own"), now_s=1.0)
    assert members.own.incarnation == 2
    assert members.pop_refutation()
    assert not members.pop_refutation()
    members.own.status = LEFT
    members.merge_status(make_entry(SUSPECT, 2, "own"), now_s=1.0)
    assert members.own.incarnation == 2
    assert not members.pop_refutation()


def test_a_suspect_is_dead_after_its_timeout_and_removed_after_the_retention():
    members = make_table("other")
    assert members.mark_suspect("other", now_s=10.0) is members.member("other")
    assert members.mark_suspect("other", now_s=10.0) is None
    members.expire(10.0 + TIMINGS.suspicion_timeout_s - 0.01)
    assert members.alive() == ["other", "own"]
    died_s = 10.0 + TIMINGS.suspicion_timeout_s
    members.expire(died_s)
    assert members.alive() == ["own"]
    assert [each.status for each in members.pop_changes()] == [SUSPECT, DEAD]
    members.expire(died_s + TIMINGS.dead_retention_s)
    assert members.member("other") is None


def test_the_suspicion_timeout_is_longer_in_large_groups():
    members = make_table(*(f"n{number}" for number in range(99)))
    members.mark_suspect("n0", now_s=0.0)
    members.expire(2 * TIMINGS.suspicion_timeout_s - 0.01)
    assert "n0" in members.alive()
    members.expire(2 * TIMINGS.suspicion_timeout_s)
    assert "n0" not in members.alive()


def test_a_member_becomes_suspect_after_unanswered_direct_and_indirect_probes():
    members = make_table("a", "b", "c", "d", "e")
    detector = FailureDetector(members, TIMINGS, random.Random(1))
    sequence = detector.begin_probe("a", "a:1", now_s=0.0)
    assert detector.expire(TIMINGS.probe_timeout_s - 0.01) == []
    sent = detector.expire(TIMINGS.probe_timeout_s)
    assert len(sent) == INDIRECT_PROBE_COUNT + 1
    assert sent[-1].message == Ping(sequence)
    assert members.member("a").status is ALIVE
    detector.expire((1 + INDIRECT_TIMEOUT_FACTOR) * TIMINGS.probe_timeout_s)
    assert members.member("a").status is SUSPECT


def test_an_answered_probe_makes_no_member_suspect():
    members = make_table("a")
    detector = FailureDetector(members, TIMINGS, random.Random(1))
    detector.acknowledge(detector.begin_probe("a", "a:1", now_s=0.0))
    assert detector.expire(100.0) == []
    assert members.member("a").status is ALIVE
