"""All promises by name, checked over a run's history. Pure: records in, breaches out."""

from __future__ import annotations

from dataclasses import dataclass

from wallwell.soak import promises_fleet, promises_requests, promises_rollout
from wallwell.soak.timeline import History
from wallwell.soak.verdicts import Check


@dataclass(frozen=True)
class Breach:
    """A promise that was broken: when it shows, by which request or process, and what was seen."""

    at_s: float
    promise: str
    subject: str
    detail: str

    def __str__(self) -> str:
        return f"{self.at_s:.3f} s: {self.promise} broken by {self.subject}: {self.detail}"


@dataclass(frozen=True)
class Verdict:
    """How often each promise was put to the test, and the breaches, the first one first."""

    cases: dict[str, int]
    breaches: tuple[Breach, ...]


PROMISES: dict[str, Check] = {
    "own_answer_whole": promises_requests.own_answer_whole,
    "at_most_once": promises_requests.at_most_once,
    "only_asked": promises_requests.only_asked,
    "refused_not_run": promises_requests.refused_not_run,
    "stream_order": promises_requests.stream_order,
    "crashes_few": promises_requests.crashes_few,
    "recovers": promises_requests.recovers,
    "nodes_stay": promises_requests.nodes_stay,
    "drained_gets_nothing": promises_fleet.drained_gets_nothing,
    "left_is_cancelled": promises_fleet.left_is_cancelled,
    "planned_stop_cuts_nothing": promises_fleet.planned_stop_cuts_nothing,
    "revoked_key_unused": promises_fleet.revoked_key_unused,
    "configuration_never_back": promises_fleet.configuration_never_back,
    "tenant_limit": promises_fleet.tenant_limit,
    "fences_never_lower": promises_fleet.fences_never_lower,
    "weights_in_time": promises_fleet.weights_in_time,
    "exposure": promises_rollout.exposure,
    "none_after_rollback": promises_rollout.none_after_rollback,
    "rollout_ends_right": promises_rollout.rollout_ends_right,
}


def judge(history: History) -> Verdict:
    """Check every promise."""
    cases: dict[str, int] = {}
    breaches = []
    for promise, check in PROMISES.items():
        found = list(check(history))
        cases[promise] = len(found)
        breaches += [Breach(case[0], promise, case[1], case[2]) for case in found if case is not None]
    return Verdict(cases, tuple(sorted(breaches, key=lambda breach: breach.at_s)))
