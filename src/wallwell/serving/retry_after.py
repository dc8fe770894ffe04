"""Computes the Retry-After of a refused request from this node's state.

:mod:`wallwell.routing.retry.retry_after` decides the wait; this module collects its inputs. Each call draws from
the node's random generator, except for requests refused because too little time is left.
"""

from __future__ import annotations

from wallwell.clock import boot_time_s
from wallwell.node.state import NodeState
from wallwell.routing.retry.retry_after import RefusalCause, RefusalCircumstances, retry_after_s
from wallwell.routing.selection.candidates import earliest_backoff_end_s
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.messages import CallerRequest

DEFAULT_CALLER_TIMEOUT_S = 3.0
"""Timeout in seconds assumed for a caller that states none, where no route with a timeout is known: one of the
shorter timeouts in use."""


class RetryAfterEstimator:
    """Returns the Retry-After of a refusal by its cause and the state of one node."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def for_unrouted_request_ms(self, cause: RefusalCause, request: CallerRequest) -> int:
        """Return the Retry-After of a request without a route, in milliseconds."""
        now_s = boot_time_s()
        timeout_s = DEFAULT_CALLER_TIMEOUT_S if request.caller_timeout_s is None else request.caller_timeout_s
        circumstances = RefusalCircumstances(
            remaining_s=request.arrived_s + timeout_s - now_s,
            store_silence_s=self._store_silence_s(now_s),
            receives_peer_loads=self._receives_peer_loads(),
        )
        return self._retry_after_ms(cause, circumstances)

    def for_admitted_request_ms(self, cause: RefusalCause, active: ActiveRequest, limit_wait_s: float = 0.0) -> int:
        """Return the Retry-After of an admitted request in milliseconds; 0 if a retry would miss its deadline.

        ``limit_wait_s`` is described in :class:`RefusalCircumstances`.
        """
        state = self._state
        now_s = boot_time_s()
        duration = state.call_time if active.request.generation is None else state.generation_time
        circumstances = RefusalCircumstances(
            remaining_s=active.remaining_s(),
            store_silence_s=self._store_silence_s(now_s),
            receives_peer_loads=self._receives_peer_loads(),
            suspension_ends_in_s=self._suspension_ends_in_s(active.service, now_s),
            backoff_ends_in_s=self._backoff_ends_in_s(cause, active.service, now_s),
            limit_wait_s=limit_wait_s,
            usual_duration_s=duration.seconds,
        )
        return self._retry_after_ms(cause, circumstances)

    def _retry_after_ms(self, cause: RefusalCause, circumstances: RefusalCircumstances) -> int:
        return round(retry_after_s(cause, circumstances, self._state.rng) * 1000)

    def _store_silence_s(self, now_s: float) -> float:
        """Return the seconds since the store's last confirmation, or since the node's start if there was none."""
        return now_s - max(self._state.freshness.confirmed_at_s, self._state.started_s)

    def _receives_peer_loads(self) -> bool:
        return self._state.demand.peers_generations is not None

    def _backoff_ends_in_s(self, cause: RefusalCause, service: str, now_s: float) -> float:
        """Return the seconds until the first back-off of a service ends; 0 for refusals of another cause."""
        if cause is not RefusalCause.ALL_BACKING_OFF:
            return 0.0
        ends_s = earliest_backoff_end_s(self._state.backends.backends_of_service(service), now_s)
        return 0.0 if ends_s is None else ends_s - now_s

    def _suspension_ends_in_s(self, service: str, now_s: float) -> float:
        """Return the seconds until the first suspended back end of a service may be tried; 0 if one already may."""
        listed = self._state.backends.backends_of_service(service)
        waits = [each.suspended_until_s - now_s for each in listed if not each.is_leaving(now_s)]
        return max(0.0, min(waits, default=0.0))
