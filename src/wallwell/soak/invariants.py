"""All invariants by name, checked over a run's history. Pure: records in, breaches out.

An invariant states what callers, workers and operators may rely on. Most hold at any time; those with a time bound
are checked only while no fault touches nodes, links or the store, see :meth:`History.is_fault_free`.
"""

from __future__ import annotations

from dataclasses import dataclass

from wallwell.soak import (
    invariants_fleet,
    invariants_isolation,
    invariants_notices,
    invariants_odd_entries,
    invariants_parts,
    invariants_requests,
    invariants_rollout,
    invariants_silences,
    invariants_stops,
    invariants_streams,
)
from wallwell.soak.cases import Check
from wallwell.soak.timeline import History


@dataclass(frozen=True)
class Breach:
    """An invariant that did not hold: when it shows, by which request or process, and what was seen."""

    at_s: float
    invariant: str
    subject: str
    detail: str

    def __str__(self) -> str:
        return f"{self.at_s:.3f} s: {self.invariant} broken by {self.subject}: {self.detail}"


@dataclass(frozen=True)
class CheckResult:
    """How often each invariant was put to the test, and the breaches, the first one first; ``stops`` tells what
    planned stops met."""

    cases: dict[str, int]
    breaches: tuple[Breach, ...]
    stops: dict[str, int]


INVARIANTS: dict[str, Check] = {
    "own_answer_whole": invariants_requests.own_answer_whole,
    "at_most_once": invariants_requests.at_most_once,
    "only_asked": invariants_requests.only_asked,
    "refused_not_run": invariants_requests.refused_not_run,
    "second_answers_end_nothing": invariants_requests.second_answers_end_nothing,
    "broken_answers_reach_nobody": invariants_requests.broken_answers_reach_nobody,
    "stream_order": invariants_requests.stream_order,
    "one_version_per_stream": invariants_streams.one_version_per_stream,
    "resumed_streams_go_on": invariants_streams.resumed_streams_go_on,
    "crashes_few": invariants_requests.crashes_few,
    "bad_part_reaches_few": invariants_parts.bad_part_reaches_few,
    "sound_begin_beside_bad_part": invariants_parts.sound_begin_beside_bad_part,
    "skewed_node_serves": invariants_parts.skewed_node_serves,
    "recovers": invariants_requests.recovers,
    "nodes_stay": invariants_requests.nodes_stay,
    "starts_beside_odd_rows": invariants_odd_entries.starts_beside_odd_rows,
    "nodes_serve_beside_odd_rows": invariants_odd_entries.nodes_serve_beside_odd_rows,
    "workers_serve_beside_odd_rows": invariants_odd_entries.workers_serve_beside_odd_rows,
    "no_fault_beside_odd_rows": invariants_odd_entries.no_fault_beside_odd_rows,
    "drained_gets_nothing": invariants_fleet.drained_gets_nothing,
    "left_stays_left": invariants_fleet.left_stays_left,
    "announced_gets_nothing": invariants_notices.announced_gets_nothing,
    "backoff_kept": invariants_notices.backoff_kept,
    "stated_limit_kept": invariants_notices.stated_limit_kept,
    "silence_ends_nothing": invariants_silences.silence_ends_nothing,
    "silence_cuts_nothing": invariants_silences.silence_cuts_nothing,
    "left_is_cancelled": invariants_fleet.left_is_cancelled,
    "planned_stop_cuts_nothing": invariants_fleet.planned_stop_cuts_nothing,
    "stop_cuts_only_excused": invariants_stops.stop_cuts_only_excused,
    "revoked_key_unused": invariants_fleet.revoked_key_unused,
    "configuration_in_time": invariants_fleet.configuration_in_time,
    "configuration_never_back": invariants_fleet.configuration_never_back,
    "tenant_limit": invariants_fleet.tenant_limit,
    "isolated_share_nothing": invariants_isolation.isolated_share_nothing,
    "fences_never_lower": invariants_fleet.fences_never_lower,
    "weights_in_time": invariants_fleet.weights_in_time,
    "exposure": invariants_rollout.exposure,
    "none_after_rollback": invariants_rollout.none_after_rollback,
    "rollout_ends_right": invariants_rollout.rollout_ends_right,
}
"""The names are printed, and kept runs and pages refer to them."""


def check_invariants(history: History) -> CheckResult:
    """Check every invariant."""
    cases: dict[str, int] = {}
    breaches = []
    for invariant, check in INVARIANTS.items():
        found = list(check(history))
        cases[invariant] = len(found)
        breaches += [Breach(case.at_s, invariant, case.subject, case.detail) for case in found if case is not None]
    ordered = tuple(sorted(breaches, key=lambda breach: breach.at_s))
    return CheckResult(cases, ordered, invariants_stops.count_around_stops(history))
