"""What a rollout does next: canary, switch, end. Pure; see ``docs/design/rollouts.md`` for the reasons.

Whoever holds the lease asks :meth:`RolloutPlanner.decide` some times a second and writes what it says into the row.
All that must last is in the row; a planner that starts anew knows less of rates and late turns for some seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from wallwell.rollout.evidence import EvidenceLog
from wallwell.rollout.exposure import LAST_DECISION_S, Exposure, Traffic, TrafficLog, plan_exposure
from wallwell.rollout.measures import FAILURES, SLOWNESS, Verdict
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
"""Evidence that rolls back. By Ville's inequality a good version meets it in at most 1 of 2,000 rollouts."""
LOG_SUSPECT = -3.5
"""Evidence, after all weights, that holds up the switch and the end, but does not roll back. Of drawn good versions
fewer than 1 in 100 have as much at their end."""
LOG_BAD_MANY = math.log(3_000)
"""Evidence of a single test, without its weight, that rolls back together with :data:`MANY_BAD`."""
MANY_BAD = 20.0
"""Bad answers beyond the expected, of the 50 after which operators want no more."""
PERSISTENCE_S = 2.5
"""Slowness must last so long in the switch, where no answers of the current side tell it from an overload of all.
With the lags of counts and row it leaves half a second of the five within which a bad version must be stopped."""
CANARY_BACKENDS = 3
"""Target back ends from which the canary begins: fewer do not tell a sick machine from a bad version."""
CANARY_WAIT_FRACTION = 0.2
"""Part of the duration for which the canary waits for them."""
ANSWERS_TO_SWITCH = 16
ANSWERS_TO_COMPLETE = 20
"""Whole answers of the target side over all routes."""
ROUTE_ANSWERS = 12
"""Whole answers of the target side on each route, where its traffic gives them."""
ENOUGH_PLACES = 0.8
"""Target places by current ones that can bear all requests."""
COMPLETE_MARGIN_S = 0.6
"""Time before the deadline at which a good rollout ends: two decisions, a write to a slow store and its spread."""
SETTLE_S = 2.0
"""Least time in the switch where no deadline ends it: answers at full load are counted about a second later."""
DRAIN_S = 5.0
"""Longest wait for what is under way on the current side after the deadline."""
SAME_VERSION_S = 2.0
"""Time since the order without a current back end from which on the target version counts as the running one."""
MISSING_GRACE_S = 3.0
"""Wait after the deadline for the first target back end."""
OVERDUE_FACTOR = 2.0
"""Multiple of the duration at which a rollout that never became clear is rolled back."""


@dataclass
class _Memory:
    """What a planner keeps of one order."""

    order: int
    evidence: EvidenceLog
    traffic: TrafficLog = field(default_factory=TrafficLog)
    has_target: bool = False
    slow_since_s: float = math.inf
    has_forgiven: bool = False
    switching_since_s: float = math.inf


@dataclass(frozen=True)
class _View:
    """All that one decision rests on. ``since_s`` is the time since the order, ``left_s`` until the deadline."""

    record: RolloutRecord
    capacity: Capacity
    traffic: Traffic
    failures: Verdict
    slowness: Verdict
    exposure: Exposure
    answered: int
    short_routes: dict[str, int]
    since_s: float
    left_s: float

    @property
    def verdict(self) -> Verdict:
        """The worse of both verdicts."""
        return max(self.failures, self.slowness, key=lambda each: each.log_evidence)

    def doubts(self, least_answers: int) -> str:
        """Return why the version cannot be called good; empty if it can."""
        if self.answered < least_answers:
            return f"only {self.answered} answers of the target version"
        if self.short_routes:
            return f"too few answers on {', '.join(sorted(self.short_routes))}"
        if self.verdict.log_evidence >= LOG_SUSPECT:
            return f"{self.verdict.measure} on {self.verdict.route or 'all routes'} is suspect"
        return ""


