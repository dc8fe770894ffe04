"""Single decisions of the rollout planner."""

import msgspec
import pytest

from wallwell.rollout.model import AnswerCounts, Capacity, Phase, RolloutBounds, RolloutCounts, RolloutRecord
from wallwell.rollout.planner import (
    CANARY_WAIT_FRACTION,
    COMPLETE_MARGIN_S,
    MAX_DRAIN_S,
    MIN_SWITCHING_S,
    SLOWNESS_PERSISTENCE_S,
    RolloutPlanner,
)

ORDERED_S = 100.0
DURATION_S = 30.0
RECORD = RolloutRecord("s", "v2", 1, ORDERED_S, DURATION_S, Phase.CANARY, 0.05)
SWITCHING = msgspec.structs.replace(RECORD, phase=Phase.SWITCHING, share=1.0)
ENOUGH = Capacity(100, 100, 10)
NO_CURRENT = Capacity(0, 100, 10)


def counts(at_s, failed=0, rate=200.0, share=0.05, answered=None):
    """Return the counts of a service with one route and a constant rate, ``at_s`` seconds after the order."""
    sent = int(rate * at_s)
    to_target = int(sent * share)
    seen = to_target if answered is None else answered
    answers = (
        AnswerCounts("a", False, "", sent - to_target, 4, 0, {8: sent - to_target}),
        AnswerCounts("a", True, "t1", seen, failed, 0, {8: seen}),
    )
    return RolloutCounts(1, sent - to_target, to_target, answers)


def decide(record, seen, at_s, capacity=ENOUGH):
    return RolloutPlanner(RolloutBounds()).decide(record, seen, capacity, ORDERED_S + at_s)


GOOD = counts(29.5)
BAD = counts(29.5, failed=60)
CASES = [
    ("begins", RECORD, RolloutCounts(1), 0.0, ENOUGH, Phase.CANARY, ""),
    ("canary goes on", RECORD, counts(15.0), 15.0, ENOUGH, Phase.CANARY, "good so far"),
    ("switches late", RECORD, GOOD, 29.5, ENOUGH, Phase.SWITCHING, "covers the rest"),
    ("bad in canary", RECORD, counts(15.0, failed=40), 15.0, ENOUGH, Phase.ROLLED_BACK, "failed on"),
    ("bad in the switch", SWITCHING, BAD, 29.5, ENOUGH, Phase.ROLLED_BACK, "failed on"),
    ("bad after the deadline", SWITCHING, BAD, 33.0, ENOUGH, Phase.ROLLED_BACK, "failed on"),
    ("too few slots", RECORD, GOOD, 29.5, Capacity(100, 70, 7), Phase.CANARY, "target places"),
    ("current back ends gone", RECORD, GOOD, 29.5, NO_CURRENT, Phase.SWITCHING, "covers the rest"),
    ("no slots", RECORD, GOOD, 29.5, Capacity(100, 0, 1), Phase.CANARY, "no target places"),
    ("few answers", RECORD, counts(29.5, answered=8), 29.5, ENOUGH, Phase.CANARY, "only 8"),
    ("suspect", RECORD, counts(29.5, failed=7), 29.5, ENOUGH, Phase.CANARY, "suspect"),
    ("suspect in the switch", SWITCHING, counts(29.5, failed=7), 29.5, ENOUGH, Phase.SWITCHING, "suspect"),
    ("completes in time", SWITCHING, GOOD, 29.5, ENOUGH, Phase.COMPLETE, "deadline is near"),
    ("not too soon", SWITCHING, counts(28.0), 28.0, ENOUGH, Phase.SWITCHING, "full load"),
    ("late with few answers", SWITCHING, counts(33.0, answered=8), 33.0, ENOUGH, Phase.SWITCHING, "only 8"),
    ("switch after the deadline", RECORD, counts(31.0), 31.0, ENOUGH, Phase.SWITCHING, "covers the rest"),
    ("never clear", RECORD, counts(60.0, answered=8), 60.0, ENOUGH, Phase.ROLLED_BACK, "overdue"),
    ("never enough slots", RECORD, counts(60.0), 60.0, Capacity(100, 10, 1), Phase.ROLLED_BACK, "places"),
    ("good but overdue", SWITCHING, counts(60.0), 60.0, ENOUGH, Phase.COMPLETE, "overdue"),
    ("no requests", RECORD, RolloutCounts(1), 60.0, ENOUGH, Phase.ROLLED_BACK, "overdue"),
    ("no back end", RECORD, RolloutCounts(1, 6_600), 33.1, Capacity(100, 0, 0), Phase.ROLLED_BACK, "no back end"),
    ("no back end yet", RECORD, RolloutCounts(1, 6_000), 32.9, Capacity(100, 0, 0), Phase.CANARY, "only 0"),
    ("runs already", RECORD, RolloutCounts(1, 0, 9), 2.0, NO_CURRENT, Phase.COMPLETE, "all back ends"),
    ("may run already", RECORD, RolloutCounts(1, 0, 9), 1.0, NO_CURRENT, Phase.CANARY, "only 0"),
    ("current back ends lost", RECORD, RolloutCounts(1, 100, 9), 2.0, NO_CURRENT, Phase.CANARY, "only 0"),
]


@pytest.mark.parametrize(
    ("record", "seen", "at_s", "capacity", "phase", "reason"), [c[1:] for c in CASES], ids=[c[0] for c in CASES]
)
def test_decisions(record, seen, at_s, capacity, phase, reason):
    decision = decide(record, seen, at_s, capacity)
    assert decision.phase is phase, decision
    assert reason in decision.reason


@pytest.mark.parametrize("phase", [Phase.COMPLETE, Phase.ROLLED_BACK])
def test_a_final_phase_does_not_change(phase):
    record = msgspec.structs.replace(RECORD, phase=phase, reason="why")
    decision = decide(record, BAD, 29.5)
    assert (decision.phase, decision.reason) == (phase, "why")


