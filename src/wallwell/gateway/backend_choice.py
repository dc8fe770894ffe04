"""Which back end gets the next attempt of a request. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence

from wallwell.deployment.backends import Backend
from wallwell.errors import OverloadedError
from wallwell.gateway.exchange_state import Exchange
from wallwell.gateway.fleet_state import FleetState
from wallwell.routing.overload import Occupancy, refused_part, return_after_s
from wallwell.routing.prefix_home import choose_from_tiers, engine_pool, is_long
from wallwell.routing.return_time import ShortestAnswer


class BackendChoice:
    """Chooses among usable back ends: calls by places free, generations by their shared prefix."""

    def __init__(self, state: FleetState) -> None:
        self._state = state

    def choose(self, exchange: Exchange, candidates: Sequence[Backend]) -> Backend:
        """Return one of the candidates, of which there is at least one."""
        state = self._state
        generation = exchange.request.generation
        if generation is None:
            return state.least_loaded(candidates)
        pool = engine_pool(state.backends.of_service(exchange.service), generation.prompt_tokens)
        in_pool = [each for each in candidates if each in pool]
        # A long prompt that would wait beyond its objective in its pool rather lengthens the gaps of short ones.
        room = state.pace.room(exchange.route.objective_s) if is_long(generation.prompt_tokens) else math.inf
        chosen = choose_from_tiers((in_pool, candidates), exchange.placement, state.node_count, room)
        assert chosen is not None
        return chosen

    def refuse_if_overloaded(self, exchange: Exchange, now_s: float) -> None:
        """Refuse a part of new generations while engines have too much to do. Raises :class:`OverloadedError`.

        Engines that load weights count: they are back sooner than a refused caller.
        """
        generation = exchange.request.generation
        if generation is None or generation.resume_after is not None or exchange.history.tried:
            return
        engines = [each for each in self._state.backends.of_service(exchange.service) if each.is_open(now_s)]
        if any(each.peers_load is None for each in engines):
            return  # What one node has under way says little of the fleet.
        load = sum(each.fleet_load() for each in engines)
        occupancy = Occupancy(load, sum(each.record.slots for each in engines))
        rng = self._state.rng
        if rng.random() >= refused_part(occupancy, exchange.rank):
            return
        wait_s = return_after_s(occupancy, exchange.rank, self._state.generation_time.seconds, rng)
        raise OverloadedError(f"{occupancy.per_slot:.2f} under way by slot", retry_after_ms=round(wait_s * 1000))

    def learn_time(self, exchange: Exchange, now_s: float) -> None:
        """A request has ended well."""
        state = self._state
        took_s = now_s - exchange.timing.attempt_s
        usual = state.call_time if exchange.request.generation is None else state.generation_time
        usual.observe(took_s)
        if not exchange.history.runs:
            state.shortest_answers.setdefault(exchange.route.name, ShortestAnswer()).observe(took_s)

    def learn_pace(self, exchange: Exchange, now_s: float) -> None:
        """A piece of the current run came: learn from the first one."""
        timing = exchange.timing
        generation = exchange.request.generation
        if timing.sent_s is None or generation is None:
            return
        delay_s = now_s - timing.sent_s
        self._state.first_pieces.observe(delay_s, exchange.route.objective_s, now_s)
        if is_long(generation.prompt_tokens):
            self._state.pace.observe(timing.load_when_sent, delay_s)
        timing.sent_s = None

    def learn_silence(self, exchange: Exchange, now_s: float) -> None:
        """The current run was given up before its first piece."""
        timing = exchange.timing
        if timing.sent_s is not None and exchange.request.generation is not None:
            self._state.first_pieces.on_given_up(now_s)
            timing.sent_s = None
