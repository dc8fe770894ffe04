"""What follows a failed attempt of a generation: another engine, the stream's continuation, or the request's error.

The decision itself is :func:`~wallwell.standalone.routing.retry_decision.after_failed_generation`; this module
gathers its inputs, learns from the failure, and acts.
"""

from __future__ import annotations

import asyncio

from wallwell.clock import boot_time_s
from wallwell.errors import BackendFailedError, RequestError, RetriesExhaustedError, StreamBrokenError
from wallwell.events import Event, emit
from wallwell.outcomes import Outcome
from wallwell.routing.retry.attempt_outcome import REFUSED_BY_BACKEND, TransportEvent
from wallwell.standalone.backends.attempt import AttemptFailed
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.callers.engine_attempt import EngineAttempt
from wallwell.standalone.callers.generation_run import GenerationRun
from wallwell.standalone.callers.retry_after import NO_BACKEND_RETRY_AFTER_MS
from wallwell.standalone.routing.retry_decision import NoRetry, NoRetryCause, after_failed_generation


async def await_generation_retry(
    context: NodeContext, run: GenerationRun, attempt: EngineAttempt, failure: AttemptFailed
) -> None:
    """Return when the next attempt may be made; raises the request's error if there is none."""
    permitted = await record_failure(context, run, attempt, failure.event)
    before, run.progress = run.progress, run.progress.after_attempt(len(run.events))
    remaining_s = run.caller.remaining_s(boot_time_s())
    decision = after_failed_generation(
        before, run.progress, permitted, remaining_s, context.retry_budget, context.rng
    )
    if isinstance(decision, NoRetry):
        if decision.cause is NoRetryCause.FORBIDDEN_BY_OUTCOME:
            raise BackendFailedError(failure.detail)
        raise generation_exhausted(run)
    report_successor(context, run, attempt, failure.event)
    context.metrics.retries.labels("generation").inc()
    await asyncio.sleep(decision.delay_s)


async def record_failure(
    context: NodeContext, run: GenerationRun, attempt: EngineAttempt, event: TransportEvent
) -> bool:
    """Learn from an attempt that failed; returns whether its outcome allows another one."""
    await context.crashes.on_failure(run.content, event, attempt.engine.name, attempt.engine.address)
    run.failed_engines.add(attempt.engine.name)
    learn_of_engine(context, attempt, event)
    return run.log.record(event)


def refused(run: GenerationRun, refusal: RequestError) -> RequestError:
    """Return the error of a generation that gets no engine: the refusal, unless an earlier attempt may have run."""
    return refusal if run.log.outcome is Outcome.NOT_RUN else generation_exhausted(run)


def generation_exhausted(run: GenerationRun) -> RequestError:
    """Return the error of a generation that is not sent again, by what is proved of its attempts."""
    if run.events:
        return StreamBrokenError("the stream could not be continued", retry_after_ms=NO_BACKEND_RETRY_AFTER_MS)
    if run.log.outcome is Outcome.NOT_RUN:
        return RetriesExhaustedError("no engine took the request", retry_after_ms=NO_BACKEND_RETRY_AFTER_MS)
    error = StreamBrokenError("no engine answered", retry_after_ms=NO_BACKEND_RETRY_AFTER_MS)
    error.outcome = Outcome.UNKNOWN
    return error


def learn_of_engine(context: NodeContext, attempt: EngineAttempt, event: TransportEvent) -> None:
    """Correct what is believed of the attempt's engine."""
    engine = attempt.engine
    if event in REFUSED_BY_BACKEND:
        # The engine has changed since its state was published: nothing is sent there until it publishes anew.
        context.selector.on_precondition_refused(engine.name)
        if attempt.published is not None:
            context.refuted_news[engine.name] = attempt.published
        return
    if event is TransportEvent.CANCELLED_NEVER_STARTED:
        return  # Busy, not broken.
    if context.selector.breaker_of(engine.name).on_failure(boot_time_s(), context.rng):
        emit(Event.BREAKER_OPENED, engine=engine.name)


def report_successor(
    context: NodeContext, run: GenerationRun, failed: EngineAttempt, event: TransportEvent
) -> None:
    """Log that another attempt takes the place of a failed one, and count resumed streams."""
    emit(
        Event.STREAM_RESUMED if run.events else Event.REQUEST_RETRIED,
        request_id=run.caller.request_id,
        engine=failed.engine.name,
        reason=event.value,
        tokens=len(run.events),
    )
    if run.events:
        context.metrics.resumes.inc()
