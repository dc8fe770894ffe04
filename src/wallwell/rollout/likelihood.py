"""A sequential test of a rate, which may be evaluated any number of times while answers arrive. Arithmetic only.

For each alternative rate the likelihood ratio against the null rate is a supermartingale as long as the true rate
is at most the null rate; so is any mixture of these ratios (H. Robbins, "Statistical methods related to the law of
the iterated logarithm", 1970). By Ville's inequality the mixture ever reaches ``1 / a`` with probability at most
``a``.
"""

from __future__ import annotations

import math

ALTERNATIVE_DISTANCES = (0.01, 0.03, 0.06, 0.12, 0.25, 0.5, 0.9)
"""Alternative rates of the mixture, as fractions of the distance from the null rate to 1. A version that is worse
by less than 1 in 100 is not rolled back."""
LOG_WEIGHT = -math.log(len(ALTERNATIVE_DISTANCES))
"""Logarithm of each alternative's weight in the mixture; all weights are equal."""
NULL_DEVIATIONS = 2.0
"""Standard deviations by which the null rate is set above the observed rate; for a normal distribution it is then
too low in about 1 of 40 rollouts."""
MIN_NULL_RATE = 1e-4
"""Lowest null rate used in a test; keeps the logarithm of the ratio finite."""


def upper_rate(events: int, answers: int, deviations: float = NULL_DEVIATIONS) -> float:
    """Return the upper end of the Wilson score interval of the rate (E. B. Wilson, 1927); 1 without answers."""
    if answers <= 0:
        return 1.0
    square = deviations * deviations
    centre = events + square / 2
    spread = deviations * math.sqrt(events * (answers - events) / answers + square / 4)
    return min(1.0, (centre + spread) / (answers + square))


def log_evidence(events: float, answers: int, null_rate: float) -> float:
    """Return the natural logarithm of the mixture's likelihood ratio, approximated by its greatest term. The result
    is ``-inf`` if the observed rate is not above the null rate. Answers of several routes may be summed and tested
    against the mean of their null rates: the mean of a product of factors ``1 + rate x step`` is greatest if all
    rates are equal."""
    null = max(null_rate, MIN_NULL_RATE)
    if null >= 1.0 or events <= null * answers:
        return -math.inf
    best = -math.inf
    for distance in ALTERNATIVE_DISTANCES:
        rate = null + (1.0 - null) * distance
        ratio = events * math.log(rate / null) + (answers - events) * math.log1p(-distance)
        best = max(best, ratio)
    return best + LOG_WEIGHT
