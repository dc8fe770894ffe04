"""Selects the back end for the next attempt of a request, and updates the latency averages it uses. No I/O.

Adapter between the node's state and the decisions in ``routing/selection/`` (``call_choice``, ``engine_choice``)
and ``routing/admission/overload.py``. Raises the refusals that these decide on. No other module writes the
node's averages of answer times.
"""

from __future__ import annotations

from collections.abc import Sequence

from wallwell.errors import OverloadedError
from wallwell.node.state import NodeState
from wallwell.routing.admission.overload import occupancy_if_refused
from wallwell.routing.admission.remaining_time import ShortestAnswerTime
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.retry_after import overload_retry_after_s
from wallwell.routing.selection.call_choice import choose_backend_for_call
from wallwell.routing.selection.engine_choice import FleetView, Prompt, choose_engine_for_generation
from wallwell.routing.selection.prefix_home import is_long_prompt, shared_parts
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.version_choice import eligible_backends


class BackendSelector:
    """Selects back ends by the decisions of ``routing/`` and records the durations of attempts."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def choose(
        self, active: ActiveRequest, candidates: Sequence[Backend], listed: Sequence[Backend] | None = None
    ) -> Backend:
        """Return one of the candidates, which must not be empty.

        Engine pools are formed from ``listed``, by default all back ends of the service.
        """
        state = self._state
        generation = active.request.generation
        if generation is None:
            return choose_backend_for_call(candidates, state.node_count, state.zone, state.topology, state.rng)
        if listed is None:
            listed = state.backends.backends_of_service(active.service)
        prompt = Prompt(
            placement_key=active.placement_key,
            tokens=generation.prompt_tokens,
            shared_tokens=sum(part.tokens for part in shared_parts(generation.parts)),
            objective_s=active.route.objective_s,
        )
        fleet = FleetView(state.node_count, state.topology, state.prefill_rate)
        return choose_engine_for_generation(prompt, candidates, listed, fleet)

    def wait_for_room_s(self, active: ActiveRequest, backend: Backend, now_s: float) -> float | None:
        """Return None and count the request if what a back end states allows it, else the seconds until it probably
        does."""
        state = self._state
        average = state.call_time if active.request.generation is None else state.generation_time
        wait_s = state.brittle_wait_s(backend, average.seconds, now_s)
        return wait_s if wait_s is not None else state.load.stated_limits.admit(backend, now_s)

    def refuse_if_overloaded(self, active: ActiveRequest, now_s: float) -> None:
        """Refuse a fraction of new generations while engines are overloaded. Raises :class:`OverloadedError`.

        A stream that a caller resumes and a request that was already sent do not count as new.
        """
        generation = active.request.generation
        if generation is None or active.request.resumes_stream or active.history.tried_incarnations:
            return
        state = self._state
        engines = eligible_backends(state, active.service, now_s)
        # Free slots of engines that state a limit cannot be used, so these engines count only if all state one.
        engines = [each for each in engines if not each.is_limited] or engines
        occupancy = occupancy_if_refused(engines, active.rank, now_s, state.rng)
        if occupancy is None:
            return
        wait_s = overload_retry_after_s(occupancy, active.rank, state.generation_time.seconds, state.rng)
        raise OverloadedError(f"{occupancy.load_per_slot:.2f} load per slot", retry_after_ms=round(wait_s * 1000))

    def record_duration(self, active: ActiveRequest, now_s: float) -> None:
        """Update the average and the shortest duration with the final attempt of an answered request."""
        state = self._state
        duration_s = now_s - active.timing.attempt_sent_s
        average = state.call_time if active.request.generation is None else state.generation_time
        average.observe(duration_s)
        if not active.history.runs:
            state.shortest_answers.setdefault(active.route.name, ShortestAnswerTime()).observe(duration_s)

    def record_first_token(self, active: ActiveRequest, now_s: float) -> None:
        """Update the first-token delay and the prefill rate if this is the first token of the current attempt."""
        timing = active.timing
        generation = active.request.generation
        if timing.unanswered_since_s is None or generation is None:
            return
        delay_s = now_s - timing.unanswered_since_s
        if not timing.is_silence_recorded:
            self._state.first_token_delays.observe(delay_s, active.route.objective_s, now_s)
        if is_long_prompt(generation.prompt_tokens):
            self._state.prefill_rate.observe(timing.load_when_sent, delay_s)
        timing.unanswered_since_s = None

    def record_no_first_token(self, active: ActiveRequest, now_s: float) -> None:
        """Record that the current attempt ends before its first token."""
        self.record_late_first_token(active, now_s)
        active.timing.unanswered_since_s = None

    def record_late_first_token(self, active: ActiveRequest, now_s: float) -> None:
        """Record that the first token of the current attempt is late, if it has not come and was not recorded."""
        timing = active.timing
        if timing.is_silence_recorded or timing.unanswered_since_s is None or active.request.generation is None:
            return
        self._state.first_token_delays.on_late_answer(now_s)
