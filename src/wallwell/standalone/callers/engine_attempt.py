"""One attempt of a generation at one engine: send, receive, and learn from what was observed.

Owns the time after which an engine counts as silent, before its first token and between tokens. Relies on
:class:`~wallwell.standalone.backends.engine_client.EngineClient` to yield each token's event once and in order;
notes in the selector and the directory that the engine is about to hold the prompt.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Protocol

from wallwell.clock import boot_time_s
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.standalone.backends.attempt import AttemptFailed
from wallwell.standalone.backends.engine_client import EngineClient, GenerationCall, GenerationHead
from wallwell.standalone.backends.engine_protocol import CancelState, EngineDataError
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.callers.generation_run import GenerationRun
from wallwell.standalone.callers.openai_format import chunk_text
from wallwell.standalone.config.compiled import Engine
from wallwell.standalone.routing.policy import Choice

STALL_TIMEOUT_S = 2.0
"""Seconds of silence inside a stream after which another engine is asked to go on with it."""
MAX_STALL_S = 10.0
"""Least seconds of silence after which a begun generation is given up though no other engine goes on with it: five
times the stall time-out, in which an engine that was only held up goes on."""
MIN_FIRST_TOKEN_TIMEOUT_S = 2.0
"""Least seconds that an engine gets for its first token before another one is tried, unless the deadline is
nearer."""
FIRST_TOKEN_TIMEOUT_FACTOR = 8.0
"""Multiple of the expected time to the first token after which another engine is tried: an estimate that is off by
some factor should not cost the work already done on the prompt."""
MIN_DEADLINE_TIMEOUT_S = 0.05
"""Least seconds for a first token when the deadline is near, so that an attempt can succeed at all."""


def first_token_timeout_s(expected_s: float, started: bool, remaining_s: float) -> float:
    """Return how long an attempt may be without its first token.

    A generation that has not ``started`` is bounded by its deadline too; a started one is continued beyond it.
    """
    timeout_s = max(MIN_FIRST_TOKEN_TIMEOUT_S, expected_s * FIRST_TOKEN_TIMEOUT_FACTOR)
    if started:
        return timeout_s
    return max(MIN_DEADLINE_TIMEOUT_S, min(timeout_s, remaining_s))


def _check_text(event: bytes) -> None:
    """Raise :class:`AttemptFailed` if an event holds no text, of which a whole answer is made."""
    try:
        chunk_text(event)
    except EngineDataError as error:
        raise AttemptFailed(TransportEvent.FOREIGN_ANSWER, str(error)) from error


class AttemptObserver(Protocol):
    """Is told what an attempt sees while others may be open beside it."""

    def on_silence(self, attempt: EngineAttempt) -> None:
        """The attempt has been without an event for its time-out once more."""
        ...

    def on_next(self, attempt: EngineAttempt) -> None:
        """The attempt has the generation's next event, or its end: from now on it goes on alone."""
        ...

    def on_cancelled(self, attempt: EngineAttempt, state: CancelState | None) -> None:
        """The engine of an attempt that was ended says how far that had come; None if it does not confirm."""
        ...


