"""Which parts of prompts are refused, given the crashes that one node knows.

Guards against requests that crash one back end after the other, since they have only a part of their prompts in
common, and against harmless parts that are refused since they ran beside it.
"""

import itertools

import pytest

from wallwell.routing.admission.part_quarantine import (
    CRASHES_TO_QUARANTINE,
    MAX_SUSPECT_PARTS,
    MAX_WORKING_PARTS,
    QUARANTINE_S,
    SIMULTANEOUS_S,
    SUSPECT_S,
    PartQuarantine,
    part_digest,
)
from wallwell.routing.admission.part_trials import FIRST_TRIAL_S, TRIAL_DELAY_FACTOR, WATCH_TURN_S, NodeTurn

STORE_S = 1.8e9
BAD, POPULAR, OTHER = "bad", "popular", "other"
APART_S = SIMULTANEOUS_S + 0.1


def crash(quarantine, start, now_s, *parts):
    for part in parts:
        quarantine.on_crash(part, start, now_s, STORE_S + now_s)


def refusal(quarantine, parts, now_s, open_back_ends=9):
    return quarantine.refusal(parts, now_s, lambda: open_back_ends)


def refused(quarantine, now_s):
    return {each.part for each in quarantine.quarantined()}


def test_three_crashes_quarantine_a_part():
    quarantine = PartQuarantine()
    for number in range(CRASHES_TO_QUARANTINE):
        assert refusal(quarantine, (BAD, OTHER), float(number)) is None
        crash(quarantine, f"i-{number}", float(number), BAD)
    found = refusal(quarantine, (OTHER, BAD), 2.0)
    assert (found.part, found.remaining_s) == (BAD, QUARANTINE_S)
    assert refusal(quarantine, (OTHER,), 2.0) is None


def test_one_crash_reported_by_many_nodes_counts_once():
    quarantine = PartQuarantine()
    assert [quarantine.on_crash(BAD, "i-1", at_s, STORE_S + at_s) for at_s in (0.0, 0.1, 5.0)] == [
        True,
        False,
        False,
    ]
    assert not refused(quarantine, 6.0)


def test_an_answer_begun_after_the_crashes_were_known_clears_them():
    quarantine = PartQuarantine()
    crash(quarantine, "i-1", 1.0, BAD)
    crash(quarantine, "i-2", 2.0, BAD)
    assert quarantine.on_worked((BAD,), 1.5) == [(BAD, "i-1")]
    crash(quarantine, "i-3", 3.0, BAD)
    assert not refused(quarantine, 3.0)
    crash(quarantine, "i-4", 4.0, BAD)
    assert refused(quarantine, 4.0) == {BAD}


def test_an_answer_begun_before_a_crash_does_not_clear_a_part_that_was_sound_before():
    """Guards against clearing by time alone: a part that turns bad would not count for as long as that lasts."""
    quarantine = PartQuarantine()
    quarantine.on_worked((BAD,), 0.0)
    for number in range(CRASHES_TO_QUARANTINE):
        crash(quarantine, f"i-{number}", 0.1 + number * APART_S, BAD)
    assert refused(quarantine, 3.0) == {BAD}


@pytest.mark.parametrize("order", list(itertools.permutations((BAD, POPULAR, OTHER))))
def test_parts_that_ran_beside_the_cause_are_not_refused(order):
    """Whatever order the crashes of one moment become known in, and though all parts have as many."""
    quarantine = PartQuarantine()
    quarantine.on_worked((POPULAR, OTHER), 0.0)
    for number in range(5):
        crash(quarantine, f"i-{number}", 1.0 + number * APART_S, *order)
    assert refused(quarantine, 9.0) == {BAD}


