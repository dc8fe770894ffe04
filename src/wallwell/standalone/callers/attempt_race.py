"""Attempts of a generation beside a silent one; the first to have the next event goes on alone.

A silent engine may be dead, or go on a moment later, and nothing tells the two apart. So its attempt is kept until
another one has the generation's next event. If the other one is refused, breaks off or is silent as well, the
request has lost nothing but a retry.

Owns the open attempts of a generation and ends those that are no longer needed. The retry decision says whether
another one may be made and pays for it; the handler decides what follows when the last one has failed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection
from typing import Any, NamedTuple

from wallwell.errors import RequestError
from wallwell.events import Event, emit
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.standalone.backends.attempt import AttemptFailed
from wallwell.standalone.backends.engine_protocol import CancelState
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.callers.engine_attempt import EngineAttempt
from wallwell.standalone.callers.generation_retry import learn_of_engine, record_failure, report_successor
from wallwell.standalone.callers.generation_run import GenerationRun
from wallwell.standalone.config.compiled import Engine
from wallwell.standalone.routing.policy import Choice
from wallwell.standalone.routing.retry import full_jitter_delay_s
from wallwell.standalone.routing.retry_decision import reserve_attempt_beside

Forward = Callable[[bytes], Awaitable[None]]
ChooseEngine = Callable[[GenerationRun, Collection[str]], Awaitable[tuple[Engine, Choice]]]
"""Returns an engine that is none of the named ones. Raises :class:`RequestError` if there is none."""


class FailedAttempt(NamedTuple):
    """The last open attempt, and how it failed."""

    attempt: EngineAttempt
    failure: AttemptFailed


class AttemptRace:
    """The open attempts of ``run``, in the order in which they were sent. Made for one :meth:`perform`."""

    def __init__(self, context: NodeContext, run: GenerationRun, forward: Forward, choose: ChooseEngine) -> None:
        self._context = context
        self._run = run
        self._forward = forward
        self._choose = choose
        self._open: dict[EngineAttempt, asyncio.Task[None]] = {}
        self._ended: list[asyncio.Task[None]] = []
        self._left_unstarted: set[EngineAttempt] = set()
        """Attempts left without a token, of which the engine has yet to say whether it had begun them."""
        self._silence = _new_future()
        """Done while another attempt is due, since the newest one is silent."""

    async def perform(self, engine: Engine, choice: Choice) -> FailedAttempt | None:
        """Make an attempt at ``engine``, and others beside it while it is silent.

        Returns None if the generation was received to its end, else the attempt that failed when no other was open.
        """
        self._start(engine, choice)
        try:
            while True:
                changes: set[asyncio.Future[Any]] = {*self._open.values(), self._silence}
                await asyncio.wait(changes, return_when=asyncio.FIRST_COMPLETED)
                ended = next((each for each, task in self._open.items() if task.done()), None)
                if ended is not None:
                    failure = _failure_of(self._open[ended])
                    if failure is None:
                        return None
                    if len(self._open) == 1:
                        return FailedAttempt(ended, failure)
                    await self._drop(ended, failure)
                elif self._silence.done():
                    if self._run.complete:
                        return None  # Only the end of the stream is missing; another engine would write more.
                    await self._add_attempt()
        finally:
            for task in self._open.values():
                task.cancel()
            await asyncio.gather(*self._open.values(), return_exceptions=True)
            for error in await asyncio.gather(*self._ended, return_exceptions=True):
                _log_if_unexpected(error)

    def on_silence(self, attempt: EngineAttempt) -> None:
        """Have another attempt made if this is the newest one: an older one's successor still has time."""
        if attempt is next(reversed(self._open)):
            self._ask_for_another()

    def on_next(self, attempt: EngineAttempt) -> None:
        """Let ``attempt`` go on alone: older ones were silent for too long, newer ones are not needed."""
        if self._silence.done():
            self._silence = _new_future()
        if len(self._open) == 1:
            return
        others = list(self._open)
        for each in others[: others.index(attempt)]:
            self._record_left(each)
        for each in others:
            if each is not attempt:
                task = self._open.pop(each)
                task.cancel()
                self._ended.append(task)

    def on_cancelled(self, attempt: EngineAttempt, state: CancelState | None) -> None:
        """Learn of an engine that was left before its first token: busy if it had not begun, else broken."""
        if attempt in self._left_unstarted and state is not CancelState.NEVER_STARTED:
            learn_of_engine(self._context, attempt, TransportEvent.ANSWER_TIMEOUT)

    def _start(self, engine: Engine, choice: Choice) -> None:
        attempt = EngineAttempt(self._context, self._run, engine, choice, self)
        self._open[attempt] = asyncio.create_task(attempt.perform(self._forward))

    def _ask_for_another(self) -> None:
        if not self._silence.done():
            self._silence.set_result(None)

    async def _add_attempt(self) -> None:
        """Make another attempt if there is an engine for it and it can be paid for."""
        context, run, silence = self._context, self._run, self._silence
        chosen = await self._choose_another()
        is_silent = silence is self._silence
        if is_silent:
            self._silence = _new_future()
        if chosen is None:
            return
        engine, choice = chosen
        tokens = len(run.events)
        if not is_silent or not reserve_attempt_beside(run.progress, tokens, context.retry_budget):
            context.selector.on_unused(engine.name)
            return
        run.progress = run.progress.after_attempt(tokens)
        context.metrics.retries.labels("generation").inc()
        self._start(engine, choice)

    async def _choose_another(self) -> tuple[Engine, Choice] | None:
        try:
            return await self._choose(self._run, [each.engine.name for each in self._open])
        except RequestError:
            return None

    async def _drop(self, failed: EngineAttempt, failure: AttemptFailed) -> None:
        """Record a failure while other attempts are open; if those are silent, have another one made soon."""
        run, tokens = self._run, len(self._run.events)
        is_newest = failed is next(reversed(self._open))
        self._ended.append(self._open.pop(failed))
        may_repeat = await record_failure(self._context, run, failed, failure.event)
        if not is_newest or not may_repeat:
            return
        await asyncio.sleep(full_jitter_delay_s(run.progress.attempts_without_tokens, self._context.rng))
        if len(run.events) == tokens:
            self._ask_for_another()

    def _record_left(self, attempt: EngineAttempt) -> None:
        """Note that a silent attempt's place is taken by a newer one."""
        event = TransportEvent.ANSWER_TIMEOUT
        self._run.failed_engines.add(attempt.engine.name)
        self._run.log.record(event)
        report_successor(self._context, self._run, attempt, event)
        if attempt.has_token:
            learn_of_engine(self._context, attempt, event)
        else:
            attempt.calibrate()
            self._left_unstarted.add(attempt)


def _new_future() -> asyncio.Future[None]:
    return asyncio.get_running_loop().create_future()


def _log_if_unexpected(error: BaseException | None) -> None:
    """Log how an attempt ended that nobody waited for any more, unless it failed or was cancelled."""
    if isinstance(error, Exception) and not isinstance(error, AttemptFailed):
        emit(Event.INTERNAL_ERROR, where="attempt beside another one", key="", reason=repr(error))


def _failure_of(task: asyncio.Task[None]) -> AttemptFailed | None:
    """Return how an attempt that has ended failed, None if it did not. Raises what is no failure of an attempt."""
    error = task.exception()
    if error is None or isinstance(error, AttemptFailed):
        return error
    raise error
