"""What a node knows when it refuses a request, and the wait that the caller is told."""

from __future__ import annotations

from wallwell.clock import boot_time_s
from wallwell.node.state import NodeState
from wallwell.routing.retry.retry_after import RefusalCause, RefusalCircumstances, retry_after_s
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.messages import CallerRequest

ASSUMED_ALLOWANCE_S = 3.0
"""Time of a caller who does not tell it, where no route is known that would; a short one of those in use."""


class RetryAfter:
    """Waits by cause, from one node's state."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def of_arrival(self, cause: RefusalCause, request: CallerRequest) -> int:
        """Return the wait of a request that has no route yet, in milliseconds."""
        now_s = boot_time_s()
        allowance_s = ASSUMED_ALLOWANCE_S if request.allowance_s is None else request.allowance_s
        remaining_s = request.arrived_s + allowance_s - now_s
        return self._after_ms(cause, RefusalCircumstances(remaining_s, self._silence_s(now_s), self._hears_fleet()))

    def of_request(self, cause: RefusalCause, active: ActiveRequest) -> int:
        """Return the wait of an admitted request, in milliseconds; 0 if none is worth its while."""
        state = self._state
        now_s = boot_time_s()
        service_time = state.call_time if active.request.generation is None else state.generation_time
        knowledge = RefusalCircumstances(
            remaining_s=active.remaining_s(),
            store_silence_s=self._silence_s(now_s),
            hears_fleet=self._hears_fleet(),
            open_in_s=self._open_in_s(active.service, now_s),
            service_s=service_time.seconds,
        )
        return self._after_ms(cause, knowledge)

    def _after_ms(self, cause: RefusalCause, knowledge: RefusalCircumstances) -> int:
        return round(retry_after_s(cause, knowledge, self._state.rng) * 1000)

    def _silence_s(self, now_s: float) -> float:
        """Return for how long the store has said nothing; the node's whole life if it never did."""
        return now_s - max(self._state.freshness.confirmed_at_s, self._state.started_s)

    def _hears_fleet(self) -> bool:
        return self._state.demand.peers_generations is not None

    def _open_in_s(self, service: str, now_s: float) -> float:
        """Return when the first back end of a service may be tried again, 0 if one may be now."""
        listed = self._state.backends.of_service(service)
        waits = [each.suspended_until_s - now_s for each in listed if not each.is_leaving(now_s)]
        return max(0.0, min(waits, default=0.0))