def test_the_part_that_worked_last_is_judged_last_when_all_worked_before():
    quarantine = PartQuarantine()
    quarantine.on_worked((BAD, POPULAR), 0.0)
    crash(quarantine, "i-0", 1.0, BAD, POPULAR)
    quarantine.on_worked((POPULAR,), 0.9)
    for number in range(1, 4):
        crash(quarantine, f"i-{number}", 1.0 + number * APART_S, BAD, POPULAR)
    assert refused(quarantine, 9.0) == {BAD}


def test_a_part_is_refused_for_crashes_that_the_quarantined_one_does_not_explain():
    quarantine = PartQuarantine()
    for number in range(3):
        crash(quarantine, f"i-{number}", float(number), BAD, OTHER)
    quarantine.on_worked((OTHER,), 2.5)
    for number in range(3, 6):
        crash(quarantine, f"i-{number}", float(number), OTHER)
    assert refused(quarantine, 9.0) == {BAD, OTHER}


def test_many_back_ends_that_stop_in_one_moment_do_not_quarantine_what_they_ran():
    """Guards against a zone's outage after which every popular prefix is refused."""
    quarantine = PartQuarantine()
    for number in range(9):
        crash(quarantine, f"i-{number}", 1.0 + number * SIMULTANEOUS_S / 10, POPULAR)
    assert not refused(quarantine, 2.0) and refusal(quarantine, (POPULAR,), 2.0) is None


def watched_part(nodes=1, rank=0, crashes=6):
    quarantine = PartQuarantine()
    quarantine.turn_of = lambda part: NodeTurn(rank, nodes)
    for number in range(crashes):
        crash(quarantine, f"i-{number}", 0.0, BAD)
    return quarantine


@pytest.mark.parametrize(("open_back_ends", "is_refused"), [(6, False), (5, True), (0, True)])
def test_a_part_is_watched_while_fewer_back_ends_are_left_than_crashed_in_one_moment(open_back_ends, is_refused):
    """Guards against a part that ends all back ends at once, and again whatever of them comes back."""
    found = refusal(watched_part(), (BAD,), 1.0, open_back_ends)
    assert (found is not None) is is_refused
    assert found is None or found.remaining_s == WATCH_TURN_S


def test_nodes_send_single_requests_with_a_watched_part_in_turn():
    sent = []
    for rank in range(3):
        quarantine = watched_part(nodes=3, rank=rank)
        for tenth in range(60):
            now_s = tenth / 10
            if refusal(quarantine, (BAD,), now_s, 0) and quarantine.begin_trial((BAD,), now_s):
                sent.append((now_s, rank))
    assert sorted(sent) == [(0.0, 0), (1.0, 1), (2.0, 2), (3.0, 0), (4.0, 1), (5.0, 2)]


def test_a_watched_part_is_sent_again_once_a_request_with_it_is_answered():
    quarantine = watched_part()
    quarantine.on_worked((BAD,), 0.6)
    assert refusal(quarantine, (BAD,), 0.7, 0) is None


def test_a_watched_part_is_quarantined_once_it_crashes_back_ends_in_further_moments():
    quarantine = watched_part()
    crash(quarantine, "i-8", 1.0, BAD)
    assert not refused(quarantine, 1.0)
    crash(quarantine, "i-9", 2.0, BAD)
    assert refused(quarantine, 2.0) == {BAD}


def test_a_crash_that_is_forgotten_ends_a_quarantine():
    quarantine = PartQuarantine()
    released = []
    quarantine.on_released = released.append
    for number in range(CRASHES_TO_QUARANTINE):
        crash(quarantine, f"i-{number}", number * APART_S, BAD)
    assert refused(quarantine, 0.0) == {BAD}
    quarantine.forget_crash(BAD, "i-0")
    assert refusal(quarantine, (BAD,), 0.0) is None and released == [BAD]
    quarantine.forget_crash(BAD, "unknown")


