"""Which back end gets the next attempt of a request. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence

from wallwell.deployment.backends import Backend
from wallwell.errors import OverloadedError
from wallwell.node.state import NodeState
from wallwell.routing.admission.overload import Occupancy, refused_part
from wallwell.routing.admission.remaining_time import ShortestAnswer
from wallwell.routing.rendezvous import rendezvous_score
from wallwell.routing.retry.retry_after import overload_retry_after_s
from wallwell.routing.selection.prefix_home import (
    choose_engine,
    choose_from_tiers,
    find_headroom,
    is_long,
    prefers_other_region,
    regional_pools,
    shared_parts,
)
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.version_choice import eligible_backends

REGION_WAY_S = 0.04
"""What the way to an engine of another region and back adds to a first piece: twice 20 ms (the users' figure)."""
SHARED_TOKENS_WORTH_THE_WAY = 1024
"""Shared tokens from which a prompt has one home in all regions. It parts short prompts (some 200 shared tokens)
from long ones (6,300, which take 67 ms to read at 94 tokens a ms, where the way and back takes 40 ms)."""
FAR_SLOTS_FRACTION = 0.75
"""Part of another region's slots that this one's prompts may fill: the rest is left to its own prompts, since its
loads are told here some times a second only."""


class BackendChoice:
    """Chooses among usable back ends: calls by places free, generations by their shared prefix."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def choose(
        self, active: ActiveRequest, candidates: Sequence[Backend], listed: Sequence[Backend] | None = None
    ) -> Backend:
        """Return one of the candidates, of which there is at least one.

        Engines' pools are formed from ``listed``, by default all back ends of the service.
        """
        state = self._state
        generation = active.request.generation
        if generation is None:
            return state.least_loaded(candidates)
        listed = state.backends.of_service(active.service) if listed is None else listed
        pool = regional_pools(listed, generation.prompt_tokens, state.places)
        near, far = self._by_region(candidates, self._home_region(active, pool))
        key, nodes = active.placement, state.node_count
        # A long prompt that would wait beyond its objective in its pool rather lengthens the gaps of short ones.
        room, far_room = self._headroom_limits(active.route.objective_s, is_long(generation.prompt_tokens))
        if near and far:
            chosen = (
                find_headroom(_tiers(near, pool), key, nodes, room)
                or find_headroom(_tiers(far, pool), key, nodes, far_room, FAR_SLOTS_FRACTION)
                or choose_engine(far if prefers_other_region(near, far, key, nodes) else near, key, nodes)
            )
        else:
            chosen = choose_from_tiers(_tiers(near or far, pool), key, nodes, room if near else far_room)
        assert chosen is not None
        return chosen

    def _by_region(self, candidates: Sequence[Backend], region: str) -> tuple[Sequence[Backend], Sequence[Backend]]:
        """Return the candidates of a region and those of others; all count as near without regions."""
        places = self._state.places
        if not places.has_regions:
            return candidates, ()
        near = [each for each in candidates if places.region_of(each.record.zone) == region]
        return near, [each for each in candidates if places.region_of(each.record.zone) != region]

    def _home_region(self, active: ActiveRequest, pool: Sequence[Backend]) -> str:
        """Return the region in which a prompt is to be read: the node's, or that of its home if much is shared.

        Reading much again takes longer than the way to the other region and back, and the stores of one region need
        not hold what all callers share.
        """
        places = self._state.places
        generation = active.request.generation
        assert generation is not None
        shared_tokens = sum(part.tokens for part in shared_parts(generation.parts))
        if shared_tokens < SHARED_TOKENS_WORTH_THE_WAY or not pool:
            return places.own_region
        home = max(pool, key=lambda engine: rendezvous_score(engine.incarnation, active.placement))
        return places.region_of(home.record.zone)

    def _headroom_limits(self, objective_s: float, is_long_prompt: bool) -> tuple[float, float]:
        """Return up to which load engines of this region and of others still begin a prompt in time."""
        if not is_long_prompt:
            return math.inf, math.inf
        pace = self._state.pace
        return pace.room(objective_s), pace.room(max(0.0, objective_s - REGION_WAY_S))

    def without_unresponsive_zones(self, active: ActiveRequest, candidates: Sequence[Backend]) -> Sequence[Backend]:
        """Leave out the zones into which this request's connections hung; then the own zone goes first.

        Each such connection costs the request 0.25 s, and nothing is less likely to be cut off than the own zone.
        """
        hung = active.history.unresponsive_zones
        if not hung:
            return candidates
        apart = [each for each in candidates if each.record.zone not in hung]
        near = [each for each in apart if each.record.zone == self._state.zone]
        return near or apart or candidates

    def refuse_if_overloaded(self, active: ActiveRequest, now_s: float) -> None:
        """Refuse a part of new generations while engines have too much to do. Raises :class:`OverloadedError`.

        Engines that load weights count: they are back sooner than a refused caller.
        """
        generation = active.request.generation
        if generation is None or generation.resume_after is not None or active.history.tried:
            return
        engines = [each for each in eligible_backends(self._state, active.service, now_s) if each.is_open(now_s)]
        if any(each.peers_load is None for each in engines):
            return  # What one node has under way says little of the fleet.
        load = sum(each.fleet_load() for each in engines)
        occupancy = Occupancy(load, sum(each.record.slots for each in engines))
        rng = self._state.rng
        if rng.random() >= refused_part(occupancy, active.rank):
            return
        wait_s = overload_retry_after_s(occupancy, active.rank, self._state.generation_time.seconds, rng)
        raise OverloadedError(f"{occupancy.per_slot:.2f} under way by slot", retry_after_ms=round(wait_s * 1000))

    def learn_time(self, active: ActiveRequest, now_s: float) -> None:
        """A request has ended well."""
        state = self._state
        took_s = now_s - active.timing.attempt_s
        usual = state.call_time if active.request.generation is None else state.generation_time
        usual.observe(took_s)
        if not active.history.runs:
            state.shortest_answers.setdefault(active.route.name, ShortestAnswer()).observe(took_s)

    def learn_first_token(self, active: ActiveRequest, now_s: float) -> None:
        """A piece of the current run came: learn from the first one."""
        timing = active.timing
        generation = active.request.generation
        if timing.sent_s is None or generation is None:
            return
        delay_s = now_s - timing.sent_s
        self._state.first_token_delays.observe(delay_s, active.route.objective_s, now_s)
        if is_long(generation.prompt_tokens):
            self._state.pace.observe(timing.load_when_sent, delay_s)
        timing.sent_s = None

    def learn_silence(self, active: ActiveRequest, now_s: float) -> None:
        """The current run was given up before its first piece."""
        timing = active.timing
        if timing.sent_s is not None and active.request.generation is not None:
            self._state.first_token_delays.on_given_up(now_s)
            timing.sent_s = None


def _tiers(engines: Sequence[Backend], pool: Sequence[Backend]) -> tuple[Sequence[Backend], Sequence[Backend]]:
    """Return the engines that are meant for a prompt's length, and all of them."""
    meant = set(pool)
    return [each for each in engines if each in meant], engines
