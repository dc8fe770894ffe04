"""What a rollout does next: canary, switch, end. Pure; see ``docs/design/rollouts.md`` for the reasons.

The holder of the lease calls :meth:`RolloutPlanner.decide` some times a second and writes the decision into the
record. Inputs: the record, all nodes' counts, the slots of both versions and the store's time. Owns rates and past
totals of each order; all that must last is in the record, so that a new holder can go on with less of both.
Decisions show in the log as ``ROLLOUT_DECIDED`` (7008) with their inputs.

What the thresholds give together is in ``docs/design/rollouts.md``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgspec

from wallwell.rollout.evidence import EvidenceLog
from wallwell.rollout.exposure import LAST_DECISION_S, Exposure, Traffic, TrafficLog, plan_exposure
from wallwell.rollout.measures import FAILURES, SLOWNESS, VersionEvidence
from wallwell.rollout.model import (
    Capacity,
    Phase,
    RolloutBounds,
    RolloutCounts,
    RolloutDecision,
    RolloutRecord,
)
from wallwell.rollout.totals import answers_short

LOG_BAD = math.log(2_000)
"""Evidence that rolls back. By Ville's inequality a good version reaches it in at most 1 of 2,000 rollouts."""
LOG_SUSPECT = -3.5
"""Evidence, after all weights, that delays the switch and the end, but does not roll back. In simulated rollouts
fewer than 1 in 100 good versions have as much at their end. With 0.01 in place of 0.03 (the likelihood ratio), 5 in
place of 2 of 400 good versions ended late, and 75 in place of 82 of 400 bad ones were completed."""
LOG_BAD_MANY = math.log(3_000)
"""Evidence of a single test, without its weight, that rolls back together with :data:`MANY_BAD`."""
MANY_BAD = 20.0
"""Bad answers beyond the allowed. A bad version must be stopped after its 50th; the rest is for counts and record
on their way."""
PERSISTENCE_S = 2.5
"""Seconds for which slowness must last in the switch, where no answers of the current version distinguish it from
an overload of both. With the lags of counts and record, half a second is left of the five within which a bad
version must be stopped."""
CANARY_BACKENDS = 3
"""Target back ends from which the canary begins: with fewer, a sick machine looks like a bad version."""
CANARY_WAIT_FRACTION = 0.2
"""Fraction of the duration for which the canary waits for them."""
ANSWERS_TO_SWITCH = 16
"""Whole answers of the target version, over all routes, that the switch needs."""
ANSWERS_TO_COMPLETE = 20
"""The same for the end."""
ROUTE_ANSWERS = 12
"""Whole answers of the target version on each route, where its traffic gives them."""
ENOUGH_SLOTS_RATIO = 0.8
"""Target slots in relation to current ones from which the target version can serve all requests."""
COMPLETE_MARGIN_S = 0.6
"""Seconds before the deadline at which a good rollout ends: two decisions, a write to a slow store and the record's
way to all nodes."""
SETTLE_S = 2.0
"""Least seconds in the switch where no deadline ends it: answers at full load are counted about a second later."""
DRAIN_S = 5.0
"""Longest wait in seconds after the deadline for requests in flight at current back ends."""
SAME_VERSION_S = 2.0
"""Seconds since the order, without a current back end, after which the target version counts as already running."""
MISSING_GRACE_S = 3.0
"""Seconds after the deadline for which the first target back end is waited for."""
OVERDUE_FACTOR = 2.0
"""Multiple of the duration after which a rollout that is still undecided is rolled back."""


@dataclass
class _OrderHistory:
    """What a planner remembers of one order."""

    order: int
    evidence_log: EvidenceLog
    traffic: TrafficLog = field(default_factory=TrafficLog)
    has_target: bool = False
    slow_since_s: float = math.inf
    has_forgotten_slowness: bool = False
    switching_since_s: float = math.inf


