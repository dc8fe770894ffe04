"""Decides whether to retry a request after a failed attempt, and after which delay. Pure.

Inputs are the progress of the request, whether the outcome of the failed attempt permits a retry, the time left
until the caller's deadline, the node's retry budget and a random generator. A decision withdraws at most one retry
from the budget and draws at most one random number; the handlers in ``standalone.callers`` send, wait and raise.

Generations and service calls differ: an engine resumes a stream after the tokens already received, so an attempt
with progress is not charged to the budget; a service's partial answer is discarded when its connection breaks.
"""

from __future__ import annotations

import enum
import random
from typing import NamedTuple

from wallwell.standalone.routing.retry import RetryBudget, full_jitter_delay_s

MAX_GENERATION_ATTEMPTS = 6
"""Maximum consecutive attempts of a generation that yield no new token."""
MAX_RESUMES = 32
"""Maximum times that a stream is resumed after an attempt that yielded tokens. Far more than the faults expected
during one stream; limits the damage of a request that makes engines fail."""
MAX_SERVICE_ATTEMPTS = 4
"""Maximum attempts of a service call."""


class NoRetryCause(enum.Enum):
    """Why a request is not retried."""

    FORBIDDEN_BY_OUTCOME = "the outcome of the failed attempt does not permit a retry"
    ATTEMPTS_USED_UP = "the request has reached its maximum number of attempts"
    BUDGET_USED_UP = "the node's retry budget is empty"
    NO_TIME_LEFT = "the delay would reach the caller's deadline"


class RetryAfterPause(NamedTuple):
    """Decision to retry after ``delay_s`` seconds."""

    delay_s: float


class NoRetry(NamedTuple):
    """Decision to answer the caller with an error."""

    cause: NoRetryCause


class GenerationProgress(NamedTuple):
    """Progress of one generation over all its attempts so far."""

    tokens: int = 0
    """Tokens received over all attempts."""
    attempts_without_tokens: int = 0
    """Attempts since the last one that yielded a token."""
    resumes: int = 0
    """Attempts that failed after yielding new tokens."""

    def after_attempt(self, tokens: int) -> GenerationProgress:
        """Return the progress after a failed attempt; ``tokens`` is the total received, including that attempt."""
        if tokens > self.tokens:
            return GenerationProgress(tokens, 0, self.resumes + 1)
        return GenerationProgress(tokens, self.attempts_without_tokens + 1, self.resumes)


def reserve_retry(progress: GenerationProgress, budget: RetryBudget) -> bool:
    """Return whether another attempt may be made beside one without tokens; if so, charge it to ``budget``."""
    return progress.attempts_without_tokens + 1 < MAX_GENERATION_ATTEMPTS and budget.try_retry()


def reserve_attempt_beside(progress: GenerationProgress, tokens: int, budget: RetryBudget) -> bool:
    """Return whether another attempt may be made beside a silent one; if so, charge it to ``budget``.

    The rules are those of a retry, since it is one if the silent attempt never goes on: it is not charged if that
    attempt has yielded some of the ``tokens`` received so far.
    """
    if tokens > progress.tokens:
        return progress.resumes < MAX_RESUMES
    return reserve_retry(progress, budget)


def after_failed_generation(
    before: GenerationProgress,
    after: GenerationProgress,
    permitted: bool,
    remaining_s: float,
    budget: RetryBudget,
    rng: random.Random,
) -> RetryAfterPause | NoRetry:
    """Decide whether to retry a generation.

    ``before`` and ``after`` are its progress before and after the failed attempt; ``permitted`` says whether the
    attempt's outcome allows a retry. After an attempt that yielded tokens the retry is not charged to the budget:
    ending the stream would waste the generated tokens, and each such attempt leaves fewer to generate. A stream
    that has begun is resumed even after the deadline.
    """
    if not permitted:
        return NoRetry(NoRetryCause.FORBIDDEN_BY_OUTCOME)
    if after.resumes > before.resumes:
        if after.resumes > MAX_RESUMES:
            return NoRetry(NoRetryCause.ATTEMPTS_USED_UP)
    elif after.attempts_without_tokens >= MAX_GENERATION_ATTEMPTS:
        return NoRetry(NoRetryCause.ATTEMPTS_USED_UP)
    elif not budget.try_retry():
        return NoRetry(NoRetryCause.BUDGET_USED_UP)
    delay_s = full_jitter_delay_s(after.attempts_without_tokens, rng)
    if after.tokens == 0 and remaining_s <= delay_s:
        return NoRetry(NoRetryCause.NO_TIME_LEFT)
    return RetryAfterPause(delay_s)


def after_failed_service_call(
    attempts: int, permitted: bool, remaining_s: float, budget: RetryBudget, rng: random.Random
) -> RetryAfterPause | NoRetry:
    """Decide whether to retry a service call after ``attempts`` failed attempts."""
    delay_s = full_jitter_delay_s(attempts, rng)
    if not permitted:
        return NoRetry(NoRetryCause.FORBIDDEN_BY_OUTCOME)
    if attempts >= MAX_SERVICE_ATTEMPTS:
        return NoRetry(NoRetryCause.ATTEMPTS_USED_UP)
    if remaining_s <= delay_s:
        return NoRetry(NoRetryCause.NO_TIME_LEFT)
    if not budget.try_retry():
        return NoRetry(NoRetryCause.BUDGET_USED_UP)
    return RetryAfterPause(delay_s)
