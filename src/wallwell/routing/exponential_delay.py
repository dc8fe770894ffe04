"""Delay before retrying something that failed: doubles with each failure in a row, up to a maximum. Pure."""

from __future__ import annotations

MAX_DOUBLINGS = 16
"""Bound of the exponent, so that it stays small however many failures follow each other. Every maximum delay in use
is reached with fewer doublings."""


def exponential_delay_s(first_s: float, max_s: float, previous_failures: int) -> float:
    """Return the delay in seconds after a failure that was preceded by ``previous_failures`` others in a row."""
    return min(max_s, first_s * (1 << min(previous_failures, MAX_DOUBLINGS)))