@pytest.mark.parametrize(("phase", "share"), [(Phase.SWITCHING, 1.0), (Phase.ROLLED_BACK, 0.0)])
def test_shares_of_other_phases(phase, share):
    decision = decide(RECORD, GOOD if phase is Phase.SWITCHING else BAD, 29.5)
    assert (decision.phase, decision.share) == (phase, share)


@pytest.mark.parametrize(
    ("in_flight", "after_s", "phase"),
    [
        (0, MIN_SWITCHING_S - 0.5, Phase.SWITCHING),
        (0, MIN_SWITCHING_S, Phase.COMPLETE),
        (5, MIN_SWITCHING_S, Phase.SWITCHING),
        (-1, MIN_SWITCHING_S, Phase.SWITCHING),
        (5, MAX_DRAIN_S, Phase.COMPLETE),
    ],
)
def test_a_late_switch_lasts_its_least_time_and_waits_for_requests_in_flight(in_flight, after_s, phase):
    planner = RolloutPlanner(RolloutBounds())
    capacity = Capacity(100, 100, 10, in_flight)
    planner.decide(SWITCHING, counts(31.0), capacity, ORDERED_S + 31.0)
    decision = planner.decide(SWITCHING, counts(31.0 + after_s), capacity, ORDERED_S + 31.0 + after_s)
    assert decision.phase is phase, decision


@pytest.mark.parametrize(
    ("left_s", "phase"), [(0.6, Phase.SWITCHING), (0.3, Phase.COMPLETE), (0.0, Phase.SWITCHING)]
)
def test_the_last_decision_before_the_deadline_ends_a_canary_without_a_switch(left_s, phase):
    at_s = DURATION_S - left_s
    assert decide(RECORD, counts(at_s), at_s).phase is phase


@pytest.mark.parametrize(
    ("backends", "at_s", "waits"),
    [
        (0, 1.0, True),
        (2, CANARY_WAIT_FRACTION * DURATION_S - 0.1, True),
        (2, CANARY_WAIT_FRACTION * DURATION_S, False),
        (3, 1.0, False),
    ],
)
def test_the_canary_waits_for_enough_back_ends(backends, at_s, waits):
    decision = decide(RECORD, counts(at_s), at_s, Capacity(100, 10 * backends, backends))
    assert (decision.share == 0.0) is waits


def late_in_the_switch(at_s, slow, usual):
    """Return counts during a switch with ``slow`` and ``usual`` answers of each of three target back ends."""
    targets = [AnswerCounts("a", True, f"t{n}", slow + usual, 0, 0, {8: usual, 16: slow}) for n in range(3)]
    current = AnswerCounts("a", False, "", 5_000, 4, 0, {8: 5_000})
    return RolloutCounts(1, 5_000, 3 * (slow + usual), (current, *targets))


def test_slowness_in_the_switch_must_last_but_failures_need_not():
    planner = RolloutPlanner(RolloutBounds())
    phases = {}
    for tick in range(12):
        after_s = tick * 0.3
        seen = late_in_the_switch(after_s, slow=20 * tick, usual=100 + 20 * tick)
        phases[after_s] = planner.decide(SWITCHING, seen, ENOUGH, ORDERED_S + 31.0 + after_s).phase
    rolled_back_s = min(at_s for at_s, phase in phases.items() if phase is Phase.ROLLED_BACK)
    assert SLOWNESS_PERSISTENCE_S <= rolled_back_s <= SLOWNESS_PERSISTENCE_S + 0.7


def test_slowness_that_passes_during_the_switch_is_ignored_once():
    planner = RolloutPlanner(RolloutBounds())
    phase = Phase.SWITCHING
    for tick in range(20):
        after_s = tick * 0.3
        seen = late_in_the_switch(after_s, slow=20 * min(tick, 4), usual=100 + 60 * tick)
        phase = planner.decide(SWITCHING, seen, ENOUGH, ORDERED_S + 31.0 + after_s).phase
        if phase.is_final:
            break
    assert phase is Phase.COMPLETE


def test_a_route_without_answers_delays_the_switch():
    first, second = GOOD.answers
    silent = AnswerCounts("b", False, "", first.answered, 4, 0, {8: first.answered})
    decision = decide(RECORD, RolloutCounts(1, 5_600, 290, (first, second, silent)), 29.5)
    assert decision.phase is Phase.CANARY
    assert "too few answers on b" in decision.reason


def test_a_new_holder_counts_at_least_the_requests_in_the_record():
    record = msgspec.structs.replace(RECORD, current_requests=5_000, target_requests=900)
    decision = decide(record, RolloutCounts(1), 29.5)
    assert decision.inputs["target_requests"] == 900
    assert decision.inputs["current_requests"] == 5_000


def test_a_later_order_starts_with_an_empty_history():
    planner = RolloutPlanner(RolloutBounds())
    planner.decide(RECORD, GOOD, ENOUGH, ORDERED_S + 29.5)
    later = msgspec.structs.replace(RECORD, order=2, ordered_at_s=ORDERED_S + 40.0)
    decision = planner.decide(later, RolloutCounts(2), ENOUGH, ORDERED_S + 40.0)
    assert decision.phase is Phase.CANARY
    assert decision.inputs["target_answers"] == 0


def test_the_margin_lets_a_write_reach_the_store_before_the_deadline():
    at_s = DURATION_S - COMPLETE_MARGIN_S - 0.1
    assert decide(SWITCHING, counts(at_s), at_s).phase is Phase.SWITCHING
    assert decide(SWITCHING, counts(at_s), at_s + 0.2).phase is Phase.COMPLETE