class _Situation(msgspec.Struct, frozen=True):
    """All inputs of one decision. ``since_s`` is the time since the order, ``left_s`` until the deadline."""

    record: RolloutRecord
    capacity: Capacity
    traffic: Traffic
    failures: VersionEvidence
    slowness: VersionEvidence
    exposure: Exposure
    answered: int
    short_routes: dict[str, int]
    since_s: float
    left_s: float

    @property
    def strongest(self) -> VersionEvidence:
        """The stronger evidence of both."""
        return max(self.failures, self.slowness, key=lambda each: each.log_evidence)

    def doubts(self, least_answers: int) -> str:
        """Return why the version cannot be called good; empty if it can."""
        if self.answered < least_answers:
            return f"only {self.answered} answers of the target version"
        if self.short_routes:
            return f"too few answers on {', '.join(sorted(self.short_routes))}"
        if self.strongest.log_evidence >= LOG_SUSPECT:
            return f"{self.strongest.measure} on {self.strongest.route or 'all routes'} is suspect"
        return ""


class RolloutPlanner:
    """Decides rollouts of any number of services; remembers rates and past totals by service."""

    def __init__(self, bounds: RolloutBounds) -> None:
        self._bounds = bounds
        self._histories: dict[str, _OrderHistory] = {}

    def decide(
        self, record: RolloutRecord, counts: RolloutCounts, capacity: Capacity, now_s: float
    ) -> RolloutDecision:
        """Return what the rollout does at ``now_s`` of the store's clock. A final phase stays."""
        if record.phase.is_final:
            self._histories.pop(record.service, None)
            return RolloutDecision(record.phase, record.share, record.reason)
        history = self._history_of(record)
        situation = self._assess(history, record, counts, capacity, now_s)
        phase, reason = self._due_end(history, situation)
        if phase is None:
            phase, reason = self._next_phase(history, situation)
        share = 0.0 if phase is Phase.ROLLED_BACK or _waits_for_backends(situation) else situation.exposure.share
        if phase in (Phase.SWITCHING, Phase.COMPLETE):
            share = 1.0
        return RolloutDecision(phase, share, reason, _inputs(situation))

    def _history_of(self, record: RolloutRecord) -> _OrderHistory:
        history = self._histories.get(record.service)
        if history is None or history.order != record.order:
            history = _OrderHistory(record.order, EvidenceLog(record.duration_s))
            self._histories[record.service] = history
        return history

    def _assess(
        self, history: _OrderHistory, record: RolloutRecord, counts: RolloutCounts, capacity: Capacity, now_s: float
    ) -> _Situation:
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
        return _Situation(
            record=record,
            capacity=capacity,
            traffic=traffic,
            failures=history.evidence_log.evidence(FAILURES, is_switching),
            slowness=history.evidence_log.evidence(SLOWNESS, is_switching),
            exposure=plan_exposure(self._bounds, traffic, left_s, record.share),
            answered=totals.target_answers,
            short_routes=answers_short(totals, ROUTE_ANSWERS),
            since_s=since_s,
            left_s=left_s,
        )

    def _due_end(self, history: _OrderHistory, situation: _Situation) -> tuple[Phase | None, str]:
        """Return the end that is due in any phase, with the reason; None if none is."""
        bad = _bad(history, situation)
        if bad is not None:
            return Phase.ROLLED_BACK, f"{bad.measure} on {bad.route or 'all routes'}"
        if not history.has_target and situation.left_s < -MISSING_GRACE_S:
            return Phase.ROLLED_BACK, "no back end of the target version"
        if _is_already_running(situation):
            return Phase.COMPLETE, "all back ends run the target version"
        if situation.since_s >= OVERDUE_FACTOR * situation.record.duration_s:
            doubts = situation.doubts(ANSWERS_TO_COMPLETE)
            if situation.record.phase is Phase.SWITCHING and not doubts:
                return Phase.COMPLETE, "good, overdue"
            return Phase.ROLLED_BACK, f"overdue: {doubts or _lacking_slots(situation) or 'not switched'}"
        return None, ""

    def _next_phase(self, history: _OrderHistory, situation: _Situation) -> tuple[Phase, str]:
        """Return the phase that follows the present one, with the reason."""
        if situation.record.phase is Phase.CANARY:
            return _after_canary(situation)
        now_s = situation.record.ordered_at_s + situation.since_s
        return _after_switching(situation, now_s - history.switching_since_s)