@pytest.mark.parametrize(("crashes", "lifetime_s"), [(2, SUSPECT_S), (3, QUARANTINE_S)])
def test_crashes_expire(crashes, lifetime_s):
    quarantine = PartQuarantine()
    for number in range(crashes):
        crash(quarantine, f"i-{number}", -number * APART_S, BAD)
    assert quarantine.remove_expired(lifetime_s - 0.1) == []
    assert len(quarantine.remove_expired(lifetime_s)) == crashes
    assert quarantine.suspect_count == 0 and not refused(quarantine, lifetime_s)


def quarantined_part(rank=0):
    quarantine = PartQuarantine()
    quarantine.turn_of = lambda part: NodeTurn(rank, 3)
    for number in range(CRASHES_TO_QUARANTINE):
        crash(quarantine, f"i-{number}", -number * APART_S, BAD)
    assert refused(quarantine, 0.0) == {BAD}
    return quarantine


def test_trials_are_single_requests_with_growing_delays():
    quarantine = quarantined_part()
    at_s = [now_s for now_s in range(int(QUARANTINE_S)) if quarantine.begin_trial((OTHER, BAD), float(now_s))]
    assert at_s == [FIRST_TRIAL_S, FIRST_TRIAL_S * (1 + TRIAL_DELAY_FACTOR)]


def test_other_nodes_make_no_trials():
    assert not quarantined_part(rank=1).begin_trial((BAD,), FIRST_TRIAL_S)


def test_no_trial_is_made_by_a_request_with_another_suspect():
    quarantine = quarantined_part()
    crash(quarantine, "i-9", 1.0, OTHER)
    assert not quarantine.begin_trial((BAD, OTHER), FIRST_TRIAL_S)
    assert not quarantine.begin_trial((OTHER,), FIRST_TRIAL_S)


def test_a_trial_that_is_answered_ends_the_quarantine():
    quarantine = quarantined_part()
    assert len(quarantine.on_worked((BAD,), FIRST_TRIAL_S + 0.1)) == CRASHES_TO_QUARANTINE
    assert refusal(quarantine, (BAD,), FIRST_TRIAL_S + 0.2) is None


def test_memory_is_bounded_and_quarantined_parts_are_kept():
    quarantine = quarantined_part()
    for number in range(MAX_SUSPECT_PARTS + 100):
        quarantine.on_crash(f"part-{number}", "i-1", 1.0, STORE_S)
        quarantine.on_worked((f"other-{number}",), 1.0)
    assert quarantine.suspect_count == MAX_SUSPECT_PARTS
    assert len(quarantine._worked_s) == MAX_WORKING_PARTS
    assert refused(quarantine, 2.0) == {BAD}


def test_digests_are_short_however_long_an_identity_is():
    assert len(part_digest("x" * 10_000)) == 16


def test_crashes_that_become_known_all_at_once_count_by_their_moments():
    """Guards against nodes that start again and take all crashes so far, read from the store, for one moment."""
    quarantine = PartQuarantine()
    for number in range(CRASHES_TO_QUARANTINE):
        quarantine.on_crash(BAD, f"i-{number}", 50.0, STORE_S + number * APART_S)
    assert refused(quarantine, 50.0) == {BAD}


def test_a_node_that_becomes_the_first_does_not_repeat_trials_of_the_one_before():
    """Guards against one more trial of a bad part by each node of a fleet whose nodes are replaced in turn."""
    quarantine = quarantined_part(rank=1)
    quarantine.on_crash(BAD, "i-trial", FIRST_TRIAL_S + 1.0, STORE_S + FIRST_TRIAL_S + 1.0)
    assert refused(quarantine, FIRST_TRIAL_S + 1.0) == {BAD}
    quarantine.turn_of = lambda part: NodeTurn(0, 2)
    at_s = [now_s for now_s in range(22, int(QUARANTINE_S)) if quarantine.begin_trial((BAD,), float(now_s))]
    assert at_s[0] >= FIRST_TRIAL_S + 1.0 + FIRST_TRIAL_S * TRIAL_DELAY_FACTOR
