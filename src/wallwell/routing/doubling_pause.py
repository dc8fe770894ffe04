"""How long something that fails is left alone: a pause that doubles with each failure in a row, up to a bound.
Pure."""

from __future__ import annotations

MAX_DOUBLINGS = 16
"""Bound of the exponent, so that it stays small however long failures go on; every bound in use is reached
before."""


def doubling_pause_s(first_s: float, longest_s: float, failures_before: int) -> float:
    """Return the pause in seconds after a failure that ``failures_before`` others in a row went before."""
    return min(longest_s, first_s * (1 << min(failures_before, MAX_DOUBLINGS)))
