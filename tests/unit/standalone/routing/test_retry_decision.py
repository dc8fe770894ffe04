"""Whether a standalone router sends a request again: the decision equals the handlers' own over drawn inputs."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from wallwell.errors import RequestError
from wallwell.routing.retry.attempt_outcome import AttemptLog, TransportEvent
from wallwell.standalone.backends.attempt import AttemptFailed
from wallwell.standalone.callers import generation as generations
from wallwell.standalone.callers import service_calls
from wallwell.standalone.routing.retry import CircuitBreaker, RetryBudget
from wallwell.standalone.routing.retry_decision import (
    GenerationProgress,
    Retry,
    after_failed_generation,
    after_failed_service_call,
)

NOW_S = 1000.0
EVENTS = st.sampled_from([event for event in TransportEvent if event is not TransportEvent.ANSWERED])
REMAINING_S = st.floats(-0.1, 1.2)
BUDGET_REQUESTS = st.integers(0, 40)


def budget_of(requests: int) -> RetryBudget:
    """Return a budget that starts empty and has seen ``requests`` first attempts."""
    budget = RetryBudget(reserve=4.0)
    while budget.try_retry():
        pass
    for _ in range(requests):
        budget.on_request()
    return budget


def a_context(requests: int, seed: int) -> mock.Mock:
    context = mock.Mock()
    context.rng = random.Random(seed)
    context.retry_budget = budget_of(requests)
    context.refuted_news = {}
    context.service_breakers = {}
    context.service_paused_until_s = {}
    # Breakers that don't draw: the draws compared are the decision's.
    context.selector.breaker_of.return_value = CircuitBreaker(failures_to_open=100)
    return context


async def delay_or_none(module: object, decision: object) -> float | None:
    """Await a handler's decision; returns its pause, or None if it gave up."""
    pauses = []

    async def sleep(delay_s: float) -> None:
        pauses.append(delay_s)

    stand_in = SimpleNamespace(sleep=sleep)
    with mock.patch.object(module, "asyncio", stand_in), mock.patch.object(module, "boot_time_s", lambda: NOW_S):
        try:
            await decision  # type: ignore[misc]
        except RequestError:
            return None
    return pauses[0]


@settings(max_examples=400, deadline=None)
@given(
    EVENTS,
    st.integers(0, 2),
    st.integers(0, 2),
    st.integers(0, 7),
    st.integers(0, 34),
    REMAINING_S,
    BUDGET_REQUESTS,
    st.integers(0, 9999),
)
def test_generations_are_decided_as_by_the_handler(
    event, had, new, fruitless, resumes, remaining_s, requests, seed
):
    context = a_context(requests, seed)
    handler = generations.GenerationHandler(context)
    run = mock.Mock(
        log=AttemptLog(repeatable=True),
        events=[b""] * (had + new),
        fruitless_attempts=fruitless,
        resumes=resumes,
        failed_engines=set(),
    )
    run.caller.remaining_s = lambda _now_s: remaining_s
    engine = SimpleNamespace(name="engine")
    old = asyncio.run(
        delay_or_none(generations, handler._after_failure(run, engine, AttemptFailed(event), had))  # type: ignore[arg-type]
    )
    rng, budget = random.Random(seed), budget_of(requests)
    before = GenerationProgress(had, fruitless, resumes)
    after = before.after_attempt(had + new)
    permitted = AttemptLog(repeatable=True).record(event)
    new_decision = after_failed_generation(before, after, permitted, remaining_s, budget, rng)
    assert (new_decision.delay_s if isinstance(new_decision, Retry) else None) == old
    assert rng.getstate() == context.rng.getstate()
    assert budget._tokens == context.retry_budget._tokens
    if permitted:
        assert (after.fruitless_attempts, after.resumes) == (run.fruitless_attempts, run.resumes)


@settings(max_examples=400, deadline=None)
@given(EVENTS, st.booleans(), st.integers(0, 6), REMAINING_S, BUDGET_REQUESTS, st.integers(0, 9999))
def test_service_calls_are_decided_as_by_the_handler(event, repeatable, earlier, remaining_s, requests, seed):
    context = a_context(requests, seed)
    handler = service_calls.ServiceHandler(context)
    log = AttemptLog(repeatable)
    log.attempts = earlier
    instance, caller = SimpleNamespace(name="instance"), mock.Mock()
    caller.remaining_s = lambda _now_s: remaining_s
    old = asyncio.run(
        delay_or_none(service_calls, handler._after_failure(instance, AttemptFailed(event), log, caller))  # type: ignore[arg-type]
    )
    rng, budget = random.Random(seed), budget_of(requests)
    permitted = AttemptLog(repeatable).record(event)
    decision = after_failed_service_call(earlier + 1, permitted, remaining_s, budget, rng)
    assert (decision.delay_s if isinstance(decision, Retry) else None) == old
    assert rng.getstate() == context.rng.getstate()
    assert budget._tokens == context.retry_budget._tokens
