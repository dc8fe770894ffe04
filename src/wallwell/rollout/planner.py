"""Decides the next phase of a rollout: canary, switch or end. No I/O; reasons are in ``docs/design/rollouts.md``.

The lease holder calls :meth:`RolloutPlanner.decide` several times a second and writes the decision into the record.
Inputs: the record, all nodes' counts, the slots of both versions and the store's time. Owns rates and past totals
of each order. Everything that must outlive the holder is in the record, so that a new holder can continue with less
history. Decisions are logged as ``ROLLOUT_DECIDED`` (7008) with their inputs. The combined effect of the thresholds
is described in ``docs/design/rollouts.md``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgspec

from wallwell.rollout.evidence import EvidenceLog
from wallwell.rollout.exposure import LAST_DECISION_S, ExposurePlan, Traffic, TrafficLog, plan_exposure
from wallwell.rollout.measures import FAILURES, SLOWNESS, VersionEvidence
from wallwell.rollout.model import (
    Capacity,
    Phase,
    RolloutBounds,
    RolloutCounts,
    RolloutDecision,
    RolloutRecord,
)
from wallwell.rollout.totals import routes_short_of_answers

ROLLBACK_LOG_EVIDENCE = math.log(2_000)
"""Evidence for a rollback. By Ville's inequality a good version reaches it in at most 1 of 2,000 rollouts."""
SUSPECT_LOG_EVIDENCE = -3.5
"""Weighted evidence that delays the switch and the end without a rollback: a likelihood ratio of 0.03. In simulated
rollouts fewer than 1 in 100 good versions have as much at their end. With a ratio of 0.01 instead, 5 rather than 2
of 400 good versions ended late, and 75 rather than 82 of 400 bad ones were completed."""
SINGLE_TEST_ROLLBACK_LOG_EVIDENCE = math.log(3_000)
"""Unweighted evidence of a single test that causes a rollback if the test's excess of bad answers is large, too."""
SINGLE_TEST_ROLLBACK_EXCESS = 20.0
"""Excess of bad answers in a single test that causes a rollback with strong evidence. A bad version must be stopped
after its 50th bad answer; the difference is for those given while counts and record are being sent."""
SLOWNESS_PERSISTENCE_S = 2.5
"""Seconds for which slowness must last during the switch, since then no answers of the current version distinguish
it from an overload of both versions. With the lags of counts and record, half a second is left of the five within
which a bad version must be stopped."""
BACKENDS_TO_BEGIN_CANARY = 3
"""Number of target back ends at which the canary begins: with fewer, a faulty machine looks like a bad version."""
CANARY_WAIT_FRACTION = 0.2
"""Fraction of the duration for which the canary waits for enough back ends; then it begins with fewer."""
ANSWERS_TO_SWITCH = 16
"""Complete answers of the target version, over all routes, that are required for the switch."""
ANSWERS_TO_COMPLETE = 20
"""Complete answers of the target version, over all routes, that are required to complete the rollout."""
ANSWERS_PER_ROUTE = 12
"""Complete answers of the target version that are required on each route that has enough traffic."""
MIN_SLOTS_RATIO = 0.8
"""Ratio of target slots to current slots from which the target version can serve all requests."""
COMPLETE_MARGIN_S = 0.6
"""Seconds before the deadline at which a good rollout is completed: time for two decisions, a write to a slow store
and sending the record to all nodes."""
MIN_SWITCHING_S = 2.0
"""Least seconds of a switch not ended by the deadline: answers at full load are counted about a second later."""
MAX_DRAIN_S = 5.0
"""Longest wait in seconds after the deadline for requests in flight at current back ends."""
ALREADY_RUNNING_AFTER_S = 2.0
"""Seconds since the order after which, without a current back end, the target version counts as already running."""
MISSING_TARGET_GRACE_S = 3.0
"""Seconds after the deadline until which the rollout waits for its first target back end."""
OVERDUE_FACTOR = 2.0
"""Multiple of the duration after which a rollout that is still undecided is rolled back."""


@dataclass
class _OrderHistory:
    """A planner's state of one order."""

    order: int
    evidence_log: EvidenceLog
    traffic: TrafficLog = field(default_factory=TrafficLog)
    has_target: bool = False
    slow_since_s: float = math.inf
    has_ignored_slowness: bool = False
    switching_since_s: float = math.inf


class _DecisionInputs(msgspec.Struct, frozen=True):
    """All inputs of one decision. ``since_s`` is the time since the order, ``left_s`` until the deadline."""

    record: RolloutRecord
    capacity: Capacity
    traffic: Traffic
    failures: VersionEvidence
    slowness: VersionEvidence
    exposure: ExposurePlan
    target_answers: int
    short_routes: dict[str, int]
    since_s: float
    left_s: float

    @property
    def strongest(self) -> VersionEvidence:
        """The stronger evidence of failures and slowness."""
        return max(self.failures, self.slowness, key=lambda each: each.log_evidence)

    def reason_not_good(self, min_answers: int) -> str:
        """Return why the target version cannot be considered good; empty if it can."""
        if self.target_answers < min_answers:
            return f"only {self.target_answers} answers of the target version"
        if self.short_routes:
            return f"too few answers on {', '.join(sorted(self.short_routes))}"
        if self.strongest.log_evidence >= SUSPECT_LOG_EVIDENCE:
            return f"{self.strongest.measure} on {self.strongest.route or 'all routes'} is suspect"
        return ""


