"""Decides whether a request waits while every back end of its service has asked for back-off, or is refused. Pure.

Inputs are the seconds until the first back-off ends, what is left of the time within which the route's answers
should come (its objective), and a generator of random numbers. A request that can still be answered in that time is
better held for it than refused, since its caller would come back later and might be refused again. Any other is
refused at once, and its ``Retry-After`` names the end of the back-off (:mod:`wallwell.routing.retry.retry_after`).
"""

from __future__ import annotations

import random

HOLD_FRACTION = 0.5
"""Fraction of what is left of the objective for which a request is held at most; the rest is for the attempt."""
HOLD_JITTER_S = 0.03
"""Seconds over which held requests are sent after the end of the back-off, so that the back end gets them one after
the other."""


def hold_duration_s(backoff_ends_in_s: float, objective_left_s: float, rng: random.Random) -> float | None:
    """Return for how many seconds the request is held, None if it is refused at once."""
    if backoff_ends_in_s > HOLD_FRACTION * objective_left_s:
        return None
    return backoff_ends_in_s + rng.uniform(0.0, HOLD_JITTER_S)