class RolloutPlanner:
    """Decides rollouts, one service after the other or by turns; keeps rates and past totals by service."""

    def __init__(self, bounds: RolloutBounds) -> None:
        self._bounds = bounds
        self._memories: dict[str, _Memory] = {}

    def decide(
        self, record: RolloutRecord, counts: RolloutCounts, capacity: Capacity, now_s: float
    ) -> RolloutDecision:
        """Return what the rollout does at ``now_s`` of the store's clock. A final phase stays."""
        if record.phase.is_final:
            self._memories.pop(record.service, None)
            return RolloutDecision(record.phase, record.share, record.reason)
        memory = self._memory(record)
        view = self._look(memory, record, counts, capacity, now_s)
        phase, reason = self._ending(memory, view)
        if phase is None:
            phase, reason = self._going_on(memory, view)
        share = 0.0 if phase is Phase.ROLLED_BACK or _waits_for_backends(view) else view.exposure.share
        if phase in (Phase.SWITCHING, Phase.COMPLETE):
            share = 1.0
        return RolloutDecision(phase, share, reason, _inputs(view))

    def _memory(self, record: RolloutRecord) -> _Memory:
        memory = self._memories.get(record.service)
        if memory is None or memory.order != record.order:
            memory = _Memory(record.order, EvidenceLog(record.duration_s))
            self._memories[record.service] = memory
        return memory

    def _look(
        self, memory: _Memory, record: RolloutRecord, counts: RolloutCounts, capacity: Capacity, now_s: float
    ) -> _View:
        """Take in the newest counts and return what there is to see."""
        since_s = now_s - record.ordered_at_s
        current = max(record.current_requests, counts.current_requests)
        target = max(record.target_requests, counts.target_requests)
        traffic = memory.traffic.observe(since_s, current, target)
        memory.evidence.observe(counts, since_s)
        memory.has_target = memory.has_target or capacity.target_backends > 0 or target > 0
        is_switching = record.phase is Phase.SWITCHING
        if is_switching:
            memory.switching_since_s = min(memory.switching_since_s, now_s)
        totals = memory.evidence.newest
        left_s = record.deadline_s - now_s
        return _View(
            record=record,
            capacity=capacity,
            traffic=traffic,
            failures=memory.evidence.verdict(FAILURES, is_switching),
            slowness=memory.evidence.verdict(SLOWNESS, is_switching),
            exposure=plan_exposure(self._bounds, traffic, left_s, record.share),
            answered=totals.target_answers,
            short_routes=answers_short(totals, ROUTE_ANSWERS),
            since_s=since_s,
            left_s=left_s,
        )

    def _ending(self, memory: _Memory, view: _View) -> tuple[Phase | None, str]:
        """Return the end that is due whatever the phase."""
        bad = _bad(memory, view)
        if bad is not None:
            return Phase.ROLLED_BACK, f"{bad.measure} on {bad.route or 'all routes'}"
        if not memory.has_target and view.left_s < -MISSING_GRACE_S:
            return Phase.ROLLED_BACK, "no back end of the target version"
        if _runs_already(view):
            return Phase.COMPLETE, "all back ends run the target version"
        if view.since_s >= OVERDUE_FACTOR * view.record.duration_s:
            doubts = view.doubts(ANSWERS_TO_COMPLETE)
            if view.record.phase is Phase.SWITCHING and not doubts:
                return Phase.COMPLETE, "good, overdue"
            return Phase.ROLLED_BACK, f"overdue: {doubts or _lacking_places(view) or 'not switched'}"
        return None, ""

    def _going_on(self, memory: _Memory, view: _View) -> tuple[Phase, str]:
        if view.record.phase is Phase.CANARY:
            return _canary(view)
        now_s = view.record.ordered_at_s + view.since_s
        return _switching(view, now_s - memory.switching_since_s)


