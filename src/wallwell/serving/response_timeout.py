"""How long a back end is waited for: silence against a repeat that is paid for, and weights that grow too old."""

from __future__ import annotations

import asyncio

from wallwell.clock import boot_time_s
from wallwell.late_loop import is_done_within
from wallwell.node.state import NodeState
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.messages import AttemptError, BackendAnswer, BackendClient, Dispatch
from wallwell.serving.version_choice import begin_by_s, candidates_for

FIRST_BYTE_PATIENCE = 0.6
"""Part of the objective after which a silent back end is given up, if the request may be repeated."""
SLOWEST_PREFILL_TOKENS_PER_S = 10_000.0
"""A prompt is allowed the time of reading it whole at this rate before its engine counts as silent."""
MIN_REMAINING_S = 0.02


class ResponseWait:
    """Waits for the heads of answers."""

    def __init__(self, state: NodeState, client: BackendClient) -> None:
        self._state = state
        self._client = client

    async def await_response(self, active: ActiveRequest, backend: Backend, dispatch: Dispatch) -> BackendAnswer:
        """Wait for the head as long as that is better than asking another back end."""
        silence_s = self._silence_s(active)
        begin_within_s = self._begin_within_s(active, backend)
        sending = asyncio.create_task(self._send(dispatch))
        try:
            if silence_s is not None and (begin_within_s is None or silence_s < begin_within_s):
                is_silent = not await is_done_within(sending, silence_s)
                # A repeat is paid for before the attempt is given up; a late answer is better than none.
                if is_silent and self._is_retry_better(active):
                    await _withdraw(sending)
                    raise _silence(dispatch)
            if not sending.done() and begin_within_s is not None:
                begin_within_s = self._begin_within_s(active, backend) or MIN_REMAINING_S
                if not await is_done_within(sending, begin_within_s):
                    raise AttemptError(TransportEvent.ANSWER_TIMEOUT, "its weights are too old to begin")
            return await sending
        except BaseException:
            await _withdraw(sending)
            raise

    async def _send(self, dispatch: Dispatch) -> BackendAnswer:
        return await self._client.send(dispatch)

    def _is_retry_better(self, active: ActiveRequest) -> bool:
        """Whether to leave a silent back end, paying for the repeat.

        Not while all engines are behind: another one would read the prompt from its start behind others, and what
        this one has read or queued would be lost.
        """
        if active.request.generation is not None and self._state.first_token_delays.is_fleet_behind(boot_time_s()):
            return False
        return self._prepay_retry(active)

    def _prepay_retry(self, active: ActiveRequest) -> bool:
        """Draw on the budget for the attempt that follows a silence; False if it is used up."""
        if not self._state.budget_of(active.service).try_retry(boot_time_s(), self._state.node_count):
            return False
        active.history.prepaid_retries += 1
        return True

    def _begin_within_s(self, active: ActiveRequest, backend: Backend) -> float | None:
        """Return within what time the engine must begin, because its weights will then be too old."""
        generation = active.request.generation
        if generation is None:
            return None
        left_s = begin_by_s(self._state, backend, generation.model) - boot_time_s()
        return max(MIN_REMAINING_S, left_s) if left_s < active.remaining_s() else None

    def _silence_s(self, active: ActiveRequest) -> float | None:
        """Return after what silence another back end is asked, None if none may be."""
        if not active.route.repeatable or active.history.runs + 1 >= active.route.max_attempts:
            return None
        if not self.has_alternative(active):
            return None
        patience_s = active.route.objective_s * FIRST_BYTE_PATIENCE
        generation = active.request.generation
        if generation is not None:
            reading_s = generation.prompt_tokens / SLOWEST_PREFILL_TOKENS_PER_S
            patience_s = max(active.route.objective_s, patience_s + reading_s)
        return min(active.remaining_s() * 0.6, patience_s)

    def has_alternative(self, active: ActiveRequest) -> bool:
        now_s = boot_time_s()
        usable = candidates_for(self._state, active, now_s).usable
        untried = any(each.incarnation not in active.history.tried for each in usable)
        return untried and self._state.budget_of(active.service).left(now_s, self._state.node_count) >= 1.0


def _silence(dispatch: Dispatch) -> AttemptError:
    """Return how a withdrawn attempt ended: one that was still connecting cannot have run."""
    if dispatch.progress.connecting:
        return AttemptError(TransportEvent.CONNECT_TIMEOUT, "no connection in time")
    return AttemptError(TransportEvent.ANSWER_TIMEOUT, "no answer in time")


async def _withdraw(sending: asyncio.Task[BackendAnswer]) -> None:
    """Give a dispatch up; an answer whose head has come all the same is closed, so that its back end stops."""
    sending.cancel()
    (result,) = await asyncio.gather(sending, return_exceptions=True)
    if not isinstance(result, BaseException):
        result.close()
