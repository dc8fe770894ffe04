"""Waits for the head of an answer, and abandons a silent back end where a retry on another one is allowed.

Implements only the wait: :mod:`wallwell.routing.retry.response_timeout` decides how long it lasts,
:mod:`wallwell.routing.retry.retry_policy` whether the attempt may be abandoned.
"""

from __future__ import annotations

import asyncio

from wallwell.clock import boot_time_s
from wallwell.node.state import NodeState
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.retry.response_timeout import begin_timeout_s, response_timeout_s
from wallwell.routing.retry.retry_policy import RetryPolicy
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.messages import AttemptError, BackendAnswer, BackendClient, Dispatch
from wallwell.serving.untried_backends import has_untried_backend
from wallwell.serving.version_choice import generation_start_deadline_s
from wallwell.task_wait import is_done_within


class ResponseWaiter:
    """Waits for the heads of answers to one node's attempts."""

    def __init__(self, state: NodeState, client: BackendClient, policy: RetryPolicy) -> None:
        self._state = state
        self._client = client
        self._policy = policy

    async def await_response(self, active: ActiveRequest, backend: Backend, dispatch: Dispatch) -> BackendAnswer:
        """Send the request and return the answer once its head has arrived.

        Raises :class:`AttemptError`, also if the attempt is abandoned or an engine's weights get too old to start.
        """
        head_timeout_s = self._response_timeout_s(active)
        start_timeout_s = self._start_timeout_s(active, backend)
        sending = asyncio.create_task(self._send(dispatch))
        try:
            if head_timeout_s is not None and (start_timeout_s is None or head_timeout_s < start_timeout_s):
                is_silent = not await is_done_within(sending, head_timeout_s)
                if is_silent and self._decide_to_abandon(active):
                    await _cancel_and_close(sending)
                    raise _response_timed_out(dispatch)
            if start_timeout_s is not None and not await self._starts_in_time(active, backend, sending):
                raise AttemptError(TransportEvent.ANSWER_TIMEOUT, "weights too old before the engine started")
            return await sending
        except BaseException:
            await _cancel_and_close(sending)
            raise

    async def _starts_in_time(
        self, active: ActiveRequest, backend: Backend, sending: asyncio.Task[BackendAnswer]
    ) -> bool:
        """Wait until the engine starts or its weights are too old; return whether it started in time."""
        if sending.done():
            return True
        # Computed again: the first wait used up part of this time, and the engine may have loaded newer weights.
        start_timeout_s = self._start_timeout_s(active, backend)
        return start_timeout_s is None or await is_done_within(sending, start_timeout_s)

    async def _send(self, dispatch: Dispatch) -> BackendAnswer:
        return await self._client.send(dispatch)

    def _response_timeout_s(self, active: ActiveRequest) -> float | None:
        """Return the seconds after which a silent back end is abandoned for another one; None if not allowed."""
        now_s = boot_time_s()
        budget = self._state.retry_budget(active.service)
        may_abandon = self._policy.may_abandon_silent(
            active.route, active.history, lambda: has_untried_backend(self._state, active, now_s), budget, now_s
        )
        if not may_abandon:
            return None
        generation = active.request.generation
        prompt_tokens = None if generation is None else generation.prompt_tokens
        return response_timeout_s(active.route.objective_s, active.remaining_s(), prompt_tokens)

    def _decide_to_abandon(self, active: ActiveRequest) -> bool:
        """Decide whether to abandon a silent back end now; if so, the retry is charged to the retry budget."""
        now_s = boot_time_s()
        is_generation = active.request.generation is not None
        fleet_is_behind = is_generation and self._state.first_token_delays.is_fleet_behind(now_s)
        budget = self._state.retry_budget(active.service)
        return self._policy.try_abandon_silent(active.history, fleet_is_behind, budget, now_s)

    def _start_timeout_s(self, active: ActiveRequest, backend: Backend) -> float | None:
        """Return the seconds until an engine's weights are too old to start; None for calls and for no bound."""
        generation = active.request.generation
        if generation is None:
            return None
        usable_for_s = generation_start_deadline_s(self._state, backend, generation.model) - boot_time_s()
        return begin_timeout_s(usable_for_s, active.remaining_s())


def _response_timed_out(dispatch: Dispatch) -> AttemptError:
    """Return the error of an abandoned attempt; an attempt that was still connecting cannot have run."""
    if dispatch.progress.connecting:
        return AttemptError(TransportEvent.CONNECT_TIMEOUT, "no connection within the response timeout")
    return AttemptError(TransportEvent.ANSWER_TIMEOUT, "no answer within the response timeout")


async def _cancel_and_close(sending: asyncio.Task[BackendAnswer]) -> None:
    """Cancel a dispatch. If the head arrives nevertheless, close the answer so that the back end stops working."""
    sending.cancel()
    (result,) = await asyncio.gather(sending, return_exceptions=True)
    if not isinstance(result, BaseException):
        result.close()
