"""Decides for how long a back end is suspended, so that it gets no requests, after failures. Pure.

Inputs are this node's observations of the back end: its failures since it last answered, whether the last failure
shows that it is unreachable, and when it last answered. Times and durations are seconds on this node's clock.

An unreachable back end is suspended at its first failure, since each request to it loses the time of a connection
attempt. A reachable back end is suspended from its second failure in a row, since some of its requests may still
succeed; the same holds for refusals by a full back end, each of which costs one of the fleet's few retries.
Suspensions double while failures continue, so that a back end that is gone costs few attempts. They are bounded, so
that one that has returned is used again within seconds.

A request that ends only because the back end is silent is not a failure while the back end answers others. It is
busy, and a suspension would move its load to equally busy back ends and make those slower.
"""

from __future__ import annotations

from wallwell.routing.exponential_delay import exponential_delay_s

FIRST_SUSPENSION_S = 0.6
"""Seconds of the first suspension; a restarted process may be back by then."""
MAX_SUSPENSION_S = 4.0
"""Longest suspension in seconds, and so the longest delay until a return is noticed."""
FAILURES_TO_SUSPEND = 2
"""Failures in a row from which a reachable back end is suspended; a single one may be due to the request."""
REFUSALS_TO_SUSPEND = 2
"""Refusals in a row from which a back end that asks for no back-off is suspended; a single one may have met a queue
that was full only for a moment."""
FIRST_REFUSAL_SUSPENSION_S = 0.2
"""Seconds of the first suspension after refusals; a full back end has free slots again within a fraction of a
request's duration."""
MAX_REFUSAL_SUSPENSION_S = 1.6
"""Longest suspension after refusals in seconds."""
UNREACHABLE_FAILURES_TO_SUSPEND = 1
"""Failures in a row from which an unreachable back end is suspended; another request would show nothing new."""
RECOVERY_TRIAL_S = 2.0
"""Seconds after a suspension in which a back end counts as on trial, until a request shows whether it works again.
After that it counts as working, since perhaps no request was sent to it."""
RECENT_ANSWER_S = 1.5
"""Seconds for which an answer shows that a back end works; longer than the time between two answers of a busy
engine."""


def failure_suspension_end_s(consecutive_failures: int, unreachable: bool, now_s: float) -> float | None:
    """Return until when a back end that failed now is suspended; None if it is not suspended.
    ``consecutive_failures`` counts this failure and those before it since the last answer."""
    threshold = UNREACHABLE_FAILURES_TO_SUSPEND if unreachable else FAILURES_TO_SUSPEND
    if consecutive_failures < threshold:
        return None
    return now_s + exponential_delay_s(FIRST_SUSPENSION_S, MAX_SUSPENSION_S, consecutive_failures - threshold)


def refusal_suspension_end_s(consecutive_refusals: int, now_s: float) -> float | None:
    """Return until when a back end that refused a request now is suspended; None if it is not suspended.
    ``consecutive_refusals`` counts this refusal and those before it since the last request that was accepted."""
    if consecutive_refusals < REFUSALS_TO_SUSPEND:
        return None
    refusals_before = consecutive_refusals - REFUSALS_TO_SUSPEND
    return now_s + exponential_delay_s(FIRST_REFUSAL_SUSPENSION_S, MAX_REFUSAL_SUSPENSION_S, refusals_before)


def has_answered_recently(last_success_s: float, now_s: float) -> bool:
    """Whether a back end answered so recently that a silence only shows that it is busy."""
    return now_s - last_success_s < RECENT_ANSWER_S
