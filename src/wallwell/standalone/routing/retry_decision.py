"""Whether a request is sent again after a failed attempt, and after what pause. Pure.

Inputs are what the earlier attempts of the request brought, what is proved of the failed one, the time left until
the caller's deadline, the node's retry budget and a random generator. A decision takes at most one retry out of the
budget and draws at most one random number; sending, waiting and errors are left to the handlers in
``standalone.callers``.

Generations and service calls differ: an engine continues a stream after the tokens that were received, so an
attempt with progress is not charged to the budget; of a service's answer nothing is kept when its connection
breaks.
"""

from __future__ import annotations

import enum
import random
from typing import NamedTuple

from wallwell.standalone.routing.retry import RetryBudget, full_jitter_delay_s

MAX_GENERATION_ATTEMPTS = 6
"""Attempts of a generation in a row that bring no new token."""
MAX_RESUMES = 32
"""Times that a stream may be continued after an attempt that brought tokens. Bounds a request that makes engines
fail: far more faults than one stream is expected to meet."""
MAX_SERVICE_ATTEMPTS = 4
"""Attempts of one service call."""


class NoRetryCause(enum.Enum):
    """Why a request is not sent again."""

    FORBIDDEN_BY_OUTCOME = "what is proved of the failed attempt forbids another one"
    ATTEMPTS_USED_UP = "the request has had all its attempts"
    BUDGET_USED_UP = "the node's retry budget is empty"
    NO_TIME_LEFT = "the pause would reach the caller's deadline"


class RetryAfterPause(NamedTuple):
    """Send again after ``delay_s`` seconds."""

    delay_s: float


class NoRetry(NamedTuple):
    """Answer with an error."""

    cause: NoRetryCause


class GenerationProgress(NamedTuple):
    """What the attempts of one generation have brought so far."""

    tokens: int = 0
    """Tokens received over all attempts."""
    attempts_without_tokens: int = 0
    """Attempts since the last one that brought a token."""
    resumes: int = 0
    """Attempts that broke after they had brought tokens."""

    def after_attempt(self, tokens: int) -> GenerationProgress:
        """Return the progress after a failed attempt, up to which ``tokens`` tokens were received."""
        if tokens > self.tokens:
            return GenerationProgress(tokens, 0, self.resumes + 1)
        return GenerationProgress(tokens, self.attempts_without_tokens + 1, self.resumes)


def reserve_retry(progress: GenerationProgress, budget: RetryBudget) -> bool:
    """Whether an attempt that is late with its first token may be ended for another one, which is then paid for.

    Where no other may follow, the engine that works on the request is the only one that can still answer it.
    """
    return progress.attempts_without_tokens + 1 < MAX_GENERATION_ATTEMPTS and budget.try_retry()


def after_failed_generation(
    before: GenerationProgress,
    after: GenerationProgress,
    permitted: bool,
    remaining_s: float,
    budget: RetryBudget,
    rng: random.Random,
    is_reserved: bool = False,
) -> RetryAfterPause | NoRetry:
    """Decide on another attempt of a generation.

    ``before`` and ``after`` are its progress before and after the failed attempt; ``permitted`` says whether the
    way in which the attempt ended allows another one. An attempt that brought tokens does not draw on the budget:
    giving the stream up would waste what was generated, and each such attempt shortens what is left. A stream that
    has begun is continued also beyond the deadline. ``is_reserved`` says that the retry is paid for.
    """
    if not permitted:
        return NoRetry(NoRetryCause.FORBIDDEN_BY_OUTCOME)
    if after.resumes > before.resumes:
        if after.resumes > MAX_RESUMES:
            return NoRetry(NoRetryCause.ATTEMPTS_USED_UP)
    elif after.attempts_without_tokens >= MAX_GENERATION_ATTEMPTS:
        return NoRetry(NoRetryCause.ATTEMPTS_USED_UP)
    elif not is_reserved and not budget.try_retry():
        return NoRetry(NoRetryCause.BUDGET_USED_UP)
    delay_s = full_jitter_delay_s(after.attempts_without_tokens, rng)
    if after.tokens == 0 and remaining_s <= delay_s:
        return NoRetry(NoRetryCause.NO_TIME_LEFT)
    return RetryAfterPause(delay_s)


def after_failed_service_call(
    attempts: int, permitted: bool, remaining_s: float, budget: RetryBudget, rng: random.Random
) -> RetryAfterPause | NoRetry:
    """Decide on another attempt of a service call after ``attempts`` failed ones."""
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
