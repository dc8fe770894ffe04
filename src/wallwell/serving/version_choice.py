"""Returns the back ends that may get a request during a rollout, and counts attempts by version. No I/O.

Adapter between the node's state and the decisions: ``routing/selection/candidates.py`` decides which back ends may
get a request, ``rollout/service_rollout.py`` which version of a rollout a request is drawn for, once for all its
attempts (``ActiveRequest.prefers_target``). Once a stream has begun, only the software version that began it may
continue it, whatever a rollout prefers (``ActiveRequest.stream_software``).

The node that holds the rollout's lease compares the versions by the counts of attempts. For a service without a
rollout, counting costs one lookup.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from wallwell.node.state import NodeState
from wallwell.rollout.service_rollout import ServiceRollout
from wallwell.rollout.tally import CountedAttempt
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.selection import candidates
from wallwell.routing.selection.candidates import (
    Candidates,
    WeightsRequirement,
    candidates_from_tiers,
    usable_backends,
)
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.messages import AttemptError


def candidates_for(
    state: NodeState, active: ActiveRequest, now_s: float, excluded: Collection[Backend] = ()
) -> Candidates:
    """Return the candidates for the next attempt. Back ends in ``excluded`` are listed but not usable."""
    if active.is_stream_software_unknown:
        return Candidates([], [])
    found = _candidates(state, active, now_s, excluded)
    if not active.route.resumable:
        return found
    # A stream that begins at a crashed back end could not go on elsewhere.
    sure = [each for each in found.usable if each.crashed_at_s is None]
    return Candidates(found.listed, sure or found.usable)


def _candidates(state: NodeState, active: ActiveRequest, now_s: float, excluded: Collection[Backend]) -> Candidates:
    """As :func:`candidates_for`, for a request whose stream may go on somewhere if it has begun."""
    listed = state.backends.backends_of_service(active.service)
    generation = active.request.generation
    requirement = None if generation is None else _weights_requirement(state, generation.model)
    rollout = state.rollouts.active.get(active.service)
    if active.stream_software is not None:
        same_version = _backends_to_continue_at(listed, rollout, active.stream_software, now_s)
        same_version = [each for each in same_version if each.crashed_at_s is None]
        return Candidates(same_version, usable_backends(same_version, requirement, now_s, excluded))
    if rollout is None:
        return Candidates(listed, usable_backends(listed, requirement, now_s, excluded))
    if active.prefers_target is None:
        active.prefers_target = rollout.draws_target(state.rng, now_s)
    prefers_target = active.prefers_target and _may_prefer_target(rollout, now_s)
    return candidates_from_tiers(rollout.tiers(listed, prefers_target, now_s), requirement, now_s, excluded)


def _backends_to_continue_at(
    listed: Sequence[Backend], rollout: ServiceRollout | None, software: str, now_s: float
) -> list[Backend]:
    """Return the back ends of the version that began a stream: what another one writes does not fit its events."""
    if rollout is not None:
        return rollout.backends_to_continue_at(listed, software, now_s)
    return [each for each in listed if each.record.software == software]


def known_software(state: NodeState, backend: Backend) -> str | None:
    """Return the software version that answers under a back end's identity, by the newest entry, perhaps of a later
    start; None if that start is known to have crashed, since the next one may run another version."""
    newest = state.backends.get(backend.incarnation) or backend
    return newest.record.software if newest.crashed_at_s is None else None


def generation_start_deadline_s(state: NodeState, backend: Backend, model: str) -> float:
    """Return until when, on this node's clock, a generation may start with the weights a back end probably has."""
    return candidates.begin_by_s(backend, _weights_requirement(state, model))


def _weights_requirement(state: NodeState, model: str) -> WeightsRequirement:
    return WeightsRequirement(state.weights, model, state.bounds.weights_staleness_s)


def _may_prefer_target(rollout: ServiceRollout, now_s: float) -> bool:
    """Whether a request drawn for the target version may still prefer that version at its next attempt."""
    record = rollout.record
    return record is not None and (record.phase.is_final or rollout.has_fresh_record(now_s))


def eligible_backends(state: NodeState, service: str, now_s: float) -> Sequence[Backend]:
    """Return the back ends eligible for new requests of a service, by the rollout's current state."""
    listed = state.backends.backends_of_service(service)
    rollout = state.rollouts.active.get(service)
    return listed if rollout is None else rollout.eligible_backends(listed, now_s)


def count_attempt_start(
    state: NodeState, active: ActiveRequest, backend: Backend, now_s: float
) -> CountedAttempt | None:
    """Return the counted attempt, None if no rollout is counted.

    Retries of an attempt on the target version prefer the current version.
    """
    rollout = state.rollouts.active.get(active.service)
    if rollout is None:
        return None
    is_target = rollout.is_target(backend)
    if is_target:
        active.prefers_target = False
    tally = state.rollouts.tally.by_service.get(active.service)
    if tally is None:
        return None
    tally.on_sent(is_target)
    counts = tally.source_counts(active.route.name, is_target, backend.incarnation)
    return CountedAttempt(counts, now_s, now_s >= backend.slow_until_s)


def count_attempt_end(
    attempt: CountedAttempt, active: ActiveRequest, status: int, failure: BaseException | None, now_s: float
) -> None:
    """Count the result of an attempt: complete, timed out or broken off."""
    timing = active.timing
    if failure is None:
        first_s = timing.attempt_first_event_s
        attempt.on_answered(
            status, now_s if first_s is None else first_s, timing.last_event_s, timing.attempt_event_reads
        )
    elif isinstance(failure, TimeoutError) or _is_answer_timeout(failure):
        attempt.on_timed_out(timing.attempt_first_event_s, now_s)
    else:
        attempt.on_broken()


def _is_answer_timeout(failure: BaseException) -> bool:
    return isinstance(failure, AttemptError) and failure.event is TransportEvent.ANSWER_TIMEOUT