class RolloutPlanner:
    """Decides rollouts of any number of services; stores rates and past totals by service."""

    def __init__(self, bounds: RolloutBounds) -> None:
        self._bounds = bounds
        self._histories: dict[str, _OrderHistory] = {}

    def decide(
        self, record: RolloutRecord, counts: RolloutCounts, capacity: Capacity, now_s: float
    ) -> RolloutDecision:
        """Return the decision at ``now_s`` of the store's clock. A final phase is returned unchanged."""
        if record.phase.is_final:
            self._histories.pop(record.service, None)
            return RolloutDecision(record.phase, record.share, record.reason)
        history = self._history_of(record)
        inputs = self._gather_inputs(history, record, counts, capacity, now_s)
        phase, reason = self._end_if_due(history, inputs)
        if phase is None:
            phase, reason = self._next_phase(history, inputs)
        share = 0.0 if phase is Phase.ROLLED_BACK or _waits_for_backends(inputs) else inputs.exposure.share
        if phase in (Phase.SWITCHING, Phase.COMPLETE):
            share = 1.0
        return RolloutDecision(phase, share, reason, _log_inputs(inputs))

    def _history_of(self, record: RolloutRecord) -> _OrderHistory:
        history = self._histories.get(record.service)
        if history is None or history.order != record.order:
            history = _OrderHistory(record.order, EvidenceLog(record.duration_s))
            self._histories[record.service] = history
        return history

    def _gather_inputs(
        self, history: _OrderHistory, record: RolloutRecord, counts: RolloutCounts, capacity: Capacity, now_s: float
    ) -> _DecisionInputs:
        """Record the newest counts and return the inputs of the decision."""
        since_s = now_s - record.ordered_at_s
        current = max(record.current_requests, counts.current_requests)
        target = max(record.target_requests, counts.target_requests)
        traffic = history.traffic.observe(since_s, current, target)
        history.evidence_log.observe(counts, since_s)
        history.has_target = history.has_target or capacity.target_backends > 0 or target > 0
        is_switching = record.phase is Phase.SWITCHING
        if is_switching:
            history.switching_since_s = min(history.switching_since_s, now_s)
        totals = history.evidence_log.newest
        left_s = record.deadline_s - now_s
        return _DecisionInputs(
            record=record,
            capacity=capacity,
            traffic=traffic,
            failures=history.evidence_log.evidence(FAILURES, is_switching),
            slowness=history.evidence_log.evidence(SLOWNESS, is_switching),
            exposure=plan_exposure(self._bounds, traffic, left_s, record.share),
            target_answers=totals.target_answers,
            short_routes=routes_short_of_answers(totals, ANSWERS_PER_ROUTE),
            since_s=since_s,
            left_s=left_s,
        )

    def _end_if_due(self, history: _OrderHistory, inputs: _DecisionInputs) -> tuple[Phase | None, str]:
        """Return the final phase if the rollout must end now, whatever its phase, else None; with the reason."""
        evidence = _rollback_evidence(history, inputs)
        if evidence is not None:
            return Phase.ROLLED_BACK, f"{evidence.measure} on {evidence.route or 'all routes'}"
        if not history.has_target and inputs.left_s < -MISSING_TARGET_GRACE_S:
            return Phase.ROLLED_BACK, "no back end of the target version"
        if _is_already_running(inputs):
            return Phase.COMPLETE, "all back ends run the target version"
        if inputs.since_s >= OVERDUE_FACTOR * inputs.record.duration_s:
            reason_not_good = inputs.reason_not_good(ANSWERS_TO_COMPLETE)
            if inputs.record.phase is Phase.SWITCHING and not reason_not_good:
                return Phase.COMPLETE, "good, overdue"
            return Phase.ROLLED_BACK, f"overdue: {reason_not_good or _missing_slots(inputs) or 'not switched'}"
        return None, ""

    def _next_phase(self, history: _OrderHistory, inputs: _DecisionInputs) -> tuple[Phase, str]:
        """Return the next phase, which may be the present one, with the reason."""
        if inputs.record.phase is Phase.CANARY:
            return _decide_in_canary(inputs)
        now_s = inputs.record.ordered_at_s + inputs.since_s
        return _decide_in_switching(inputs, now_s - history.switching_since_s)


