"""Waits for the head of an answer, beside a second attempt while the back end is silent.

Implements only the wait: :mod:`wallwell.routing.retry.response_timeout` decides when a back end counts as silent,
:mod:`wallwell.serving.hedging` makes the second attempt. An attempt is given up for two reasons: there is no
connection yet, so that nothing is lost, or the engine's weights have become too old to start.
"""

from __future__ import annotations

import asyncio

from wallwell.clock import boot_time_s
from wallwell.node.state import NodeState
from wallwell.routing.admission.remaining_time import MIN_REMAINING_S
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.retry.response_timeout import begin_timeout_s, response_timeout_s
from wallwell.routing.retry.retry_policy import RetryPolicy
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.hedge_choice import HedgeObstacle
from wallwell.serving.hedging import Hedger, is_done_before_silence
from wallwell.serving.messages import AttemptError, BackendAnswer, BackendClient, Dispatch
from wallwell.serving.untried_backends import has_untried_backend
from wallwell.serving.version_choice import generation_start_deadline_s
from wallwell.task_wait import is_done_within


class ResponseWaiter:
    """Waits for the heads of answers to one node's attempts."""

    def __init__(self, state: NodeState, client: BackendClient, policy: RetryPolicy, hedger: Hedger) -> None:
        self._state = state
        self._client = client
        self._policy = policy
        self._hedger = hedger

    async def await_response(self, active: ActiveRequest, backend: Backend, dispatch: Dispatch) -> BackendAnswer:
        """Send the request and return the answer once its head has arrived.

        Raises :class:`AttemptError`, also if a second attempt delivers first, if there is no connection in time, or
        if an engine's weights get too old to start.
        """
        sending = asyncio.create_task(self._send(active, backend, dispatch))
        try:
            return await self._await_head(active, backend, dispatch, sending)
        except BaseException:
            await _cancel_and_close(sending)
            raise

    async def _await_head(
        self, active: ActiveRequest, backend: Backend, dispatch: Dispatch, sending: asyncio.Task[BackendAnswer]
    ) -> BackendAnswer:
        if not self._policy.may_interrupt(active.route, active.history):
            return await sending
        if await is_done_before_silence(sending, active.watch, self._response_timeout_s(active)):
            return sending.result()
        if self._may_leave_unconnected(active, dispatch):
            raise AttemptError(TransportEvent.CONNECT_TIMEOUT, "no connection within the response timeout")
        return await self._hedger.await_result(active, backend, sending, 0.0, lambda: self._obstacle(active))

    async def _send(self, active: ActiveRequest, backend: Backend, dispatch: Dispatch) -> BackendAnswer:
        """Send the request; raise :class:`AttemptError` once the engine's weights are too old to start."""
        if self._start_timeout_s(active, backend) is None:
            return await self._client.send(dispatch)
        sending = asyncio.ensure_future(self._client.send(dispatch))
        try:
            if not await self._starts_in_time(active, backend, sending):
                raise AttemptError(TransportEvent.ANSWER_TIMEOUT, "weights too old before the engine started")
            return await sending
        except BaseException:
            await _cancel_and_close(sending)
            raise

    async def _starts_in_time(
        self, active: ActiveRequest, backend: Backend, sending: asyncio.Task[BackendAnswer]
    ) -> bool:
        """Wait until the engine starts or its weights are too old; return whether it started in time."""
        start_timeout_s = self._start_timeout_s(active, backend)
        while start_timeout_s is not None and not await is_done_within(sending, start_timeout_s):
            # Computed again: the engine may have loaded newer weights meanwhile.
            start_timeout_s = self._start_timeout_s(active, backend)
            if start_timeout_s is not None and start_timeout_s <= MIN_REMAINING_S:
                return False
        return True

    def _response_timeout_s(self, active: ActiveRequest) -> float:
        """Return the seconds after which a back end counts as silent."""
        generation = active.request.generation
        prompt_tokens = None if generation is None else generation.prompt_tokens
        return response_timeout_s(active.route.objective_s, active.remaining_s(), prompt_tokens)

    def _may_leave_unconnected(self, active: ActiveRequest, dispatch: Dispatch) -> bool:
        """Whether there is no connection yet, and another back end to try instead."""
        return dispatch.progress.connecting and has_untried_backend(self._state, active, boot_time_s())

    def _obstacle(self, active: ActiveRequest) -> HedgeObstacle | None:
        """Return whether a second attempt is pointless, since the engines of the whole fleet are behind.

        Another engine would queue the prompt behind others and prefill it from the start.
        """
        if active.request.generation is None:
            return None
        is_behind = self._state.first_token_delays.is_fleet_behind(boot_time_s())
        return HedgeObstacle.FLEET_BEHIND if is_behind else None

    def _start_timeout_s(self, active: ActiveRequest, backend: Backend) -> float | None:
        """Return the seconds until an engine's weights are too old to start; None for calls and for no bound."""
        generation = active.request.generation
        if generation is None:
            return None
        usable_for_s = generation_start_deadline_s(self._state, backend, generation.model) - boot_time_s()
        return begin_timeout_s(usable_for_s, active.remaining_s())


async def _cancel_and_close(sending: asyncio.Task[BackendAnswer]) -> None:
    """Cancel a dispatch. If the head arrives nevertheless, close the answer so that the back end stops working."""
    sending.cancel()
    (result,) = await asyncio.gather(sending, return_exceptions=True)
    if not isinstance(result, BaseException):
        result.close()