def _bad(memory: _Memory, view: _View) -> Verdict | None:
    """Return the verdict of a version that is bad without much doubt; None otherwise."""
    if _is_bad(view.failures):
        return view.failures
    if not _is_bad(view.slowness):
        memory.slow_since_s = math.inf
        return None
    if view.record.phase is not Phase.SWITCHING:
        return view.slowness
    memory.slow_since_s = min(memory.slow_since_s, view.since_s)
    if not memory.has_forgiven and memory.evidence.slowness_has_passed():
        memory.has_forgiven = True
        memory.evidence.forget_slowness()
        return None
    return view.slowness if view.since_s - memory.slow_since_s >= PERSISTENCE_S else None


def _is_bad(verdict: Verdict) -> bool:
    """Whether evidence is enough to roll back."""
    if verdict.log_evidence >= LOG_BAD:
        return True
    return verdict.single_excess >= MANY_BAD and verdict.strongest_single >= LOG_BAD_MANY


def _waits_for_backends(view: _View) -> bool:
    """Whether the canary waits until enough target back ends share it."""
    if view.record.phase is not Phase.CANARY or view.capacity.target_backends >= CANARY_BACKENDS:
        return False
    return view.since_s < CANARY_WAIT_FRACTION * view.record.duration_s


def _canary(view: _View) -> tuple[Phase, str]:
    """Return whether the switch begins."""
    hindrance = view.doubts(ANSWERS_TO_SWITCH) or _lacking_places(view)
    if not view.exposure.switch_fits:
        return Phase.CANARY, hindrance or "good so far"
    if hindrance:
        return Phase.CANARY, hindrance
    if 0.0 < view.left_s <= LAST_DECISION_S and view.answered >= ANSWERS_TO_COMPLETE:
        return Phase.COMPLETE, "good, the deadline is near"
    return Phase.SWITCHING, "good, what is left of the bound covers the rest"


def _switching(view: _View, switched_for_s: float) -> tuple[Phase, str]:
    """Return whether the rollout is complete, ``switched_for_s`` after the switch was first seen."""
    doubts = view.doubts(ANSWERS_TO_COMPLETE)
    if doubts:
        return Phase.SWITCHING, doubts
    if 0.0 < view.left_s <= COMPLETE_MARGIN_S:
        return Phase.COMPLETE, "good, the deadline is near"
    if switched_for_s < SETTLE_S:
        return Phase.SWITCHING, "answers at full load are to come"
    if view.capacity.current_in_flight == 0:
        return Phase.COMPLETE, "good, nothing under way on the current side"
    if view.left_s <= 0.0 and switched_for_s >= DRAIN_S:
        return Phase.COMPLETE, "good, overdue"
    return Phase.SWITCHING, "requests are under way on the current side"


def _lacking_places(view: _View) -> str:
    """Return what the target side lacks to bear all requests; empty if it can, or if no current one is left."""
    capacity = view.capacity
    if capacity.target_places <= 0:
        return "no target places"
    if capacity.target_places < ENOUGH_PLACES * capacity.current_places:
        return f"{capacity.target_places} target places for {capacity.current_places} current ones"
    return ""


def _runs_already(view: _View) -> bool:
    """Whether the target version is the running one: no current back end since the order, and none was sent to."""
    capacity = view.capacity
    if capacity.current_places > 0 or capacity.target_places <= 0 or capacity.current_in_flight > 0:
        return False
    return view.traffic.current == 0 and view.since_s >= SAME_VERSION_S


def _inputs(view: _View) -> dict[str, float]:
    """Return the numbers behind a decision, for the log."""
    return {
        "left_s": round(view.left_s, 3),
        "current_requests": view.traffic.current,
        "target_requests": view.traffic.target,
        "requests_per_s": round(view.traffic.mean_rate, 1),
        "requests_per_s_high": round(view.traffic.high_rate, 1),
        "exposure_bound": round(view.exposure.bound, 1),
        "exposure_spent": round(view.exposure.spent, 1),
        "coming_requests": round(view.exposure.coming, 1),
        "target_answers": view.answered,
        "log_evidence": round(view.verdict.log_evidence, 2),
        "excess_bad": round(view.verdict.excess, 1),
        "current_places": view.capacity.current_places,
        "target_places": view.capacity.target_places,
        "current_in_flight": view.capacity.current_in_flight,
    }