@dataclass(eq=False)
class EngineAttempt:
    """One attempt of ``run`` at ``engine``; ``choice`` is what the policy expected."""

    context: NodeContext
    run: GenerationRun
    engine: Engine
    choice: Choice
    observer: AttemptObserver
    head: GenerationHead = field(default_factory=GenerationHead)
    """What the engine reported of the prompt."""
    has_token: bool = False
    """Whether the attempt has yielded a token."""

    def __post_init__(self) -> None:
        self._attempt_id = self.run.attempt_id
        self.run.sent += 1
        self.published = self.run.published
        self._incarnation = self.published.incarnation if self.published is not None else ""
        self._sent_s = 0.0

    async def perform(self, forward: Callable[[bytes], Awaitable[None]]) -> None:
        """Receive the rest of the generation and forward each event. Raises :class:`AttemptFailed`."""
        self._note_dispatch()
        client = EngineClient(self.engine.address, self.context.session)
        call = self._call()
        ended = False
        try:
            await self._receive(client, call, forward)
            ended = True
        except AttemptFailed as failure:
            if failure.event in (TransportEvent.CANCELLED_NEVER_STARTED, TransportEvent.ANSWER_TIMEOUT):
                self.calibrate()
            raise
        finally:
            self.context.selector.on_finished(self.engine.name, self._attempt_id)
            if not ended:
                # In the background: neither a retry nor a caller who left waits for the engine's confirmation.
                self.context.spawn(self._cancel(client))

    async def _cancel(self, client: EngineClient) -> None:
        self.observer.on_cancelled(self, await client.cancel(self._attempt_id))

    async def _receive(
        self, client: EngineClient, call: GenerationCall, forward: Callable[[bytes], Awaitable[None]]
    ) -> None:
        run = self.run
        async with aclosing(client.generate(call, self.head)) as events:
            async for event in events:
                if not run.body.stream:
                    _check_text(event)
                self.observer.on_next(self)
                if not self.has_token:
                    self._on_first_event()
                run.events.append(event)
                run.last_token_s = boot_time_s()
                await forward(event)
        self.observer.on_next(self)
        run.head = self.head

    def _note_dispatch(self) -> None:
        """Record that the engine has more to do and is about to hold the prompt's blocks."""
        context, run = self.context, self.run
        self._sent_s = boot_time_s()
        rank = run.caller.priority.rank
        context.selector.on_dispatch(
            self._attempt_id, self.choice, self._incarnation, run.chain, rank, self._sent_s
        )
        if self._incarnation:
            report = context.node.report_dispatch(
                run.lookup.sequence, self.engine.name, self._incarnation, run.chain
            )
            context.transport.perform(report)

    def _call(self) -> GenerationCall:
        run = self.run
        remaining_s = run.caller.remaining_s(boot_time_s())
        timeout_s = first_token_timeout_s(self.choice.expected_first_token_s, bool(run.events), remaining_s)
        return GenerationCall(
            path=run.path,
            attempt_id=self._attempt_id,
            body=run.engine_body(),
            cache_salt=run.cache_salt,
            incarnation=self._incarnation,
            weights_version=run.weights_version,
            rank=run.caller.priority.rank,
            first_index=len(run.events),
            first_token_timeout_s=timeout_s,
            stall_timeout_s=STALL_TIMEOUT_S,
            max_first_token_wait_s=max(MAX_STALL_S if run.events else timeout_s, remaining_s),
            may_abandon=self._on_silence,
            max_stall_s=max(MAX_STALL_S, remaining_s),
        )

    def _on_silence(self) -> bool:
        """Report the silence; the attempt stays open, since only an event of another one proves that it may end."""
        self.observer.on_silence(self)
        return False

    def _on_first_event(self) -> None:
        """Learn from the attempt's first token; the generation's own first token is measured too."""
        now_s = boot_time_s()
        self.has_token = True
        self.run.head = self.head
        selector, head = self.context.selector, self.head
        self._report_unreadable(head)
        selector.breaker_of(self.engine.name).on_success(now_s)
        computed_tokens = head.prompt_tokens - head.cached_tokens
        load = selector.load_of(self.engine.name)
        load.on_first_token(self._attempt_id, computed_tokens, now_s - self._sent_s)
        self.calibrate()
        if self.run.first_token_s is None:
            self._measure_first_token(now_s)

    def _report_unreadable(self, head: GenerationHead) -> None:
        unreadable, engine = self.context.unreadable_counts, self.engine.name
        if head.unreadable:
            unreadable.report(engine, EngineDataError(f"no number: {', '.join(head.unreadable)}"))
        else:
            unreadable.forget(engine)

    def _measure_first_token(self, now_s: float) -> None:
        run, metrics = self.run, self.context.metrics
        run.first_token_s = now_s - run.caller.started_s
        metrics.first_token_s.labels(run.caller.priority_name).observe(run.first_token_s)
        metrics.prompt_tokens.inc(run.head.prompt_tokens)
        metrics.cached_tokens.inc(run.head.cached_tokens)

    def calibrate(self) -> None:
        """Learn how much longer than expected requests of this rank wait for their first token."""
        now_s = boot_time_s()
        rank = self.run.caller.priority.rank
        expected_s = self.choice.expected_first_token_s
        self.context.selector.calibration.observe(rank, expected_s, now_s - self._sent_s, now_s)
