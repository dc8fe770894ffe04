"""How long a silent back end is waited for before another one is asked. Pure.

Three waits: for the head of an answer (:func:`response_timeout_s`), for an engine to begin before its weights
are too old (:func:`begin_timeout_s`), and between two events of a stream (:func:`stall_timeout_s`). Whether
another back end may be asked at all is decided in :mod:`wallwell.routing.retry.retry_policy`; the waiting
itself is done in :mod:`wallwell.serving.response_wait` and in the passing of streams.
"""

from __future__ import annotations

from wallwell.routing.admission.remaining_time import MIN_REMAINING_S

OBJECTIVE_FRACTION = 0.6
"""Fraction of a route's objective after which a silent back end is abandoned, so that a second attempt can still
answer within the objective."""
REMAINING_FRACTION = 0.6
"""Fraction of the caller's remaining time that one silent back end may take at most: two fifths are left to the
next one."""
SLOWEST_PREFILL_TOKENS_PER_S = 10_000.0
"""Prefill rate, in tokens per second, below which an engine counts as silent: a prompt is allowed the time of its
whole prefill at this rate. About a ninth of the fastest engines known, 94 tokens per ms, and a quarter of the
slowest, 38."""
STALL_TIMEOUT_FACTOR = 2.0
"""Multiple of a route's largest allowed gap after which a silent stream is continued elsewhere: a gap of up to the
allowed length is normal, one of twice that is late whatever follows."""


def response_timeout_s(objective_s: float, remaining_s: float, prompt_tokens: int | None) -> float:
    """Return how long the head of an answer is waited for, in seconds; ``prompt_tokens`` is None for calls."""
    timeout_s = objective_s * OBJECTIVE_FRACTION
    if prompt_tokens is not None:
        prefill_s = prompt_tokens / SLOWEST_PREFILL_TOKENS_PER_S
        timeout_s = max(objective_s, timeout_s + prefill_s)
    return min(remaining_s * REMAINING_FRACTION, timeout_s)


def begin_timeout_s(usable_for_s: float, remaining_s: float) -> float | None:
    """Return how long an engine may take to begin while its weights are new enough for ``usable_for_s`` more.

    None if they outlast the caller's remaining time, so that they set no bound.
    """
    return max(MIN_REMAINING_S, usable_for_s) if usable_for_s < remaining_s else None


def stall_timeout_s(max_gap_s: float) -> float:
    """Return after how long without an event a stream counts as stalled, in seconds."""
    return max_gap_s * STALL_TIMEOUT_FACTOR
