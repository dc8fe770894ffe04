"""Which side of a rollout a request goes to, and what is counted of its attempts. No I/O.

A service without a rollout costs one look-up here.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from wallwell.deployment.backends import Backend
from wallwell.node.state import NodeState
from wallwell.rollout.service_rollout import ServiceRollout
from wallwell.rollout.tally import CountedAttempt
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.messages import AttemptError


class Candidates(NamedTuple):
    """Back ends for the next attempt of a request."""

    listed: Sequence[Backend]
    """All that may carry requests of its kind, from which engines' pools are formed."""
    usable: list[Backend]


def candidates_for(state: NodeState, active: ActiveRequest, now_s: float) -> Candidates:
    """Return the back ends among which the next attempt's is chosen."""
    listed = state.backends.of_service(active.service)
    generation = active.request.generation
    sides = state.rollouts.active.get(active.service)
    if sides is None:
        return Candidates(listed, state.usable_of(listed, generation, now_s))
    if active.prefers_target is None:
        active.prefers_target = sides.draws_target(state.rng, now_s)
    tiers = sides.tiers(listed, active.prefers_target and _may_prefer_target(sides, now_s), now_s)
    for tier in tiers:
        if any(each.is_open(now_s) for each in tier):
            usable = state.usable_of(tier, generation, now_s)
            if usable:
                return Candidates(tier, usable)
    # Every back end is suspended or on old weights: the last resort of the side that the request belongs to.
    offers = [Candidates(tier, state.usable_of(tier, generation, now_s)) for tier in tiers]
    return next((each for each in offers if each.usable), offers[0])


def _may_prefer_target(sides: ServiceRollout, now_s: float) -> bool:
    """Whether a request that was drawn for the target version may still go there at its next attempt."""
    record = sides.record
    return record is not None and (record.phase.is_final or sides.has_fresh_record(now_s))


def eligible_backends(state: NodeState, service: str, now_s: float) -> Sequence[Backend]:
    """Return the back ends that new requests of a service are meant for."""
    listed = state.backends.of_service(service)
    sides = state.rollouts.active.get(service)
    return listed if sides is None else sides.eligible_backends(listed, now_s)


def begin_attempt(state: NodeState, active: ActiveRequest, backend: Backend, now_s: float) -> CountedAttempt | None:
    """Count an attempt that is sent while a rollout is on; a repeat after it goes to the current version."""
    sides = state.rollouts.active.get(active.service)
    if sides is None:
        return None
    is_target = sides.is_target(backend)
    if is_target:
        active.prefers_target = False
    tally = state.rollouts.tally.by_service.get(active.service)
    if tally is None:
        return None
    tally.on_sent(is_target)
    counts = tally.of(active.route.name, is_target, backend.incarnation)
    return CountedAttempt(counts, now_s, now_s >= backend.slow_until_s)


def end_attempt(
    attempt: CountedAttempt, active: ActiveRequest, status: int, failure: BaseException | None, now_s: float
) -> None:
    """Count how an attempt ended."""
    timing = active.timing
    if failure is None:
        first_s = timing.run_first_s
        attempt.on_whole(status, now_s if first_s is None else first_s, timing.last_s, timing.run_events)
    elif isinstance(failure, TimeoutError) or _is_silence(failure):
        attempt.on_given_up(timing.run_first_s, now_s)
    else:
        attempt.on_broken()


def _is_silence(failure: BaseException) -> bool:
    return isinstance(failure, AttemptError) and failure.event is TransportEvent.ANSWER_TIMEOUT
