"""Decides for how long a back end gets no requests after failures. Pure.

Inputs are what this node has seen of the back end: its failures since it last answered, whether the last one showed
that it cannot be reached, and when it last answered. Times and pauses are seconds on this node's clock.

A back end that cannot be reached is suspended at its first failure: each request that tries it loses the time of a
connection attempt. One that is reached and fails is suspended from the second failure in a row, since some of its
requests may still succeed. So is one that refuses requests as it is full: each refusal costs a retry, of which the
fleet has few. Pauses double while failures go on, so that a back end that is gone costs few attempts,
and are bounded, so that one that has returned is used again within seconds.

A request that ends by silence alone is no failure while the back end answers others: it is busy, and suspending it
moves its load to back ends that are as busy. Suspending engines for being slow makes the others slower.
"""

from __future__ import annotations

from wallwell.routing.exponential_delay import exponential_delay_s

FIRST_SUSPENSION_S = 0.6
"""Seconds of the first suspension: a process that was restarted may be back by then."""
MAX_SUSPENSION_S = 4.0
"""Bound of the suspension in seconds, and so of how late a return is noticed."""
FAILURES_TO_SUSPEND = 2
"""Failures in a row from which a back end that can be reached is suspended: one alone is as likely the request's as
the back end's."""
REFUSALS_TO_SUSPEND = 2
"""Refusals in a row from which a back end is suspended that does not say for how long it wants nothing: one alone
may have met the moment in which its queue was full."""
FIRST_REFUSAL_SUSPENSION_S = 0.2
"""Seconds of the first suspension after refusals: a full back end has free slots again within a fraction of a
request's duration."""
MAX_REFUSAL_SUSPENSION_S = 1.6
"""Bound of the suspension after refusals in seconds."""
UNREACHABLE_FAILURES_TO_SUSPEND = 1
"""The same for one that cannot be reached: there is nothing that the next request could find out."""
RECOVERY_TRIAL_S = 2.0
"""Seconds after a suspension within which a request will have shown whether the back end works again. After that it
counts as working: perhaps nobody has asked it."""
RECENT_ANSWER_S = 1.5
"""Seconds for which an answer shows that a back end works: longer than the gap between two answers of a busy
engine."""


def failure_suspension_end_s(consecutive_failures: int, unreachable: bool, now_s: float) -> float | None:
    """Return until when a back end is suspended that failed now; None if it is not.

    ``consecutive_failures`` counts this failure and those before it since the last answer.
    """
    threshold = UNREACHABLE_FAILURES_TO_SUSPEND if unreachable else FAILURES_TO_SUSPEND
    if consecutive_failures < threshold:
        return None
    return now_s + exponential_delay_s(FIRST_SUSPENSION_S, MAX_SUSPENSION_S, consecutive_failures - threshold)


def refusal_suspension_end_s(consecutive_refusals: int, now_s: float) -> float | None:
    """Return until when a back end is suspended that refused a request now; None if it is not.

    ``consecutive_refusals`` counts this refusal and those before it since the last request that was accepted.
    """
    if consecutive_refusals < REFUSALS_TO_SUSPEND:
        return None
    refusals_before = consecutive_refusals - REFUSALS_TO_SUSPEND
    return now_s + exponential_delay_s(FIRST_REFUSAL_SUSPENSION_S, MAX_REFUSAL_SUSPENSION_S, refusals_before)


def has_answered_recently(last_success_s: float, now_s: float) -> bool:
    """Whether a back end answered so recently that a silence means that it is busy."""
    return now_s - last_success_s < RECENT_ANSWER_S
