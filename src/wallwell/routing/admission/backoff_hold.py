"""Decides whether a request is held or refused while all back ends of its service are in a back-off. Pure.

Inputs are the seconds until the first back-off ends, the remaining seconds of the route's objective (the time in
which its answers should arrive), and a random generator. If a request can still be answered within its objective,
holding it is better than refusing it, since its caller would come back later and might be refused again. Any other
request is refused at once, and ``Retry-After`` states the end of the back-off
(:mod:`wallwell.routing.retry.retry_after`).
"""

from __future__ import annotations

import random

HOLD_FRACTION = 0.5
"""Fraction of the objective's remaining time for which a request may be held; the rest is for the attempt."""
HOLD_JITTER_S = 0.03
"""Held requests are sent at random times within this many seconds after the end of the back-off, so that the back
end receives them one after the other."""


def hold_duration_s(backoff_ends_in_s: float, objective_left_s: float, rng: random.Random) -> float | None:
    """Return for how many seconds to hold the request; None to refuse it at once."""
    if backoff_ends_in_s > HOLD_FRACTION * objective_left_s:
        return None
    return backoff_ends_in_s + rng.uniform(0.0, HOLD_JITTER_S)
