"""How long something that fails is left alone: a pause that doubles with each failure in a row, up to a bound.
Pure."""

from __future__ import annotations

MAX_DOUBLINGS = 16
"""Bound of the exponent, so that it stays small however long failures go on; every bound in use is reached
before."""


def exponential_delay_s(first_s: float, max_s: float, previous_failures: int) -> float:
    """Return the pause in seconds after a failure that ``previous_failures`` others in a row went before."""
    return min(max_s, first_s * (1 << min(previous_failures, MAX_DOUBLINGS)))
