"""Makes a second attempt beside a silent one; the first of both to have something to pass on goes on alone.

A back end that is silent may be dead, or go on a moment later, and nothing tells the two apart. So the silent
attempt is kept until another one has delivered: its first complete event, or for a call its whole answer. If the
other one is refused, breaks off or is silent as well, the request has lost nothing but a retry.

An attempt passes something on only after it has called :meth:`Hedger.settle`, which ends the other one. If one of
them fails, the other one goes on.

Owns the second attempts in flight. The retry policy decides whether one may be made and pays for it,
:mod:`wallwell.serving.hedge_choice` chooses its back end, :class:`~wallwell.serving.attempt.AttemptRunner` makes
it, on a view of the request of its own (:meth:`~wallwell.serving.active_request.ActiveRequest.hedge_view`). If the
silent attempt ends first, the pipeline finds the other one in ``ActiveRequest.successor``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol, TypeVar

from wallwell.clock import boot_time_s, ends_within
from wallwell.error_frames import release_frames
from wallwell.node.state import NodeState
from wallwell.routing.health.backend import Backend
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.retry.retry_policy import RetryPolicy
from wallwell.serving.active_request import ActiveRequest, SecondAttempt
from wallwell.serving.attempt_feedback import AttemptFeedback
from wallwell.serving.backend_selector import BackendSelector
from wallwell.serving.failure_recorder import FailureRecorder
from wallwell.serving.hedge_choice import HedgeObstacle, choose_for_hedge, is_too_late_for_hedge
from wallwell.serving.liveness import WatchedAttempt
from wallwell.serving.messages import AttemptError
from wallwell.serving.request_reports import HedgeResult, RequestReporter
from wallwell.task_wait import is_done_within

HEDGE_CHECK_INTERVAL_S = 0.1
"""Seconds after which a request at a silent back end is looked at again while no second attempt could be made."""

Result = TypeVar("Result")


class StartedAttempt(Protocol):
    """An attempt that counts as in flight; see :class:`wallwell.serving.attempt.StartedAttempt`."""

    def settle(self) -> None:
        """Count it as no longer in flight, once."""
        ...


class Attempts(Protocol):
    """Makes attempts; see :class:`wallwell.serving.attempt.AttemptRunner`."""

    def start_attempt(self, active: ActiveRequest, backend: Backend) -> StartedAttempt:
        """Count an attempt as in flight."""
        ...

    async def run_attempt(self, started: Any) -> bool:
        """Make an attempt that was started, and settle it."""
        ...


class Hedge:
    """A second attempt of a request, in a task of its own."""

    def __init__(self, active: ActiveRequest, backend: Backend, attempts: Attempts) -> None:
        """``active`` is the request as this attempt sees it."""
        self.active = active
        self.backend = backend
        self._started = attempts.start_attempt(active, backend)
        self._task = asyncio.ensure_future(attempts.run_attempt(self._started))

    @property
    def has_delivered(self) -> bool:
        """Whether the attempt has taken the caller's reply."""
        return self.active.reply_claim.is_taken

    @property
    def is_done(self) -> bool:
        """Whether the attempt has ended."""
        return self._task.done()

    async def wait(self, other: asyncio.Future[Any]) -> None:
        """Wait until this attempt has delivered or ended, or ``other`` is done."""
        taken = self.active.reply_claim.taken
        assert taken is not None
        futures: set[asyncio.Future[Any]] = {other, self._task, taken}
        await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)

    async def finish(self) -> bool:
        """Wait for the attempt's end; returns and raises what it does. A cancellation cancels the attempt too."""
        return await self._task

    async def withdraw(self) -> None:
        """Cancel the attempt, which closes its connection, so that the back end stops working."""
        self.active.is_withdrawn = True
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._started.settle()  # The task may not have begun to run.