def _bad(history: _OrderHistory, situation: _Situation) -> VersionEvidence | None:
    """Return the evidence by which a version is rolled back; None if there is not enough.

    Slowness in the switch may come of an overload or of cold caches: it must last, and is forgotten once if newer
    answers show none.
    """
    if _is_bad(situation.failures):
        return situation.failures
    if not _is_bad(situation.slowness):
        history.slow_since_s = math.inf
        return None
    if situation.record.phase is not Phase.SWITCHING:
        return situation.slowness
    history.slow_since_s = min(history.slow_since_s, situation.since_s)
    if not history.has_forgotten_slowness and history.evidence_log.slowness_has_passed():
        history.has_forgotten_slowness = True
        history.evidence_log.forget_slowness()
        return None
    return situation.slowness if situation.since_s - history.slow_since_s >= PERSISTENCE_S else None


def _is_bad(evidence: VersionEvidence) -> bool:
    """Whether evidence is enough to roll back."""
    if evidence.log_evidence >= LOG_BAD:
        return True
    return evidence.single_excess >= MANY_BAD and evidence.strongest_single >= LOG_BAD_MANY


def _waits_for_backends(situation: _Situation) -> bool:
    """Whether the canary waits until enough target back ends share it."""
    if situation.record.phase is not Phase.CANARY or situation.capacity.target_backends >= CANARY_BACKENDS:
        return False
    return situation.since_s < CANARY_WAIT_FRACTION * situation.record.duration_s


def _after_canary(situation: _Situation) -> tuple[Phase, str]:
    """Return whether the switch begins, with the reason."""
    hindrance = situation.doubts(ANSWERS_TO_SWITCH) or _lacking_slots(situation)
    if not situation.exposure.switch_fits:
        return Phase.CANARY, hindrance or "good so far"
    if hindrance:
        return Phase.CANARY, hindrance
    if 0.0 < situation.left_s <= LAST_DECISION_S and situation.answered >= ANSWERS_TO_COMPLETE:
        return Phase.COMPLETE, "good, the deadline is near"
    return Phase.SWITCHING, "good, what is left of the bound covers the rest"


def _after_switching(situation: _Situation, switched_for_s: float) -> tuple[Phase, str]:
    """Return whether the rollout is complete, with the reason, ``switched_for_s`` seconds after the switch began
    here."""
    doubts = situation.doubts(ANSWERS_TO_COMPLETE)
    if doubts:
        return Phase.SWITCHING, doubts
    if 0.0 < situation.left_s <= COMPLETE_MARGIN_S:
        return Phase.COMPLETE, "good, the deadline is near"
    if switched_for_s < SETTLE_S:
        return Phase.SWITCHING, "answers at full load are to come"
    if situation.capacity.current_in_flight == 0:
        return Phase.COMPLETE, "good, nothing under way on the current side"
    if situation.left_s <= 0.0 and switched_for_s >= DRAIN_S:
        return Phase.COMPLETE, "good, overdue"
    return Phase.SWITCHING, "requests are under way on the current side"


def _lacking_slots(situation: _Situation) -> str:
    """Return which slots the target version lacks to serve all requests; empty if it lacks none."""
    capacity = situation.capacity
    if capacity.target_slots <= 0:
        return "no target places"
    if capacity.target_slots < ENOUGH_SLOTS_RATIO * capacity.current_slots:
        return f"{capacity.target_slots} target places for {capacity.current_slots} current ones"
    return ""


def _is_already_running(situation: _Situation) -> bool:
    """Whether the target version is the only one: no current back end is left, and none got a request since the
    order."""
    capacity = situation.capacity
    if capacity.current_slots > 0 or capacity.target_slots <= 0 or capacity.current_in_flight > 0:
        return False
    return situation.traffic.current == 0 and situation.since_s >= SAME_VERSION_S


def _inputs(situation: _Situation) -> dict[str, float]:
    """Return the numbers behind a decision, for the log."""
    return {
        "left_s": round(situation.left_s, 3),
        "current_requests": situation.traffic.current,
        "target_requests": situation.traffic.target,
        "requests_per_s": round(situation.traffic.mean_rate, 1),
        "requests_per_s_high": round(situation.traffic.high_rate, 1),
        "exposure_bound": round(situation.exposure.bound, 1),
        "exposure_spent": round(situation.exposure.spent, 1),
        "coming_requests": round(situation.exposure.coming, 1),
        "target_answers": situation.answered,
        "log_evidence": round(situation.strongest.log_evidence, 2),
        "excess_bad": round(situation.strongest.excess, 1),
        "current_places": situation.capacity.current_slots,
        "target_places": situation.capacity.target_slots,
        "current_in_flight": situation.capacity.current_in_flight,
    }
