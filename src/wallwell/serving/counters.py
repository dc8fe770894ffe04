"""What one node has done, as plain numbers: cheap to count, rendered only when metrics are fetched. Pure."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field

LATENCY_BOUNDS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
"""Upper bounds of the buckets, in seconds: each about twice the one before, from the fastest calls to the longest
generations. The metrics page shows them as they are, so changing them changes metrics."""


@dataclass
class LatencyHistogram:
    """Observations per bucket; the last bucket has no upper bound."""

    buckets: list[int] = field(default_factory=lambda: [0] * (len(LATENCY_BOUNDS_S) + 1))
    total_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Count one observation."""
        self.buckets[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self.total_s += seconds


@dataclass
class RequestCounters:
    """Counts by bounded labels: kinds of request, outcomes, error codes and attempt results."""

    requests: Counter[tuple[str, str]] = field(default_factory=Counter)
    """By kind and outcome."""
    refusals: Counter[str] = field(default_factory=Counter)
    """By error code."""
    attempts: Counter[str] = field(default_factory=Counter)
    """By what became of the attempt."""
    first_token_latency: dict[str, LatencyHistogram] = field(default_factory=dict)
    answer_latency: dict[str, LatencyHistogram] = field(default_factory=dict)
    largest_event_gap: dict[str, LatencyHistogram] = field(default_factory=dict)

    def on_answered(self, kind: str, first_event_s: float, total_s: float, gap_s: float | None) -> None:
        """A request got a back end's whole answer; ``gap_s`` is the largest pause of a stream."""
        self.requests[(kind, "answered")] += 1
        self.attempts["answered"] += 1
        self.first_token_latency.setdefault(kind, LatencyHistogram()).observe(first_event_s)
        self.answer_latency.setdefault(kind, LatencyHistogram()).observe(total_s)
        if gap_s is not None:
            self.largest_event_gap.setdefault(kind, LatencyHistogram()).observe(gap_s)

    def on_refused(self, kind: str, outcome: str, code: str) -> None:
        """A request got an error of the router's own."""
        self.requests[(kind, outcome)] += 1
        self.refusals[code] += 1