class Hedger:
    """Waits for the back ends of one node's attempts, beside second attempts while they are silent."""

    def __init__(
        self,
        state: NodeState,
        policy: RetryPolicy,
        selector: BackendSelector,
        feedback: AttemptFeedback,
        failures: FailureRecorder,
        reporter: RequestReporter,
    ) -> None:
        self._state = state
        self._policy = policy
        self._selector = selector
        self._feedback = feedback
        self._failures = failures
        self._reporter = reporter
        self.attempts: Attempts | None = None
        """Makes the second attempts; set by the runner of attempts, which in turn relies on this class."""

    async def await_result(
        self,
        active: ActiveRequest,
        backend: Backend,
        pending: asyncio.Future[Result],
        silence_s: float | None,
        obstacle: Callable[[], HedgeObstacle | None] = lambda: None,
    ) -> Result:
        """Return the result of ``pending``, what an attempt at ``backend`` waits for.

        If that is silent for ``silence_s`` seconds, or its machine does not answer, a second attempt is made beside
        it as soon as nothing, ``obstacle`` included, is in its way; None if none may be. Raises
        :class:`AttemptError` once that one has delivered. It stays open until :meth:`settle` is called, or
        the attempt fails and hands over to it. ``pending`` stays the caller's to cancel.
        """
        if active.hedge is None:
            if silence_s is None:
                return await pending
            if await is_done_before_silence(pending, active.watch, silence_s):
                return pending.result()
        await self._await_silent(active, backend, pending, silence_s is not None, obstacle)
        return pending.result()

    async def _await_silent(
        self,
        active: ActiveRequest,
        backend: Backend,
        pending: asyncio.Future[Result],
        may_start: bool,
        obstacle: Callable[[], HedgeObstacle | None],
    ) -> None:
        last_obstacle: HedgeObstacle | None = None
        try:
            while not pending.done():
                if active.hedge is not None:
                    last_obstacle = None
                    await self._wait_beside(active, backend, pending, active.hedge)
                    continue
                last_obstacle = (obstacle() or self._start(active, backend)) if may_start else None
                if active.hedge is None:
                    await is_done_within(pending, HEDGE_CHECK_INTERVAL_S)
        finally:
            if last_obstacle is not None:
                self._reporter.on_silence_waited_out(active, backend, last_obstacle)

    def _start(self, active: ActiveRequest, silent: Backend) -> HedgeObstacle | None:
        """Start a second attempt, or return what is in its way."""
        now_s = boot_time_s()
        self._feedback.on_silence(active, silent, now_s)
        if active.reply_claim.is_contested:
            return HedgeObstacle.IS_HEDGE
        if not self._policy.may_hedge(active.route, active.history):
            return HedgeObstacle.NO_RUN_LEFT
        if is_too_late_for_hedge(self._state, active):
            return HedgeObstacle.TOO_LATE
        budget = self._state.retry_budget(active.service)
        if not self._policy.can_pay_for_hedge(active.history, budget, now_s):
            return HedgeObstacle.NO_RETRY_LEFT
        backend = choose_for_hedge(self._state, self._selector, active, now_s)
        if backend is None:
            return HedgeObstacle.NO_BACKEND
        assert self.attempts is not None
        self._policy.pay_for_hedge(active.history, budget, now_s)
        active.history.open_hedges += 1
        active.hedge = Hedge(active.hedge_view(), backend, self.attempts)
        return None

    async def _wait_beside(
        self, active: ActiveRequest, silent: Backend, pending: asyncio.Future[Result], hedge: SecondAttempt
    ) -> None:
        """Wait until ``pending`` is done or the second attempt has failed; raise if that one has delivered."""
        await hedge.wait(pending)
        if hedge.has_delivered:
            raise self._moved(active, silent, hedge)
        if hedge.is_done:
            await self._end_failed(active, hedge)
            self._reporter.on_hedge_ended(active, silent, hedge.backend, HedgeResult.FAILED)

    def _moved(self, active: ActiveRequest, silent: Backend, hedge: SecondAttempt) -> AttemptError:
        self._reporter.on_hedge_ended(active, silent, hedge.backend, HedgeResult.MOVED)
        return AttemptError(TransportEvent.ANSWER_TIMEOUT, f"silent; {hedge.backend.incarnation} goes on")

    async def settle(self, active: ActiveRequest, backend: Backend) -> None:
        """Call before the attempt at ``backend`` passes on its first event or its answer: ends the other one.

        Raises :class:`AttemptError` if that one has delivered already.
        """
        hedge = active.hedge
        if hedge is not None:
            if hedge.has_delivered:
                raise self._moved(active, backend, hedge)
            await self.withdraw(active)
            self._reporter.on_hedge_ended(active, backend, hedge.backend, HedgeResult.WOKE)
        active.reply_claim.take()

    def hand_over(self, active: ActiveRequest, backend: Backend) -> None:
        """Let the second attempt go on alone, if there is one, since the attempt at ``backend`` has failed."""
        hedge = active.hedge
        if hedge is None:
            return
        if not hedge.has_delivered:
            self._reporter.on_hedge_ended(active, backend, hedge.backend, HedgeResult.LEFT_ALONE)
        active.hand_over()

    async def withdraw(self, active: ActiveRequest) -> None:
        """End the second attempt beside the current one, if there is one."""
        hedge = active.hedge
        if hedge is None:
            return
        active.hedge = None
        active.history.open_hedges -= 1
        has_arrived = not hedge.active.progress.connecting
        active.history.record_withdrawn_hedge(has_arrived)
        if not has_arrived:
            self._state.load.stated_limits.refund(hedge.backend)
        await hedge.withdraw()

    async def _end_failed(self, active: ActiveRequest, hedge: SecondAttempt) -> None:
        """Record the second attempt's failure. Raises what is no failure of an attempt."""
        active.hedge = None
        active.history.open_hedges -= 1
        try:
            await hedge.finish()
        except AttemptError as failure:
            release_frames(failure)
            self._failures.record(hedge.active, hedge.backend, failure, is_hedge=True)
            active.history.record_failed_hedge(failure.event)
        except TimeoutError as timeout:
            release_frames(timeout)
            active.history.record_withdrawn_hedge(has_arrived=True)  # At the request's deadline, which ends both.


async def is_done_before_silence(
    pending: asyncio.Future[Result], watch: WatchedAttempt | None, seconds: float
) -> bool:
    """Return whether ``pending`` is done before its back end counts as silent: after ``seconds``, or once it is
    suspected to have stopped. ``watch`` is None if the back end is not watched."""
    if watch is None:
        return await is_done_within(pending, seconds)
    futures: set[asyncio.Future[Any]] = {pending, watch.suspected}
    first = asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
    if await ends_within(first, seconds) and not pending.done():
        return False
    return pending.done() or await is_done_within(pending, 0.0)
