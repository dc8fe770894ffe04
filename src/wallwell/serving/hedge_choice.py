"""Which back end gets a second attempt beside a silent one. No I/O.

A second attempt must have a better chance than the silent one. So it goes only to an open back end that the request
has not been sent to, that has a free slot and has sent something since the silence began. Of an idle back end
nothing is known: it counts as awake if no other one is silent, since a whole service may be silent for a moment,
and then waiting costs less than moving. Once the silent one is taken to have stopped, any other open one is better.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence

from wallwell.node.state import NodeState
from wallwell.routing.admission.remaining_time import has_too_little_time_for_another
from wallwell.routing.health.backend import Backend
from wallwell.routing.selection.candidates import exclude_unresponsive_zones
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.backend_selector import BackendSelector
from wallwell.serving.quarantine_check import quarantine_refusal
from wallwell.serving.version_choice import candidates_for


class HedgeObstacle(enum.Enum):
    """Why no second attempt is made."""

    IS_HEDGE = "is_hedge"
    """It is one itself."""
    NO_RUN_LEFT = "no_run_left"
    """The route allows no further run, or too many second attempts of the request have failed."""
    NO_RETRY_LEFT = "no_retry_left"
    """The retry budget allows none."""
    NO_BACKEND = "no_backend"
    """No other back end is known to be awake, with a free slot."""
    TOO_LATE = "too_late"
    """The caller has left, or there is too little time for another attempt."""
    FLEET_BEHIND = "fleet_behind"
    """All engines are late, so that the silent one is probably busy as well."""


MAX_SOUND_SILENCE_S = 2.0
"""Seconds after which a silent back end is taken to have stopped. Sound ones go on after a second or so."""


def is_too_late_for_hedge(state: NodeState, active: ActiveRequest) -> bool:
    """Whether the caller has left, or there is too little time for another attempt."""
    if active.reply.is_caller_gone():
        return True
    continues_run = active.reply.started or active.request.resumes_stream
    shortest = None if continues_run else state.shortest_answers.get(active.route.name)
    return has_too_little_time_for_another(shortest, active.remaining_s())


def choose_for_hedge(
    state: NodeState, selector: BackendSelector, active: ActiveRequest, now_s: float
) -> Backend | None:
    """Return the back end for a second attempt and count it in the limit it states; None if there is none."""
    if quarantine_refusal(state, active, now_s) is not None:
        return None
    listed = state.backends.backends_of_service(active.service)
    silent_s = active.timing.silent_s(now_s)
    has_stopped = silent_s >= MAX_SOUND_SILENCE_S or (active.watch is not None and active.watch.suspected.done())
    unsuitable = {each for each in listed if not _may_get_it(active, each, now_s)}
    worse = unsuitable | (set(listed) - _with_better_chance(state, active, listed, silent_s, now_s))
    found = _choose(state, selector, active, worse, now_s)
    if found is not None or not has_stopped:
        return found
    return _choose(state, selector, active, unsuitable, now_s)


def _choose(
    state: NodeState, selector: BackendSelector, active: ActiveRequest, excluded: set[Backend], now_s: float
) -> Backend | None:
    """Return a back end that is not excluded and whose stated limit allows the request, None if there is none."""
    while True:
        pool, usable = candidates_for(state, active, now_s, excluded)
        candidates = exclude_unresponsive_zones(usable, active.history.unresponsive_zones, state.zone)
        if not candidates:
            return None
        backend = selector.choose(active, candidates, pool)
        if selector.wait_for_room_s(active, backend, now_s) is None:
            return backend
        excluded = excluded | {backend}


def _may_get_it(active: ActiveRequest, backend: Backend, now_s: float) -> bool:
    return backend.incarnation not in active.history.tried_incarnations and backend.is_open(now_s)


def _with_better_chance(
    state: NodeState, active: ActiveRequest, listed: Sequence[Backend], silent_s: float, now_s: float
) -> set[Backend]:
    """Return the back ends that have a free slot and are awake, as far as this node knows."""
    free = [each for each in listed if each.fleet_load(state.node_count) < each.record.slots]
    if state.reachability.is_unreachable(active.service):
        return set(free)  # Peers make the attempts, so that this node hears nothing of any.
    heard = {each for each in free if each.silence.last_received_s > now_s - silent_s}
    silent = {each for each in listed if each.is_silent(now_s)}
    return heard if len(silent) > 1 else heard | (set(free) - silent)