def _rollback_evidence(history: _OrderHistory, inputs: _DecisionInputs) -> VersionEvidence | None:
    """Return the evidence by which the version is rolled back; None if it is not sufficient. Slowness during the
    switch may be caused by an overload or by cold caches. So it must last, and it is discarded one time if newer
    answers show no slowness."""
    if _justifies_rollback(inputs.failures):
        return inputs.failures
    if not _justifies_rollback(inputs.slowness):
        history.slow_since_s = math.inf
        return None
    if inputs.record.phase is not Phase.SWITCHING:
        return inputs.slowness
    history.slow_since_s = min(history.slow_since_s, inputs.since_s)
    if not history.has_ignored_slowness and history.evidence_log.slowness_has_passed():
        history.has_ignored_slowness = True
        history.evidence_log.ignore_past_slowness()
        return None
    return inputs.slowness if inputs.since_s - history.slow_since_s >= SLOWNESS_PERSISTENCE_S else None


def _justifies_rollback(evidence: VersionEvidence) -> bool:
    """Whether the evidence is sufficient for a rollback."""
    if evidence.log_evidence >= ROLLBACK_LOG_EVIDENCE:
        return True
    return (
        evidence.single_test_excess >= SINGLE_TEST_ROLLBACK_EXCESS
        and evidence.single_test_log_evidence >= SINGLE_TEST_ROLLBACK_LOG_EVIDENCE
    )


def _waits_for_backends(inputs: _DecisionInputs) -> bool:
    """Whether the canary still waits for enough target back ends."""
    if inputs.record.phase is not Phase.CANARY or inputs.capacity.target_backends >= BACKENDS_TO_BEGIN_CANARY:
        return False
    return inputs.since_s < CANARY_WAIT_FRACTION * inputs.record.duration_s


def _decide_in_canary(inputs: _DecisionInputs) -> tuple[Phase, str]:
    """Return the phase that follows the canary, or the canary if it goes on, with the reason."""
    reason_to_wait = inputs.reason_not_good(ANSWERS_TO_SWITCH) or _missing_slots(inputs)
    if not inputs.exposure.switch_fits:
        return Phase.CANARY, reason_to_wait or "good so far"
    if reason_to_wait:
        return Phase.CANARY, reason_to_wait
    if 0.0 < inputs.left_s <= LAST_DECISION_S and inputs.target_answers >= ANSWERS_TO_COMPLETE:
        return Phase.COMPLETE, "good, the deadline is near"
    return Phase.SWITCHING, "good, what is left of the bound covers the rest"


def _decide_in_switching(inputs: _DecisionInputs, switched_for_s: float) -> tuple[Phase, str]:
    """Return whether the rollout is complete, with the reason. ``switched_for_s`` is the time since this node first
    saw the switch."""
    reason_not_good = inputs.reason_not_good(ANSWERS_TO_COMPLETE)
    if reason_not_good:
        return Phase.SWITCHING, reason_not_good
    if 0.0 < inputs.left_s <= COMPLETE_MARGIN_S:
        return Phase.COMPLETE, "good, the deadline is near"
    if switched_for_s < MIN_SWITCHING_S:
        return Phase.SWITCHING, "answers at full load are to come"
    if inputs.capacity.current_in_flight == 0:
        return Phase.COMPLETE, "good, nothing under way on the current side"
    if inputs.left_s <= 0.0 and switched_for_s >= MAX_DRAIN_S:
        return Phase.COMPLETE, "good, overdue"
    return Phase.SWITCHING, "requests are under way on the current side"


def _missing_slots(inputs: _DecisionInputs) -> str:
    """Return how many slots the target version has if too few to serve all requests; empty if it has enough."""
    capacity = inputs.capacity
    if capacity.target_slots <= 0:
        return "no target places"
    if capacity.target_slots < MIN_SLOTS_RATIO * capacity.current_slots:
        return f"{capacity.target_slots} target places for {capacity.current_slots} current ones"
    return ""


def _is_already_running(inputs: _DecisionInputs) -> bool:
    """Whether only the target version runs: no current back end is left or got a request since the order."""
    capacity = inputs.capacity
    if capacity.current_slots > 0 or capacity.target_slots <= 0 or capacity.current_in_flight > 0:
        return False
    return inputs.traffic.current == 0 and inputs.since_s >= ALREADY_RUNNING_AFTER_S


def _log_inputs(inputs: _DecisionInputs) -> dict[str, float]:
    """Return the numbers of a decision that are logged."""
    return {
        "left_s": round(inputs.left_s, 3),
        "current_requests": inputs.traffic.current,
        "target_requests": inputs.traffic.target,
        "requests_per_s": round(inputs.traffic.mean_rate, 1),
        "requests_per_s_high": round(inputs.traffic.high_rate, 1),
        "exposure_bound": round(inputs.exposure.bound, 1),
        "exposure_spent": round(inputs.exposure.spent, 1),
        "coming_requests": round(inputs.exposure.expected_requests, 1),
        "target_answers": inputs.target_answers,
        "log_evidence": round(inputs.strongest.log_evidence, 2),
        "excess_bad": round(inputs.strongest.excess, 1),
        "current_places": inputs.capacity.current_slots,
        "target_places": inputs.capacity.target_slots,
        "current_in_flight": inputs.capacity.current_in_flight,
    }
