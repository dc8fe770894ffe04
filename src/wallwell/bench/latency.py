"""Histograms of latencies: recorded in whole microseconds, read in seconds. Owns their range and precision."""

from __future__ import annotations

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_S = 1e6
"""Histograms hold microseconds, results seconds."""
_LOWEST_US = 1
"""Smallest latency recorded, in microseconds: the unit of the histograms."""
_HIGHEST_US = 600_000_000
"""Largest latency recorded, in microseconds: ten minutes, above any deadline of a trace."""
_DIGITS = 3
"""Decimal digits of precision: percentiles are exact to a thousandth."""


def latency_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds up to ten minutes."""
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


def record_s(histogram: HdrHistogram, latency_s: float) -> None:
    """Record a latency given in seconds."""
    histogram.record_value(max(_LOWEST_US, round(latency_s * MICROSECONDS_PER_S)))


def percentile_s(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile (0 to 100) in seconds."""
    return float(histogram.get_value_at_percentile(percentile)) / MICROSECONDS_PER_S


def merged(histograms: Iterable[HdrHistogram]) -> HdrHistogram:
    """Return the sum of histograms."""
    total = latency_histogram()
    for histogram in histograms:
        total.add(histogram)
    return total
