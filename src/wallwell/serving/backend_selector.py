"""Which back end gets the next attempt of a request, and what is learnt from how it went. No I/O.

This is the adapter between the node's state and the decisions in ``routing/selection/`` (``call_choice``,
``engine_choice``) and ``routing/admission/overload.py``. It raises the refusals that they decide on. It changes the
node's averages of how long answers take, which nothing else writes.
"""

from __future__ import annotations

from collections.abc import Sequence

from wallwell.errors import OverloadedError
from wallwell.node.state import NodeState
from wallwell.routing.admission.overload import overloaded_occupancy
from wallwell.routing.admission.remaining_time import ShortestAnswer
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.retry_after import overload_retry_after_s
from wallwell.routing.selection.call_choice import choose_for_call
from wallwell.routing.selection.engine_choice import FleetView, Prompt, choose_for_generation
from wallwell.routing.selection.prefix_home import is_long, shared_parts
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.version_choice import eligible_backends


class BackendSelector:
    """Asks the decisions of ``routing/`` for one attempt at a time, and learns from how attempts went."""

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
            return choose_for_call(candidates, state.node_count, state.zone, state.topology, state.rng)
        if listed is None:
            listed = state.backends.of_service(active.service)
        prompt = Prompt(
            key=active.prefix_key,
            tokens=generation.prompt_tokens,
            shared_tokens=sum(part.tokens for part in shared_parts(generation.parts)),
            objective_s=active.route.objective_s,
        )
        fleet = FleetView(state.node_count, state.topology, state.prefill_rate)
        return choose_for_generation(prompt, candidates, listed, fleet)

    def refuse_if_overloaded(self, active: ActiveRequest, now_s: float) -> None:
        """Refuse a fraction of new generations while engines have too much to do. Raises :class:`OverloadedError`.

        A stream that a caller resumes and a request that was sent before are not new.
        """
        generation = active.request.generation
        if generation is None or generation.resume_after is not None or active.history.tried:
            return
        state = self._state
        engines = eligible_backends(state, active.service, now_s)
        # The free slots of one that states a limit cannot be used.
        engines = [each for each in engines if not each.is_limited] or engines
        occupancy = overloaded_occupancy(engines, active.rank, now_s, state.rng)
        if occupancy is None:
            return
        wait_s = overload_retry_after_s(occupancy, active.rank, state.generation_time.seconds, state.rng)
        raise OverloadedError(f"{occupancy.per_slot:.2f} under way by slot", retry_after_ms=round(wait_s * 1000))

    def record_duration(self, active: ActiveRequest, now_s: float) -> None:
        """A request has ended well."""
        state = self._state
        duration_s = now_s - active.timing.attempt_sent_s
        average = state.call_time if active.request.generation is None else state.generation_time
        average.observe(duration_s)
        if not active.history.runs:
            state.shortest_answers.setdefault(active.route.name, ShortestAnswer()).observe(duration_s)

    def record_first_token(self, active: ActiveRequest, now_s: float) -> None:
        """A token of the current attempt came: learn from the first one."""
        timing = active.timing
        generation = active.request.generation
        if timing.unanswered_since_s is None or generation is None:
            return
        delay_s = now_s - timing.unanswered_since_s
        self._state.first_token_delays.observe(delay_s, active.route.objective_s, now_s)
        if is_long(generation.prompt_tokens):
            self._state.prefill_rate.observe(timing.load_when_sent, delay_s)
        timing.unanswered_since_s = None

    def record_no_first_token(self, active: ActiveRequest, now_s: float) -> None:
        """The current attempt was given up before its first token."""
        timing = active.timing
        if timing.unanswered_since_s is not None and active.request.generation is not None:
            self._state.first_token_delays.on_given_up(now_s)
            timing.unanswered_since_s = None
