"""How long to wait for a silent back end before another one is asked as well. Pure.

There are three waits: for the head of an answer (:func:`response_timeout_s`) and between two events of a stream
(:func:`stall_timeout_s`), after which a second attempt may be made beside the silent one; and for an engine to
begin before its weights are too old (:func:`begin_timeout_s`), after which the attempt ends.
:mod:`wallwell.routing.retry.retry_policy` decides whether another back end may be asked at all,
:mod:`wallwell.serving.hedging` asks it.
"""

from __future__ import annotations

from wallwell.routing.admission.remaining_time import MIN_REMAINING_S

OBJECTIVE_TIMEOUT_FRACTION = 0.6
"""Fraction of the route's objective after which a back end counts as silent, so that a second attempt can still
answer within the objective."""
REMAINING_TIMEOUT_FRACTION = 0.6
"""Largest fraction of the caller's remaining time that one silent back end may use: two fifths are left for the
next one."""
MIN_PREFILL_TOKENS_PER_S = 10_000.0
"""Prefill rate in tokens per second below which an engine counts as silent: a prompt's timeout includes the time of
its whole prefill at this rate. It is about a ninth of the rate of the fastest engines known, 94 tokens per ms, and
a quarter of that of the slowest, 38."""
STALL_TIMEOUT_FACTOR = 2.0
"""Multiple of a route's largest allowed gap after which a silent stream counts as stalled. Gaps up
to the allowed length are normal; after twice that, the next event is too late in any case."""


def response_timeout_s(objective_s: float, remaining_s: float, prompt_tokens: int | None) -> float:
    """Return how many seconds to wait for the head of an answer; ``prompt_tokens`` is None for calls."""
    timeout_s = objective_s * OBJECTIVE_TIMEOUT_FRACTION
    if prompt_tokens is not None:
        prefill_s = prompt_tokens / MIN_PREFILL_TOKENS_PER_S
        timeout_s = max(objective_s, timeout_s + prefill_s)
    return min(remaining_s * REMAINING_TIMEOUT_FRACTION, timeout_s)


def begin_timeout_s(weights_usable_for_s: float, remaining_s: float) -> float | None:
    """Return within how many seconds an engine must begin, if its weights are usable for ``weights_usable_for_s``.

    Returns None if the weights stay usable for the caller's remaining time, so that they set no bound.
    """
    return max(MIN_REMAINING_S, weights_usable_for_s) if weights_usable_for_s < remaining_s else None


def stall_timeout_s(max_gap_s: float) -> float:
    """Return after how many seconds without an event a stream counts as stalled."""
    return max_gap_s * STALL_TIMEOUT_FACTOR
